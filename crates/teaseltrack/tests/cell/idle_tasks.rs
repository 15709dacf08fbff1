//! Reports of long-running tasks that no worker lists.

use std::time::Duration;

use teaseltrack::cell::{
    CellEvent,
    idle_tasks::{IdleCause, RoomCounts},
    job::Stage,
};

use crate::fleet::{CAPACITY, Fleet, Instance, long_running, stored_job};

const SERVING_JOB: &str = "00000000000000ff";

/// Causes and rooms of the reports in the fleet's events, with the time beside room.
fn reports(fleet: &mut Fleet) -> Vec<(IdleCause, RoomCounts, Duration)> {
    let events = fleet.cell.take_events().into_iter();
    let reports = events.filter_map(|event| match event {
        CellEvent::Idle { cause, rooms, beside_room, .. } => Some((cause, rooms, beside_room)),
        _ => None,
    });
    reports.collect()
}

#[test]
fn tick_reports_no_task_that_is_listed() {
    let mut fleet = Fleet::new(2, 1);
    fleet.run_steps(4);
    fleet.submit(stored_job(SERVING_JOB, vec![long_running(2)]));
    fleet.run_steps(200);
    assert_eq!(reports(&mut fleet), []);
}

/// Guards against a task without a listed run, beside room, of which nothing tells.
#[test]
fn tick_reports_a_task_whose_worker_is_silent() {
    let mut fleet = Fleet::new(2, 1);
    fleet.run_steps(4);
    fleet.submit(stored_job(SERVING_JOB, vec![long_running(1)]));
    fleet.run_steps(10);
    let is_used = |instance: &Instance| !instance.running.is_empty();
    let used = fleet.instances.iter().position(is_used).expect("the task runs");
    fleet.instances[used].is_disconnected = true;
    fleet.run_steps(90);
    let reports = reports(&mut fleet);
    let (cause, rooms, beside_room) = reports.last().expect("a report");
    assert_eq!((*cause, rooms.total()), (IdleCause::Silent, rooms.open));
    assert!(*beside_room >= Duration::from_secs(1), "{beside_room:?}");
}

#[test]
fn tick_reports_a_task_that_waits_without_room() {
    let mut fleet = Fleet::new(1, 1);
    fleet.run_steps(4);
    let whole = Stage { resources: CAPACITY, ..long_running(2) };
    fleet.submit(stored_job(SERVING_JOB, vec![whole]));
    fleet.run_steps(100);
    let reports = reports(&mut fleet);
    let (cause, rooms, beside_room) = reports.last().expect("a report");
    assert_eq!((*cause, rooms.total()), (IdleCause::Waiting, 0));
    assert_eq!(*beside_room, Duration::ZERO);
}
