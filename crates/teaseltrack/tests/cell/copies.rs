//! Copies of slow runs: quick jobs on workers that are slow, stand still, fall silent or fail.

use std::{collections::BTreeSet, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use teaseltrack::cell::{
    CellEvent,
    copies::{ObservedProgress, expected_copy_time},
    evacuation::Evacuations,
    job::Stage,
    progress::{JobState, TaskPhase, TaskProgress},
    protocol::{EndCause, RefusedStart, Report, TaskName},
};
use teaseltrack::placement::Resources;
use yare::parameterized;

use crate::fleet::{CAPACITY, Fleet, long_running, speculative, stage, stored_job};

const JOB: &str = "0000000000000001";

fn name(index: u32) -> TaskName {
    TaskName { job: JOB.to_owned(), occurrence: 0, stage: 0, index }
}

/// Workers on which the task runs.
fn workers_of(fleet: &Fleet, task: &TaskName) -> Vec<usize> {
    let instances = fleet.instances.iter().enumerate();
    instances
        .filter(|(_, instance)| instance.running.contains_key(task))
        .map(|(index, _)| index)
        .collect()
}

/// Lets a run go on for `run_ms` from its start.
fn set_run_time(fleet: &mut Fleet, worker: usize, task: &TaskName, run_ms: u64) {
    let instance = &mut fleet.instances[worker];
    let started_ms = instance.started_ms[task];
    if let Some((_, end_ms)) = instance.running.get_mut(task) {
        *end_ms = started_ms + run_ms;
    }
}

/// Three workers and a speculative task that takes 20 s on one of them.
fn fleet_with_slow_run(task_count: u32) -> (Fleet, usize) {
    submit_slow_run(Fleet::new(3, 1), task_count)
}

fn submit_slow_run(mut fleet: Fleet, task_count: u32) -> (Fleet, usize) {
    fleet.run_steps(4);
    fleet.submit(stored_job(JOB, vec![speculative(task_count)]));
    fleet.run_steps(3);
    let worker = workers_of(&fleet, &name(0))[0];
    set_run_time(&mut fleet, worker, &name(0), 20_000);
    (fleet, worker)
}

/// Steps until the task has a second run, on the worker that is returned; both take 20 s.
fn await_copy(fleet: &mut Fleet, original: usize) -> usize {
    for _ in 0..60 {
        fleet.step();
        let workers = workers_of(fleet, &name(0));
        if let Some(&copy) = workers.iter().find(|worker| **worker != original) {
            set_run_time(fleet, copy, &name(0), 20_000);
            return copy;
        }
    }
    panic!("no copy within 3 s");
}

/// Steps, without commits, until a copy is assigned; returns the index of its worker.
fn await_assigned_copy(fleet: &mut Fleet) -> usize {
    for _ in 0..60 {
        fleet.now += Duration::from_millis(50);
        (0..3).for_each(|index| fleet.run_worker(index));
        (0..3).for_each(|index| fleet.exchange_report(index));
        fleet.cell.tick(fleet.now);
        fleet.cell.plan(0, fleet.now);
        let events = fleet.cell.take_events();
        let copy = events.iter().find_map(|event| match event {
            CellEvent::CopyStarted { worker, .. } => Some(worker.clone()),
            _ => None,
        });
        if let Some(copy) = copy {
            let is_worker = |index: &usize| copy.starts_with(&fleet.instances[*index].name);
            return (0..3).find(is_worker).expect("worker of the copy");
        }
    }
    panic!("no copy within 3 s");
}

/// Fleet with two runs of a task, and their workers.
fn fleet_with_copy() -> (Fleet, usize, usize) {
    let (mut fleet, original) = fleet_with_slow_run(1);
    let copy = await_copy(&mut fleet, original);
    (fleet, original, copy)
}

/// Committed progress of the first task.
fn progress(fleet: &Fleet) -> TaskProgress {
    fleet.progress[JOB].occurrences[0][0][0].clone()
}

fn count(events: &[CellEvent], name: &str) -> usize {
    events.iter().filter(|event| event.name() == name).count()
}

#[parameterized(
    fast = { 400, 10, 60, 314 },
    slow = { 400, 10, 15, 5_666 },
    standing = { 400, 10, 10, 36_000 },
    standing_at_the_end = { 400, 99, 99, 400 },
    done = { 400, 10, 100, 0 },
)]
fn remaining_time_follows_the_observed_speed(
    elapsed_ms: u64,
    first_percent: u32,
    last_percent: u32,
    expected_ms: u64,
) {
    let elapsed = Duration::from_millis(elapsed_ms);
    let progress = ObservedProgress { elapsed, first_percent, last_percent };
    let remaining_ms = progress.remaining_time().as_millis() as u64;
    assert!(remaining_ms.abs_diff(expected_ms) <= 6, "{remaining_ms} ms");
}

/// Guards against copies of a stage whose tasks all take longer than estimated.
#[test]
fn expected_copy_time_of_a_stage_with_long_tasks() {
    let times = [4_000, 3_900, 4_200, 700].map(Duration::from_millis).to_vec();
    let delay = Duration::from_millis(200);
    let copy_time = expected_copy_time(Duration::from_millis(500), times, delay);
    assert_eq!(copy_time, Duration::from_millis(4_200));
}

/// Load: a quick job whose last task is on a worker that turned slow.
#[test]
fn slow_run_is_copied_and_the_first_end_counts() {
    let (mut fleet, original, copy) = fleet_with_copy();
    fleet.cell.take_events();
    set_run_time(&mut fleet, copy, &name(0), 600);
    fleet.max_stop_ms = 500;
    fleet.run_steps(40);
    let events = fleet.cell.take_events();
    assert_eq!(fleet.cell.state(JOB), Some(JobState::Completed));
    assert_eq!(count(&events, "copy_won"), 1);
    assert!(fleet.instances[original].running.is_empty(), "the other run is stopped");
    assert_eq!(fleet.cell.open_count(), 0);
    assert_eq!(fleet.start_count, 2);
}

/// Load: the run turns fast again and is done before its copy.
#[test]
fn copy_that_is_overtaken_is_stopped() {
    let (mut fleet, original, copy) = fleet_with_copy();
    fleet.cell.take_events();
    set_run_time(&mut fleet, original, &name(0), 0);
    fleet.run_steps(10);
    assert_eq!(count(&fleet.cell.take_events(), "copy_lost"), 1);
    assert!(fleet.instances[copy].running.is_empty());
    assert_eq!(fleet.cell.state(JOB), Some(JobState::Completed));
    assert_eq!(fleet.cell.open_count(), 0);
}

/// Guards against copies in stages whose callers don't allow them.
#[parameterized(
    not_speculative = { stage(1) },
    gang = { Stage { is_gang: true, ..speculative(1) } },
    best_effort = { Stage { is_best_effort: true, ..speculative(1) } },
    long_running = { Stage { is_long_running: true, ..speculative(1) } },
)]
fn run_of_a_stage_without_copies_is_not_copied(stage: Stage) {
    let mut fleet = Fleet::new(3, 1);
    fleet.instances.iter_mut().for_each(|instance| instance.slowdown = 100);
    fleet.submit(stored_job(JOB, vec![stage]));
    fleet.run_steps(100);
    assert_eq!(count(&fleet.cell.take_events(), "copy_started"), 0);
}

/// Load: a run at half its expected speed that is nearly done.
#[test]
fn run_with_little_left_is_not_copied() {
    let (mut fleet, original) = fleet_with_slow_run(1);
    set_run_time(&mut fleet, original, &name(0), 1_000);
    fleet.run_steps(40);
    assert_eq!(count(&fleet.cell.take_events(), "copy_started"), 0);
}

/// Guards against copies of runs whose agent repeats a listing, with later readings of the worker's clock.
#[test]
fn run_with_repeated_listings_is_not_copied() {
    let (mut fleet, original) = fleet_with_slow_run(1);
    fleet.step();
    let mut report = fleet.instances[original].report();
    for _ in 0..4 {
        report.worker_clock_ms += 100;
        fleet.now += Duration::from_millis(100);
        fleet.cell.handle_report(report.clone(), true, fleet.now);
        (0..3).filter(|index| *index != original).for_each(|index| fleet.exchange_report(index));
        fleet.cell.plan(0, fleet.now);
    }
    assert_eq!(count(&fleet.cell.take_events(), "copy_started"), 0);
}

/// Load: all other workers are full, or have just the room that tasks which arrive next need, or a larger
/// task waits for room.
#[parameterized(
    no_room = { 4, 0, 0 },
    no_room_to_spare = { 3, 0, 0 },
    task_waits = { 1, 7_800, 1 },
)]
fn slow_run_without_room_is_not_copied(
    tasks_per_worker: u32,
    large_cpu_milli: u64,
    large_count: u32,
) {
    let (mut fleet, original) = fleet_with_slow_run(1);
    let small =
        Stage { max_per_worker: Some(tasks_per_worker), ..long_running(3 * tasks_per_worker) };
    fleet.submit(stored_job("0000000000000002", vec![small]));
    fleet.run_steps(2);
    let large = Resources { cpu_milli: large_cpu_milli, ..stage(1).resources };
    if large_count > 0 {
        fleet.submit(stored_job("0000000000000003", vec![Stage { resources: large, ..stage(1) }]));
    }
    fleet.run_steps(60);
    assert_eq!(count(&fleet.cell.take_events(), "copy_started"), 0);
    assert_eq!(workers_of(&fleet, &name(0)), [original]);
}

/// Load: many slow runs at once; copies leave nearly all CPU to tasks.
#[test]
fn copies_take_a_bounded_share_of_the_cpu() {
    let mut fleet = Fleet::new(12, 1);
    fleet.run_steps(4);
    fleet.instances[..2].iter_mut().for_each(|instance| instance.slowdown = 60);
    fleet.submit(stored_job(JOB, vec![speculative(24)]));
    let mut most = 0;
    for _ in 0..60 {
        fleet.step();
        let copied = (0..24).filter(|index| workers_of(&fleet, &name(*index)).len() > 1).count();
        most = most.max(copied);
    }
    // 5% of twelve workers with eight cores each, for tasks of two cores.
    assert_eq!(most, 2);
}

/// Load: a worker falls silent under a quick job; the copy needn't wait for its lease.
#[test]
fn run_on_a_silent_worker_is_copied_before_its_lease_expires() {
    let (mut fleet, original) = fleet_with_slow_run(1);
    set_run_time(&mut fleet, original, &name(0), 700);
    fleet.run_steps(9);
    set_run_time(&mut fleet, original, &name(0), 20_000);
    fleet.instances[original].is_disconnected = true;
    fleet.run_steps(32);
    assert_eq!(workers_of(&fleet, &name(0)).len(), 2);
}

/// Guards against a task that crashes a second worker while the first one is merely silent.
#[test]
fn task_that_crashes_its_workers_is_not_copied() {
    let mut fleet = Fleet::new(6, 1);
    fleet.submit(stored_job(JOB, vec![speculative(8)]));
    fleet.crashing.insert(name(0), 0);
    fleet.run_steps(40);
    assert_eq!(fleet.crashing[&name(0)], 1, "its worker is silent and not known to have crashed");
    fleet.run_steps(1_600);
    assert!(fleet.crashing[&name(0)] <= 5, "{:?}", fleet.crashing);
    assert_eq!(fleet.cell.state(JOB), Some(JobState::Failed));
}

/// Load: a job that can never run waits all the time.
#[test]
fn slow_run_is_copied_beside_a_task_that_no_worker_can_run() {
    let (mut fleet, original) = fleet_with_slow_run(1);
    let impossible = Resources { cpu_milli: 9_000, ..CAPACITY };
    let stage = Stage { resources: impossible, ..stage(1) };
    fleet.submit(stored_job("0000000000000002", vec![stage]));
    await_copy(&mut fleet, original);
}

/// Guards against copies of all runs by an owner that was itself out of contact.
#[test]
fn runs_are_not_copied_while_most_workers_seem_silent() {
    let mut fleet = Fleet::new(5, 1);
    fleet.run_steps(4);
    fleet.submit(stored_job(JOB, vec![speculative(5)]));
    fleet.max_run_ms = 60_000;
    fleet.run_steps(3);
    fleet.now += Duration::from_millis(2_000);
    fleet.cell.tick(fleet.now);
    for index in 0..2 {
        fleet.run_worker(index);
        fleet.exchange_report(index);
    }
    fleet.cell.plan(0, fleet.now);
    assert_eq!(count(&fleet.cell.take_events(), "copy_started"), 0);
}

/// Guards against a late end, of any kind, of a run whose task is done.
#[parameterized(
    done = { EndCause::Done },
    failed = { EndCause::Failed },
    lapsed = { EndCause::Lapsed },
)]
fn late_end_of_the_other_run_changes_nothing(cause: EndCause) {
    let (mut fleet, original) = fleet_with_slow_run(2);
    let copy = await_copy(&mut fleet, original);
    fleet.max_stop_ms = 60_000;
    set_run_time(&mut fleet, copy, &name(0), 0);
    // Keeps the job open.
    let other = workers_of(&fleet, &name(1));
    other.iter().for_each(|worker| set_run_time(&mut fleet, *worker, &name(1), 15_000));
    fleet.run_steps(4);
    for _ in 0..3 {
        fleet.instances[original].end(&name(0), cause);
    }
    fleet.run_steps(4);
    assert_eq!(fleet.cell.state(JOB), Some(JobState::Active));
    assert_eq!(progress(&fleet).failure_count, 0);
    let start_count = fleet.start_count;
    fleet.run_steps(400);
    assert_eq!(fleet.cell.state(JOB), Some(JobState::Completed));
    assert!(fleet.start_count <= start_count + 1, "only the other task may be copied");
    assert_eq!(fleet.cell.open_count(), 0);
}

/// Guards against a task that waits, or a failure that isn't counted, while one of two runs goes on.
#[parameterized(
    copy_first = { true },
    original_first = { false },
)]
fn failure_of_both_runs_counts_two(is_copy_first: bool) {
    let (mut fleet, original, copy) = fleet_with_copy();
    let (first, second) = if is_copy_first { (copy, original) } else { (original, copy) };
    fleet.instances[first].end(&name(0), EndCause::Failed);
    fleet.exchange_report(first);
    assert_eq!(workers_of(&fleet, &name(0)), [second]);
    fleet.commit();
    assert_eq!(progress(&fleet).failure_count, 1);
    fleet.instances[second].end(&name(0), EndCause::Failed);
    fleet.exchange_report(second);
    fleet.commit();
    assert_eq!(progress(&fleet).failure_count, 2);
    fleet.run_steps(400);
    assert_eq!(fleet.cell.state(JOB), Some(JobState::Completed));
}

/// Guards against a job that fails because its copy fails, although its other run may be done.
#[test]
fn task_with_one_attempt_left_is_not_copied() {
    let (mut fleet, mut original) = fleet_with_slow_run(1);
    for _ in 0..2 {
        fleet.instances[original].end(&name(0), EndCause::Failed);
        fleet.run_steps(20);
        original = workers_of(&fleet, &name(0))[0];
        set_run_time(&mut fleet, original, &name(0), 20_000);
    }
    fleet.cell.take_events();
    fleet.run_steps(40);
    assert_eq!(count(&fleet.cell.take_events(), "copy_started"), 0);
}

/// Guards against a checkpoint of the run that is behind.
#[parameterized(
    copy_behind = { 10, "original" },
    copy_ahead = { 60, "copy" },
)]
fn checkpoint_of_the_run_that_is_ahead_counts(copy_percent: u32, expected: &str) {
    let (mut fleet, original, copy) = fleet_with_copy();
    let lists =
        [(original, 30, "original"), (copy, copy_percent, "copy"), (original, 31, "original")];
    for (worker, percent, checkpoint) in lists {
        let mut report = fleet.instances[worker].report();
        let listing = report.listing.as_mut().expect("worker has listed its runs");
        for run in listing.running.iter_mut().flatten() {
            (run.percent, run.checkpoint) = (percent, checkpoint.to_owned());
        }
        fleet.cell.handle_report(report, true, fleet.now);
    }
    let behind = if expected == "copy" { original } else { copy };
    fleet.instances[behind].end(&name(0), EndCause::Failed);
    fleet.exchange_report(behind);
    fleet.commit();
    assert_eq!(progress(&fleet).checkpoint, expected);
}

#[test]
fn cancel_stops_both_runs() {
    let (mut fleet, ..) = fleet_with_copy();
    fleet.cancel(JOB);
    fleet.run_steps(6);
    assert_eq!(workers_of(&fleet, &name(0)), [0_usize; 0]);
    assert_eq!(fleet.cell.open_count(), 0);
}

/// Guards against a copy that a new owner doesn't know of: its room, and its end.
#[parameterized(
    copy_done = { true },
    original_done = { false },
)]
fn restore_knows_both_runs(is_copy_done: bool) {
    let (mut fleet, original, copy) = fleet_with_copy();
    fleet.replace_owner();
    fleet.run_steps(6);
    assert_eq!(fleet.start_count, 2);
    assert_eq!(workers_of(&fleet, &name(0)).len(), 2, "both runs go on");
    let (done, other) = if is_copy_done { (copy, original) } else { (original, copy) };
    set_run_time(&mut fleet, done, &name(0), 0);
    fleet.run_steps(10);
    assert!(fleet.instances[other].running.is_empty());
    assert_eq!(fleet.cell.state(JOB), Some(JobState::Completed));
}

/// Guards against a start order without a commit, and against a task that is lost with its copy.
#[test]
fn restore_drops_a_copy_that_was_committed_but_not_sent() {
    let (mut fleet, original) = fleet_with_slow_run(1);
    await_assigned_copy(&mut fleet);
    fleet.commit();
    assert_eq!(progress(&fleet).other_runs.len(), 1);
    fleet.replace_owner();
    (0..3).for_each(|_| (0..3).for_each(|index| fleet.exchange_report(index)));
    fleet.commit();
    assert!(progress(&fleet).other_runs.is_empty());
    assert_eq!(workers_of(&fleet, &name(0)), [original]);
    await_copy(&mut fleet, original);
    assert_eq!(fleet.start_count, 2);
}

/// Guards against a refused copy in place of which the running original is given up.
#[test]
fn refused_copy_leaves_the_original() {
    let (mut fleet, original) = fleet_with_slow_run(1);
    let copy = await_assigned_copy(&mut fleet);
    fleet.commit();
    let attempt = progress(&fleet).other_runs[0].attempt;
    let refused = RefusedStart { task: name(0), attempt, reason: "no lease".to_owned() };
    let report = Report { refused: vec![refused], ..fleet.instances[copy].report() };
    fleet.cell.handle_report(report, true, fleet.now);
    fleet.commit();
    let incarnation = format!("{}@1", fleet.instances[original].name);
    assert_eq!(progress(&fleet).phase, TaskPhase::Assigned(incarnation));
    assert!(progress(&fleet).other_runs.is_empty());
}

/// Guards against a second start of a task that was done under the previous owner.
#[test]
fn restore_takes_the_uncommitted_end_of_one_run() {
    let (mut fleet, original, copy) = fleet_with_copy();
    fleet.instances[original].end(&name(0), EndCause::Done);
    fleet.done.insert(name(0));
    fleet.exchange_report(original);
    fleet.replace_owner();
    fleet.run_steps(10);
    assert!(fleet.instances[copy].running.is_empty());
    assert_eq!(fleet.start_count, 2);
    assert_eq!(fleet.cell.state(JOB), Some(JobState::Completed));
}

/// Guards against tasks that start in the room of a run that is being stopped, since a new owner doesn't
/// know of it.
#[test]
fn restore_reserves_the_room_of_the_run_that_is_being_stopped() {
    let (mut fleet, original) = fleet_with_slow_run(2);
    let copy = await_copy(&mut fleet, original);
    fleet.max_stop_ms = 60_000;
    set_run_time(&mut fleet, copy, &name(0), 0);
    for worker in workers_of(&fleet, &name(1)) {
        set_run_time(&mut fleet, worker, &name(1), 15_000);
    }
    fleet.run_steps(4);
    fleet.replace_owner();
    fleet.max_run_ms = 101;
    // Fills all workers; each simulated start asserts that the worker has room.
    fleet.submit(stored_job("0000000000000002", vec![stage(40)]));
    fleet.run_steps(600);
    assert_eq!(fleet.cell.state(JOB), Some(JobState::Completed));
    assert_eq!(fleet.cell.open_count(), 0);
}

/// Load: the worker of a run, or of its copy, is lost for good.
/// Guards against a request to evacuate the zone of an unsent copy that ends the other run instead.
#[test]
fn evacuation_withdraws_an_unsent_copy_and_leaves_the_original() {
    let (mut fleet, original) = submit_slow_run(Fleet::new(3, 1).with_zones(&["a", "b", "c"]), 1);
    let copy = await_assigned_copy(&mut fleet);
    let zones = BTreeSet::from([fleet.instances[copy].zone.clone()]);
    let evacuations = Evacuations { version: 1, zones, current_at: fleet.now };
    fleet.cell.apply_evacuations(evacuations, fleet.now);
    let reclaimed: Vec<CellEvent> = fleet.cell.take_events();
    let is_of_copy = |event: &CellEvent| match event {
        CellEvent::Reclaimed { worker, .. } => {
            Some(worker.starts_with(&fleet.instances[copy].name))
        }
        _ => None,
    };
    assert_eq!(reclaimed.iter().filter_map(is_of_copy).collect::<Vec<bool>>(), [true]);
    assert!(fleet.instances[original].running.contains_key(&name(0)));
}

#[parameterized(
    original = { true },
    copy = { false },
)]
fn loss_of_a_worker_leaves_the_other_run(is_original_lost: bool) {
    let (mut fleet, original, copy) = fleet_with_copy();
    let (lost, left) = if is_original_lost { (original, copy) } else { (copy, original) };
    fleet.restart_worker(lost);
    fleet.run_steps(4);
    assert!(workers_of(&fleet, &name(0)).contains(&left));
    set_run_time(&mut fleet, left, &name(0), 0);
    fleet.run_steps(10);
    assert_eq!(fleet.cell.state(JOB), Some(JobState::Completed));
    assert_eq!(fleet.cell.open_count(), 0);
}

/// Load: half of the jobs allow copies, and workers turn slow, fail, fall silent, restart and change
/// their capacity under them, and owners are replaced.
#[parameterized(
    seed_1 = { 1 },
    seed_2 = { 2 },
    seed_3 = { 3 },
    seed_4 = { 4 },
    seed_5 = { 5 },
    seed_6 = { 6 },
)]
fn copies_uphold_invariants_under_random_faults(seed: u64) {
    // More seeds by hand: the number of them for each case.
    let seed_count = std::env::var("COPIES_SEEDS").ok().and_then(|value| value.parse().ok());
    let seeds = seed_count.map_or(seed..seed + 1, |count: u64| seed * count..(seed + 1) * count);
    seeds.for_each(run_random_faults);
}

fn run_random_faults(seed: u64) {
    println!("seed {seed}");
    let mut fleet = Fleet::new(6, seed);
    let mut faults = ChaCha8Rng::seed_from_u64(seed + 3_000);
    let mut changes = ChaCha8Rng::seed_from_u64(seed + 4_000);
    let mut cancelled = BTreeSet::new();
    fleet.max_stop_ms = 600;
    for round in 0_u64..1_600 {
        if round % 25 == 0 && round < 1_000 {
            let first = if faults.random_bool(0.6) { speculative } else { stage };
            let second = Stage { after: vec![0], ..speculative(faults.random_range(1..5)) };
            let stages = vec![first(faults.random_range(1..5)), second];
            fleet.submit(stored_job(&format!("{round:016x}"), stages));
        }
        fleet.step();
        if round > 1_000 {
            for instance in &mut fleet.instances {
                (instance.is_disconnected, instance.slowdown) = (false, 0);
                instance.settle_capacity(CAPACITY);
            }
            fleet.commit_time = Duration::ZERO;
            continue;
        }
        fleet.change_conditions(&mut changes);
        let index = faults.random_range(0..6);
        match faults.random_range(0..120) {
            0 => fleet.replace_owner(),
            1 => fleet.restart_worker(index),
            2 => fleet.restart_agent(index),
            3 | 4 => fleet.instances[index].is_disconnected = true,
            5..=9 => fleet.instances[index].is_disconnected = false,
            10..=12 => fleet.instances[index].slowdown = faults.random_range(1..12),
            13 | 14 => {
                let failing = fleet.instances[index].running.keys().next().cloned();
                failing.iter().for_each(|task| fleet.instances[index].end(task, EndCause::Failed));
            }
            15 => {
                let job = format!("{:016x}", (faults.random_range(0..=round) / 25) * 25);
                fleet.cancel(&job);
                cancelled.insert(job);
            }
            _ => {}
        }
    }
    let events = fleet.cell.take_events();
    println!("copies of the last owner: {}", count(&events, "copy_started"));
    assert_eq!(fleet.cell.open_count(), 0, "seed {seed}");
    for id in fleet.jobs.keys() {
        let state = fleet.cell.state(id);
        assert!(state.is_some_and(JobState::is_final), "seed {seed}: {id}: {state:?}");
        let is_cancelled = state == Some(JobState::Cancelled);
        assert!(!is_cancelled || cancelled.contains(id), "{id} was cancelled without a request");
    }
}
