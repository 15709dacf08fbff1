//! Agents that have named another incarnation of their worker than the one that runs.

use std::time::Duration;

use teaseltrack::cell::{
    progress::{JobState, WorkerRecord},
    protocol::{Report, WorkerStatus},
};

use crate::fleet::{Fleet, STEP, long_running, stage, stored_job};

const JOB: &str = "0000000000000001";
/// Longest lease that an owner grants, and the time for which a report may be late.
const MAX_WAIT: Duration = Duration::from_millis(7_000);

/// Report of an agent that can't reach the worker which it names.
fn report_of_another_incarnation(fleet: &Fleet, index: usize) -> Report {
    let report = fleet.instances[index].report();
    let status = report.status.as_ref().expect("a status");
    let other = WorkerStatus {
        worker: "other".to_owned(),
        started_unix_ms: status.started_unix_ms + 1_000,
        ..status.clone()
    };
    Report {
        status: Some(other),
        is_worker_reachable: false,
        session: 0,
        listing: None,
        worker_clock_ms: 0,
        known_leases: None,
        ..report
    }
}

/// Guards against a sound worker that gets no task for as long as its agent lasts, since the agent has once
/// named an incarnation with a later start.
#[test]
fn attach_agent_believes_an_earlier_start_once_the_later_one_is_abandoned() {
    let mut fleet = Fleet::new(1, 1);
    fleet.run_steps(4);
    let other = report_of_another_incarnation(&fleet, 0);
    fleet.cell.handle_report(other, true, fleet.now);
    fleet.submit(stored_job(JOB, vec![stage(2)]));
    fleet.run_steps((MAX_WAIT.as_millis() / STEP.as_millis()) as usize);
    assert_eq!(fleet.cell.state(JOB), Some(JobState::Completed));
}

/// Guards against tasks that are started elsewhere while they run on, since a late report of an earlier
/// incarnation counts as news.
#[test]
fn attach_agent_ignores_a_late_report_of_an_earlier_start() {
    let mut fleet = Fleet::new(1, 1);
    fleet.run_steps(4);
    let late = fleet.instances[0].report();
    fleet.restart_worker(0);
    fleet.run_steps(4);
    fleet.submit(stored_job(JOB, vec![long_running(2)]));
    fleet.run_steps(10);
    assert_eq!(fleet.start_count, 2);
    for _ in 0..40 {
        fleet.cell.handle_report(late.clone(), true, fleet.now);
        fleet.run_steps(1);
    }
    assert_eq!(fleet.start_count, 2, "reclaimed from the current incarnation");
}

/// Guards against tasks that are started elsewhere while they run on, since a stored row names their worker
/// as the earlier one of another agent.
#[test]
fn adopt_stored_worker_keeps_the_worker_of_another_agent() {
    let mut fleet = Fleet::new(2, 1);
    fleet.run_steps(4);
    fleet.submit(stored_job(JOB, vec![long_running(4)]));
    fleet.run_steps(10);
    assert_eq!(fleet.start_count, 4);
    let named = fleet.instances[1].report().status.expect("a status");
    let record = WorkerRecord {
        incarnation: named.incarnation(),
        started_unix_ms: 0,
        agent_started_unix_ms: 1,
    };
    fleet.replace_owner();
    fleet.cell.adopt_workers(vec![(fleet.instances[0].name.clone(), record)]);
    fleet.run_steps(20);
    assert_eq!(fleet.start_count, 4, "reclaimed from the worker of another agent");
}

/// Guards against an owner that ends, and each one after it, since an agent reports whose worker was replaced
/// through another agent that had named it as well.
#[test]
fn attach_agent_survives_two_agents_that_have_named_one_worker() {
    let mut fleet = Fleet::new(2, 1);
    fleet.run_steps(4);
    let shared = fleet.instances[0].report().status;
    let report = fleet.instances[1].report();
    fleet.cell.handle_report(Report { status: shared, session: 0, ..report }, true, fleet.now);
    fleet.restart_worker(0);
    fleet.run_steps(20);
    fleet.submit(stored_job(JOB, vec![stage(8)]));
    fleet.run_steps(60);
    assert_eq!(fleet.cell.state(JOB), Some(JobState::Completed));
}
