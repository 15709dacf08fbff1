//! Start orders to an agent that has restarted and not yet synced with its worker.
//!
//! A previous agent process has started the attempt on the worker. An owner that got no response
//! resends the order. If the new process accepted it before its first sync, it would do so without
//! knowledge of the running attempt.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use teaseltrack::{
    clock::{SharedClock, SystemClock},
    membership::{Member, MemberState, Role},
    placement::Resources,
    record::JobSpec,
    task::TaskId,
};
use teaseltrack_agent::{
    requests::capacity::{CapacityContext, CapacityLimits, spawn_capacity},
    tasks::{
        attempts::{AttemptContext, AttemptMessage, AttemptStatus, Attempts},
        lease_keeper::LeaseView,
        reporter::ReportMessage,
    },
};
use teaseltrack_daemon::{byte_count::ByteCount, logs, metrics::Metrics};
use teaseltrack_lab::{
    ledger::Ledger,
    options::args::PlatformOptions,
    platform::Platform,
    worker::{Worker, WorkerOptions},
};
use teaseltrack_node::{clients::ControlClients, node::spawn_node};
use teaseltrack_platform::{
    http_adapter::http_adapter,
    store::{Store, StoreBudget},
    worker::{AttemptKey, StartRequest, WorkerClient},
};
use teaseltrack_wire::control::{AttemptEvent, ShardOwner, StartOrder};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::timeout,
};

const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
const INCARNATION: u64 = 5;
const TIMEOUT: Duration = Duration::from_secs(10);

struct Agent {
    attempts: mpsc::Sender<AttemptMessage>,
    reports: mpsc::Receiver<ReportMessage>,
    lease: watch::Sender<Option<LeaseView>>,
}

fn spec() -> JobSpec {
    JobSpec {
        tasks: 1,
        cpu_milli: 1_000,
        memory_mib: 64,
        accelerators: 0,
        run_ms: 60_000,
        team: "lab".to_owned(),
        urgency: 6,
    }
}

fn key() -> AttemptKey {
    AttemptKey { task: TaskId { job: "settlement".to_owned(), index: 0 }, attempt: 1 }
}

/// Starts a worker on which a previous agent process has started the attempt.
async fn start_worker(clock: &SharedClock) -> Worker {
    let options = WorkerOptions {
        address: LOOPBACK,
        instance: "agent-0".to_owned(),
        run_time_ratio: 1.0,
        is_failing: false,
        ledger: None,
    };
    let worker = Worker::start(options, Ledger::default().sender()).await.unwrap();
    let mut previous_agent = WorkerClient::new(worker.address(), 1, clock.clone());
    previous_agent.sync(None, None, 1.0, Vec::new()).await.unwrap();
    let deadline = Some(Instant::now() + Duration::from_secs(60));
    previous_agent.sync(Some(INCARNATION), deadline, 1.0, Vec::new()).await.unwrap();
    let request = StartRequest {
        holder: previous_agent.holder(),
        incarnation: INCARNATION,
        key: key(),
        resources: Resources::declared(&spec()),
        run_ms: spec().run_ms,
        checkpoint: None,
        not_after_ms: None,
    };
    previous_agent.start(request).await.unwrap();
    worker
}

/// Starts the tasks part of a new agent process on the same instance, without a lease.
async fn start_agent(worker: &Worker, clock: &SharedClock) -> Agent {
    let platform = Platform::start(&PlatformOptions {
        address: LOOPBACK,
        writes_per_s: 1e6,
        reads_per_s: 1e6,
        latency: Duration::ZERO,
    });
    let adapter = http_adapter(platform.await.unwrap().address(), Duration::from_secs(1));
    let budget = StoreBudget { writes_per_s: 1e6, reads_per_s: 1e6 };
    let member = Member {
        instance: "agent-0".to_owned(),
        role: Role::Agent,
        control_address: String::new(),
        request_address: String::new(),
        zone: String::new(),
        incarnation: 2,
        state: MemberState::Alive,
        target: None,
    };
    let (newer_peers, _) = mpsc::channel(1);
    let capacity = spawn_capacity(
        CapacityLimits { max_slots: 8, queue_per_class: 8, announcement_ttl: TIMEOUT },
        CapacityContext {
            logger: logs::silent(),
            clock: clock.clone(),
            metrics: Metrics::scrape_only(),
            node: spawn_node(member, clock.clone(), logs::silent(), newer_peers),
            clients: ControlClients::new(Arc::new(ByteCount::default())),
        },
    );
    let (attempts, receiver) = mpsc::channel(16);
    let (reports, reports_receiver) = mpsc::channel(16);
    let (lease, lease_receiver) = watch::channel(None);
    let (status, _) = watch::channel(AttemptStatus::default());
    let context = AttemptContext {
        logger: logs::silent(),
        clock: clock.clone(),
        store: Store::new(adapter, budget, clock.clone()),
        worker: WorkerClient::new(worker.address(), 2, clock.clone()),
        capacity: Resources { cpu_milli: 8_000, memory_mib: 1_024, accelerators: 0 },
        lease: lease_receiver,
        requests: capacity,
        reports,
        status,
        sender: attempts.clone(),
    };
    tokio::spawn(Attempts::new(context).run(receiver));
    Agent { attempts, reports: reports_receiver, lease }
}

impl Agent {
    /// Resends the start order, like an owner without a response; returns whether it was accepted.
    async fn resend_start(&self) -> bool {
        let owner = ShardOwner { shard: 0, epoch: 1, control_address: String::new() };
        let AttemptKey { task, attempt } = key();
        let order =
            StartOrder { task, attempt, incarnation: INCARNATION, spec: spec(), checkpoint: None };
        let (reply, response) = oneshot::channel();
        self.attempts.send(AttemptMessage::Start(owner, vec![order], reply)).await.unwrap();
        response.await.unwrap().is_ok()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn start_rejected_before_first_worker_sync() {
    let clock: SharedClock = Arc::new(SystemClock);
    let worker = start_worker(&clock).await;
    let mut agent = start_agent(&worker, &clock).await;
    assert!(!agent.resend_start().await, "start accepted before the first sync with the worker");

    let deadline = Instant::now() + Duration::from_secs(60);
    agent.lease.send_replace(Some(LeaseView { incarnation: INCARNATION, deadline }));
    let report = timeout(TIMEOUT, agent.reports.recv()).await.unwrap().unwrap();
    assert_eq!(report.report.event, AttemptEvent::Started);
    assert!(agent.resend_start().await);
}
