//! Starts the tasks that entries and agents share.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use slog::Logger;
use teaseltrack::{
    clock::SharedClock,
    membership::{Member, MemberState, Role},
};
use teaseltrack_daemon::{byte_count::ByteCount, settings::PlatformSettings, shutdown::Shutdown};
use teaseltrack_platform::{
    http_adapter::http_adapter,
    store::{Store, StoreBudget},
};
use tokio::{net::TcpListener, sync::mpsc};

use crate::{
    clients::ControlClients,
    configuration::run_configuration_polling,
    control_server::{TaskCall, serve_control},
    gossip::{fetch_from_ahead_peers, run_gossip},
    node::{NodeHandle, spawn_node},
    seeds::{SeedSources, run_seeds},
    settings::ControlSettings,
};

/// Maximum queued fetches from peers with a higher revision.
const MAX_PEERS_AHEAD: usize = 4;

/// Handles shared by the tasks of a process.
#[derive(Clone)]
pub struct NodeContext {
    /// Logger.
    pub logger: Logger,
    /// Clock.
    pub clock: SharedClock,
    /// The platform's store.
    pub store: Store,
    /// Handle to the membership and the active configuration.
    pub node: NodeHandle,
    /// Clients for control calls.
    pub clients: ControlClients,
    /// Bytes transferred by control calls.
    pub control_bytes: Arc<ByteCount>,
    /// Graceful shutdown.
    pub shutdown: Shutdown,
}

/// Identity of the instance as a member of the fleet.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the instance.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Role of the instance.
    pub role: Role,
    /// Address of the control port.
    pub control_address: SocketAddr,
    /// Address of the request port.
    pub request_address: SocketAddr,
    /// Incarnation of the process, higher than that of any earlier process of the instance.
    pub incarnation: u64,
}

/// Creates a client of the store with the address, timeout and rate limits in the settings.
pub fn open_store(settings: &PlatformSettings, clock: SharedClock) -> Store {
    let adapter = http_adapter(settings.address, Duration::from_millis(settings.timeout_ms));
    let budget =
        StoreBudget { writes_per_s: settings.writes_per_s, reads_per_s: settings.reads_per_s };
    Store::new(adapter, budget, clock)
}

/// Starts the node's task, gossip, seeding, configuration polling and the control server.
pub fn start_node(
    identity: Identity,
    settings: &ControlSettings,
    listener: TcpListener,
    store: Store,
    tasks: Option<mpsc::Sender<TaskCall>>,
    (logger, clock, shutdown): (Logger, SharedClock, Shutdown),
) -> NodeContext {
    let is_entry = identity.role == Role::Entry;
    let control_address = identity.control_address;
    let (peers_ahead, peers_ahead_receiver) = mpsc::channel(MAX_PEERS_AHEAD);
    let node = spawn_node(local_member(identity), clock.clone(), logger.clone(), peers_ahead);
    let control_bytes = Arc::new(ByteCount::default());
    let clients = ControlClients::new(control_bytes.clone());
    let closing = shutdown.closing.clone();
    tokio::spawn(fetch_from_ahead_peers(node.clone(), clients.clone(), peers_ahead_receiver));
    tokio::spawn(serve_control(
        listener,
        node.clone(),
        clients.clone(),
        tasks,
        control_bytes.clone(),
        closing.clone(),
    ));
    let probe_period = Duration::from_millis(settings.probe_period_ms);
    tokio::spawn(run_gossip(node.clone(), clients.clone(), probe_period, closing.clone()));
    let sources = SeedSources {
        local_address: control_address,
        configured: settings.seeds.clone(),
        store: store.clone(),
        is_rejoining: is_entry,
    };
    tokio::spawn(run_seeds(
        node.clone(),
        clients.clone(),
        sources,
        logger.clone(),
        closing.clone(),
    ));
    tokio::spawn(run_configuration_polling(
        node.clone(),
        clients.clone(),
        store.clone(),
        Duration::from_millis(settings.poll_period_ms),
        logger.clone(),
        closing,
    ));
    NodeContext { logger, clock, store, node, clients, control_bytes, shutdown }
}

fn local_member(identity: Identity) -> Member {
    Member {
        instance: identity.name,
        role: identity.role,
        control_address: identity.control_address.to_string(),
        request_address: identity.request_address.to_string(),
        zone: identity.zone,
        incarnation: identity.incarnation,
        state: MemberState::Alive,
        target: None,
    }
}
