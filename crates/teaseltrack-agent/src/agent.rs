//! Startup and graceful shutdown of an agent.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde_json::{Value, json};
use slog::{Logger, info, warn};
use snafu::ResultExt;
use teaseltrack::{
    clock::{SharedClock, SystemClock, unix_ms},
    journal::Owner,
    membership::Role,
};
use teaseltrack_daemon::{
    health::{StatusReport, serve_health},
    lifecycle::{MetricsSnafu, StartError, bind},
    logs,
    metrics::Metrics,
    shutdown::Shutdown,
    spans::Spans,
};
use teaseltrack_node::{
    gossip::push_updates,
    node::NodeMessage,
    start::{Identity, NodeContext, open_store, start_node},
};
use teaseltrack_platform::worker::WorkerClient;
use teaseltrack_wire::request_path::request_path_server::RequestPathServer;
use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot, watch},
    task::JoinHandle,
    time::{sleep, timeout},
};
use tonic::transport::{Server, server::TcpIncoming};

use crate::{
    announce::serve_announcements,
    options::config::{AgentSettings, TaskSettings},
    requests::{
        capacity::{
            CapacityContext, CapacityHandle, CapacityLimits, CapacityMessage, spawn_capacity,
        },
        forward::ForwardServer,
        target_client::TargetClient,
    },
    tasks::{
        attempts::{self, AttemptContext, AttemptMessage, AttemptStatus, Attempts},
        lease_keeper::{LeaseKeeper, LeaseView},
        owner::OwnerContext,
        reporter::{self, Reporter},
        route_calls,
        shard_manager::{self, ShardManager, ShardMessage},
    },
};

/// Maximum number of concurrent requests per connection from an entry.
const MAX_STREAMS: u32 = 8_192;
/// Capacity of the channel for control calls about tasks.
const TASK_CALL_CHANNEL_CAPACITY: usize = 1_024;
/// Time for which a drained agent keeps refusing requests, so that entries learn of the drain.
const REFUSAL_GRACE: Duration = Duration::from_secs(1);
/// Timeout of each drain step of a graceful shutdown: requests, tasks, shards, lease and server.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay before the worker is queried again.
const WORKER_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Addresses on which an agent listens.
#[derive(Clone, Copy, Debug)]
pub struct AgentAddresses {
    /// Requests from entries.
    pub requests: SocketAddr,
    /// Control calls from peers.
    pub control: SocketAddr,
    /// Announcements from the target.
    pub announce: SocketAddr,
    /// Liveness, readiness and status.
    pub health: SocketAddr,
}

/// A running agent.
pub struct Agent {
    common: NodeContext,
    addresses: AgentAddresses,
    capacity: CapacityHandle,
    tasks: Option<TaskHandles>,
    server: JoinHandle<()>,
    spans: Spans,
}

/// Handles to the async tasks that execute and schedule tasks.
struct TaskHandles {
    attempts: mpsc::Sender<AttemptMessage>,
    shards: mpsc::Sender<ShardMessage>,
    release: oneshot::Sender<oneshot::Sender<()>>,
    status: watch::Receiver<AttemptStatus>,
}

struct Listeners {
    requests: TcpListener,
    control: TcpListener,
    announce: TcpListener,
    health: TcpListener,
}

impl Agent {
    /// Binds the addresses and starts the agent.
    ///
    /// # Errors
    ///
    /// An address can't be bound, or the metrics can't be set up.
    pub async fn start(settings: AgentSettings, shutdown: Shutdown) -> Result<Self, StartError> {
        let logger =
            logs::logger(settings.observation.logs, "teaseltrack-agent", &settings.instance.name);
        let metrics = Metrics::new(&settings.observation.metrics).context(MetricsSnafu)?;
        let spans = Spans::new(settings.observation.traces, logger.clone());
        let clock: SharedClock = Arc::new(SystemClock);
        let (listeners, addresses) = bind_all(&settings).await?;
        let incarnation = unix_ms(clock.wall_now());
        let identity = Identity {
            name: settings.instance.name.clone(),
            zone: settings.instance.zone.clone(),
            role: Role::Agent,
            control_address: addresses.control,
            request_address: addresses.requests,
            incarnation,
        };
        let store = open_store(&settings.platform, clock.clone());
        let (calls, calls_receiver) = mpsc::channel(TASK_CALL_CHANNEL_CAPACITY);
        let common = start_node(
            identity,
            &settings.control,
            listeners.control,
            store,
            Some(calls),
            (logger.clone(), clock.clone(), shutdown),
        );
        let capacity = start_capacity(&settings, &common, &metrics);
        let tasks = settings.tasks.as_ref().map(|tasks| {
            start_tasks(tasks, &settings, &common, &capacity, &metrics, incarnation, calls_receiver)
        });
        let target = TargetClient::new(settings.target.max_connections);
        let server = start_requests(
            &settings,
            &common,
            ForwardServer {
                capacity: capacity.clone(),
                target: target.clone(),
                clock,
                spans: spans.clone(),
                metrics,
                max_body_bytes: settings.requests.max_body_bytes,
            },
            listeners.requests,
        );
        let closing = common.shutdown.closing.clone();
        tokio::spawn(serve_announcements(listeners.announce, capacity.clone(), closing));
        let status = status_report(&common, &capacity, &target, tasks.as_ref());
        tokio::spawn(serve_health(listeners.health, common.shutdown.clone(), status));
        info!(logger, "agent started"; "requests" => %addresses.requests,
            "control" => %addresses.control, "announce" => %addresses.announce);
        Ok(Self { common, addresses, capacity, tasks, server, spans })
    }

    /// Addresses on which the agent listens.
    pub fn addresses(&self) -> AgentAddresses {
        self.addresses
    }

    /// Waits for the shutdown signal, then shuts down gracefully.
    pub async fn wait(self) {
        self.common.shutdown.draining.cancelled().await;
        let logger = self.common.logger.clone();
        info!(logger, "graceful shutdown started");
        let requests = self.capacity.request(CapacityMessage::Drain);
        let tasks = drain_tasks(self.tasks, &logger);
        let (requests, ()) = tokio::join!(timeout(DRAIN_TIMEOUT, requests), tasks);
        if requests.is_err() {
            warn!(logger, "requests still running after the drain timeout");
        }
        sleep(REFUSAL_GRACE).await;
        self.common.node.request(NodeMessage::Leave).await;
        push_updates(&self.common.node, &self.common.clients).await;
        self.common.shutdown.closing.cancel();
        drop(timeout(DRAIN_TIMEOUT, self.server).await);
        self.spans.flush();
        info!(logger, "agent stopped");
    }
}

async fn bind_all(settings: &AgentSettings) -> Result<(Listeners, AgentAddresses), StartError> {
    let (requests, requests_address) = bind("requests.address", settings.requests.address).await?;
    let (control, control_address) = bind("control.address", settings.control.address).await?;
    let (announce, announce_address) =
        bind("target.announce_address", settings.target.announce_address).await?;
    let (health, health_address) = bind("health.address", settings.health.address).await?;
    let listeners = Listeners { requests, control, announce, health };
    let addresses = AgentAddresses {
        requests: requests_address,
        control: control_address,
        announce: announce_address,
        health: health_address,
    };
    Ok((listeners, addresses))
}

fn start_capacity(
    settings: &AgentSettings,
    common: &NodeContext,
    metrics: &Metrics,
) -> CapacityHandle {
    let limits = CapacityLimits {
        max_slots: settings.target.max_slots,
        queue_per_class: settings.requests.queue_per_class,
        announcement_ttl: Duration::from_millis(settings.target.announcement_ttl_ms),
    };
    let context = CapacityContext {
        logger: common.logger.clone(),
        clock: common.clock.clone(),
        metrics: metrics.clone(),
        node: common.node.clone(),
        clients: common.clients.clone(),
    };
    spawn_capacity(limits, context)
}

fn start_requests(
    settings: &AgentSettings,
    common: &NodeContext,
    server: ForwardServer,
    listener: TcpListener,
) -> JoinHandle<()> {
    let closing = common.shutdown.closing.clone();
    let service =
        RequestPathServer::new(server).max_decoding_message_size(settings.requests.max_body_bytes);
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    tokio::spawn(async move {
        let serving = Server::builder()
            .max_concurrent_streams(MAX_STREAMS)
            .add_service(service)
            .serve_with_incoming_shutdown(incoming, closing.cancelled_owned());
        drop(serving.await);
    })
}

fn start_tasks(
    tasks: &TaskSettings,
    settings: &AgentSettings,
    common: &NodeContext,
    requests: &CapacityHandle,
    metrics: &Metrics,
    holder: u64,
    calls: mpsc::Receiver<teaseltrack_node::control_server::TaskCall>,
) -> TaskHandles {
    let (view, lease) = watch::channel::<Option<LeaseView>>(None);
    let (attempts, attempts_receiver) = mpsc::channel(attempts::CHANNEL_CAPACITY);
    let (reports, reports_receiver) = mpsc::channel(reporter::CHANNEL_CAPACITY);
    let (shards, shards_receiver) = mpsc::channel(shard_manager::CHANNEL_CAPACITY);
    let (status, status_receiver) = watch::channel(AttemptStatus::default());
    let (release, release_receiver) = oneshot::channel();
    let instance = settings.instance.name.clone();
    let worker = WorkerClient::new(tasks.worker_address, holder, common.clock.clone());
    let keeper = LeaseKeeper {
        logger: common.logger.clone(),
        store: common.store.clone(),
        clock: common.clock.clone(),
        instance: instance.clone(),
        holder,
        ttl: Duration::from_millis(tasks.lease_ttl_ms),
        view,
    };
    let mut worker_query = worker.clone();
    tokio::spawn(async move {
        let adopted_incarnation = query_worker_incarnation(&mut worker_query).await;
        keeper.run(adopted_incarnation, release_receiver).await;
    });
    let context = AttemptContext {
        logger: common.logger.clone(),
        clock: common.clock.clone(),
        store: common.store.clone(),
        worker,
        capacity: tasks.capacity(),
        lease,
        requests: requests.clone(),
        reports,
        status,
        sender: attempts.clone(),
    };
    tokio::spawn(Attempts::new(context).run(attempts_receiver));
    let reporter = Reporter {
        logger: common.logger.clone(),
        instance: instance.clone(),
        store: common.store.clone(),
        clients: common.clients.clone(),
        attempts: attempts.clone(),
    };
    tokio::spawn(reporter.run(reports_receiver));
    let owner = Owner {
        instance,
        holder,
        control_address: common.node.members()[0].control_address.clone(),
    };
    let context = OwnerContext {
        logger: common.logger.clone(),
        metrics: metrics.clone(),
        clock: common.clock.clone(),
        store: common.store.clone(),
        node: common.node.clone(),
        clients: common.clients.clone(),
        owner,
    };
    let manager = ShardManager::new(common.logger.clone(), Arc::new(context));
    tokio::spawn(manager.run(shards_receiver));
    tokio::spawn(route_calls(calls, Some(attempts.clone()), shards.clone()));
    TaskHandles { attempts, shards, release, status: status_receiver }
}

/// Queries the worker until it responds; returns the incarnation under which its attempts run.
async fn query_worker_incarnation(worker: &mut WorkerClient) -> Option<u64> {
    loop {
        match worker.sync(None, None, 1.0, Vec::new()).await {
            Ok(response) => return response.incarnation,
            Err(_) => sleep(WORKER_RETRY_DELAY).await,
        }
    }
}

/// Evicts all attempts, releases the shards and releases the lease, in this order.
async fn drain_tasks(tasks: Option<TaskHandles>, logger: &Logger) {
    let Some(tasks) = tasks else { return };
    let (reply, drained) = oneshot::channel();
    tasks.attempts.send(AttemptMessage::Drain(reply)).await.ok();
    let is_drained = matches!(timeout(DRAIN_TIMEOUT, drained).await, Ok(Ok(())));
    let (reply, shards_released) = oneshot::channel();
    tasks.shards.send(ShardMessage::Drain(reply)).await.ok();
    drop(timeout(DRAIN_TIMEOUT, shards_released).await);
    if !is_drained {
        // The lease must lapse before other agents may reclaim attempts that may still run.
        warn!(logger, "tasks not drained within the timeout; leaving the lease to lapse");
        return;
    }
    let (reply, released) = oneshot::channel();
    if tasks.release.send(reply).is_ok() {
        drop(timeout(DRAIN_TIMEOUT, released).await);
    }
}

fn status_report(
    common: &NodeContext,
    capacity: &CapacityHandle,
    target: &TargetClient,
    tasks: Option<&TaskHandles>,
) -> StatusReport {
    let (common, capacity, target) = (common.clone(), capacity.clone(), target.clone());
    let attempts = tasks.map(|tasks| tasks.status.clone());
    Arc::new(move || -> Value {
        let requests = capacity.status();
        let members = common.node.members();
        let attempts = attempts.as_ref().map(|status| status.borrow().clone()).unwrap_or_default();
        json!({
            "revision": common.node.configuration().revision(),
            "members": members.len(),
            "targets": members.iter().filter(|member| member.target.is_some()).count(),
            "requests_in_flight": requests.load.in_flight,
            "requests_queued": requests.load.queued,
            "requests_started": requests.started,
            "requests_refused": requests.refused,
            "max_in_flight": requests.max_in_flight,
            "target_connections": target.open_connections(),
            "attempts_running": attempts.running,
            "attempts_started": attempts.started,
            "attempts_evicted": attempts.evicted,
            "batch_share": attempts.share,
            "control_sent_bytes": common.control_bytes.sent(),
            "control_received_bytes": common.control_bytes.received(),
            "store_reads": common.store.usage().reads(),
            "store_writes": common.store.usage().writes(),
        })
    })
}
