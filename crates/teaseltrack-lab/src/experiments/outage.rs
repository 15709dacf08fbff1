//! Outage of the platform's store under load: no request or task may be lost or duplicated, and
//! processing must resume afterwards.

use std::time::{Duration, Instant};

use tokio::time::sleep;

use crate::{
    LabError,
    experiments::flood::wait_ready,
    fleet::{Fleet, FleetPlan, wait_until},
    load::{LoadPlan, send_load},
    operator::{LabJob, Operator},
    platform::{Faults, Outage},
    report::Report,
};

/// Duration of the outage.
const OUTAGE_DURATION: Duration = Duration::from_secs(60);
/// Duration of the load before and after the outage.
const LOAD_MARGIN: Duration = Duration::from_secs(5);
/// Number of tasks that are running when the outage starts.
const TASKS: u32 = 40;
/// Run time of a task, in milliseconds.
const RUN_MS: u64 = 40_000;
/// Timeout for tasks to complete after the outage.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(120);

/// Runs the experiment.
///
/// # Errors
///
/// The fleet can't be started, or a job is rejected.
pub async fn run(seed: u64, report: &mut Report) -> Result<(), LabError> {
    let plan = FleetPlan {
        has_workers: true,
        cpu_milli: 16_000,
        lease_ttl_ms: 10_000,
        ..FleetPlan::default()
    };
    let fleet = Fleet::start(plan).await?;
    let operator = Operator::new(fleet.plan.operator_address(0), "lab");
    operator.submit_service("tickets", 2_000).await?;
    wait_ready(&fleet).await?;
    let job = LabJob { tasks: TASKS, cpu_milli: 1_000, run_ms: RUN_MS, urgency: 6 };
    operator.submit_job("settlement", job).await?;
    let load = LoadPlan {
        addresses: (0..fleet.plan.entries).map(|entry| fleet.plan.caller_address(entry)).collect(),
        name: "outage".to_owned(),
        duration: LOAD_MARGIN + OUTAGE_DURATION + LOAD_MARGIN,
        seed,
        ..LoadPlan::default()
    };
    let load_task = tokio::spawn(send_load(load));
    sleep(LOAD_MARGIN).await;
    let silent = Faults { outage: Outage::Silent, ..Faults::default() };
    fleet.platform.set_faults(silent);
    sleep(OUTAGE_DURATION).await;
    fleet.platform.set_faults(Faults::default());
    let restored_at = Instant::now();
    operator.submit_job("after", LabJob { tasks: 1, run_ms: 100, ..job }).await?;
    let is_recovered = wait_until(COMPLETION_TIMEOUT, || async {
        fleet.ledger.tasks(&[]).done.contains_key("after/0")
    })
    .await;
    report.set("recovery_s", restored_at.elapsed().as_secs_f64());
    let is_done = wait_until(COMPLETION_TIMEOUT, || async {
        fleet.ledger.tasks(&[]).done.len() > TASKS as usize
    })
    .await;
    let result = load_task.await?;
    let verdict = result.verdict(&fleet.ledger.requests());
    let tasks = fleet.ledger.tasks(&[]);
    report.count("is_recovered", u64::from(is_recovered && is_done));
    report.count("requests", result.requests.len() as u64);
    report.count("requests_lost", result.requests.len() as u64 - verdict.answered);
    report.count("tasks_lost", u64::from(TASKS) + 1 - tasks.done.len() as u64);
    report.count("tasks_duplicated", tasks.duplicated() + tasks.in_two_places);
    report.count("resumed_twice", tasks.attempts_repeated);
    fleet.stop().await;
    Ok(())
}
