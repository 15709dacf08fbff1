//! Capacities that change while workers run, and starts that no longer fit.

use std::time::Duration;

use teaseltrack::{
    cell::{CellEvent, job::Stage, progress::JobState},
    placement::Resources,
};
use yare::parameterized;

use crate::fleet::{CAPACITY, Fleet, SMALL_CAPACITY, long_running, stage, stored_job};

/// Guards against starts of tasks without a CPU reservation on a worker whose CPU is exceeded since
/// its capacity shrank.
#[test]
fn plan_starts_nothing_on_a_worker_over_its_capacity() {
    let mut fleet = Fleet::new(1, 1);
    fleet.submit(stored_job("0000000000000001", vec![long_running(3)]));
    fleet.run_steps(6);
    assert_eq!(fleet.instances[0].running.len(), 3);
    fleet.instances[0].settle_capacity(SMALL_CAPACITY);
    fleet.run_steps(1);
    fleet.submit(stored_job("0000000000000002", vec![stage(1)]));
    let best_effort = Stage { is_best_effort: true, ..stage(1) };
    fleet.submit(stored_job("0000000000000003", vec![best_effort]));
    fleet.cell.take_events();
    fleet.run_steps(60);
    let is_assigned = |event: &CellEvent| matches!(event, CellEvent::Assigned { .. });
    assert!(!fleet.cell.take_events().iter().any(is_assigned));
    let running: Vec<&str> =
        fleet.instances[0].running.keys().map(|task| task.job.as_str()).collect();
    assert_eq!(running, ["0000000000000001"; 3], "the runs continue, and nothing starts");
    fleet.instances[0].settle_capacity(CAPACITY);
    fleet.run_steps(3);
    assert_eq!(fleet.start_count, 5, "capacity that is back is used");
}

/// Guards against a larger capacity that a late report brings back: two reports of an agent may
/// overtake each other.
#[test]
fn report_older_than_the_last_changes_no_status() {
    let mut fleet = Fleet::new(1, 1);
    fleet.run_steps(3);
    let late = fleet.instances[0].report();
    fleet.instances[0].settle_capacity(SMALL_CAPACITY);
    fleet.run_steps(2);
    fleet.cell.handle_report(late, true, fleet.now);
    fleet.submit(stored_job("0000000000000001", vec![long_running(4)]));
    fleet.cell.plan(0, fleet.now);
    let assigned = fleet.cell.take_events().into_iter();
    let assigned = assigned.filter(|event| matches!(event, CellEvent::Assigned { .. }));
    assert_eq!(assigned.count(), 2);
}

/// Guards against starts that were planned before the capacity shrank and committed after it.
#[test]
fn commit_succeeded_sends_no_start_beyond_a_smaller_capacity() {
    let mut fleet = Fleet::new(1, 1);
    fleet.run_steps(3);
    fleet.commit_time = Duration::from_secs(5);
    fleet.submit(stored_job("0000000000000001", vec![long_running(3)]));
    fleet.run_steps(1);
    fleet.instances[0].settle_capacity(SMALL_CAPACITY);
    fleet.run_steps(120);
    fleet.commit_time = Duration::ZERO;
    fleet.run_steps(120);
    assert_eq!(fleet.instances[0].running.len(), 2, "the tasks that fit run");
    fleet.instances[0].settle_capacity(CAPACITY);
    fleet.run_steps(3);
    assert_eq!(fleet.instances[0].running.len(), 3);
}

/// Guards against a start that is sent with the commit of an earlier attempt: after a failure of the
/// owner, its successor doesn't know the run and starts the task a second time.
#[test]
fn commit_succeeded_sends_no_start_of_a_later_attempt() {
    let mut fleet = Fleet::new(1, 1);
    fleet.run_steps(3);
    fleet.commit_time = Duration::from_secs(1);
    fleet.submit(stored_job("0000000000000001", vec![long_running(1)]));
    fleet.run_steps(5);
    // The new session shows that the first attempt wasn't started, and the task is assigned again
    // while the commit of the first attempt is in flight.
    fleet.restart_agent(0);
    fleet.run_steps(20);
    assert_eq!(fleet.start_count, 0);
    fleet.run_steps(20);
    assert_eq!(fleet.start_count, 1);
}

/// Guards against start orders that reach the agent after it has learned of a smaller capacity.
#[test]
fn start_order_planned_against_a_larger_capacity_is_refused() {
    let mut fleet = Fleet::new(1, 1);
    fleet.run_steps(3);
    fleet.submit(stored_job("0000000000000001", vec![long_running(3)]));
    fleet.cell.plan(0, fleet.now);
    fleet.commit();
    fleet.instances[0].settle_capacity(SMALL_CAPACITY);
    fleet.run_steps(60);
    assert_eq!(fleet.instances[0].running.len(), 2, "the tasks that fit run");
    fleet.instances[0].settle_capacity(CAPACITY);
    fleet.run_steps(3);
    assert_eq!(fleet.instances[0].running.len(), 3, "capacity that is back is used");
}

/// Guards against members of a gang that wait for one whose start was withdrawn.
#[test]
fn commit_succeeded_withdraws_all_members_of_a_gang() {
    let mut fleet = Fleet::new(2, 1);
    fleet.run_steps(3);
    fleet.commit_time = Duration::from_secs(2);
    let gang = Stage { is_gang: true, max_per_worker: Some(2), ..long_running(4) };
    fleet.submit(stored_job("0000000000000001", vec![gang]));
    fleet.run_steps(1);
    fleet.instances[1].settle_capacity(Resources { cpu_milli: 3_000, ..CAPACITY });
    fleet.run_steps(45);
    fleet.commit_time = Duration::ZERO;
    fleet.run_steps(45);
    assert!(fleet.instances.iter().all(|instance| instance.running.is_empty()));
    fleet.instances[1].settle_capacity(CAPACITY);
    fleet.run_steps(60);
    assert!(fleet.instances.iter().all(|instance| instance.running.len() == 2));
}

/// Guards against members of a gang that wait for one whose start the agent refused.
#[test]
fn report_of_a_refused_gang_member_stops_the_others() {
    let mut fleet = Fleet::new(2, 1);
    fleet.run_steps(3);
    let gang = Stage { is_gang: true, max_per_worker: Some(2), ..long_running(4) };
    fleet.submit(stored_job("0000000000000001", vec![gang]));
    fleet.cell.plan(0, fleet.now);
    fleet.commit();
    fleet.instances[1].settle_capacity(SMALL_CAPACITY);
    fleet.run_steps(5);
    assert!(fleet.instances.iter().all(|instance| instance.running.is_empty()));
    fleet.run_steps(60);
    assert!(fleet.instances.iter().all(|instance| instance.running.len() == 2));
}

/// Guards against a task that waits beside free capacity because nothing but time has passed: the
/// worker's back-off after the refusal ends without a report of a change.
#[test]
fn tick_plans_again_after_the_back_off_of_a_refusal() {
    let mut fleet = Fleet::new(1, 1);
    fleet.run_steps(3);
    fleet.submit(stored_job("0000000000000001", vec![long_running(1)]));
    fleet.cell.plan(0, fleet.now);
    fleet.commit();
    fleet.instances[0].settle_capacity(SMALL_CAPACITY);
    fleet.run_steps(3);
    assert!(fleet.instances[0].running.is_empty(), "the start is refused");
    fleet.run_steps(30);
    assert_eq!(fleet.instances[0].running.len(), 1);
}

/// Guards against a new owner that plans against a capacity that its predecessor knew.
#[test]
fn restore_starts_nothing_before_the_capacity_is_reported() {
    let mut fleet = Fleet::new(1, 1);
    fleet.submit(stored_job("0000000000000001", vec![long_running(2)]));
    fleet.run_steps(6);
    assert_eq!(fleet.instances[0].running.len(), 2);
    fleet.replace_owner();
    fleet.instances[0].is_disconnected = true;
    fleet.instances[0].settle_capacity(SMALL_CAPACITY);
    fleet.submit(stored_job("0000000000000002", vec![long_running(1)]));
    fleet.cell.take_events();
    fleet.run_steps(40);
    fleet.instances[0].is_disconnected = false;
    fleet.run_steps(40);
    let is_assigned = |event: &CellEvent| matches!(event, CellEvent::Assigned { .. });
    assert!(!fleet.cell.take_events().iter().any(is_assigned));
    fleet.cancel("0000000000000001");
    fleet.run_steps(20);
    assert_eq!(fleet.instances[0].running.len(), 1, "the free capacity is used");
}

/// Guards against starts beside members of a completed gang that are still being stopped when the
/// owner changes.
#[parameterized(
    seed_1 = { 1 },
    seed_2 = { 2 },
    seed_3 = { 3 },
    seed_4 = { 4 },
    seed_5 = { 5 },
    seed_6 = { 6 },
)]
fn restored_owner_counts_members_of_a_completed_gang_until_they_have_ended(seed: u64) {
    let mut fleet = Fleet::new(1, seed);
    fleet.max_stop_ms = 5_000;
    fleet.run_steps(3);
    let gang = Stage { is_gang: true, ..stage(3) };
    fleet.submit(stored_job("0000000000000001", vec![gang, long_running(1)]));
    for _ in 0..200 {
        fleet.step();
        if !fleet.done.is_empty() {
            break;
        }
    }
    assert!(!fleet.done.is_empty());
    fleet.run_steps(2);
    fleet.replace_owner();
    fleet.submit(stored_job("0000000000000002", vec![stage(8)]));
    fleet.run_steps(600);
    assert_eq!(fleet.cell.state("0000000000000002"), Some(JobState::Completed));
}
