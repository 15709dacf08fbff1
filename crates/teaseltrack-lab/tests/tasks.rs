//! Records and tasks under failure: concurrent changes, lost responses, store outages, frozen
//! processes and agents that shut down.

mod util;

use std::time::Duration;

use http::Method;
use nix::sys::signal::Signal;
use serde_json::json;
use teaseltrack::{
    outcome::ErrorKind,
    record::{Record, RecordKind},
};
use teaseltrack_cli::{client::CliError, verify::verify_streams};
use teaseltrack_daemon::http_client::CallError;
use teaseltrack_lab::{
    fleet::{FleetPlan, wait_until},
    ledger::TaskLedger,
    operator::{LabJob, Operator},
    platform::{Faults, Outage},
    processes::ProcessFleet,
};
use teaseltrack_wire::operators::SubmittedRecord;
use tokio::time::sleep;
use util::{RECOVERY_TIMEOUT, short_job, start_processes, wait_done};

/// Maximum rounds until a start must have been accepted while the worker is frozen. The agent syncs
/// with its worker ten times a second, and most runs succeed in the first round.
const MAX_ROUNDS: usize = 20;

/// Starts three instances, each with capacity for eight tasks of one core.
async fn start() -> (ProcessFleet, Operator) {
    start_with(FleetPlan::default()).await
}

async fn start_with(plan: FleetPlan) -> (ProcessFleet, Operator) {
    let plan = FleetPlan { agents: 3, has_workers: true, ..plan };
    let fleet = start_processes(plan).await;
    let operator = Operator::new(fleet.plan.operator_address(0), "test");
    (fleet, operator)
}

async fn wait_running(operator: &Operator, job: &str) {
    let is_running = wait_until(RECOVERY_TIMEOUT, || async {
        operator.job(job).await.is_ok_and(|view| view.counts.running > 0)
    })
    .await;
    assert!(is_running, "no task of {job} is running");
}

fn assert_done_once(tasks: &TaskLedger, done: usize) {
    assert_eq!(tasks.done.len(), done);
    assert_eq!((tasks.duplicated(), tasks.in_two_places, tasks.attempts_repeated), (0, 0, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn amend_race_has_one_winner() {
    let (fleet, operator) = start().await;
    let other = Operator::new(fleet.plan.operator_address(1), "other");
    let record = operator.submit_service("gate", 1_000).await.unwrap();
    let amend = |operator: Operator, timeout_ms: u64| async move {
        let body = SubmittedRecord { schema_version: 2, body: json!({ "timeout_ms": timeout_ms }) };
        let path = "/records/service/gate";
        let expected = Some(record.revision);
        operator.client.command::<_, Record>(Method::PUT, path, expected, Some(&body)).await
    };
    let (first, second) = tokio::join!(amend(operator, 2_000), amend(other, 3_000));
    let (winner, loser) = match (first, second) {
        (Ok(winner), Err(loser)) | (Err(loser), Ok(winner)) => (winner, loser),
        both => panic!("expected exactly one winner: {both:?}"),
    };
    let CliError::Call { source } = loser else { panic!("{loser:?}") };
    let CallError::Refused { problem } = *source else { panic!("{source:?}") };
    assert_eq!(problem.reason, ErrorKind::RevisionConflict);
    let names = [winner.revision.to_string(), winner.author];
    assert!(names.iter().all(|name| problem.detail.contains(name.as_str())), "{}", problem.detail);
}

#[tokio::test(flavor = "multi_thread")]
async fn notice_creates_one_job() {
    let (fleet, operator) = start().await;
    let action = LabJob { tasks: 1, cpu_milli: 100, run_ms: 50, urgency: 0 };
    let watch = json!({ "job_prefix": "recall-", "job": action.body() });
    operator.submit(RecordKind::Watch, "recalls", 1, watch).await.unwrap();
    let notifiers: Vec<_> = (0..6)
        .map(|number| {
            let entry = fleet.plan.operator_address(number % 2);
            tokio::spawn(
                async move { Operator::new(entry, "teller").notify("recalls", "lot-7").await },
            )
        })
        .collect();
    let mut accepted = 0;
    for notifier in notifiers {
        accepted += u32::from(notifier.await.unwrap().is_ok());
    }
    assert_eq!(accepted, 1);
    wait_done(&operator, "recall-lot-7").await;
    assert_done_once(&fleet.ledger.tasks(&[]), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn tasks_done_once_with_lost_responses() {
    let (fleet, operator) = start().await;
    fleet.platform.set_faults(Faults { lost_response_ratio: 0.4, ..Faults::default() });
    for number in 0..5 {
        operator.submit_job(&format!("job-{number}"), short_job(4, 200)).await.unwrap();
    }
    for number in 0..5 {
        wait_done(&operator, &format!("job-{number}")).await;
    }
    assert_done_once(&fleet.ledger.tasks(&[]), 20);
    let streams = verify_streams(&operator.client).await.unwrap();
    let configuration = &streams[0];
    assert_eq!((configuration.stream.as_str(), configuration.entries), ("configuration", 6));
}

#[tokio::test(flavor = "multi_thread")]
async fn tasks_done_once_through_outage_longer_than_lease() {
    let (fleet, operator) = start().await;
    operator.submit_job("settlement", short_job(12, 3_000)).await.unwrap();
    wait_running(&operator, "settlement").await;
    fleet.platform.set_faults(Faults { outage: Outage::Silent, ..Faults::default() });
    sleep(Duration::from_millis(fleet.plan.lease_ttl_ms * 2)).await;
    fleet.platform.set_faults(Faults::default());
    wait_done(&operator, "settlement").await;
    assert_done_once(&fleet.ledger.tasks(&[]), 12);
    verify_streams(&operator.client).await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn tasks_rescheduled_while_agent_frozen() {
    // The lease outlasts the failure detection of the membership.
    let plan = FleetPlan { lease_ttl_ms: 8_000, ..FleetPlan::default() };
    let (fleet, operator) = start_with(plan).await;
    operator.submit_job("settlement", short_job(20, 9_000)).await.unwrap();
    wait_running(&operator, "settlement").await;
    sleep(Duration::from_millis(500)).await;
    fleet.agents[0].signal(Signal::SIGSTOP);
    sleep(Duration::from_millis(fleet.plan.lease_ttl_ms * 2)).await;
    fleet.agents[0].signal(Signal::SIGCONT);
    wait_done(&operator, "settlement").await;
    let tasks = fleet.ledger.tasks(&[]);
    assert_done_once(&tasks, 20);
    let moved = tasks.attempts.iter().filter(|(_, attempt)| *attempt > 1).count();
    assert!(moved > 0, "no task was rescheduled from the frozen agent");
}

#[tokio::test(flavor = "multi_thread")]
async fn tasks_resumed_once_after_graceful_shutdown() {
    let (mut fleet, operator) = start().await;
    operator.submit_job("settlement", short_job(20, 4_000)).await.unwrap();
    wait_running(&operator, "settlement").await;
    sleep(Duration::from_millis(800)).await;
    assert!(fleet.agents[1].stop(RECOVERY_TIMEOUT).await);
    wait_done(&operator, "settlement").await;
    let tasks = fleet.ledger.tasks(&[]);
    assert_done_once(&tasks, 20);
    assert!(!tasks.resumed.is_empty());
    assert!(tasks.resumed.iter().all(|(_, attempt)| *attempt == 2), "{:?}", tasks.resumed);
}

#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_job_stops() {
    let (fleet, operator) = start().await;
    let record = operator.submit_job("settlement", short_job(6, 60_000)).await.unwrap();
    wait_running(&operator, "settlement").await;
    let path = "/records/job/settlement";
    let expected = Some(record.revision);
    let withdrawn: Result<Record, _> =
        operator.client.command(Method::DELETE, path, expected, None::<&()>).await;
    withdrawn.unwrap();
    let is_idle = wait_until(RECOVERY_TIMEOUT, || async {
        let mut running = 0.0;
        for agent in 0..fleet.plan.agents {
            let status = fleet.agent_status(agent).await.unwrap_or_default();
            running += status["attempts_running"].as_f64().unwrap_or(1.0);
        }
        running == 0.0
    })
    .await;
    assert!(is_idle, "tasks of the withdrawn job still run");
    let counts = operator.job("settlement").await.unwrap().counts;
    assert_eq!((counts.cancelled, counts.running), (6, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn unplaceable_job_parked_and_others_run() {
    let (_fleet, operator) = start().await;
    let huge = LabJob { tasks: 2, cpu_milli: 1_000_000, run_ms: 100, urgency: 0 };
    operator.submit_job("huge", huge).await.unwrap();
    operator.submit_job("small", short_job(4, 100)).await.unwrap();
    wait_done(&operator, "small").await;
    let is_parked = wait_until(RECOVERY_TIMEOUT, || async {
        operator.job("huge").await.is_ok_and(|view| view.counts.parked == 2)
    })
    .await;
    assert!(is_parked);
}

#[tokio::test(flavor = "multi_thread")]
async fn start_resent_when_worker_never_received_it() {
    let plan =
        FleetPlan { agents: 1, has_workers: true, lease_ttl_ms: 60_000, ..FleetPlan::default() };
    let mut fleet = start_processes(plan).await;
    let operator = Operator::new(fleet.plan.operator_address(0), "test");
    operator.submit_job("first", short_job(1, 50)).await.unwrap();
    wait_done(&operator, "first").await;
    let mut done = 1;

    // The agent accepts the start, its worker doesn't respond, and the agent's process is replaced.
    // While an agent waits for the response to a sync it grants no reservations, so a round can
    // fail; the worker is then resumed and the next round uses a new job.
    let mut job = String::new();
    let mut is_accepted = false;
    for round in 1..=MAX_ROUNDS {
        job = format!("silent-{round}");
        fleet.workers[0].signal(Signal::SIGSTOP);
        operator.submit_job(&job, short_job(1, 50)).await.unwrap();
        is_accepted = wait_until(Duration::from_secs(1), || async {
            operator.job(&job).await.is_ok_and(|view| view.counts.running > 0)
        })
        .await;
        done += 1;
        if is_accepted {
            break;
        }
        fleet.workers[0].signal(Signal::SIGCONT);
        wait_done(&operator, &job).await;
    }
    assert!(is_accepted, "no start was accepted with a frozen worker in {MAX_ROUNDS} rounds");
    sleep(Duration::from_millis(2_500)).await;
    fleet.agents[0].kill();
    fleet.workers[0].signal(Signal::SIGCONT);
    fleet.agents[0] = fleet.spawn_agent(0).unwrap();
    wait_done(&operator, &job).await;
    assert_done_once(&fleet.ledger.tasks(&[]), done);
}
