//! Task starts at the peak rate with a write-limited store, and start latency of urgent tasks.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use tokio::time::{sleep, sleep_until};

use crate::{
    LabError,
    fleet::{Fleet, FleetPlan, wait_until},
    ledger::LedgerEvent,
    operator::{LabJob, Operator},
    report::Report,
};

/// Number of agents.
const AGENTS: usize = 8;
/// Duration of job submission.
const LOAD_DURATION: Duration = Duration::from_secs(10);
/// Submitted batch tasks per second.
const STARTS_PER_S: u32 = 900;
/// Batch jobs per second; several, to distribute the tasks over shards.
const JOBS_PER_S: u32 = 6;
/// Interval between urgent jobs.
const URGENT_INTERVAL: Duration = Duration::from_millis(250);
/// Run time of a task, in milliseconds.
const RUN_MS: u64 = 1_000;
/// CPU demand of a task, in thousandths of a core.
const TASK_CPU_MILLI: u64 = 100;
/// Time for all shards to be assigned owners.
const SETTLE_DURATION: Duration = Duration::from_secs(6);
/// Timeout for all tasks to complete.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(60);

/// Runs the experiment.
///
/// # Errors
///
/// The fleet can't be started, or a job is rejected.
pub async fn run(_seed: u64, report: &mut Report) -> Result<(), LabError> {
    let plan = FleetPlan {
        agents: AGENTS,
        has_workers: true,
        cpu_milli: 100_000,
        lease_ttl_ms: 10_000,
        ..FleetPlan::default()
    };
    let fleet = Fleet::start(plan).await?;
    sleep(SETTLE_DURATION).await;
    let operator = Operator::new(fleet.plan.operator_address(0), "lab");
    let calls_before = fleet.platform.call_counts();
    let started_at = Instant::now();
    let (batch, urgent) = tokio::join!(submit_batch(&operator), submit_urgent(&operator));
    let (tasks, submitted) = (batch?, urgent?);
    let expected = (tasks + submitted.len() as u32) as usize;
    let is_done =
        wait_until(COMPLETION_TIMEOUT, || async { fleet.ledger.tasks(&[]).done.len() >= expected })
            .await;
    let calls = fleet.platform.call_counts();
    let first_runs = first_runs(&fleet);
    let last_start = first_runs.values().max().copied().unwrap_or(started_at);
    let executed = fleet.ledger.tasks(&[]);
    report.count("tasks", expected as u64);
    report.count("tasks_unfinished", (expected - executed.done.len().min(expected)) as u64);
    report.count("is_done", u64::from(is_done));
    let starts = first_runs.len() as f64;
    report.set("starts_per_s", starts / last_start.duration_since(started_at).as_secs_f64());
    let writes = (calls.writes - calls_before.writes) as f64;
    report.set("writes_per_start", writes / starts);
    report.set("writes_per_s", writes / started_at.elapsed().as_secs_f64());
    report.count("writes_throttled", calls.throttled - calls_before.throttled);
    report.count(
        "duplicated",
        executed.duplicated() + executed.in_two_places + executed.attempts_repeated,
    );
    let mut waits_ms: Vec<f64> = submitted
        .iter()
        .filter_map(|(task, at)| Some(first_runs.get(task)?.duration_since(*at)))
        .map(|wait| wait.as_secs_f64() * 1_000.0)
        .collect();
    waits_ms.sort_by(f64::total_cmp);
    let quantile = |quantile: f64| {
        let index = (waits_ms.len() as f64 * quantile) as usize;
        waits_ms.get(index.min(waits_ms.len().saturating_sub(1))).copied().unwrap_or(f64::NAN)
    };
    report.set("urgent_start_p50_ms", quantile(0.5));
    report.set("urgent_start_p99_ms", quantile(0.99));
    fleet.stop().await;
    Ok(())
}

/// Submits batch jobs at a constant rate; returns the number of their tasks.
async fn submit_batch(operator: &Operator) -> Result<u32, LabError> {
    let start = tokio::time::Instant::now();
    let jobs = LOAD_DURATION.as_secs() as u32 * JOBS_PER_S;
    let tasks = STARTS_PER_S / JOBS_PER_S;
    for number in 0..jobs {
        sleep_until(start + Duration::from_secs(1) * number / JOBS_PER_S).await;
        let job = LabJob { tasks, cpu_milli: TASK_CPU_MILLI, run_ms: RUN_MS, urgency: 6 };
        operator.submit_job(&format!("batch-{number}"), job).await?;
    }
    Ok(jobs * tasks)
}

/// Submits urgent jobs of one task each; returns the tasks and their submission times.
async fn submit_urgent(operator: &Operator) -> Result<Vec<(String, Instant)>, LabError> {
    let start = tokio::time::Instant::now();
    let jobs = (LOAD_DURATION.as_millis() / URGENT_INTERVAL.as_millis()) as u32;
    let mut submitted = Vec::new();
    for number in 0..jobs {
        sleep_until(start + URGENT_INTERVAL * number).await;
        let job = LabJob { tasks: 1, cpu_milli: TASK_CPU_MILLI, run_ms: RUN_MS, urgency: 0 };
        let name = format!("urgent-{number}");
        submitted.push((format!("{name}/0"), Instant::now()));
        operator.submit_job(&name, job).await?;
    }
    Ok(submitted)
}

/// Time at which each task first started to run.
fn first_runs(fleet: &Fleet) -> BTreeMap<String, Instant> {
    let mut first = BTreeMap::new();
    for (started_at, event) in fleet.ledger.events() {
        if let LedgerEvent::AttemptRunning { task, .. } = event {
            first.entry(task).or_insert(started_at);
        }
    }
    first
}
