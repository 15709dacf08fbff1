//! Tests of a cell's owner under failing, unresponsive, disconnected and restarted workers.

mod calm_room;
mod capacities;
mod copies;
mod evacuations;
mod fleet;
mod gang_faults;
mod gangs;
mod identities;
mod idle_tasks;
mod lost_ends;
mod owner_changes;
mod owner_series;
mod placement;
mod preemption;
mod quarantine;
mod reliability;
mod restrictions;
mod serving_waits;
mod succession;
#[path = "../util.rs"]
mod util;

use std::{collections::BTreeSet, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use teaseltrack::{
    cell::{
        CellEvent,
        job::{Schedule, Stage},
        progress::JobState,
        protocol::{EndCause, Order, Report, ReportResponse, StartOrder, TaskName},
    },
    placement::Resources,
};
use yare::parameterized;

use crate::fleet::{CAPACITY, Fleet, stage, stored_job};

#[test]
fn plan_runs_stages_in_order() {
    let mut fleet = Fleet::new(2, 1);
    let second = Stage { after: vec![0], ..stage(3) };
    fleet.submit(stored_job("0000000000000001", vec![stage(4), second]));
    fleet.run_steps(200);
    assert_eq!(fleet.cell.state("0000000000000001"), Some(JobState::Completed));
}

/// Guards against a task that could start once some time has passed, in a cell without other events.
#[test]
fn tick_requests_a_plan_once_a_waiting_task_may_use_the_reserve() {
    let mut fleet = Fleet::new(1, 1);
    fleet.run_steps(4);
    // Leaves less than the reserve for batch tasks.
    let resources = Resources { cpu_milli: 7_800, ..CAPACITY };
    fleet.submit(stored_job(
        "0000000000000001",
        vec![Stage { is_long_running: true, resources, ..stage(1) }],
    ));
    fleet.run_steps(60);
    assert!(fleet.start_count > 0);
}

/// Guards against an occurrence that doesn't begin at its time, in a cell without other events.
#[test]
fn tick_requests_a_plan_for_a_due_occurrence() {
    let mut fleet = Fleet::new(1, 1);
    let mut job = stored_job("0000000000000001", vec![stage(1)]);
    job.spec.schedule =
        Some(Schedule { first_unix_ms: 1_000, interval_ms: 1_000, occurrence_count: 2 });
    fleet.submit(job);
    let mut never = stored_job("0000000000000002", vec![stage(1)]);
    never.spec.schedule = Some(Schedule {
        first_unix_ms: u64::MAX,
        interval_ms: u64::MAX,
        occurrence_count: u32::MAX,
    });
    fleet.submit(never);
    fleet.run_steps(100);
    assert_eq!(fleet.cell.state("0000000000000001"), Some(JobState::Completed));
}

/// Guards against a recurring job whose progress outgrows a row of the store, and against one of which an
/// occurrence begins twice or never after a change of owner.
#[test]
fn commit_of_a_recurring_job_fits_into_a_row() {
    const JOB: &str = "0000000000000001";
    let mut fleet = Fleet::new(3, 1);
    let resources = Resources { cpu_milli: 100, memory_mib: 100, accelerators: 0 };
    let mut job = stored_job(JOB, vec![Stage { resources, ..stage(20) }]);
    job.queue.max_attempts = 100;
    job.spec.schedule =
        Some(Schedule { first_unix_ms: 1_000, interval_ms: 250, occurrence_count: 400 });
    fleet.submit(job);
    let mut largest = 0;
    for step in 0..2_600 {
        fleet.step();
        if step % 500 == 499 {
            fleet.replace_owner();
        }
        let row = fleet.progress.get(JOB).map(|progress| progress.to_row(49_152).unwrap());
        largest = largest.max(row.map_or(0, |row| row.text.len()));
    }
    assert!(largest <= 49_152, "{largest} bytes");
    assert_eq!(fleet.cell.state(JOB), Some(JobState::Completed));
}

/// Guards against a commit of more than the store accepts in one call.
#[test]
fn next_commit_limits_the_size_of_a_batch() {
    let mut fleet = Fleet::new(1, 1);
    fleet.run_steps(4);
    let resources = Resources { cpu_milli: 1, memory_mib: 1, accelerators: 0 };
    let first = Stage { resources, ..stage(1) };
    for number in 0..60 {
        let rest = Stage { after: vec![0], ..stage(999) };
        fleet.submit(stored_job(&format!("{number:016x}"), vec![first.clone(), rest]));
    }
    fleet.cell.plan(0, fleet.now);
    let mut stored_count = 0;
    while let Some(batch) = fleet.cell.next_commit(90) {
        let rows = batch.rows.iter().map(|(_, progress)| progress.to_row(49_152).unwrap());
        let bytes: usize = rows.map(|row| row.text.len() * 4 / 3 + 300).sum();
        assert!(bytes < 1_000_000, "{bytes} bytes");
        stored_count += batch.rows.len();
        fleet.cell.commit_succeeded();
    }
    assert_eq!(stored_count, 60);
}

/// Guards against an occurrence that begins late, in a cell without other events, since the wall clock
/// was set forward.
#[test]
fn tick_requests_a_plan_for_an_occurrence_that_is_due_after_a_clock_step() {
    let mut fleet = Fleet::new(1, 1);
    let mut job = stored_job("0000000000000001", vec![stage(1)]);
    job.spec.schedule =
        Some(Schedule { first_unix_ms: 60_000, interval_ms: 1_000, occurrence_count: 1 });
    fleet.submit(job);
    fleet.run_steps(10);
    fleet.unix_now_ms += 60_000;
    fleet.run_steps(60);
    assert!(fleet.start_count > 0, "nothing runs 3 s after the time");
}

#[test]
fn cancel_stops_running_tasks_and_starts_none() {
    let mut fleet = Fleet::new(1, 1);
    fleet.submit(stored_job("0000000000000001", vec![stage(12)]));
    fleet.run_steps(10);
    fleet.cancel("0000000000000001");
    fleet.run_steps(4);
    let started = fleet.start_count;
    assert!(fleet.instances[0].running.is_empty());
    fleet.run_steps(40);
    assert_eq!(fleet.start_count, started);
    assert_eq!(fleet.cell.state("0000000000000001"), Some(JobState::Cancelled));
}

/// The address of an owner may be used again by an instance of another cell.
#[test]
fn report_of_another_cells_agent_is_ignored() {
    let mut fleet = Fleet::new(1, 1);
    fleet.run_steps(3);
    fleet.submit(stored_job("0000000000000001", vec![stage(2)]));
    let mut foreign =
        Report { cell: 1, agent: "foreign".to_owned(), ..fleet.instances[0].report() };
    if let Some(status) = foreign.status.as_mut() {
        status.worker = "foreign".to_owned();
    }
    for _ in 0..10 {
        let response = fleet.cell.handle_report(foreign.clone(), true, fleet.now);
        assert_eq!(response, ReportResponse::default());
        fleet.step();
    }
    assert_eq!(fleet.instances[0].running.len(), 2, "all tasks run in the cell");
    let events = fleet.cell.take_events();
    let is_foreign = |event: &CellEvent| matches!(event, CellEvent::ForeignReport { cell: 1, .. });
    assert_eq!(events.iter().filter(|event| is_foreign(event)).count(), 10);
}

#[test]
fn report_of_an_earlier_incarnation_is_ignored() {
    let mut fleet = Fleet::new(1, 1);
    fleet.submit(stored_job("0000000000000001", vec![stage(2)]));
    fleet.run_steps(6);
    let late = fleet.instances[0].report();
    fleet.restart_worker(0);
    fleet.run_steps(3);
    let response = fleet.cell.handle_report(late, true, fleet.now);
    assert_eq!(response.session, 0);
    fleet.run_steps(100);
    assert_eq!(fleet.cell.state("0000000000000001"), Some(JobState::Completed));
}

/// Guards against a second run of a task whose start is executed by the next incarnation of the worker,
/// before that one has got a session.
#[test]
fn replace_worker_keeps_a_start_in_transit_until_the_first_listing() {
    let mut fleet = Fleet::new(2, 1);
    fleet.run_steps(4);
    fleet.submit(stored_job("0000000000000001", vec![stage(4)]));
    fleet.cell.plan(0, fleet.now);
    fleet.commit();
    let report = fleet.instances[0].report();
    let orders = fleet.cell.handle_report(report, true, fleet.now).orders;
    let starts: Vec<StartOrder> = orders
        .into_iter()
        .filter_map(|order| match order {
            Order::Start(start) => Some(start),
            Order::Stop(..) | Order::Traits(_) => None,
        })
        .collect();
    assert!(starts.len() > 1, "no starts for the worker");
    fleet.restart_worker(0);
    // Without it, the tasks would be isolated as possible causes of the crash.
    fleet.restart_agent(0);
    fleet.max_stop_ms = 500;
    fleet.instances[0].lease_until_ms = 7_000;
    for start in starts.into_iter().skip(1) {
        fleet.start(0, 0, start);
    }
    // Each start asserts that its task runs nowhere else.
    fleet.run_steps(200);
    assert_eq!(fleet.cell.state("0000000000000001"), Some(JobState::Completed));
}

#[test]
fn plan_keeps_a_failing_worker_from_failing_a_job() {
    let mut fleet = Fleet::new(3, 1);
    fleet.submit(stored_job("0000000000000001", vec![stage(30)]));
    for _ in 0..400 {
        fleet.step();
        let failing: Vec<TaskName> = fleet.instances[0].running.keys().cloned().collect();
        for task in failing {
            fleet.instances[0].end(&task, EndCause::Failed);
        }
    }
    assert_eq!(fleet.cell.state("0000000000000001"), Some(JobState::Completed));
}

#[parameterized(
    seed_1 = { 1 },
    seed_2 = { 2 },
    seed_3 = { 3 },
    seed_4 = { 4 },
    seed_5 = { 5 },
    seed_6 = { 6 },
)]
fn cell_upholds_invariants_under_random_faults(seed: u64) {
    run_random_faults(seed, false);
}

#[parameterized(
    seed_1 = { 1 },
    seed_2 = { 2 },
    seed_3 = { 3 },
    seed_4 = { 4 },
    seed_5 = { 5 },
    seed_6 = { 6 },
    seed_7 = { 7 },
    seed_8 = { 8 },
    done_run_across_owners = { 1345 },
)]
fn cell_upholds_invariants_while_capacities_change(seed: u64) {
    run_random_faults(seed, true);
}

fn run_random_faults(seed: u64, do_capacities_change: bool) {
    let mut fleet = Fleet::new(5, seed);
    let mut faults = ChaCha8Rng::seed_from_u64(seed + 1_000);
    let mut changes = ChaCha8Rng::seed_from_u64(seed + 2_000);
    let mut cancelled = BTreeSet::new();
    if do_capacities_change {
        fleet.max_stop_ms = 1_000;
    }
    for round in 0_u64..1_500 {
        if round % 25 == 0 && round < 1_000 {
            let second = Stage { after: vec![0], ..stage(faults.random_range(1..5)) };
            let first = stage(faults.random_range(1..6));
            let mut stages = vec![first, second];
            if do_capacities_change {
                stages.push(Stage { is_best_effort: true, ..stage(changes.random_range(1..4)) });
            }
            fleet.submit(stored_job(&format!("{round:016x}"), stages));
        }
        fleet.step();
        if round > 1_000 {
            for instance in &mut fleet.instances {
                instance.is_disconnected = false;
                instance.settle_capacity(CAPACITY);
            }
            fleet.commit_time = Duration::ZERO;
            continue;
        }
        if do_capacities_change {
            fleet.change_conditions(&mut changes);
        }
        let index = faults.random_range(0..5);
        match faults.random_range(0..120) {
            0 => fleet.replace_owner(),
            1 => fleet.restart_worker(index),
            2 | 3 => fleet.restart_agent(index),
            4 => fleet.instances[index].is_disconnected = true,
            5..=9 => fleet.instances[index].is_disconnected = false,
            10 => {
                let job = format!("{:016x}", (faults.random_range(0..=round) / 25) * 25);
                fleet.cancel(&job);
                cancelled.insert(job);
            }
            _ => {}
        }
    }
    for id in fleet.jobs.keys() {
        let state = fleet.cell.state(id);
        assert!(state.is_some_and(JobState::is_final), "{id}: {state:?}");
        let is_cancelled = state == Some(JobState::Cancelled);
        assert!(!is_cancelled || cancelled.contains(id), "{id} was cancelled without a request");
    }
}

/// Guards against cancelled jobs that stay open because their starts were withdrawn.
#[test]
fn cancel_before_the_commit_of_a_start_closes_the_job() {
    let mut fleet = Fleet::new(1, 1);
    fleet.run_steps(3);
    fleet.submit(stored_job("0000000000000001", vec![stage(2)]));
    fleet.cell.plan(0, fleet.now);
    fleet.cancel("0000000000000001");
    fleet.run_steps(20);
    assert_eq!(fleet.cell.open_count(), 0);
}

/// Guards against a large job that never runs beside a stream of small ones.
#[test]
fn plan_starves_no_overdue_job_under_a_steady_overload() {
    let mut fleet = Fleet::new(1, 1);
    fleet.max_run_ms = 1_000;
    fleet.submit(stored_job("00000000000000ff", vec![stage(4)]));
    for round in 0..800 {
        // More than the worker can run.
        if round % 5 == 0 {
            fleet.submit(stored_job(&format!("1{round:015x}"), vec![stage(3)]));
        }
        fleet.step();
    }
    assert_eq!(fleet.cell.state("00000000000000ff"), Some(JobState::Completed));
}

/// Guards against a task that runs again after a worker that was cut off has completed it: its lease
/// had lapsed, and the next attempt had failed elsewhere.
#[test]
fn completion_of_an_earlier_attempt_completes_the_task() {
    let mut fleet = Fleet::new(2, 1);
    fleet.run_steps(4);
    let job = "0000000000000001";
    fleet.submit(stored_job(job, vec![stage(1)]));
    let is_running = |fleet: &Fleet, index: usize| !fleet.instances[index].running.is_empty();
    while !is_running(&fleet, 0) && !is_running(&fleet, 1) {
        fleet.step();
    }
    let cut = usize::from(is_running(&fleet, 1));
    fleet.instances[cut].is_disconnected = true;
    while !is_running(&fleet, 1 - cut) {
        fleet.step();
    }
    let task = TaskName { job: job.to_owned(), occurrence: 0, stage: 0, index: 0 };
    // Has no room for another attempt.
    fleet.instances[1 - cut].settle_capacity(Resources::default());
    fleet.instances[1 - cut].end(&task, EndCause::Failed);
    fleet.run_steps(2);
    fleet.instances[cut].is_disconnected = false;
    fleet.run_steps(60);
    assert_eq!(fleet.cell.state(job), Some(JobState::Completed));
    assert_eq!(fleet.start_count, 2);
}
