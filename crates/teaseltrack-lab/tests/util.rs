//! What several test files use.
#![allow(dead_code)]

use std::time::Duration;

use teaseltrack_lab::{
    fleet::{FleetPlan, wait_until},
    load::{LoadPlan, LoadResult, RequestOutcome, Verdict, send_load},
    operator::{LabJob, Operator},
    processes::ProcessFleet,
};

/// Time for a fleet to recover; far above what is measured, so that a busy machine passes too.
pub const RECOVERY_TIMEOUT: Duration = Duration::from_secs(30);

/// A small fleet of real processes with a service in force.
pub async fn start_processes(plan: FleetPlan) -> ProcessFleet {
    let fleet = ProcessFleet::start(plan).await.unwrap();
    Operator::new(fleet.plan.operator_address(0), "test")
        .submit_service("tickets", 5_000)
        .await
        .unwrap();
    wait_records_applied(&fleet).await;
    fleet
}

/// Waits until every entry has a record in force.
pub async fn wait_records_applied(fleet: &ProcessFleet) {
    for index in 0..fleet.plan.entries {
        let is_applied = wait_until(RECOVERY_TIMEOUT, || async {
            fleet.entry_status(index).await.is_some_and(|status| status["records"] != 0)
        })
        .await;
        assert!(is_applied, "entry {index} has no records");
    }
}

/// A load on all entries of a fleet.
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

/// Waits until short loads are answered whole again.
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
    assert!(is_served, "{name}: requests aren't served again");
}

/// Checks that nothing that must never happen did.
pub fn assert_invariants(fleet: &ProcessFleet, result: &LoadResult) -> Verdict {
    let verdict = result.verdict(&fleet.ledger.requests());
    assert_eq!(verdict.duplicated, 0, "{verdict:?}");
    assert_eq!(verdict.false_not_run, 0, "{verdict:?}");
    assert_eq!(verdict.mismatched, 0, "{verdict:?}");
    assert_eq!(verdict.over_capacity, 0, "{verdict:?}");
    assert_eq!(verdict.lost, 0, "{verdict:?}");
    verdict
}

/// A job of short tasks.
pub fn short_job(tasks: u32, run_ms: u64) -> LabJob {
    LabJob { tasks, cpu_milli: 1_000, run_ms, urgency: 6 }
}

/// Waits until all tasks of a job are done.
pub async fn wait_done(operator: &Operator, job: &str) {
    let is_done = wait_until(RECOVERY_TIMEOUT, || async {
        let view = operator.job(job).await;
        view.is_ok_and(|view| view.counts.done as usize == view.tasks.len())
    })
    .await;
    assert!(is_done, "{job} isn't done: {:?}", operator.job(job).await.map(|view| view.counts));
}
