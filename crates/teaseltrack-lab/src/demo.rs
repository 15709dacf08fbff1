//! Demo of a complete fleet in one process: requests of two classes while tasks run, and the
//! graceful shutdown of an agent and of a target.

use std::time::{Duration, Instant};

use serde_json::json;
use teaseltrack::record::RecordKind;
use teaseltrack_cli::verify::verify_streams;
use teaseltrack_daemon::http_client::HttpClient;
use tokio::{join, time::sleep};

use crate::{
    LabError,
    fleet::{Fleet, FleetPlan, wait_until},
    load::{LoadPlan, LoadResult, Verdict, send_load},
    operator::{LabJob, Operator},
};

/// Duration of the load.
const LOAD_DURATION: Duration = Duration::from_secs(9);
/// Timeout for all tasks to complete.
const TASK_TIMEOUT: Duration = Duration::from_secs(15);
/// Requests per second of each class.
const RATE_PER_S: f64 = 150.0;
/// Number of tasks of the batch job.
const BATCH_TASKS: u32 = 28;
/// Index of the agent that is shut down while it runs tasks.
const STOPPED_AGENT: usize = 3;
/// Index of the target that is shut down.
const STOPPED_TARGET: usize = 2;

/// Runs the demo and checks its invariants.
///
/// # Errors
///
/// The fleet can't be started, a step failed, or an invariant was violated.
pub async fn run() -> Result<(), LabError> {
    let started_at = Instant::now();
    let step = |text: &str| println!("{:6.1} s  {text}", started_at.elapsed().as_secs_f64());
    let plan = FleetPlan { has_workers: true, ..FleetPlan::default() };
    step("starting a platform, 2 entries and 4 agents with targets and workers");
    let mut fleet = Fleet::start(plan).await?;
    let operator = Operator::new(fleet.plan.operator_address(0), "demo");
    submit_records(&operator).await?;
    step("submitted a service, a batch job and a watch");
    let addresses: Vec<_> =
        (0..fleet.plan.entries).map(|entry| fleet.plan.caller_address(entry)).collect();
    wait_for_targets(&fleet).await?;
    let urgent = LoadPlan {
        addresses: addresses.clone(),
        name: "urgent".to_owned(),
        rate_per_s: RATE_PER_S,
        duration: LOAD_DURATION,
        urgency: 1,
        ..LoadPlan::default()
    };
    let background =
        LoadPlan { name: "background".to_owned(), urgency: 7, seed: 2, ..urgent.clone() };
    let scenario = async {
        sleep(LOAD_DURATION / 4).await;
        step("submitting the same notice to a watch twice");
        operator.notify("recalls", "shell-7").await?;
        if operator.notify("recalls", "shell-7").await.is_ok() {
            return Err::<(), LabError>("a duplicate notice was accepted".into());
        }
        wait_for_attempts(&fleet).await?;
        step("gracefully shutting down an agent with running tasks");
        fleet.stop_agent(STOPPED_AGENT).await;
        step("gracefully shutting down a target");
        fleet.targets[STOPPED_TARGET].shut_down().await;
        Ok(())
    };
    let (urgent, background, scenario) = join!(send_load(urgent), send_load(background), scenario);
    scenario?;
    step("load finished, waiting for the tasks");
    let is_done = wait_until(TASK_TIMEOUT, || async {
        is_job_done(&operator, "settlement").await && is_job_done(&operator, "recall-shell-7").await
    })
    .await;
    let entries: u64 =
        verify_streams(&operator.client).await?.iter().map(|stream| stream.entries).sum();
    step("done");
    let is_consistent = print_table(&fleet, &urgent, &background, entries);
    if !is_done {
        return Err("tasks not completed within the timeout".into());
    }
    if fleet.ledger.tasks(&[]).resumed.is_empty() {
        return Err("no task was evicted and resumed".into());
    }
    if !is_consistent {
        return Err("an invariant was violated".into());
    }
    Ok(())
}

async fn submit_records(operator: &Operator) -> Result<(), LabError> {
    operator.submit_service("tickets", 2_000).await?;
    let job = LabJob { tasks: BATCH_TASKS, cpu_milli: 1_000, run_ms: 3_000, urgency: 6 };
    operator.submit_job("settlement", job).await?;
    let recall_job = LabJob { tasks: 2, cpu_milli: 500, run_ms: 300, urgency: 1 };
    let watch = json!({ "job_prefix": "recall-", "job": recall_job.body() });
    operator.submit(RecordKind::Watch, "recalls", 1, watch).await?;
    Ok(())
}

async fn wait_for_targets(fleet: &Fleet) -> Result<(), LabError> {
    let client = HttpClient::new(Duration::from_secs(1));
    for entry in 0..fleet.plan.entries {
        let address = fleet.plan.entry_health_address(entry);
        let is_ready = wait_until(Duration::from_secs(10), || async {
            let status: Result<serde_json::Value, _> = client.get(address, "/status").await;
            status.is_ok_and(|status| {
                status["targets"] == fleet.plan.agents as u64 && status["records"] != 0
            })
        })
        .await;
        if !is_ready {
            return Err(
                format!("entry {entry} hasn't discovered all targets or has no records").into()
            );
        }
    }
    Ok(())
}

/// Waits until the agent to be shut down runs tasks.
async fn wait_for_attempts(fleet: &Fleet) -> Result<(), LabError> {
    let client = HttpClient::new(Duration::from_secs(1));
    let address = fleet.plan.agent_health_address(STOPPED_AGENT);
    let is_running = wait_until(TASK_TIMEOUT, || async {
        let status: Result<serde_json::Value, _> = client.get(address, "/status").await;
        status.is_ok_and(|status| status["attempts_running"].as_u64() > Some(0))
    })
    .await;
    if is_running { Ok(()) } else { Err("the agent to be shut down got no tasks".into()) }
}

async fn is_job_done(operator: &Operator, name: &str) -> bool {
    let job = operator.job(name).await;
    job.is_ok_and(|job| job.counts.done as usize == job.tasks.len())
}

/// Prints the final table; returns true if no invariant was violated.
fn print_table(fleet: &Fleet, urgent: &LoadResult, background: &LoadResult, entries: u64) -> bool {
    let executed = fleet.ledger.requests();
    let tasks = fleet.ledger.tasks(&[]);
    let verdicts = [urgent.verdict(&executed), background.verdict(&executed)];
    let sum = |field: fn(&Verdict) -> u64| verdicts.iter().map(field).sum::<u64>();
    let evicted = tasks.resumed.len();
    let rows = [
        ("requests answered", sum(|verdict| verdict.answered)),
        ("requests refused as not run", sum(|verdict| verdict.not_run)),
        ("requests unknown", sum(|verdict| verdict.unknown)),
        ("requests lost", sum(|verdict| verdict.lost + verdict.truncated)),
        ("requests answered wrongly", sum(|verdict| verdict.mismatched)),
        ("requests refused falsely", sum(|verdict| verdict.false_not_run)),
        ("requests duplicated", executed.duplicated),
        ("requests beyond capacity", executed.over_capacity),
        ("tasks run", tasks.done.len() as u64),
        ("tasks evicted and resumed", evicted as u64),
        ("tasks duplicated", tasks.duplicated()),
        ("tasks in two places", tasks.in_two_places),
        ("history entries verified", entries),
    ];
    println!();
    for (name, value) in rows {
        println!("{name:30} {value:>8}");
    }
    for (name, result) in [("urgent", urgent), ("background", background)] {
        println!(
            "{name:12} p50 {:7.2} ms  p99 {:7.2} ms",
            result.latency_ms(0.5),
            result.latency_ms(0.99)
        );
    }
    let violations = sum(|verdict| {
        verdict.lost + verdict.truncated + verdict.mismatched + verdict.false_not_run
    }) + executed.duplicated
        + executed.over_capacity
        + tasks.duplicated()
        + tasks.in_two_places;
    violations == 0 && sum(|verdict| verdict.answered) > 0
}
