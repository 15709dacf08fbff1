//! Helpers shared by the test files.
#![allow(dead_code)]

use std::time::Duration;

use teaseltrack_lab::{
    fleet::{FleetPlan, wait_until},
    load::{LoadPlan, LoadResult, RequestOutcome, Verdict, send_load},
    operator::{LabJob, Operator},
    processes::ProcessFleet,
};

/// Timeout for a fleet to recover; generous, so that tests also pass on a busy machine.
pub const RECOVERY_TIMEOUT: Duration = Duration::from_secs(30);

/// Starts a fleet of real processes and waits until its service is applied.
pub async fn start_processes(plan: FleetPlan) -> ProcessFleet {
    let fleet = ProcessFleet::start(plan).await.unwrap();
    Operator::new(fleet.plan.operator_address(0), "test")
        .submit_service("tickets", 5_000)
        .await
        .unwrap();
    wait_records_applied(&fleet).await;
    fleet
}

/// Waits until every entry has applied a record.
pub async fn wait_records_applied(fleet: &ProcessFleet) {
    for index in 0..fleet.plan.entries {
        let is_applied = wait_until(RECOVERY_TIMEOUT, || async {
            fleet.entry_status(index).await.is_some_and(|status| status["records"] != 0)
        })
        .await;
        assert!(is_applied, "entry {index} has applied no records");
    }
}

/// Returns a load on all entries of a fleet.
pub fn load(fleet: &ProcessFleet, name: &str) -> LoadPlan {
    LoadPlan {
        addresses: (0..fleet.plan.entries).map(|entry| fleet.plan.caller_address(entry)).collect(),
        name: name.to_owned(),
        rate_per_s: 50.0,
        duration: Duration::from_secs(2),
        timeout: Duration::from_secs(4),
        ..LoadPlan::default()
    }
}

/// Waits until a short load is fully answered.
pub async fn wait_served(fleet: &ProcessFleet, name: &str) {
    let mut round = 0;
    let is_served = wait_until(RECOVERY_TIMEOUT, || {
        round += 1;
        let plan = LoadPlan {
            duration: Duration::from_millis(300),
            name: format!("{name}-{round}"),
            ..load(fleet, name)
        };
        async {
            let result = send_load(plan).await;
            result.count(RequestOutcome::Answered) == result.requests.len() as u64
        }
    })
    .await;
    assert!(is_served, "{name}: no load was fully answered within the timeout");
}

/// Asserts that no invariant on requests was violated.
pub fn assert_invariants(fleet: &ProcessFleet, result: &LoadResult) -> Verdict {
    let verdict = result.verdict(&fleet.ledger.requests());
    assert_eq!(verdict.duplicated, 0, "{verdict:?}");
    assert_eq!(verdict.false_not_run, 0, "{verdict:?}");
    assert_eq!(verdict.mismatched, 0, "{verdict:?}");
    assert_eq!(verdict.over_capacity, 0, "{verdict:?}");
    assert_eq!(verdict.lost, 0, "{verdict:?}");
    verdict
}

/// Returns a job of tasks with one core each.
pub fn short_job(tasks: u32, run_ms: u64) -> LabJob {
    LabJob { tasks, cpu_milli: 1_000, run_ms, urgency: 6 }
}

/// Waits until all tasks of a job have completed.
pub async fn wait_done(operator: &Operator, job: &str) {
    let is_done = wait_until(RECOVERY_TIMEOUT, || async {
        let view = operator.job(job).await;
        view.is_ok_and(|view| view.counts.done as usize == view.tasks.len())
    })
    .await;
    assert!(
        is_done,
        "{job} didn't complete: {:?}",
        operator.job(job).await.map(|view| view.counts)
    );
}
