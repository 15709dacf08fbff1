//! Startup and graceful shutdown of an entry.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde_json::json;
use slog::info;
use snafu::ResultExt;
use teaseltrack::{
    clock::{SharedClock, SystemClock, unix_ms},
    membership::Role,
};
use teaseltrack_daemon::{
    health::{StatusReport, serve_health},
    http_server::serve,
    lifecycle::{MetricsSnafu, StartError, bind},
    logs,
    metrics::Metrics,
    shutdown::Shutdown,
    spans::Spans,
};
use teaseltrack_node::{
    gossip::push_updates,
    node::NodeMessage,
    seeds::{SeedRow, maintain_seed_row},
    start::{Identity, NodeContext, open_store, start_node},
};
use tokio::{
    net::TcpListener,
    task::JoinHandle,
    time::{sleep, timeout},
};
use tokio_util::task::TaskTracker;

use crate::{
    callers::{
        agent_connection::AgentConnections, attempt::AttemptContext, dispatcher::spawn_dispatcher,
        server::CallerServer,
    },
    operators::{archiver::run_archiver, commands::CommandContext, server::handle},
    options::config::EntrySettings,
};

/// Maximum number of concurrent connections from operators.
const MAX_OPERATOR_CONNECTIONS: usize = 64;
/// Timeout for open responses to complete during a graceful shutdown.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for deleting the seed row during a graceful shutdown.
const SEED_TIMEOUT: Duration = Duration::from_secs(2);

/// Listen addresses of an entry.
#[derive(Clone, Copy, Debug)]
pub struct EntryAddresses {
    /// Requests from callers.
    pub callers: SocketAddr,
    /// Commands and queries from operators.
    pub operators: SocketAddr,
    /// Control calls.
    pub control: SocketAddr,
    /// Liveness, readiness and status checks.
    pub health: SocketAddr,
}

/// Running entry.
pub struct Entry {
    node_context: NodeContext,
    addresses: EntryAddresses,
    drain_grace: Duration,
    open_responses: TaskTracker,
    servers: Vec<JoinHandle<()>>,
    seed_row: JoinHandle<()>,
    spans: Spans,
}

struct Listeners {
    callers: TcpListener,
    operators: TcpListener,
    control: TcpListener,
    health: TcpListener,
}

impl Entry {
    /// Binds the listen addresses and starts all tasks.
    ///
    /// # Errors
    ///
    /// An address can't be bound, or the socket for sending metrics can't be opened.
    pub async fn start(settings: EntrySettings, shutdown: Shutdown) -> Result<Self, StartError> {
        let logger =
            logs::logger(settings.observation.logs, "teaseltrack-entry", &settings.instance.name);
        let metrics = Metrics::new(&settings.observation.metrics).context(MetricsSnafu)?;
        let spans = Spans::new(settings.observation.traces, logger.clone());
        let clock: SharedClock = Arc::new(SystemClock);
        let (listeners, addresses) = bind_all(&settings).await?;
        let identity = Identity {
            name: settings.instance.name.clone(),
            zone: settings.instance.zone.clone(),
            role: Role::Entry,
            control_address: addresses.control,
            request_address: addresses.callers,
            incarnation: unix_ms(clock.wall_now()),
        };
        let store = open_store(&settings.platform, clock.clone());
        let node_context = start_node(
            identity,
            &settings.control,
            listeners.control,
            store,
            None,
            (logger.clone(), clock.clone(), shutdown),
        );
        let seed = SeedRow {
            instance: settings.instance.name.clone(),
            control_address: addresses.control,
            written_at_ms: 0,
        };
        let draining = node_context.shutdown.draining.clone();
        let seed_row = tokio::spawn(maintain_seed_row(node_context.store.clone(), seed, draining));
        tokio::spawn(run_archiver(
            node_context.store.clone(),
            settings.instance.name.clone(),
            logger.clone(),
            node_context.shutdown.closing.clone(),
        ));
        let open_responses = TaskTracker::new();
        let callers = caller_server(&settings, &node_context, &spans, &metrics, &open_responses);
        let servers = vec![
            serve_callers(&settings, &node_context, callers, listeners.callers),
            serve_operators(&node_context, listeners.operators),
        ];
        let status = status_report(&node_context, &open_responses);
        tokio::spawn(serve_health(listeners.health, node_context.shutdown.clone(), status));
        info!(logger, "entry started"; "callers" => %addresses.callers,
            "operators" => %addresses.operators, "control" => %addresses.control);
        let drain_grace = Duration::from_millis(settings.callers.drain_grace_ms);
        Ok(Self { node_context, addresses, drain_grace, open_responses, servers, seed_row, spans })
    }

    /// Listen addresses of the entry.
    pub fn addresses(&self) -> EntryAddresses {
        self.addresses
    }

    /// Waits until draining starts, then carries out the graceful shutdown.
    pub async fn wait(self) {
        self.node_context.shutdown.draining.cancelled().await;
        let logger = self.node_context.logger.clone();
        info!(logger, "graceful shutdown started");
        sleep(self.drain_grace).await;
        self.node_context.node.request(NodeMessage::Leave).await;
        push_updates(&self.node_context.node, &self.node_context.clients).await;
        self.node_context.shutdown.closing.cancel();
        for server in self.servers {
            drop(timeout(DRAIN_TIMEOUT, server).await);
        }
        self.open_responses.close();
        drop(timeout(DRAIN_TIMEOUT, self.open_responses.wait()).await);
        drop(timeout(SEED_TIMEOUT, self.seed_row).await);
        self.spans.flush();
        info!(logger, "entry stopped");
    }
}

async fn bind_all(settings: &EntrySettings) -> Result<(Listeners, EntryAddresses), StartError> {
    let (callers, callers_address) = bind("callers.address", settings.callers.address).await?;
    let (operators, operators_address) =
        bind("operators.address", settings.operators.address).await?;
    let (control, control_address) = bind("control.address", settings.control.address).await?;
    let (health, health_address) = bind("health.address", settings.health.address).await?;
    let listeners = Listeners { callers, operators, control, health };
    let addresses = EntryAddresses {
        callers: callers_address,
        operators: operators_address,
        control: control_address,
        health: health_address,
    };
    Ok((listeners, addresses))
}

fn caller_server(
    settings: &EntrySettings,
    node_context: &NodeContext,
    spans: &Spans,
    metrics: &Metrics,
    open_responses: &TaskTracker,
) -> CallerServer {
    let zone = settings.instance.zone.clone();
    let connections = AgentConnections::default();
    tokio::spawn(close_stale_connections(node_context.clone(), connections.clone()));
    CallerServer {
        node: node_context.node.clone(),
        dispatcher: spawn_dispatcher(node_context.node.clone(), zone, node_context.clock.clone()),
        attempt_context: AttemptContext { connections, clock: node_context.clock.clone() },
        spans: spans.clone(),
        metrics: metrics.clone(),
        shutdown: node_context.shutdown.clone(),
        open_responses: open_responses.clone(),
        max_body_bytes: settings.callers.max_body_bytes,
    }
}

/// Closes connections to agents that have left the fleet.
async fn close_stale_connections(node_context: NodeContext, connections: AgentConnections) {
    let mut members = node_context.node.watch_members();
    while members.changed().await.is_ok() {
        let current = members.borrow_and_update().clone();
        connections.retain(|agent| {
            let agent = agent.to_string();
            current.iter().any(|member| member.request_address == agent)
        });
    }
}

fn serve_callers(
    settings: &EntrySettings,
    node_context: &NodeContext,
    callers: CallerServer,
    listener: TcpListener,
) -> JoinHandle<()> {
    let max_connections = settings.callers.max_connections;
    let closing = node_context.shutdown.closing.clone();
    tokio::spawn(serve(listener, max_connections, closing, move |request| {
        callers.clone().handle(request)
    }))
}

fn serve_operators(node_context: &NodeContext, listener: TcpListener) -> JoinHandle<()> {
    let context = CommandContext {
        store: node_context.store.clone(),
        clock: node_context.clock.clone(),
        node: node_context.node.clone(),
        clients: node_context.clients.clone(),
    };
    let closing = node_context.shutdown.closing.clone();
    tokio::spawn(serve(listener, MAX_OPERATOR_CONNECTIONS, closing, move |request| {
        handle(context.clone(), request)
    }))
}

fn status_report(node_context: &NodeContext, open_responses: &TaskTracker) -> StatusReport {
    let (node_context, open_responses) = (node_context.clone(), open_responses.clone());
    Arc::new(move || {
        let members = node_context.node.members();
        let targets = members.iter().filter(|member| member.target.is_some()).count();
        json!({
            "revision": node_context.node.configuration().revision(),
            "records": node_context.node.configuration().record_count(),
            "members": members.len(),
            "targets": targets,
            "answers_in_flight": open_responses.len(),
            "control_sent_bytes": node_context.control_bytes.sent(),
            "control_received_bytes": node_context.control_bytes.received(),
            "store_reads": node_context.store.usage().reads(),
            "store_writes": node_context.store.usage().writes(),
        })
    })
}
