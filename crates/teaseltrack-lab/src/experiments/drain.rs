//! Rolling graceful shutdowns of targets, agents and an entry under load; no request may be
//! interrupted.

use std::time::{Duration, Instant};

use tokio::time::sleep;

use crate::{
    LabError,
    fleet::FleetPlan,
    ledger::LedgerEvent,
    load::{LoadPlan, RequestOutcome, send_load},
    operator::Operator,
    processes::ProcessFleet,
    report::Report,
};

/// Mean requests per second.
const RATE_PER_S: f64 = 200.0;
/// Duration of the load.
const LOAD_DURATION: Duration = Duration::from_secs(32);
/// Interval between graceful shutdowns.
const SHUTDOWN_INTERVAL: Duration = Duration::from_secs(2);
/// Timeout of a graceful shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after which a draining target must not receive new requests.
const DRAIN_NOTICE_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of agents, each with a target.
const AGENTS: usize = 3;

/// Runs the experiment.
///
/// # Errors
///
/// The fleet can't be started.
pub async fn run(seed: u64, report: &mut Report) -> Result<(), LabError> {
    let plan = FleetPlan { agents: AGENTS, drain_grace_ms: 1_000, ..FleetPlan::default() };
    let mut fleet = ProcessFleet::start(plan).await?;
    let operator = Operator::new(fleet.plan.operator_address(0), "lab");
    operator.submit_service("tickets", 2_000).await?;
    sleep(Duration::from_secs(3)).await;
    let load = LoadPlan {
        // Entry 0 isn't shut down: without a load balancer that checks readiness, callers would
        // keep sending to a draining entry.
        addresses: vec![fleet.plan.caller_address(0)],
        name: "drain".to_owned(),
        rate_per_s: RATE_PER_S,
        duration: LOAD_DURATION,
        seed,
        ..LoadPlan::default()
    };
    let entry_load = LoadPlan {
        addresses: vec![fleet.plan.caller_address(1)],
        name: "entry".to_owned(),
        ..load.clone()
    };
    let load_task = tokio::spawn(send_load(load));
    let (mut accepted_after_drain, mut stops) = (0, 0);
    for index in 0..AGENTS {
        let drain_started_at = Instant::now();
        stops += u64::from(fleet.targets[index].stop(SHUTDOWN_TIMEOUT).await);
        accepted_after_drain += count_late_starts(&fleet, index, drain_started_at);
        fleet.targets[index] = fleet.spawn_target(index)?;
        sleep(SHUTDOWN_INTERVAL).await;
        stops += u64::from(fleet.agents[index].stop(SHUTDOWN_TIMEOUT).await);
        fleet.agents[index] = fleet.spawn_agent(index)?;
        sleep(SHUTDOWN_INTERVAL).await;
    }
    let short_load = LoadPlan { duration: Duration::from_millis(900), ..entry_load };
    let entry_load_task = tokio::spawn(send_load(short_load));
    sleep(Duration::from_millis(100)).await;
    stops += u64::from(fleet.entries[1].stop(SHUTDOWN_TIMEOUT).await);
    let entry_result = entry_load_task.await?;
    let result = load_task.await?;
    let executed = fleet.ledger.requests();
    let verdict = result.verdict(&executed);
    let entry_verdict = entry_result.verdict(&executed);
    report.count("stops", stops);
    report.count("requests", (result.requests.len() + entry_result.requests.len()) as u64);
    report.count("answered", verdict.answered + entry_verdict.answered);
    report.count("not_run", verdict.not_run + entry_verdict.not_run);
    let interrupted = |verdict: crate::load::Verdict| {
        verdict.unknown + verdict.truncated + verdict.lost + verdict.mismatched
    };
    let connect_failed = result.count(RequestOutcome::ConnectFailed)
        + entry_result.count(RequestOutcome::ConnectFailed);
    report.count("interrupted", interrupted(verdict) + interrupted(entry_verdict) + connect_failed);
    report.count("accepted_after_drain", accepted_after_drain);
    report.count("duplicated", verdict.duplicated);
    report.count("false_not_run", verdict.false_not_run + entry_verdict.false_not_run);
    Ok(())
}

/// Counts the requests that a draining target started after `DRAIN_NOTICE_TIMEOUT`.
fn count_late_starts(fleet: &ProcessFleet, index: usize, drain_started_at: Instant) -> u64 {
    let draining_target = fleet.plan.target_address(index);
    let started_late = |(at, event): &(Instant, LedgerEvent)| {
        matches!(event, LedgerEvent::RequestStarted { target, .. } if *target == draining_target)
            && *at > drain_started_at + DRAIN_NOTICE_TIMEOUT
    };
    fleet.ledger.events().iter().filter(|event| started_late(event)).count() as u64
}
