//! Tests of pre-emption: urgent jobs on workers that are full of long runs of lower priority.

use std::{collections::BTreeMap, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use teaseltrack::cell::{
    CellEvent, StoredJob,
    job::{Queue, Stage},
    loss::{LossCurve, RemainingWork, WaitingJob},
    preemption::{Victim, cost_of_stop, gain_by_stops},
    progress::JobState,
    protocol::{EndCause, TaskName},
};
use yare::parameterized;

use crate::fleet::{Fleet, STEP, queue, stage, stored_job};

const LONG_JOB: &str = "00000000000000aa";
const URGENT_JOB: &str = "00000000000000bb";

/// Long job of a queue with the given priority.
fn long_job(id: &str, priority: u32, is_checkpointing: bool) -> StoredJob {
    let stage = Stage { estimate_ms: 60_000, is_checkpointing, ..stage(4) };
    let mut job = stored_job(id, vec![stage]);
    // The active configuration doesn't know the queue, so that of the submission holds.
    job.spec.queue = format!("long-{priority}");
    job.queue = Queue { priority, ..queue() };
    job
}

/// One worker that is full of the runs of a long job.
fn full_fleet(priority: u32, is_checkpointing: bool) -> Fleet {
    let mut fleet = Fleet::new(1, 1);
    fleet.max_run_ms = 120_000;
    fleet.max_stop_ms = 300;
    fleet.submit(long_job(LONG_JOB, priority, is_checkpointing));
    fleet.run_steps(20);
    assert_eq!(fleet.instances[0].running.len(), 4);
    fleet.max_run_ms = 500;
    fleet
}

fn runs_of(fleet: &Fleet, job: &str) -> usize {
    fleet.instances.iter().flat_map(|it| it.running.keys()).filter(|it| it.job == job).count()
}

#[parameterized(
    lower_priority = { 2, true, true },
    equal_priority = { 0, true, false },
    work_that_would_be_lost = { 2, false, false },
)]
fn preempt_stops_long_runs_for_an_urgent_job(
    priority: u32,
    is_checkpointing: bool,
    is_preempted: bool,
) {
    let mut fleet = full_fleet(priority, is_checkpointing);
    fleet.submit(stored_job(URGENT_JOB, vec![stage(2)]));
    fleet.run_steps(60);
    let is_completed = fleet.cell.state(URGENT_JOB) == Some(JobState::Completed);
    assert_eq!(is_completed, is_preempted);
    // The other runs of the long job go on.
    assert!(runs_of(&fleet, LONG_JOB) >= 2);
}

/// Guards against runs that are stopped for more tasks than their worker may run at a time.
#[test]
fn preempt_stops_no_runs_for_tasks_that_must_run_apart() {
    let mut fleet = full_fleet(2, true);
    let apart = Stage { max_per_worker: Some(1), ..stage(2) };
    fleet.submit(stored_job(URGENT_JOB, vec![apart]));
    fleet.run_steps(60);
    assert_eq!(runs_of(&fleet, LONG_JOB), 4);
}

/// Guards against work that is stopped again and again by a stream of urgent jobs.
#[test]
fn preempt_leaves_a_task_in_peace_after_a_stop() {
    let mut fleet = full_fleet(2, true);
    let mut stops: BTreeMap<TaskName, u32> = BTreeMap::new();
    // Urgent runs end below, those of the long job go on.
    fleet.max_run_ms = 120_000;
    for round in 0..300 {
        if round % 30 == 0 {
            fleet.submit(stored_job(&format!("1{round:015x}"), vec![stage(2)]));
        }
        fleet.step();
        let is_urgent = |task: &&TaskName| task.job != LONG_JOB;
        let urgent: Vec<TaskName> =
            fleet.instances[0].running.keys().filter(is_urgent).cloned().collect();
        for task in urgent {
            fleet.instances[0].end(&task, EndCause::Done);
            fleet.done.insert(task);
        }
        for event in fleet.cell.take_events() {
            if let CellEvent::Preempted { task, .. } = event {
                *stops.entry(task).or_default() += 1;
            }
        }
    }
    assert!(!stops.is_empty());
    assert!(stops.values().all(|count| *count == 1), "{stops:?}");
}

/// Guards against room that small tasks of the same priority take while it is being made: the urgent
/// task, which needs the room of two runs, would never start.
#[test]
fn preempt_holds_the_room_until_both_runs_have_ended() {
    let mut fleet = full_fleet(2, true);
    let mut urgent = stage(1);
    urgent.resources.cpu_milli = 4_000;
    fleet.submit(stored_job(URGENT_JOB, vec![urgent]));
    fleet.run_steps(2);
    for round in 0..20 {
        if round % 2 == 0 {
            fleet.submit(stored_job(&format!("2{round:015x}"), vec![stage(1)]));
        }
        fleet.step();
    }
    let is_begun = runs_of(&fleet, URGENT_JOB) == 1
        || fleet.cell.state(URGENT_JOB) == Some(JobState::Completed);
    assert!(is_begun, "{:?}", fleet.instances[0].running);
}

/// The simulated workers assert that no start exceeds their capacity and that no task runs twice, while
/// owners end between a stop and its end.
#[parameterized(seed_1 = { 1 }, seed_2 = { 2 }, seed_3 = { 3 }, seed_4 = { 4 })]
fn preempt_upholds_invariants_across_owners(seed: u64) {
    let mut fleet = Fleet::new(3, seed);
    let mut faults = ChaCha8Rng::seed_from_u64(seed);
    fleet.max_stop_ms = 1_000;
    let mut stop_count = 0;
    for round in 0_u64..1_400 {
        if round < 800 && round % 40 == 0 {
            fleet.max_run_ms = 20_000;
            fleet.submit(long_job(&format!("a{round:015x}"), 2, true));
        }
        if round < 800 && round % 25 == 20 {
            fleet.submit(stored_job(&format!("b{round:015x}"), vec![stage(2)]));
        }
        fleet.step();
        let events = fleet.cell.take_events();
        stop_count += events.iter().filter(|it| matches!(it, CellEvent::Preempted { .. })).count();
        if round < 800 && faults.random_range(0..100) == 0 {
            fleet.replace_owner();
        }
        if round == 900 {
            fleet.max_run_ms = 1_000;
        }
    }
    assert!(stop_count > 0);
}

fn job(
    priority: u32,
    path_ms: u64,
    core_s: f64,
    on_time_ms: u64,
) -> (WaitingJob, std::time::Instant) {
    let now = std::time::Instant::now();
    let on_time = Duration::from_millis(on_time_ms);
    let curve =
        LossCurve { value: 1.0, on_time_until: now + on_time, worthless_after: now + on_time * 3 };
    let critical_path = Duration::from_millis(path_ms);
    (WaitingJob { priority, curve, remaining: RemainingWork { critical_path, core_s } }, now)
}

#[parameterized(
    room_in_time_anyway = { 300, false },
    room_too_late = { 3_000, true },
)]
fn gain_by_stops_of_an_urgent_job(wait_ms: u64, is_gain: bool) {
    let (job, now) = job(0, 500, 1.0, 1_200);
    let gain = gain_by_stops(&job, STEP * 2, Duration::from_millis(wait_ms), now);
    assert_eq!(gain > 0.5, is_gain);
}

#[parameterized(
    with_slack = { 60_000, 0, false },
    late_by_the_stop = { 11_000, 0, true },
    work_thrown_away = { 60_000, 5_000, true },
)]
fn cost_of_stop_counts_delay_and_lost_work(on_time_ms: u64, lost_ms: u64, is_costly: bool) {
    let (newcomer, now) = job(0, 500, 1.0, 1_200);
    let (job, _) = job(2, 10_000, 20.0, on_time_ms);
    let lost_time = Duration::from_millis(lost_ms);
    let victim = Victim { job, remaining: Duration::from_secs(10), lost_time, cores: 2.0 };
    let cost = cost_of_stop(&victim, &newcomer, Duration::from_secs(2), now);
    assert_eq!(cost > 0.5, is_costly);
}
