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

use crate::fleet::{CAPACITY, Fleet, long_running, queue, stage, stored_job};

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
