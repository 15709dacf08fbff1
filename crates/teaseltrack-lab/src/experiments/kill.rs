//! Agents and targets killed and frozen under load: outcomes of requests, and recovery times.

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use tokio::time::sleep;

use crate::{
    LabError,
    fleet::FleetPlan,
    load::{LoadPlan, LoadResult, RequestOutcome, send_load},
    operator::Operator,
    processes::ProcessFleet,
    report::Report,
};

/// Duration of the load.
const LOAD_DURATION: Duration = Duration::from_secs(30);
/// Mean requests per second.
const RATE_PER_S: f64 = 200.0;
/// Interval between faults.
const FAULT_INTERVAL: Duration = Duration::from_secs(5);
/// Duration of a freeze.
const FREEZE_DURATION: Duration = Duration::from_secs(3);
/// Number of agents, each with a target.
const AGENTS: usize = 5;

/// Runs the experiment.
///
/// # Errors
///
/// The fleet can't be started.
pub async fn run(seed: u64, report: &mut Report) -> Result<(), LabError> {
    let plan = FleetPlan { agents: AGENTS, ..FleetPlan::default() };
    let mut fleet = ProcessFleet::start(plan).await?;
    let operator = Operator::new(fleet.plan.operator_address(0), "lab");
    operator.submit_service("tickets", 2_000).await?;
    sleep(Duration::from_secs(3)).await;
    let load = LoadPlan {
        addresses: (0..fleet.plan.entries).map(|entry| fleet.plan.caller_address(entry)).collect(),
        name: "kill".to_owned(),
        rate_per_s: RATE_PER_S,
        duration: LOAD_DURATION,
        seed,
        ..LoadPlan::default()
    };
    let load_task = tokio::spawn(send_load(load));
    let faults = inject(&mut fleet).await?;
    let result = load_task.await?;
    let verdict = result.verdict(&fleet.ledger.requests());
    report.count("requests", result.requests.len() as u64);
    report.count("answered", verdict.answered);
    report.count("not_run", verdict.not_run);
    report.count("unknown", verdict.unknown);
    report.count("late", result.count(RequestOutcome::Late));
    report.count("lost", verdict.lost + verdict.mismatched);
    report
        .count("connections_cut", verdict.truncated + result.count(RequestOutcome::ConnectFailed));
    report.count("duplicated", verdict.duplicated);
    report.count("false_not_run", verdict.false_not_run);
    report.count("over_capacity", verdict.over_capacity);
    for (name, injected_at) in faults {
        report
            .set(&format!("recovery_s_{name}"), recovery_time(&result, injected_at).as_secs_f64());
    }
    Ok(())
}

/// Kills and freezes an agent and a target each; returns the names and times of the faults.
async fn inject(fleet: &mut ProcessFleet) -> Result<Vec<(&'static str, Instant)>, LabError> {
    let mut faults = Vec::new();
    sleep(FAULT_INTERVAL).await;
    faults.push(("agent_killed", Instant::now()));
    fleet.agents[0].kill();
    sleep(FAULT_INTERVAL).await;
    fleet.agents[0] = fleet.spawn_agent(0)?;
    faults.push(("target_killed", Instant::now()));
    fleet.targets[1].kill();
    sleep(FAULT_INTERVAL).await;
    fleet.targets[1] = fleet.spawn_target(1)?;
    faults.push(("agent_frozen", Instant::now()));
    fleet.agents[2].signal(Signal::SIGSTOP);
    sleep(FREEZE_DURATION).await;
    fleet.agents[2].signal(Signal::SIGCONT);
    sleep(FAULT_INTERVAL - FREEZE_DURATION).await;
    faults.push(("target_frozen", Instant::now()));
    fleet.targets[3].signal(Signal::SIGSTOP);
    sleep(FREEZE_DURATION).await;
    fleet.targets[3].signal(Signal::SIGCONT);
    Ok(faults)
}

/// Time from a fault to the sending of the last request that wasn't answered in time, up to the
/// next fault.
fn recovery_time(result: &LoadResult, injected_at: Instant) -> Duration {
    let window = injected_at..injected_at + FAULT_INTERVAL;
    result
        .requests
        .iter()
        .filter(|request| {
            window.contains(&request.sent_at) && request.outcome != RequestOutcome::Answered
        })
        .map(|request| request.sent_at.duration_since(injected_at))
        .max()
        .unwrap_or(Duration::ZERO)
}
