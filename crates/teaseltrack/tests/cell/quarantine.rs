//! Tasks that crash their workers, and crashes by other causes.

use std::collections::{BTreeMap, BTreeSet};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use teaseltrack::{
    cell::{
        CellEvent,
        job::Stage,
        progress::JobState,
        protocol::{EndCause, TaskName},
    },
    placement::Resources,
};
use yare::parameterized;

use crate::fleet::{CAPACITY, Fleet, STEP, long_running, queue, stage, stored_job};

/// Name of the first task of a job's first stage.
fn first_task(job: &str) -> TaskName {
    TaskName { job: job.to_owned(), occurrence: 0, stage: 0, index: 0 }
}

/// Tasks that the owner has given up, from its events.
fn given_up(events: &[CellEvent]) -> BTreeSet<TaskName> {
    let given_up = events.iter().filter_map(|event| match event {
        CellEvent::Suspected { task, is_given_up: true, .. } => Some(task.clone()),
        _ => None,
    });
    given_up.collect()
}

/// Guards against one task that crashes worker after worker, with all other runs there.
#[parameterized(
    seed_1 = { 1 },
    seed_2 = { 2 },
    seed_3 = { 3 },
    seed_4 = { 4 },
    seed_5 = { 5 },
    seed_6 = { 6 },
    seed_11 = { 11 },
    seed_53 = { 53 },
)]
fn task_that_crashes_its_workers_is_given_up(seed: u64) {
    let mut fleet = Fleet::new(8, seed);
    let mut events = Vec::new();
    let crashing: BTreeSet<TaskName> =
        (0..6).map(|number| first_task(&format!("{:016x}", 3 + number * 5))).collect();
    fleet.crashing = crashing.iter().map(|task| (task.clone(), 0)).collect();
    for job in 0..40 {
        fleet.submit(stored_job(&format!("{job:016x}"), vec![stage(6)]));
        fleet.run_steps(4);
        events.extend(fleet.cell.take_events());
    }
    fleet.run_steps(1_600);
    events.extend(fleet.cell.take_events());
    assert_eq!(given_up(&events), crashing);
    // The platform allows five starts.
    assert!(fleet.crashing.values().all(|start_count| *start_count <= 5), "{:?}", fleet.crashing);
    for id in fleet.jobs.keys() {
        let expected =
            if crashing.contains(&first_task(id)) { JobState::Failed } else { JobState::Completed };
        assert_eq!(fleet.cell.state(id), Some(expected), "{id}");
    }
}

/// Guards against crashes that count for nothing once the worker's lease has expired.
#[test]
fn task_that_crashes_its_workers_for_longer_than_a_lease_is_given_up() {
    let mut fleet = Fleet::new(6, 1);
    fleet.down_step_count = 160;
    let id = "0000000000000001";
    fleet.submit(stored_job(id, vec![stage(8)]));
    fleet.crashing.insert(first_task(id), 0);
    fleet.run_steps(2_000);
    assert!(fleet.crashing[&first_task(id)] <= 5, "{:?}", fleet.crashing);
    assert_eq!(fleet.cell.state(id), Some(JobState::Failed));
}

/// Guards against a count of crashes that begins anew with each owner.
#[parameterized(
    seed_1 = { 1 },
    seed_2 = { 2 },
    seed_3 = { 3 },
    seed_4 = { 4 },
)]
fn task_that_crashes_its_workers_is_given_up_by_later_owners(seed: u64) {
    let mut fleet = Fleet::new(6, seed);
    let id = "0000000000000001";
    fleet.submit(stored_job(id, vec![stage(8)]));
    fleet.crashing.insert(first_task(id), 0);
    let mut start_count = 0;
    for _ in 0..1_600 {
        fleet.step();
        let present_count = fleet.crashing[&first_task(id)];
        if present_count > start_count {
            start_count = present_count;
            fleet.run_steps(2);
            fleet.replace_owner();
        }
    }
    assert!(start_count <= 5, "started {start_count} times");
    assert_eq!(fleet.cell.state(id), Some(JobState::Failed));
}

/// Guards against innocent tasks that are given up because their workers crash for other reasons.
#[parameterized(
    seed_1 = { 1 },
    seed_2 = { 2 },
    seed_3 = { 3 },
    seed_4 = { 4 },
    seed_5 = { 5 },
    seed_6 = { 6 },
)]
fn crashes_by_other_causes_give_up_no_task(seed: u64) {
    let mut fleet = Fleet::new(8, seed);
    let mut faults = ChaCha8Rng::seed_from_u64(seed + 1_000);
    let mut events = Vec::new();
    for round in 0..1_500 {
        if round % 10 == 0 && round < 900 {
            fleet.submit(stored_job(&format!("{round:016x}"), vec![stage(5)]));
        }
        // A rack of three workers crashes, or a machine restarts, every five seconds.
        if round % 100 == 50 && round < 1_000 {
            let first = faults.random_range(0..6);
            if faults.random_range(0..2) == 0 {
                (first..first + 3).for_each(|index| fleet.crash_worker(index));
            } else {
                fleet.restart_worker(first);
                fleet.restart_agent(first);
            }
        }
        fleet.step();
        events.extend(fleet.cell.take_events());
    }
    assert_eq!(given_up(&events), BTreeSet::new());
    // A job may only fail by the failures that the workers themselves reported.
    let exhausted = exhausted_jobs(&events);
    for id in fleet.jobs.keys() {
        let expected = if exhausted.contains(id) { JobState::Failed } else { JobState::Completed };
        assert_eq!(fleet.cell.state(id), Some(expected), "{id}");
    }
}

/// Guards against jobs that are given up for the crashes of workers that go down and up by turns.
#[parameterized(
    one_worker = { 1, 14, 28 },
    one_worker_briefly_up = { 1, 14, 20 },
    one_worker_slowly = { 1, 40, 80 },
    two_workers = { 2, 14, 28 },
)]
fn flapping_workers_give_up_no_job(flapping_count: usize, down_steps: u32, period_steps: usize) {
    let seeds = std::env::var("FLAP_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(3);
    let mut suspicion_count = 0;
    for seed in 1..=seeds {
        let mut fleet = Fleet::new(8, seed);
        fleet.down_step_count = down_steps;
        for watch in 0..3 {
            fleet.submit(stored_job(&format!("a{watch:015x}"), vec![small(long_running(5))]));
        }
        let mut events = Vec::new();
        for step in 0..1_400 {
            if step % 5 == 0 && step < 1_000 {
                fleet.submit(stored_job(&format!("b{step:015x}"), vec![small(stage(6))]));
            }
            if step % 50 == 0 && step < 1_000 {
                fleet.submit(stored_job(&format!("a1{step:014x}"), vec![small(long_running(1))]));
            }
            if (100..1_000).contains(&step) && step % period_steps == 0 {
                (0..flapping_count).for_each(|index| fleet.crash_worker(3 + index));
            }
            fleet.step();
            events.extend(fleet.cell.take_events());
        }
        let is_suspicion = |event: &CellEvent| matches!(event, CellEvent::Suspected { .. });
        suspicion_count += events.iter().filter(|event| is_suspicion(event)).count();
        assert_eq!(given_up(&events), BTreeSet::new(), "seed {seed}");
        let exhausted = exhausted_jobs(&events);
        for (id, job) in &fleet.jobs {
            let expected = if job.spec.is_long_running() {
                JobState::Active
            } else if exhausted.contains(id) {
                JobState::Failed
            } else {
                JobState::Completed
            };
            assert_eq!(fleet.cell.state(id), Some(expected), "seed {seed}: {id}");
        }
    }
    assert!(suspicion_count > 0, "no crash had a suspect");
}

/// Guards against a task that is started without end on the workers that it crashes, because another
/// worker crashes as well.
#[parameterized(
    seed_1 = { 1 },
    seed_2 = { 2 },
    seed_3 = { 3 },
    seed_4 = { 4 },
)]
fn task_that_crashes_its_workers_is_given_up_beside_a_flapping_worker(seed: u64) {
    let mut fleet = Fleet::new(8, seed);
    fleet.down_step_count = 14;
    let crashing = first_task("a000000000000000");
    fleet.crashing.insert(crashing.clone(), 0);
    let mut events = Vec::new();
    for step in 0..1_200 {
        if step % 5 == 0 && step < 800 {
            fleet.submit(stored_job(&format!("b{step:015x}"), vec![small(stage(6))]));
        }
        if step == 200 {
            fleet.submit(stored_job(&crashing.job, vec![small(stage(4))]));
        }
        if (100..800).contains(&step) && step % 28 == 0 {
            fleet.crash_worker(3);
        }
        fleet.step();
        events.extend(fleet.cell.take_events());
    }
    assert_eq!(given_up(&events), BTreeSet::from([crashing.clone()]));
    assert!(fleet.crashing[&crashing] <= 5, "{:?}", fleet.crashing);
}

/// Guards against a task that is started without end where it can be tried on few workers only.
#[parameterized(
    one_worker = { 1, 0 },
    two_workers = { 2, 0 },
    three_workers = { 3, 0 },
    one_worker_by_later_owners = { 1, 2 },
    two_workers_by_later_owners = { 2, 2 },
)]
fn task_that_crashes_its_workers_is_given_up_in_a_small_service(
    worker_count: usize,
    replaced_after_steps: usize,
) {
    for seed in 1..=4 {
        let mut fleet = Fleet::new(worker_count, seed);
        let crashing = first_task("0000000000000001");
        fleet.crashing.insert(crashing.clone(), 0);
        fleet.submit(stored_job(&crashing.job, vec![small(stage(4))]));
        fleet.submit(stored_job("0000000000000002", vec![small(long_running(2))]));
        let mut start_count = 0;
        for _ in 0..1_600 {
            fleet.step();
            let present_count = fleet.crashing[&crashing];
            if present_count > start_count && replaced_after_steps > 0 {
                fleet.run_steps(replaced_after_steps);
                fleet.replace_owner();
            }
            start_count = present_count;
        }
        assert!(start_count <= 5, "seed {seed}: started {start_count} times");
        assert_eq!(fleet.cell.state(&crashing.job), Some(JobState::Failed), "seed {seed}");
        assert_eq!(fleet.cell.state("0000000000000002"), Some(JobState::Active), "seed {seed}");
    }
}

/// Guards against a long-running task that is given up, or kept waiting beside room for it, because its
/// worker crashes soon after each start.
#[parameterized(
    down_for_1_s = { 20 },
    down_for_3_s = { 65 },
    down_for_longer_than_a_lease = { 160 },
)]
fn long_running_task_starts_again_after_each_crash(down_steps: u32) {
    for seed in 1..=4 {
        let mut fleet = Fleet::new(6, seed);
        fleet.is_every_start_answered = true;
        fleet.down_step_count = down_steps;
        let task = first_task("0000000000000001");
        fleet.submit(stored_job(&task.job, vec![small(long_running(1))]));
        fleet.submit(stored_job("0000000000000002", vec![small(long_running(8))]));
        let (mut run_count, mut started_step, mut ended_step) = (0, 0, 0);
        for step in 0..1_600_usize {
            fleet.step();
            let index = fleet.instances.iter().position(|it| it.running.contains_key(&task));
            let Some(index) = index else {
                // The platform allows 3 s beside room, from 6 s after the last run.
                let idle_ms = (step - ended_step) as u128 * STEP.as_millis();
                assert!(idle_ms <= 8_500, "seed {seed}: no run for {idle_ms} ms");
                continue;
            };
            if ended_step >= started_step {
                (run_count, started_step) = (run_count + 1, step);
            }
            if step >= started_step + 6 {
                fleet.crash_worker(index);
                ended_step = step;
            }
        }
        assert_eq!(fleet.cell.state(&task.job), Some(JobState::Active), "seed {seed}");
        // The delay grows.
        assert!((8..=26).contains(&run_count), "seed {seed}: {run_count} runs in 80 s");
    }
}

fn small(stage: Stage) -> Stage {
    let resources = Resources { cpu_milli: 500, ..CAPACITY.minus(&CAPACITY) };
    Stage { resources, ..stage }
}

/// Jobs with a task of which the workers reported as many failed runs as its queue allows.
fn exhausted_jobs(events: &[CellEvent]) -> BTreeSet<String> {
    let mut failures: BTreeMap<&TaskName, u32> = BTreeMap::new();
    for event in events {
        if let CellEvent::Ended { task, cause: EndCause::Failed, .. } = event {
            *failures.entry(task).or_default() += 1;
        }
    }
    let is_exhausted = |(_, count): &(&TaskName, u32)| *count >= queue().max_attempts;
    failures.into_iter().filter(is_exhausted).map(|(task, _)| task.job.clone()).collect()
}

/// Guards against tasks that are given up for crashes which another task may have caused.
#[test]
fn crashes_with_several_suspects_give_up_no_task_at_once() {
    let mut fleet = Fleet::new(1, 1);
    // The members of a gang can't be isolated.
    fleet.submit(stored_job("0000000000000001", vec![Stage { is_gang: true, ..stage(3) }]));
    let mut crash_count = 0;
    let mut start_count = 0;
    for _ in 0..1_000 {
        fleet.step();
        if crash_count < 3 && fleet.start_count >= start_count + 3 {
            start_count = fleet.start_count;
            crash_count += 1;
            fleet.crash_worker(0);
        }
    }
    assert_eq!(crash_count, 3);
    assert_eq!(given_up(&fleet.cell.take_events()), BTreeSet::new());
    assert_eq!(fleet.cell.state("0000000000000001"), Some(JobState::Completed));
}

/// Guards against jobs that count as begun although no start order reached a worker.
#[test]
fn pending_count_includes_jobs_whose_start_orders_were_lost() {
    let mut fleet = Fleet::new(1, 1);
    fleet.run_steps(4);
    fleet.submit(stored_job("0000000000000001", vec![stage(2)]));
    fleet.step();
    fleet.crash_worker(0);
    fleet.run_steps(4);
    let events = fleet.cell.take_events();
    assert!(events.iter().any(|event| matches!(event, CellEvent::Assigned { .. })));
    assert_eq!(fleet.cell.pending_count("queue"), 1);
    fleet.run_steps(200);
    assert_eq!(fleet.cell.state("0000000000000001"), Some(JobState::Completed));
    assert_eq!(fleet.cell.pending_count("queue"), 0);
}

/// Guards against suspicion of tasks on a lost machine by an owner that no agent of it has reached.
#[test]
fn restore_makes_no_task_of_a_lost_machine_a_suspect() {
    let mut fleet = Fleet::new(2, 1);
    fleet.submit(stored_job("0000000000000001", vec![long_running(4)]));
    fleet.run_steps(40);
    assert!(!fleet.instances[0].running.is_empty());
    fleet.instances[0].is_disconnected = true;
    // The owner's row says that the lease ends within a second.
    fleet.run_steps(95);
    assert_eq!(fleet.silent_workers.len(), 1);
    fleet.replace_owner();
    fleet.run_steps(40);
    let events = fleet.cell.take_events();
    assert!(events.iter().any(|event| matches!(event, CellEvent::Reclaimed { .. })));
    assert!(!events.iter().any(|event| matches!(event, CellEvent::Suspected { .. })));
}

/// Guards against a serving task that waits beside free capacity while suspects are being tried.
#[test]
fn quarantine_yields_to_a_waiting_serving_task() {
    let mut fleet = Fleet::new(1, 1);
    fleet.run_steps(4);
    fleet.submit(stored_job("0000000000000001", vec![Stage { task_count: 12, ..small_stage() }]));
    fleet.run_steps(3);
    fleet.crash_worker(0);
    fleet.run_steps(70);
    fleet.submit(stored_job(
        "0000000000000002",
        vec![Stage { is_long_running: true, ..small_stage() }],
    ));
    fleet.run_steps(50);
    let serving = first_task("0000000000000002");
    assert!(fleet.instances[0].running.contains_key(&serving), "no run within 2.5 s");
}

/// Stage of one task that leaves most of a worker free.
fn small_stage() -> Stage {
    Stage { resources: Resources { cpu_milli: 500, ..CAPACITY.minus(&CAPACITY) }, ..stage(1) }
}

/// Guards against suspicion of tasks on a machine that restarts as a whole.
#[test]
fn restart_of_a_machine_makes_no_task_a_suspect() {
    let mut fleet = Fleet::new(2, 1);
    fleet.submit(stored_job("0000000000000001", vec![stage(8)]));
    fleet.run_steps(6);
    fleet.restart_worker(0);
    fleet.restart_agent(0);
    fleet.run_steps(100);
    let events = fleet.cell.take_events();
    assert!(!events.iter().any(|event| matches!(event, CellEvent::Suspected { .. })));
    assert_eq!(fleet.cell.state("0000000000000001"), Some(JobState::Completed));
}

/// Guards against suspicion of tasks whose worker was cut off for longer than its lease, and has
/// responded since, when it crashes later.
#[test]
fn crash_after_a_reconnect_makes_no_earlier_task_a_suspect() {
    let mut fleet = Fleet::new(1, 1);
    fleet.down_step_count = 1;
    fleet.run_steps(4);
    fleet.submit(stored_job("0000000000000001", vec![long_running(2)]));
    for _ in 0..2 {
        fleet.run_steps(4);
        fleet.instances[0].is_disconnected = true;
        fleet.run_steps(200);
        fleet.instances[0].is_disconnected = false;
    }
    fleet.run_steps(200);
    assert_eq!(fleet.instances[0].running.len(), 2);
    fleet.crash_worker(0);
    fleet.run_steps(100);
    let events = fleet.cell.take_events();
    assert!(events.iter().any(|event| matches!(event, CellEvent::Reclaimed { .. })));
    let suspected = |event: &&CellEvent| matches!(event, CellEvent::Suspected { .. });
    assert_eq!(events.iter().find(suspected), None);
}

/// Guards against a crash that counts for nothing because the agent, cut off for longer than a lease,
/// reports the unresponsive worker before the restarted one.
#[test]
fn crash_of_a_worker_that_was_cut_off_makes_its_tasks_suspects() {
    let mut fleet = Fleet::new(1, 1);
    fleet.down_step_count = 250;
    fleet.run_steps(4);
    fleet.submit(stored_job("0000000000000001", vec![long_running(2)]));
    fleet.run_steps(4);
    fleet.instances[0].is_disconnected = true;
    fleet.crash_worker(0);
    fleet.run_steps(200);
    fleet.instances[0].is_disconnected = false;
    fleet.run_steps(100);
    let events = fleet.cell.take_events().into_iter();
    let suspected = events.filter(|event| matches!(event, CellEvent::Suspected { .. }));
    assert_eq!(suspected.count(), 2);
}
