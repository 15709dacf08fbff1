//! Peer discovery from seed addresses: those in the settings, and the rows that entries maintain in
//! the store.

use std::{net::SocketAddr, time::Duration};

use rand::{RngExt, seq::IndexedRandom};
use serde::{Deserialize, Serialize};
use slog::{Logger, info};
use teaseltrack::{clock::unix_ms, ids::InstanceId};
use teaseltrack_platform::{
    keys,
    store::{Row, Store, StoreError, Transaction, Write},
    stream::transaction_id,
};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::{clients::ControlClients, gossip::probe_address, node::NodeHandle};

/// Interval between attempts to join, and to write a seed row after a failure.
const JOIN_PERIOD: Duration = Duration::from_millis(500);
/// Interval between probes of a seed once joined, which reconnect a partitioned membership.
const REJOIN_PERIOD: Duration = Duration::from_secs(30);
/// Age after which a seed row is ignored, in milliseconds.
const MAX_SEED_AGE_MS: u64 = 24 * 3_600 * 1_000;
/// Interval at which an entry rewrites its seed row.
const REFRESH_PERIOD: Duration = Duration::from_secs(3_600);

/// Control address of an entry, stored as one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeedRow {
    /// Name of the entry's instance.
    pub instance: InstanceId,
    /// Address of its control port.
    pub control_address: SocketAddr,
    /// Time of the write, in milliseconds since the Unix epoch.
    pub written_at_ms: u64,
}

/// Sources of seed addresses.
#[derive(Clone, Debug)]
pub struct SeedSources {
    /// Control address of this instance, which is excluded.
    pub local_address: SocketAddr,
    /// Seed addresses from the settings.
    pub configured: Vec<SocketAddr>,
    /// Store with the seed rows.
    pub store: Store,
    /// Whether to keep probing seeds after joining, to find lost peers again.
    pub is_rejoining: bool,
}

/// Joins the fleet through a seed; with `is_rejoining`, keeps probing a random seed until `closing`
/// is cancelled.
pub async fn run_seeds(
    node: NodeHandle,
    clients: ControlClients,
    sources: SeedSources,
    logger: Logger,
    closing: CancellationToken,
) {
    loop {
        let is_isolated = node.members().len() < 2;
        if is_isolated || sources.is_rejoining {
            let addresses = seed_addresses(&sources).await;
            let selected = select_addresses(&addresses, is_isolated);
            for address in selected {
                if probe_address(&node, &clients, address).await && is_isolated {
                    info!(logger, "joined the fleet"; "through" => %address);
                }
            }
        } else if !sources.is_rejoining {
            return;
        }
        let period = if is_isolated { JOIN_PERIOD } else { REJOIN_PERIOD };
        let wait = period.mul_f64(rand::rng().random_range(0.8..1.2));
        tokio::select! {
            () = sleep(wait) => {}
            () = closing.cancelled() => return,
        }
    }
}

/// Rewrites an entry's seed row periodically until `closing` is cancelled, then deletes it.
pub async fn maintain_seed_row(store: Store, mut row: SeedRow, closing: CancellationToken) {
    let key = keys::seed(&row.instance);
    loop {
        row.written_at_ms = unix_ms(std::time::SystemTime::now());
        let is_written = write(&store, &row.instance, Write::put(key.clone(), &row)).await.is_ok();
        let wait = if is_written { REFRESH_PERIOD } else { JOIN_PERIOD };
        tokio::select! {
            () = sleep(wait) => {}
            () = closing.cancelled() => break,
        }
    }
    drop(write(&store, &row.instance, Write::delete(key)).await);
}

async fn write(store: &Store, instance: &str, write: Write) -> Result<(), StoreError> {
    let id = transaction_id(instance);
    let transaction = Transaction { id, conditions: Vec::new(), writes: vec![write] };
    store.commit(transaction).await.map(drop)
}

async fn seed_addresses(sources: &SeedSources) -> Vec<SocketAddr> {
    let rows = sources.store.list(keys::SEEDS, "").await.unwrap_or_default();
    let oldest_ms = unix_ms(std::time::SystemTime::now()).saturating_sub(MAX_SEED_AGE_MS);
    let from_store = rows
        .iter()
        .filter_map(|row| Row::parse::<SeedRow>(row).ok())
        .filter(|seed| seed.written_at_ms >= oldest_ms)
        .map(|seed| seed.control_address);
    let mut addresses: Vec<SocketAddr> =
        sources.configured.iter().copied().chain(from_store).collect();
    addresses.retain(|address| *address != sources.local_address);
    addresses.sort_unstable();
    addresses.dedup();
    addresses
}

/// All addresses while this instance has no peers, so that one dead entry doesn't delay joining;
/// otherwise a random one.
fn select_addresses(addresses: &[SocketAddr], is_isolated: bool) -> Vec<SocketAddr> {
    if is_isolated {
        return addresses.to_vec();
    }
    addresses.choose(&mut rand::rng()).copied().into_iter().collect()
}
