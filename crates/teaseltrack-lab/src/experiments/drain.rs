//! Rolling planned stops of every process under load: nothing is cut off.

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

/// Requests a second.
const RATE_PER_S: f64 = 200.0;
/// Time of the load.
const LOAD_TIME: Duration = Duration::from_secs(32);
/// Time between planned stops.
const PAUSE: Duration = Duration::from_secs(2);
/// Time for a planned stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after which a leaving target gets no new work.
const LEAVE_TIME: Duration = Duration::from_secs(3);
/// Targets.
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
        // Entry 0 stays: a balancer would take a stopping entry out by its readiness.
        addresses: vec![fleet.plan.caller_address(0)],
        name: "drain".to_owned(),
        rate_per_s: RATE_PER_S,
        duration: LOAD_TIME,
        seed,
        ..LoadPlan::default()
    };
    let to_stopping = LoadPlan {
        addresses: vec![fleet.plan.caller_address(1)],
        name: "entry".to_owned(),
        ..load.clone()
    };
    let loading = tokio::spawn(send_load(load));
    let (mut accepted_after_drain, mut stops) = (0, 0);
    for index in 0..AGENTS {
        let left_at = Instant::now();
        stops += u64::from(fleet.targets[index].stop(STOP_TIMEOUT).await);
        accepted_after_drain += late_starts(&fleet, index, left_at);
        fleet.targets[index] = fleet.spawn_target(index)?;
        sleep(PAUSE).await;
        stops += u64::from(fleet.agents[index].stop(STOP_TIMEOUT).await);
        fleet.agents[index] = fleet.spawn_agent(index)?;
        sleep(PAUSE).await;
    }
    let short = LoadPlan { duration: Duration::from_millis(900), ..to_stopping };
    let loading_entry = tokio::spawn(send_load(short));
    sleep(Duration::from_millis(100)).await;
    stops += u64::from(fleet.entries[1].stop(STOP_TIMEOUT).await);
    let at_entry = loading_entry.await?;
    let result = loading.await?;
    let ran = fleet.ledger.requests();
    let verdict = result.verdict(&ran);
    let entry_verdict = at_entry.verdict(&ran);
    report.count("stops", stops);
    report.count("requests", (result.requests.len() + at_entry.requests.len()) as u64);
    report.count("answered", verdict.answered + entry_verdict.answered);
    report.count("not_run", verdict.not_run + entry_verdict.not_run);
    let interrupted = |verdict: crate::load::Verdict| {
        verdict.unknown + verdict.truncated + verdict.lost + verdict.mismatched
    };
    let cut =
        result.count(RequestOutcome::ConnectFailed) + at_entry.count(RequestOutcome::ConnectFailed);
    report.count("interrupted", interrupted(verdict) + interrupted(entry_verdict) + cut);
    report.count("accepted_after_drain", accepted_after_drain);
    report.count("duplicated", verdict.duplicated);
    report.count("false_not_run", verdict.false_not_run + entry_verdict.false_not_run);
    Ok(())
}

/// Requests that a leaving target began after the leaving time, until now.
fn late_starts(fleet: &ProcessFleet, index: usize, left_at: Instant) -> u64 {
    let leaving = fleet.plan.target_address(index);
    let started_late = |(at, event): &(Instant, LedgerEvent)| {
        matches!(event, LedgerEvent::RequestStarted { target, .. } if *target == leaving)
            && *at > left_at + LEAVE_TIME
    };
    fleet.ledger.events().iter().filter(|event| started_late(event)).count() as u64
}
