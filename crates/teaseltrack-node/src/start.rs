//! Starts what entries and agents share.

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
    configuration::run_configuration,
    control_server::{TaskCall, serve_control},
    gossip::{follow_peers, run_gossip},
    node::{NodeHandle, spawn_node},
    seeds::{SeedSources, run_seeds},
    settings::ControlSettings,
};

/// Peers with a higher revision that may wait to be asked for it.
const AHEAD_PEERS: usize = 4;

/// What every process shares between its tasks.
#[derive(Clone)]
pub struct NodeContext {
    /// Logs.
    pub logger: Logger,
    /// Clock.
    pub clock: SharedClock,
    /// The platform's store.
    pub store: Store,
    /// The node.
    pub node: NodeHandle,
    /// Clients of control calls.
    pub clients: ControlClients,
    /// Bytes of control calls.
    pub control_bytes: Arc<ByteCount>,
    /// The planned stop.
    pub shutdown: Shutdown,
}

/// The instance as it introduces itself.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// What it does.
    pub role: Role,
    /// Address of its control port.
    pub control_address: SocketAddr,
    /// Address of its request port.
    pub request_address: SocketAddr,
    /// Number of this process, higher than that of any earlier one.
    pub incarnation: u64,
}

/// A store as the settings describe it.
pub fn open_store(settings: &PlatformSettings, clock: SharedClock) -> Store {
    let adapter = http_adapter(settings.address, Duration::from_millis(settings.timeout_ms));
    let budget =
        StoreBudget { writes_per_s: settings.writes_per_s, reads_per_s: settings.reads_per_s };
    Store::new(adapter, budget, clock)
}

/// Starts the node with its gossip, configuration and control port.
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
    let (ahead, ahead_receiver) = mpsc::channel(AHEAD_PEERS);
    let node = spawn_node(member_of(identity), clock.clone(), logger.clone(), ahead);
    let control_bytes = Arc::new(ByteCount::default());
    let clients = ControlClients::new(control_bytes.clone());
    let closing = shutdown.closing.clone();
    tokio::spawn(follow_peers(node.clone(), clients.clone(), ahead_receiver));
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
        own: control_address,
        settings: settings.seeds.clone(),
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
    tokio::spawn(run_configuration(
        node.clone(),
        clients.clone(),
        store.clone(),
        Duration::from_millis(settings.poll_period_ms),
        logger.clone(),
        closing,
    ));
    NodeContext { logger, clock, store, node, clients, control_bytes, shutdown }
}

fn member_of(identity: Identity) -> Member {
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
