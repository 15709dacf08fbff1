//! Tests of the agent's async task with a worker that restarts while responses are in flight, whose
//! capacity changes, or whose availability zone is evacuated.

use std::{
    collections::BTreeSet,
    future::{pending, ready},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use futures::future::BoxFuture;
use teaseltrack::{
    cell::{
        evacuation::EvacuationNotice,
        interference::{InterferenceEstimates, PairInterference},
        protocol::{
            EndCause, EndedTask, Order, Report, ReportResponse, RunningTask, SharingTraits,
            StartOrder, TaskName, WorkerListing, WorkerStatus,
        },
    },
    clock::SystemClock,
    placement::Resources,
};
use teaseltrack_cell::{
    agent::{AGENT_MAILBOX_SIZE, AgentContext, AgentEvent, ClockReading, Heartbeat, run_agent},
    calls::{CallServer, InboundCall, KnownOwner, serve_calls},
    constants::WORKER_CALL_TIMEOUT,
    local_owner::LocalOwner,
    worker_port::{AddressedCall, WorkerAdapter, WorkerCall, WorkerError, WorkerResponse},
};
use teaseltrack_daemon::{logs::silent, metrics::Metrics};
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;
use yare::parameterized;

/// Far longer than the agent needs to handle an event, so that the test passes on a loaded machine.
const TIMEOUT: Duration = Duration::from_secs(20);
const CAPACITY: Resources = Resources { cpu_milli: 8_000, memory_mib: 16_000, accelerators: 0 };
const SMALL_CAPACITY: Resources = Resources { cpu_milli: 4_000, ..CAPACITY };

fn status(started_unix_ms: u64) -> WorkerStatus {
    WorkerStatus {
        worker: "worker".to_owned(),
        started_unix_ms,
        capacity: CAPACITY,
        ..WorkerStatus::default()
    }
}

fn heartbeat(started_unix_ms: u64) -> AgentEvent {
    numbered_heartbeat(1, status(started_unix_ms))
}

fn numbered_heartbeat(number: u64, status: WorkerStatus) -> AgentEvent {
    AgentEvent::Heartbeat(Heartbeat { number, status, clock_ms: 1_000 })
}

fn heartbeat_with_capacity(number: u64, capacity: Resources) -> AgentEvent {
    numbered_heartbeat(number, WorkerStatus { capacity, ..status(1) })
}

fn task(index: u32) -> TaskName {
    TaskName { job: "job".to_owned(), occurrence: 0, stage: 0, index }
}

fn start(index: u32, planned_capacity: Resources) -> Order {
    Order::Start(StartOrder {
        task: task(index),
        attempt: 1,
        payload: String::new(),
        checkpoint: String::new(),
        planned_capacity,
    })
}

fn reported(started_unix_ms: u64, response: ReportResponse) -> AgentEvent {
    AgentEvent::Reported {
        incarnation: status(started_unix_ms).incarnation(),
        is_poll: false,
        refused_count: 0,
        sent_at: Instant::now(),
        clock: ClockReading { clock_ms: 1_000, received_at: Instant::now() },
        response: Some(Box::new(response)),
    }
}

fn response(session: u64, forget_until: u64) -> ReportResponse {
    ReportResponse { epoch: 1, session, forget_until, ..ReportResponse::default() }
}

/// Response with orders under session 5.
fn orders(orders: Vec<Order>) -> ReportResponse {
    let lease_until_ms = Some(100_000);
    ReportResponse { lease_until_ms, first_order: 1, orders, ..response(5, 0) }
}

/// Agent under test. Its worker identifies itself at once; the test's adapter gets all other calls.
struct TestAgent {
    events: mpsc::Sender<AgentEvent>,
    /// Start of the incarnation as which the worker identifies itself.
    worker_start: Arc<AtomicU64>,
    metrics: Metrics,
    closing: CancellationToken,
}

impl TestAgent {
    fn start(
        known_owner: watch::Receiver<KnownOwner>,
        worker: impl FnOnce(mpsc::Sender<AgentEvent>) -> WorkerAdapter,
    ) -> Self {
        let (events, inbox) = mpsc::channel(AGENT_MAILBOX_SIZE);
        let worker_start = Arc::new(AtomicU64::new(0));
        let metrics = Metrics::scrape_only();
        let context = AgentContext {
            cell: 0,
            instance: "instance".to_owned(),
            address: "127.0.0.1:1".to_owned(),
            started_unix_ms: 1,
            worker: identifying_worker(worker_start.clone(), worker(events.clone())),
            clock: Arc::new(SystemClock),
            known_owner,
            owner_contact: watch::channel(None).0,
            has_uncommitted_ends: watch::channel(false).0,
            logger: silent(),
            metrics: metrics.clone(),
        };
        let closing = CancellationToken::new();
        tokio::spawn(run_agent(context, events.clone(), inbox, closing.clone()));
        Self { events, worker_start, metrics, closing }
    }

    /// Starts an incarnation of the worker with a heartbeat; returns once the agent believes it.
    async fn start_incarnation(&self, started_unix_ms: u64, heartbeat: AgentEvent) {
        let earlier_count = self.count("worker_incarnations");
        self.worker_start.store(started_unix_ms, Ordering::Relaxed);
        self.send(heartbeat).await;
        self.wait_for_count("worker_incarnations", earlier_count + 1).await;
    }

    fn count(&self, name: &str) -> u64 {
        let text = self.metrics.text().expect("text");
        let prefix = format!("teaseltrack_{name}_total ");
        text.lines().find_map(|line| line.strip_prefix(&prefix)?.parse().ok()).unwrap_or(0)
    }

    async fn wait_for_count(&self, name: &str, count: u64) {
        let reached = async {
            while self.count(name) < count {
                sleep(Duration::from_millis(1)).await;
            }
        };
        timeout(TIMEOUT, reached).await.expect("count not reached");
    }

    async fn send(&self, event: AgentEvent) {
        self.events.send(event).await.unwrap();
    }
}

impl Drop for TestAgent {
    fn drop(&mut self) {
        self.closing.cancel();
    }
}

/// Worker that identifies itself as the incarnation with a start; all other calls go to `worker`.
fn identifying_worker(worker_start: Arc<AtomicU64>, worker: WorkerAdapter) -> WorkerAdapter {
    Arc::new(move |call: AddressedCall| {
        if call.call != WorkerCall::Identify {
            return worker(call);
        }
        let started_unix_ms = worker_start.load(Ordering::Relaxed);
        let response = WorkerResponse { listing: None, ..worker_response(started_unix_ms) };
        Box::pin(ready(Ok(response)))
    })
}

/// Owner that gives the same response to all reports.
struct TestOwner {
    known_owner: watch::Receiver<KnownOwner>,
    reports: mpsc::UnboundedReceiver<Report>,
    closing: CancellationToken,
    _mailbox: watch::Sender<Option<mpsc::Sender<InboundCall>>>,
}

impl TestOwner {
    async fn start(response: ReportResponse) -> Self {
        Self::start_build(response, true).await
    }

    async fn start_build(response: ReportResponse, reads_known_leases: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = Some(listener.local_addr().unwrap());
        let (_, known_owner) = watch::channel(KnownOwner { epoch: 1, address, reads_known_leases });
        let (mailbox, mut calls) = mpsc::channel(16);
        let (mailbox, owner) = watch::channel(Some(mailbox));
        let local_owner = LocalOwner::new("instance-1".to_owned(), Arc::new(SystemClock));
        let server = CallServer { owner, known_owner: known_owner.clone(), local_owner };
        let closing = CancellationToken::new();
        tokio::spawn(serve_calls(listener, server, closing.clone()));
        let (sender, reports) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Some(InboundCall::Report(report, reply)) = calls.recv().await {
                let (response, wait) = (response.clone(), Duration::from_millis(report.wait_ms));
                sender.send(*report).ok();
                tokio::spawn(async move {
                    sleep(wait).await;
                    reply.send(response).ok();
                });
            }
        });
        Self { known_owner, reports, closing, _mailbox: mailbox }
    }

    /// Waits for a report that meets the condition.
    async fn report(&mut self, is_expected: impl Fn(&Report) -> bool) -> Report {
        let report = async {
            loop {
                let report = self.reports.recv().await.expect("owner ended");
                if is_expected(&report) {
                    return report;
                }
            }
        };
        timeout(TIMEOUT, report).await.expect("no such report")
    }
}

impl Drop for TestOwner {
    fn drop(&mut self) {
        self.closing.cancel();
    }
}

fn synced(started_unix_ms: u64) -> BoxFuture<'static, Result<WorkerResponse, WorkerError>> {
    Box::pin(async move {
        sleep(Duration::from_millis(20)).await;
        Ok(worker_response(started_unix_ms))
    })
}

/// Number of starts until none has been sent for a multiple of the timeout of a call.
async fn count_starts(starts: &mut mpsc::UnboundedReceiver<WorkerCall>) -> usize {
    let mut start_count = 0;
    while let Ok(Some(_)) = timeout(4 * WORKER_CALL_TIMEOUT, starts.recv()).await {
        start_count += 1;
    }
    start_count
}

/// Worker that responds to sync calls only, and publishes the starts that it receives.
fn worker_without_responses(calls: mpsc::UnboundedSender<WorkerCall>) -> WorkerAdapter {
    Arc::new(move |call: AddressedCall| {
        if matches!(call.call, WorkerCall::Sync { .. }) {
            return synced(1);
        }
        if matches!(call.call, WorkerCall::Start { .. }) {
            calls.send(call.call).ok();
        }
        let no_response: BoxFuture<'static, Result<_, WorkerError>> = Box::pin(pending());
        no_response
    })
}

fn reported_capacity(report: &Report) -> Option<Resources> {
    report.status.as_ref().map(|status| status.capacity)
}

fn worker_response(started_unix_ms: u64) -> WorkerResponse {
    WorkerResponse {
        clock_ms: Some(1_000),
        started_unix_ms: Some(started_unix_ms),
        listing: Some(WorkerListing { running: Some(Vec::new()), ended: Vec::new() }),
        has_missing_rows: false,
    }
}

/// Worker that executes all calls and publishes those that aren't sync calls.
fn worker(calls: mpsc::UnboundedSender<WorkerCall>) -> WorkerAdapter {
    Arc::new(move |call: AddressedCall| {
        if !matches!(call.call, WorkerCall::Sync { .. }) {
            calls.send(call.call).ok();
        }
        let responding: BoxFuture<'static, _> = Box::pin(async move {
            sleep(Duration::from_millis(20)).await;
            Ok(worker_response(1))
        });
        responding
    })
}

/// Waits for a sync call under a session; returns the number up to which ends may be discarded.
async fn next_sync(syncs: &mut mpsc::UnboundedReceiver<(u64, u64)>, session: u64) -> u64 {
    let sync = async {
        loop {
            let (call_session, forget_until) = syncs.recv().await.expect("agent task ended");
            if call_session == session {
                return forget_until;
            }
        }
    };
    timeout(TIMEOUT, sync).await.expect("no sync call under the session")
}

#[tokio::test]
async fn handle_report_response_about_earlier_incarnation_discards_no_ends_of_the_next() {
    let (sync_sender, mut syncs) = mpsc::unbounded_channel();
    let started_unix_ms = Arc::new(Mutex::new(1));
    let worker_start = started_unix_ms.clone();
    let worker = Arc::new(move |call: AddressedCall| {
        if let WorkerCall::Sync { forget_until, .. } = call.call {
            sync_sender.send((call.session, forget_until)).ok();
        }
        let response = worker_response(*worker_start.lock().unwrap());
        let responding: BoxFuture<'static, _> = Box::pin(async move {
            sleep(Duration::from_millis(20)).await;
            Ok(response)
        });
        responding
    });
    let (_owner, known_owner) = watch::channel(KnownOwner::default());
    let agent = TestAgent::start(known_owner, |_| worker);

    agent.start_incarnation(1, heartbeat(1)).await;
    agent.send(reported(1, response(5, 2))).await;
    assert_eq!(next_sync(&mut syncs, 5).await, 2);

    // The worker crashes and restarts; the response to an earlier report arrives only now.
    *started_unix_ms.lock().unwrap() = 2;
    agent.start_incarnation(2, heartbeat(2)).await;
    agent.send(reported(1, response(5, 2))).await;
    agent.send(reported(2, response(6, 0))).await;
    assert_eq!(next_sync(&mut syncs, 6).await, 0);
}

/// Guards against a changed capacity that the owner learns of only with another change.
#[tokio::test]
async fn handle_heartbeat_reports_a_changed_capacity() {
    let mut owner = TestOwner::start(response(5, 0)).await;
    let (calls, _) = mpsc::unbounded_channel();
    let agent = TestAgent::start(owner.known_owner.clone(), |_| worker(calls));
    agent.start_incarnation(1, heartbeat(1)).await;
    for (number, capacity) in (1..).zip([CAPACITY, SMALL_CAPACITY, CAPACITY]) {
        agent.send(heartbeat_with_capacity(number, capacity)).await;
        owner.report(|report| reported_capacity(report) == Some(capacity)).await;
    }
}

/// Guards against a larger capacity, or an ended drain, that a late heartbeat brings back.
#[tokio::test]
async fn handle_heartbeat_ignores_one_older_than_the_last() {
    let mut owner = TestOwner::start(response(5, 0)).await;
    let (calls, _) = mpsc::unbounded_channel();
    let agent = TestAgent::start(owner.known_owner.clone(), |_| worker(calls));
    agent.start_incarnation(1, heartbeat_with_capacity(4, SMALL_CAPACITY)).await;
    owner.report(|report| reported_capacity(report) == Some(SMALL_CAPACITY)).await;
    agent.send(heartbeat_with_capacity(3, CAPACITY)).await;
    for _ in 0..6 {
        let report = owner.report(|_| true).await;
        assert_eq!(reported_capacity(&report), Some(SMALL_CAPACITY));
    }
    // A new incarnation numbers its heartbeats anew.
    agent.start_incarnation(2, heartbeat(2)).await;
    owner.report(|report| reported_capacity(report) == Some(CAPACITY)).await;
}

/// Guards against starts over the capacity of a restarted worker, which may have less than before.
#[tokio::test]
async fn handle_sync_result_of_a_restarted_worker_reports_no_capacity_until_its_heartbeat() {
    let mut owner = TestOwner::start(response(5, 0)).await;
    let worker = Arc::new(move |_| {
        let responding: BoxFuture<'static, _> = Box::pin(async move {
            sleep(Duration::from_millis(20)).await;
            Ok(worker_response(2))
        });
        responding
    });
    let agent = TestAgent::start(owner.known_owner.clone(), |_| worker);
    agent.start_incarnation(1, heartbeat(1)).await;
    let is_restarted =
        |report: &Report| report.status.as_ref().is_some_and(|status| status.started_unix_ms == 2);
    let report = owner.report(is_restarted).await;
    assert_eq!(reported_capacity(&report), Some(Resources::default()));
    agent.send(numbered_heartbeat(1, WorkerStatus { capacity: SMALL_CAPACITY, ..status(2) })).await;
    owner.report(|report| reported_capacity(report) == Some(SMALL_CAPACITY)).await;
}

/// Guards against a sound worker that gets no more work, since its agent has once taken it for one with a later
/// start, or since the worker's wall clock was set back before it restarted.
#[tokio::test]
async fn handle_sync_result_believes_an_earlier_start() {
    let mut owner = TestOwner::start(response(5, 0)).await;
    let (calls, _) = mpsc::unbounded_channel();
    let agent = TestAgent::start(owner.known_owner.clone(), |_| worker(calls));
    agent.start_incarnation(2, heartbeat(2)).await;
    let started_unix_ms =
        |report: &Report| report.status.as_ref().map(|status| status.started_unix_ms);
    owner.report(|report| started_unix_ms(report) == Some(1)).await;
    agent.send(heartbeat(1)).await;
    owner.report(|report| reported_capacity(report) == Some(CAPACITY)).await;
}

/// Guards against a lease that the owner takes for expired too early, since the agent has reported before it
/// knew what an earlier process of it had, or without one that it has got.
#[tokio::test]
async fn build_report_states_the_known_leases_once_the_worker_has_responded() {
    let granted = ReportResponse { lease_until_ms: Some(100_000), ..response(5, 0) };
    let mut owner = TestOwner::start(granted).await;
    let (responses, permitted) = watch::channel(false);
    let worker = Arc::new(move |_| {
        let mut permitted = permitted.clone();
        let responding: BoxFuture<'static, _> = Box::pin(async move {
            sleep(Duration::from_millis(20)).await;
            permitted.wait_for(|is_permitted| *is_permitted).await.ok();
            Ok(worker_response(1))
        });
        responding
    });
    let agent = TestAgent::start(owner.known_owner.clone(), |_| worker);
    agent.start_incarnation(1, heartbeat(1)).await;
    for _ in 0..3 {
        let report = owner.report(|report| report.session == 5).await;
        assert_eq!(report.known_leases, None);
    }
    responses.send_replace(true);
    let report = owner.report(|report| report.known_leases.is_some()).await;
    assert_eq!(report.known_leases.map(|known| known.lease_until_ms), Some(100_000));
    // The worker's clock stands still.
    let age_ms = |report: &Report| report.known_leases.map_or(0, |known| known.reading_age_ms);
    let first_age_ms = age_ms(&report);
    owner.report(|report| age_ms(report) > first_age_ms + 100).await;
    // Another incarnation has leases of its own.
    agent.start_incarnation(2, heartbeat(2)).await;
    let report = owner.report(|report| report.session == 0).await;
    assert_eq!(report.known_leases, None);
}

/// Guards against reports that an owner of an earlier build can't read.
#[tokio::test]
async fn build_report_leaves_the_known_leases_out_for_an_earlier_owner() {
    let granted = ReportResponse { lease_until_ms: Some(100_000), ..response(5, 0) };
    let mut owner = TestOwner::start_build(granted, false).await;
    let (calls, _) = mpsc::unbounded_channel();
    let agent = TestAgent::start(owner.known_owner.clone(), |_| worker(calls));
    agent.start_incarnation(1, heartbeat(1)).await;
    for _ in 0..3 {
        let report = owner.report(|report| report.listing.is_some()).await;
        assert_eq!(report.known_leases, None);
    }
}

/// Guards against a start over the capacity by an order that was sent before the owner learned of a
/// smaller one.
#[tokio::test]
async fn send_start_refuses_an_order_planned_against_a_larger_capacity() {
    let mut owner =
        TestOwner::start(orders(vec![start(0, CAPACITY), start(1, SMALL_CAPACITY)])).await;
    let (calls, mut worker_calls) = mpsc::unbounded_channel();
    let agent = TestAgent::start(owner.known_owner.clone(), |_| worker(calls));
    agent.start_incarnation(1, heartbeat_with_capacity(1, SMALL_CAPACITY)).await;
    let report = owner.report(|report| !report.refused.is_empty()).await;
    assert_eq!(report.refused[0].task.index, 0);
    let call = timeout(TIMEOUT, worker_calls.recv()).await.expect("no call to the worker");
    let Some(WorkerCall::Start { order, .. }) = call else { panic!("not a start: {call:?}") };
    assert_eq!(order.task.index, 1);
}

/// Guards against the start of a run that its owner has given up while the agent couldn't fetch orders.
#[tokio::test]
async fn handle_report_response_refuses_a_start_that_a_later_order_stops() {
    let stop = Order::Stop(task(0), 1);
    let mut owner =
        TestOwner::start(orders(vec![start(0, CAPACITY), start(1, CAPACITY), stop])).await;
    let (calls, mut worker_calls) = mpsc::unbounded_channel();
    let agent = TestAgent::start(owner.known_owner.clone(), |_| worker(calls));
    agent.start_incarnation(1, heartbeat(1)).await;
    let report = owner.report(|report| !report.refused.is_empty()).await;
    assert_eq!(report.refused[0].task.index, 0);
    let call = timeout(TIMEOUT, worker_calls.recv()).await.expect("no call to the worker");
    let Some(WorkerCall::Start { order, .. }) = call else { panic!("not a start: {call:?}") };
    assert_eq!(order.task.index, 1);
}

/// Guards against starts that wait in the agent for other calls while the capacity shrinks.
#[tokio::test]
async fn send_start_refuses_a_waiting_order_after_the_capacity_has_shrunk() {
    let (calls, mut worker_calls) = mpsc::unbounded_channel();
    let worker = move |events: mpsc::Sender<AgentEvent>| -> WorkerAdapter {
        Arc::new(move |call: AddressedCall| {
            match &call.call {
                WorkerCall::Start { .. } => {
                    events.try_send(heartbeat_with_capacity(2, SMALL_CAPACITY)).unwrap();
                    calls.send(call.call).ok();
                }
                WorkerCall::Sync { .. } => return synced(1),
                WorkerCall::Stop { .. } | WorkerCall::Pace { .. } | WorkerCall::Identify => {}
            }
            let no_response: BoxFuture<'static, Result<_, WorkerError>> = Box::pin(pending());
            no_response
        })
    };
    let (_owner, known_owner) = watch::channel(KnownOwner::default());
    let agent = TestAgent::start(known_owner, worker);
    agent.start_incarnation(1, heartbeat(1)).await;
    let starts = (0..20).map(|index| start(index, CAPACITY)).collect();
    agent.send(reported(1, orders(starts))).await;
    let start_count = count_starts(&mut worker_calls).await;
    assert!((1..20).contains(&start_count), "{start_count} starts");
}

fn notice(version: u64, is_evacuated: bool) -> EvacuationNotice {
    EvacuationNotice { version, is_evacuated, valid_for_ms: Some(60_000) }
}

/// Guards against starts by orders that an owner has sent before it learned of an evacuation, or that it
/// has sent without knowing of one for too long.
#[parameterized(
    evacuated = { notice(2, true) },
    expired = { EvacuationNotice { valid_for_ms: Some(0), ..notice(2, false) } },
)]
#[test_macro(tokio::test)]
async fn send_start_refuses_an_order_without_permission(evacuation: EvacuationNotice) {
    let response = ReportResponse { evacuation, ..orders(vec![start(0, CAPACITY)]) };
    let mut owner = TestOwner::start(response).await;
    let (calls, mut worker_calls) = mpsc::unbounded_channel();
    let agent = TestAgent::start(owner.known_owner.clone(), |_| worker(calls));
    agent.start_incarnation(1, heartbeat(1)).await;
    let report = owner.report(|report| !report.refused.is_empty()).await;
    assert_eq!(report.refused[0].task.index, 0);
    assert!(worker_calls.try_recv().is_err());
}

/// Guards against starts that wait in the agent for other calls when the evacuation becomes known, also
/// if an older response arrives after that.
#[tokio::test]
async fn send_start_refuses_a_waiting_order_after_the_evacuation_has_become_known() {
    let (calls, mut worker_calls) = mpsc::unbounded_channel();
    let worker = move |events: mpsc::Sender<AgentEvent>| -> WorkerAdapter {
        Arc::new(move |call: AddressedCall| {
            match &call.call {
                WorkerCall::Start { .. } => {
                    for evacuation in [notice(3, true), notice(2, false)] {
                        let late = ReportResponse { evacuation, ..response(5, 0) };
                        events.try_send(reported(1, late)).unwrap();
                    }
                    calls.send(call.call).ok();
                }
                WorkerCall::Sync { .. } => return synced(1),
                WorkerCall::Stop { .. } | WorkerCall::Pace { .. } | WorkerCall::Identify => {}
            }
            let no_response: BoxFuture<'static, Result<_, WorkerError>> = Box::pin(pending());
            no_response
        })
    };
    let (_owner, known_owner) = watch::channel(KnownOwner::default());
    let agent = TestAgent::start(known_owner, worker);
    agent.start_incarnation(1, heartbeat(1)).await;
    let starts = (0..20).map(|index| start(index, CAPACITY)).collect();
    let permitted = ReportResponse { evacuation: notice(2, false), ..orders(starts) };
    agent.send(reported(1, permitted)).await;
    let start_count = count_starts(&mut worker_calls).await;
    assert!((1..20).contains(&start_count), "{start_count} starts");
}

/// Guards against tasks that are started again beside their runs: a response of the worker without a
/// readable list of runs was reported as one that lists none.
#[tokio::test]
async fn report_has_no_list_of_runs_before_the_worker_has_sent_one() {
    let mut owner = TestOwner::start(response(5, 0)).await;
    let end = EndedTask {
        number: 1,
        task: task(0),
        attempt: 1,
        cause: EndCause::Done,
        checkpoint: String::new(),
    };
    let listing = Some(WorkerListing { running: None, ended: vec![end] });
    let worker: WorkerAdapter = Arc::new(move |_| {
        let response = WorkerResponse { listing: listing.clone(), ..worker_response(1) };
        Box::pin(async move {
            sleep(Duration::from_millis(20)).await;
            Ok(response)
        })
    });
    let agent = TestAgent::start(owner.known_owner.clone(), |_| worker);
    agent.start_incarnation(1, heartbeat(1)).await;
    for _ in 0..4 {
        let report = owner.report(|report| report.listing.is_some()).await;
        let listing = report.listing.expect("expected");
        assert_eq!((listing.running, listing.ended.len()), (None, 1));
    }
}

/// What happens while starts wait for the responses to others.
#[derive(Clone, Copy, Debug)]
enum Meanwhile {
    Restart,
    NewSession,
    LeaseEnd,
    Drain,
    Stop,
}

/// Guards against starts that are sent although what they relied on has changed while they waited: a
/// worker that has restarted would execute those for its earlier incarnation.
#[parameterized(
    restart = { Meanwhile::Restart },
    new_session = { Meanwhile::NewSession },
    lease_end = { Meanwhile::LeaseEnd },
    drain = { Meanwhile::Drain },
    stop = { Meanwhile::Stop },
)]
#[test_macro(tokio::test)]
async fn send_queued_calls_sends_no_outdated_start(meanwhile: Meanwhile) {
    let (calls, mut worker_calls) = mpsc::unbounded_channel();
    let (_owner, known_owner) = watch::channel(KnownOwner::default());
    let agent = TestAgent::start(known_owner, |_| worker_without_responses(calls));
    agent.start_incarnation(1, heartbeat(1)).await;
    let starts = (0..20).map(|index| start(index, CAPACITY)).collect();
    let lease_until_ms = match meanwhile {
        // Long enough for the first starts only.
        Meanwhile::LeaseEnd => 1_000 + 3 * WORKER_CALL_TIMEOUT.as_millis() as u64 / 2,
        _ => 100_000,
    };
    let ordered = ReportResponse { lease_until_ms: Some(lease_until_ms), ..orders(starts) };
    agent.send(reported(1, ordered)).await;
    for _ in 0..6 {
        timeout(TIMEOUT, worker_calls.recv()).await.expect("no call to the worker");
    }
    match meanwhile {
        Meanwhile::Restart => agent.start_incarnation(2, heartbeat(2)).await,
        Meanwhile::NewSession => agent.send(reported(1, response(6, 0))).await,
        Meanwhile::Drain => {
            let draining = WorkerStatus { is_draining: true, ..status(1) };
            agent.send(numbered_heartbeat(2, draining)).await;
        }
        Meanwhile::Stop => {
            let stops = (6..20).map(|index| Order::Stop(task(index), 1)).collect();
            let stopped = ReportResponse { first_order: 21, ..orders(stops) };
            agent.send(reported(1, stopped)).await;
        }
        Meanwhile::LeaseEnd => {}
    }
    assert_eq!(count_starts(&mut worker_calls).await, 0);
}

/// Traits of a serving task if it has a target, otherwise of a best-effort task.
fn traits(index: u32, target_tail_ms: Option<u64>) -> Order {
    let image = if target_tail_ms.is_some() { "serving" } else { "best-effort" };
    Order::Traits(SharingTraits {
        task: task(index),
        image: Some(image.to_owned()),
        is_best_effort: target_tail_ms.is_none(),
        target_tail_ms,
    })
}

/// Worker that runs task 0, whose tail is 120 ms, and the best-effort tasks 1 and 2 once they are started.
fn worker_with_a_busy_serving_task(calls: mpsc::UnboundedSender<WorkerCall>) -> WorkerAdapter {
    let run = |index, gauge| RunningTask {
        task: task(index),
        attempt: 1,
        checkpoint: String::new(),
        percent: 0,
        gauge,
    };
    let running = Arc::new(Mutex::new(vec![run(0, 120)]));
    Arc::new(move |call: AddressedCall| {
        if let WorkerCall::Start { order, .. } = &call.call {
            running.lock().unwrap().push(run(order.task.index, 1_000));
        }
        if !matches!(call.call, WorkerCall::Sync { .. }) {
            calls.send(call.call).ok();
        }
        let listing =
            WorkerListing { running: Some(running.lock().unwrap().clone()), ended: Vec::new() };
        let responding: BoxFuture<'static, _> = Box::pin(async move {
            sleep(Duration::from_millis(20)).await;
            Ok(WorkerResponse { listing: Some(listing), ..worker_response(1) })
        });
        responding
    })
}

async fn next_call(calls: &mut mpsc::UnboundedReceiver<WorkerCall>) -> (&'static str, u32, u32) {
    let call = timeout(TIMEOUT, calls.recv()).await.expect("no call to the worker");
    match call.expect("agent task ended") {
        WorkerCall::Start { order, .. } => ("start", order.task.index, 100),
        WorkerCall::Pace { task, percent, .. } => ("pace", task.index, percent),
        call => panic!("unexpected {call:?}"),
    }
}

/// Guards against a serving task that stays over its target although best-effort tasks are paused, since new
/// ones start beside it and work at full pace until they are listed.
#[tokio::test]
async fn send_queued_calls_holds_starts_of_best_effort_tasks_during_a_pause() {
    let (calls, mut worker_calls) = mpsc::unbounded_channel();
    let (_owner, known_owner) = watch::channel(KnownOwner::default());
    let agent = TestAgent::start(known_owner, |_| worker_with_a_busy_serving_task(calls));
    agent.start_incarnation(1, heartbeat(1)).await;
    let harmless = PairInterference {
        serving: "serving".to_owned(),
        best_effort: "best-effort".to_owned(),
        utilization_growth: 0.0,
    };
    let estimates =
        InterferenceEstimates { version: 1, pairs: vec![harmless], ..Default::default() };
    let first = vec![traits(0, Some(100)), traits(1, None), start(1, CAPACITY)];
    let response = ReportResponse { interference: Some(estimates), ..orders(first) };
    agent.send(reported(1, response)).await;
    assert_eq!(next_call(&mut worker_calls).await, ("start", 1, 100));
    assert_eq!(next_call(&mut worker_calls).await, ("pace", 1, 0));
    let later = vec![traits(2, None), start(2, CAPACITY), start(3, CAPACITY)];
    agent.send(reported(1, ReportResponse { first_order: 4, ..orders(later) })).await;
    let mut sent = Vec::new();
    while sent.last() != Some(&("start", 2, 100)) {
        sent.push(next_call(&mut worker_calls).await);
    }
    // Paces are sent again until they are confirmed.
    sent.retain(|call| *call != ("pace", 1, 0));
    sent.dedup();
    assert_eq!(sent, [("start", 3, 100), ("pace", 1, 100), ("start", 2, 100)]);
}

/// Guards against tasks that wait for the lease of a worker that has stopped responding, although their
/// starts haven't been sent.
#[tokio::test]
async fn send_queued_calls_refuses_waiting_starts_on_an_unreachable_worker() {
    let starts = (0..20).map(|index| start(index, CAPACITY)).collect();
    let mut owner = TestOwner::start(orders(starts)).await;
    let worker: WorkerAdapter = Arc::new(|_| Box::pin(pending()));
    let agent = TestAgent::start(owner.known_owner.clone(), |_| worker);
    agent.start_incarnation(1, heartbeat(1)).await;
    let report = owner.report(|report| !report.refused.is_empty()).await;
    assert!(!report.is_worker_reachable);
    assert!(report.refused.iter().all(|refused| refused.task.index >= 6), "was sent");
}

/// Guards against a restarted worker that forgets its first ends, or runs tasks under a lease of its
/// earlier incarnation.
#[tokio::test]
async fn send_sync_after_a_failed_one_carries_neither_lease_nor_acknowledgement() {
    let (sync_sender, mut syncs) = mpsc::unbounded_channel();
    let worker: WorkerAdapter = Arc::new(move |call: AddressedCall| {
        let WorkerCall::Sync { lease_until_ms, forget_until, .. } = call.call else {
            panic!("unexpected call: {call:?}");
        };
        let has_lease = lease_until_ms.is_some();
        sync_sender.send((lease_until_ms, forget_until)).ok();
        Box::pin(async move {
            sleep(Duration::from_millis(20)).await;
            let reset = WorkerError::Unavailable { message: "connection reset".to_owned() };
            if has_lease { Err(reset) } else { Ok(worker_response(1)) }
        })
    });
    let (_owner, known_owner) = watch::channel(KnownOwner::default());
    let agent = TestAgent::start(known_owner, |_| worker);
    agent.start_incarnation(1, heartbeat(1)).await;
    agent.send(reported(1, response(5, 0))).await;
    let granted = ReportResponse { forget_until: 2, ..orders(Vec::new()) };
    agent.send(reported(1, granted)).await;
    let mut next = async || timeout(TIMEOUT, syncs.recv()).await.expect("no sync call");
    while next().await != Some((Some(100_000), 2)) {}
    assert_eq!(next().await, Some((None, 0)));
    // The worker has responded since.
    assert_eq!(next().await, Some((Some(100_000), 2)));
}

/// Guards against a job that hangs: the worker leaves a start without a response, and then refuses its
/// stop for a while.
#[parameterized(
    refused = { 6, WorkerError::Refused { reason: "status 503".to_owned() } },
    without_response = { 21, WorkerError::Unavailable { message: "connection reset".to_owned() } },
)]
#[test_macro(tokio::test)]
async fn handle_stop_result_retries_until_the_stop_is_accepted(
    failure_count: usize,
    error: WorkerError,
) {
    let mut owner = TestOwner::start(orders(vec![start(0, CAPACITY)])).await;
    let remaining = Arc::new(Mutex::new(failure_count));
    let failures = remaining.clone();
    let worker: WorkerAdapter = Arc::new(move |call: AddressedCall| match call.call {
        WorkerCall::Start { .. } => Box::pin(pending()),
        WorkerCall::Stop { .. } if *failures.lock().unwrap() > 0 => {
            *failures.lock().unwrap() -= 1;
            Box::pin(ready(Err(error.clone())))
        }
        _ => synced(1),
    });
    let agent = TestAgent::start(owner.known_owner.clone(), |_| worker);
    agent.start_incarnation(1, heartbeat(1)).await;
    let report = owner.report(|report| !report.refused.is_empty()).await;
    assert_eq!((report.refused[0].task.clone(), report.refused[0].attempt), (task(0), 1));
    assert_eq!(*remaining.lock().unwrap(), 0, "the attempt may still start");
}

/// How the agent knows of a run.
#[derive(Clone, Copy, Debug)]
enum Evidence {
    Listed,
    Accepted,
}

fn run(index: u32) -> RunningTask {
    let (checkpoint, percent, gauge) = (String::new(), 10, 0);
    RunningTask { task: task(index), attempt: 1, checkpoint, percent, gauge }
}

/// Worker that accepts all starts and responds to each sync call with the listing for its number, from 0.
fn listing_worker(
    listing_of: impl Fn(usize) -> WorkerListing + Send + Sync + 'static,
) -> WorkerAdapter {
    let sync_count = AtomicUsize::new(0);
    Arc::new(move |call: AddressedCall| {
        let is_sync = matches!(call.call, WorkerCall::Sync { .. });
        let listing = is_sync.then(|| listing_of(sync_count.fetch_add(1, Ordering::Relaxed)));
        let response = WorkerResponse { listing, ..worker_response(1) };
        Box::pin(async move {
            sleep(Duration::from_millis(20)).await;
            Ok(response)
        })
    })
}

fn listing(running: &[RunningTask], ended: &[EndedTask]) -> WorkerListing {
    WorkerListing { running: Some(running.to_vec()), ended: ended.to_vec() }
}

/// Guards against a task without a run for as long as its worker lasts: the worker had started the run,
/// lists it no longer, and has forgotten its end.
#[parameterized(
    listed = { Evidence::Listed },
    accepted = { Evidence::Accepted },
)]
#[test_macro(tokio::test)]
async fn process_listing_reports_a_run_that_is_gone_without_an_end(evidence: Evidence) {
    let (starts, listed_count) = match evidence {
        Evidence::Listed => (Vec::new(), 5),
        Evidence::Accepted => (vec![start(0, CAPACITY)], 0),
    };
    let mut owner = TestOwner::start(orders(starts)).await;
    let worker = listing_worker(move |number| {
        let runs = if number < listed_count { vec![run(0), run(1)] } else { vec![run(1)] };
        listing(&runs, &[])
    });
    let agent = TestAgent::start(owner.known_owner.clone(), |_| worker);
    agent.start_incarnation(1, heartbeat(1)).await;
    let report = owner.report(|report| !report.refused.is_empty()).await;
    let refused: Vec<_> =
        report.refused.iter().map(|refused| (refused.task.clone(), refused.attempt)).collect();
    assert_eq!(refused, [(task(0), 1)]);
}

/// Guards against a second run of a task whose run has ended with a listed end, or is still listed.
#[tokio::test]
async fn process_listing_reports_no_run_whose_end_is_listed() {
    let mut owner = TestOwner::start(orders(vec![start(0, CAPACITY), start(1, CAPACITY)])).await;
    let end = EndedTask {
        number: 1,
        task: task(0),
        attempt: 1,
        cause: EndCause::Done,
        checkpoint: String::new(),
    };
    let worker = listing_worker(move |number| match number {
        0..=4 => listing(&[run(0), run(1)], &[]),
        5..=9 => listing(&[run(1)], std::slice::from_ref(&end)),
        // The end has been acknowledged.
        _ => listing(&[run(1)], &[]),
    });
    let agent = TestAgent::start(owner.known_owner.clone(), |_| worker);
    agent.start_incarnation(1, heartbeat(1)).await;
    let has_end =
        |report: &Report| report.listing.as_ref().is_some_and(|listing| !listing.ended.is_empty());
    owner.report(has_end).await;
    for _ in 0..6 {
        assert_eq!(owner.report(|_| true).await.refused, []);
    }
}

/// Guards against a second run of a task whose run, or end, a listing with missing rows lacks.
#[tokio::test]
async fn process_listing_keeps_a_run_that_a_listing_with_missing_rows_lacks() {
    let mut owner = TestOwner::start(response(5, 0)).await;
    let complete = listing_worker(|number| {
        let runs = if number < 5 { vec![run(0), run(1)] } else { vec![run(1)] };
        listing(&runs, &[])
    });
    let calls = Arc::new(AtomicUsize::new(0));
    let worker: WorkerAdapter = Arc::new(move |call| {
        let has_missing_rows = calls.fetch_add(1, Ordering::Relaxed) >= 5;
        let responding = complete(call);
        Box::pin(async move {
            responding.await.map(|response| WorkerResponse { has_missing_rows, ..response })
        })
    });
    let agent = TestAgent::start(owner.known_owner.clone(), |_| worker);
    agent.start_incarnation(1, heartbeat(1)).await;
    let running = |report: &Report| {
        let runs = report.listing.as_ref().and_then(|listing| listing.running.as_ref());
        runs.map(|runs| runs.iter().map(|run| run.task.index).collect::<BTreeSet<u32>>())
    };
    for _ in 0..6 {
        let report = owner.report(|report| running(report).is_some()).await;
        assert_eq!(running(&report), Some(BTreeSet::from([0, 1])));
        assert_eq!(report.refused, []);
    }
}

/// Guards against an end that is listed once, in a report that may be lost, and that the next listing lacks
/// because it has missing rows: the owner would take the run for lost and start its task again.
#[tokio::test]
async fn process_listing_keeps_an_end_that_a_listing_with_missing_rows_lacks() {
    let mut owner = TestOwner::start(response(5, 0)).await;
    let end = EndedTask {
        number: 1,
        task: task(0),
        attempt: 1,
        cause: EndCause::Done,
        checkpoint: String::new(),
    };
    let listing = listing_worker(move |number| match number {
        0..=4 => listing(&[run(0)], &[]),
        5..=7 => listing(&[], std::slice::from_ref(&end)),
        _ => listing(&[], &[]),
    });
    let calls = Arc::new(AtomicUsize::new(0));
    let worker: WorkerAdapter = Arc::new(move |call| {
        let has_missing_rows = calls.fetch_add(1, Ordering::Relaxed) >= 8;
        let responding = listing(call);
        Box::pin(async move {
            responding.await.map(|response| WorkerResponse { has_missing_rows, ..response })
        })
    });
    let agent = TestAgent::start(owner.known_owner.clone(), |_| worker);
    agent.start_incarnation(1, heartbeat(1)).await;
    let has_end =
        |report: &Report| report.listing.as_ref().is_some_and(|listing| !listing.ended.is_empty());
    owner.report(has_end).await;
    for _ in 0..8 {
        let report = owner.report(|report| report.listing.is_some()).await;
        assert!(has_end(&report), "the owner hasn't committed the end");
    }
}

/// Guards against a second run of a task that the owner takes for one that never started, since the first
/// listing of a session has missing rows; and against ends that are acknowledged only after that.
#[tokio::test]
async fn process_listing_withholds_the_runs_of_a_session_until_no_rows_are_missing() {
    let mut owner = TestOwner::start(response(5, 0)).await;
    let end = EndedTask {
        number: 1,
        task: task(2),
        attempt: 1,
        cause: EndCause::Done,
        checkpoint: String::new(),
    };
    let partial = listing_worker(move |number| {
        let runs = if number < 4 { vec![run(1)] } else { vec![run(0), run(1)] };
        listing(&runs, std::slice::from_ref(&end))
    });
    let calls = Arc::new(AtomicUsize::new(0));
    let worker: WorkerAdapter = Arc::new(move |call| {
        let has_missing_rows = calls.fetch_add(1, Ordering::Relaxed) < 4;
        let responding = partial(call);
        Box::pin(async move {
            responding.await.map(|response| WorkerResponse { has_missing_rows, ..response })
        })
    });
    let agent = TestAgent::start(owner.known_owner.clone(), |_| worker);
    agent.start_incarnation(1, heartbeat(1)).await;
    let report = owner.report(|report| report.listing.is_some()).await;
    let listing = report.listing.expect("a listing");
    assert_eq!((listing.running, listing.ended.len()), (None, 1));
    let running =
        |report: &Report| report.listing.as_ref().and_then(|listing| listing.running.clone());
    let report = owner.report(|report| running(report).is_some()).await;
    assert_eq!(running(&report), Some(vec![run(0), run(1)]));
}

/// Guards against a second run of a task whose accepted start isn't carried out, but still may be: the owner
/// learns that it won't run only once the worker has accepted its stop.
#[tokio::test]
async fn process_listing_stops_an_accepted_start_before_it_reports_it() {
    let mut owner = TestOwner::start(orders(vec![start(0, CAPACITY)])).await;
    let stop_count = Arc::new(AtomicUsize::new(0));
    let stops = stop_count.clone();
    let accepting = listing_worker(|_| listing(&[], &[]));
    let worker: WorkerAdapter = Arc::new(move |call: AddressedCall| {
        let is_stop = matches!(call.call, WorkerCall::Stop { .. });
        if is_stop && stops.fetch_add(1, Ordering::Relaxed) < 3 {
            let refused = WorkerError::Refused { reason: "status 503".to_owned() };
            return Box::pin(ready(Err(refused)));
        }
        accepting(call)
    });
    let agent = TestAgent::start(owner.known_owner.clone(), |_| worker);
    agent.start_incarnation(1, heartbeat(1)).await;
    let report = owner.report(|report| !report.refused.is_empty()).await;
    assert_eq!((report.refused[0].task.clone(), report.refused[0].attempt), (task(0), 1));
    assert_eq!(stop_count.load(Ordering::Relaxed), 4, "the attempt may still start");
}
