//! Requests under failure: closed connections, frozen processes, a store outage and graceful
//! shutdowns. Outcomes are checked against the ledger of executed requests.

mod util;

use std::{net::SocketAddr, time::Duration};

use nix::sys::signal::Signal;
use teaseltrack_daemon::http_client::HttpClient;
use teaseltrack_entry::callers::agent_connection::AgentConnections;
use teaseltrack_lab::{
    experiments::flood::wait_ready,
    fleet::{Fleet, FleetPlan, wait_until},
    load::{LoadPlan, LoadResult, RequestOutcome, Verdict, send_load},
    operator::Operator,
    platform::{Faults, Outage},
    relay::RelayFaults,
    target::TargetBehaviour,
};
use teaseltrack_wire::request_path::{
    RequestFrame, RequestHead, answer_frame, request_frame, request_path_client::RequestPathClient,
};
use tokio::time::{sleep, timeout};
use util::{assert_invariants, load, start_processes, wait_served};
use yare::parameterized;

/// Sends a load through all entries of a fleet in this process.
async fn send(fleet: &Fleet, name: &str) -> LoadResult {
    send_load(LoadPlan {
        addresses: (0..fleet.plan.entries).map(|entry| fleet.plan.caller_address(entry)).collect(),
        name: name.to_owned(),
        rate_per_s: 80.0,
        duration: Duration::from_secs(2),
        timeout: Duration::from_secs(1),
        ..LoadPlan::default()
    })
    .await
}

async fn start(plan: FleetPlan) -> Fleet {
    let fleet = Fleet::start(plan).await.unwrap();
    let operator = Operator::new(fleet.plan.operator_address(0), "test");
    operator.submit_service("tickets", 2_000).await.unwrap();
    wait_ready(&fleet).await.unwrap();
    fleet
}

fn assert_local_invariants(fleet: &Fleet, result: &LoadResult) -> Verdict {
    let verdict = result.verdict(&fleet.ledger.requests());
    let violations = [
        verdict.duplicated,
        verdict.false_not_run,
        verdict.mismatched,
        verdict.over_capacity,
        verdict.lost,
    ];
    assert_eq!(violations, [0; 5], "{verdict:?}");
    verdict
}

#[parameterized(
    before_request = { RelayFaults { is_refusing: true, ..RelayFaults::default() } },
    at_request = { RelayFaults { cut_after_request_bytes: Some(0), ..RelayFaults::default() } },
    within_request = { RelayFaults { cut_after_request_bytes: Some(120), ..RelayFaults::default() } },
    before_response = { RelayFaults { cut_after_response_bytes: Some(0), ..RelayFaults::default() } },
    within_response = { RelayFaults { cut_after_response_bytes: Some(100), ..RelayFaults::default() } },
    between_responses = { RelayFaults { cut_after_response_bytes: Some(1_000), ..RelayFaults::default() } },
    delayed = { RelayFaults { delay: Duration::from_millis(40), ..RelayFaults::default() } },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn requests_consistent_with_connections_cut(faults: RelayFaults) {
    let plan = FleetPlan { agents: 2, has_relays: true, ..FleetPlan::default() };
    let fleet = start(plan).await;
    fleet.relays[0].set_faults(faults);
    fleet.relays[0].cut_all();
    let result = send(&fleet, "cut").await;
    let verdict = assert_local_invariants(&fleet, &result);
    assert!(verdict.answered * 4 > result.requests.len() as u64, "{verdict:?}");
}

#[parameterized(
    before_response = { TargetBehaviour { cut_before_ratio: 0.3, service_time_ms: 5.0, ..TargetBehaviour::default() } },
    within_response = { TargetBehaviour { cut_within_ratio: 0.3, service_time_ms: 5.0, ..TargetBehaviour::default() } },
    slow = { TargetBehaviour { service_time_ms: 900.0, jitter_ms: 300.0, ..TargetBehaviour::default() } },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn requests_consistent_with_faulty_targets(behaviour: TargetBehaviour) {
    let fleet = start(FleetPlan { agents: 2, ..FleetPlan::default() }).await;
    fleet.targets[0].set_behaviour(behaviour);
    fleet.targets[1].set_behaviour(behaviour);
    let result = send(&fleet, "bad").await;
    assert_local_invariants(&fleet, &result);
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_consistent_with_agent_and_target_frozen() {
    let fleet = start_processes(FleetPlan { agents: 3, ..FleetPlan::default() }).await;
    let load_task = tokio::spawn(send_load(LoadPlan {
        duration: Duration::from_secs(8),
        timeout: Duration::from_secs(1),
        ..load(&fleet, "frozen")
    }));
    sleep(Duration::from_secs(1)).await;
    fleet.targets[0].signal(Signal::SIGSTOP);
    sleep(Duration::from_secs(1)).await;
    fleet.agents[1].signal(Signal::SIGSTOP);
    sleep(Duration::from_secs(2)).await;
    fleet.targets[0].signal(Signal::SIGCONT);
    fleet.agents[1].signal(Signal::SIGCONT);
    let result = load_task.await.unwrap();
    assert_invariants(&fleet, &result);
    wait_served(&fleet, "thawed").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_within_slots_after_target_resumed() {
    let plan = FleetPlan { agents: 1, entries: 1, ..FleetPlan::default() };
    let fleet = start_processes(plan).await;
    let load_task = tokio::spawn(send_load(LoadPlan {
        duration: Duration::from_secs(6),
        timeout: Duration::from_millis(500),
        post_ratio: 1.0,
        ..load(&fleet, "thaw")
    }));
    sleep(Duration::from_secs(1)).await;
    fleet.targets[0].signal(Signal::SIGSTOP);
    sleep(Duration::from_secs(3)).await;
    fleet.targets[0].signal(Signal::SIGCONT);
    let result = load_task.await.unwrap();
    assert_invariants(&fleet, &result);
    wait_served(&fleet, "thawed").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_answered_without_store() {
    let plan = FleetPlan { agents: 2, has_seeds: true, ..FleetPlan::default() };
    let mut fleet = start_processes(plan).await;
    fleet.platform.set_faults(Faults { outage: Outage::Silent, ..Faults::default() });
    let result = send_load(load(&fleet, "outage")).await;
    assert_eq!(result.count(RequestOutcome::Answered), result.requests.len() as u64);

    // An entry that starts during the outage receives records and targets from its peers.
    fleet.entries[1].kill();
    fleet.entries[1] = fleet.spawn_entry(1).unwrap();
    fleet.wait_ready().await.unwrap();
    util::wait_records_applied(&fleet).await;
    wait_served(&fleet, "new-entry").await;
    assert_invariants(&fleet, &result);
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_uninterrupted_by_graceful_shutdowns() {
    // Requests are slow, not idempotent and routed within the entry's zone, so that some are in
    // progress at each shutdown and would fail if it interrupted them.
    let behaviour = TargetBehaviour { service_time_ms: 200.0, ..TargetBehaviour::default() };
    let plan = FleetPlan { agents: 2, drain_grace_ms: 1_000, behaviour, ..FleetPlan::default() };
    let mut fleet = start_processes(plan).await;
    let steady = LoadPlan {
        addresses: vec![fleet.plan.caller_address(0)],
        rate_per_s: 25.0,
        duration: Duration::from_secs(10),
        post_ratio: 1.0,
        ..load(&fleet, "planned")
    };
    let load_task = tokio::spawn(send_load(steady));
    sleep(Duration::from_secs(1)).await;
    let shutdown_timeout = Duration::from_secs(30);
    assert!(fleet.targets[0].stop(shutdown_timeout).await);
    fleet.targets[0] = fleet.spawn_target(0).unwrap();
    fleet.wait_ready().await.unwrap();
    sleep(Duration::from_secs(2)).await;
    assert!(fleet.agents[0].stop(shutdown_timeout).await);
    assert!(fleet.entries[1].stop(shutdown_timeout).await);
    let result = load_task.await.unwrap();
    assert_eq!(
        result.count(RequestOutcome::Answered),
        result.requests.len() as u64,
        "{:?}",
        result.counts()
    );
    assert_invariants(&fleet, &result);
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_target_receives_no_new_requests() {
    let behaviour = TargetBehaviour { service_time_ms: 1_500.0, ..TargetBehaviour::default() };
    let plan = FleetPlan { agents: 1, entries: 1, behaviour, ..FleetPlan::default() };
    let fleet = Fleet::start(plan).await.unwrap();
    let operator = Operator::new(fleet.plan.operator_address(0), "test");
    operator.submit_service("tickets", 5_000).await.unwrap();
    let agent = fleet.plan.request_address(0);
    let is_forwarding = wait_until(util::RECOVERY_TIMEOUT, || forward(agent, "ready")).await;
    assert!(is_forwarding, "agent doesn't forward requests");

    let running_request = tokio::spawn(async move { forward(agent, "running").await });
    sleep(Duration::from_millis(300)).await;
    let target = fleet.targets[0].clone();
    let shutdown_task = tokio::spawn(async move { target.shut_down().await });
    sleep(Duration::from_millis(300)).await;
    assert!(!forward(agent, "late").await, "draining target received a new request");
    assert!(running_request.await.unwrap(), "running request was interrupted");
    shutdown_task.await.unwrap();
    assert!(!fleet.ledger.requests().runs.contains_key("late"));
}

#[tokio::test(flavor = "multi_thread")]
async fn slots_released_after_callers_disconnected() {
    let plan = FleetPlan { agents: 1, entries: 1, ..FleetPlan::default() };
    let fleet = start(plan).await;
    let agent = fleet.plan.request_address(0);
    let mut callers = tokio::task::JoinSet::new();
    for number in 0..3_000_u64 {
        let caller_timeout = Duration::from_micros(number * 37 % 12_000);
        callers.spawn(async move {
            drop(timeout(caller_timeout, forward(agent, &format!("left-{number}"))).await);
        });
        if number % 20 == 0 {
            sleep(Duration::from_millis(5)).await;
        }
    }
    while callers.join_next().await.is_some() {}
    let client = HttpClient::new(Duration::from_secs(2));
    let health = fleet.plan.agent_health_address(0);
    let is_free = wait_until(Duration::from_secs(10), || async {
        let status: Result<serde_json::Value, _> = client.get(health, "/status").await;
        status.is_ok_and(|status| status["requests_in_flight"] == 0)
    })
    .await;
    assert!(is_free, "slots are still in use");
}

/// Sends a request directly to an agent; returns whether the target responded.
async fn forward(agent: SocketAddr, request_id: &str) -> bool {
    let Ok(call) = AgentConnections::default().connection(agent).await else { return false };
    let head = RequestHead {
        request_id: request_id.to_owned(),
        service: "tickets".to_owned(),
        method: "POST".to_owned(),
        path_and_query: "/".to_owned(),
        remaining_ms: 4_000,
        ..RequestHead::default()
    };
    let frame = RequestFrame { frame: Some(request_frame::Frame::Head(head)) };
    let mut client = RequestPathClient::with_origin(call, "http://agent".parse().unwrap());
    let Ok(response) = client.forward(tokio_stream::iter([frame])).await else { return false };
    let first = response.into_inner().message().await.ok().flatten();
    matches!(first.and_then(|frame| frame.frame), Some(answer_frame::Frame::Head(_)))
}

#[parameterized(
    timeout = { "x-timeout-ms", "soon", "x-timeout-ms" },
    priority = { "priority", "u=9", "priority" },
    request_id = { "x-request-id", "", "x-request-id" },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn request_refused_names_header(name: &str, value: &str, header: &str) {
    let fleet = start(FleetPlan { agents: 1, entries: 1, ..FleetPlan::default() }).await;
    let address = fleet.plan.caller_address(0);
    let request = http::Request::get(format!("http://{address}/tickets/a"))
        .header(name, value)
        .body(http_body_util::Full::default())
        .unwrap();
    let response = HttpClient::new(Duration::from_secs(5)).send(address, request).await.unwrap();
    let text = String::from_utf8_lossy(&response.body).into_owned();
    assert_eq!(response.status, 400, "{text}");
    assert!(text.contains(header) && text.contains("not_run"), "{text}");
    assert!(
        wait_until(Duration::from_secs(5), || async { wait_ready(&fleet).await.is_ok() }).await
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn request_refused_body_too_large() {
    let fleet = start(FleetPlan { agents: 1, entries: 1, ..FleetPlan::default() }).await;
    let address = fleet.plan.caller_address(0);
    let request = http::Request::post(format!("http://{address}/tickets/a"))
        .body(http_body_util::Full::from(vec![b'a'; (1 << 20) + 1]))
        .unwrap();
    let response = HttpClient::new(Duration::from_secs(5)).send(address, request).await.unwrap();
    assert_eq!(response.status, 413);
    assert!(fleet.ledger.requests().runs.keys().all(|id| id.starts_with("ready")));
}
