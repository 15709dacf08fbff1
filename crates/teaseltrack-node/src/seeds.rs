//! Finding the first peers: from the settings and from a few rows that entries keep.

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

/// Wait between tries while no peer is known.
const JOIN_PERIOD: Duration = Duration::from_millis(500);
/// Wait between looks for peers that this instance lost.
const REJOIN_PERIOD: Duration = Duration::from_secs(30);
/// Age after which a row is no longer believed, in milliseconds.
const MAX_AGE_MS: u64 = 24 * 3_600 * 1_000;
/// Time between two writes of an entry's row.
const REFRESH_PERIOD: Duration = Duration::from_secs(3_600);

/// Address of an entry, one row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeedRow {
    /// The entry.
    pub instance: InstanceId,
    /// Address of its control port.
    pub control_address: SocketAddr,
    /// Time of the write, in milliseconds since the Unix epoch.
    pub written_at_ms: u64,
}

/// Where first peers are looked for.
#[derive(Clone, Debug)]
pub struct SeedSources {
    /// This instance's own control address, which is left out.
    pub own: SocketAddr,
    /// Addresses from the settings.
    pub settings: Vec<SocketAddr>,
    /// The table.
    pub store: Store,
    /// Whether to look again for lost peers once the first are found.
    pub is_rejoining: bool,
}

/// Joins the fleet, and now and then looks for peers that were lost.
pub async fn run_seeds(
    node: NodeHandle,
    clients: ControlClients,
    sources: SeedSources,
    logger: Logger,
    closing: CancellationToken,
) {
    loop {
        let is_alone = node.members().len() < 2;
        if is_alone || sources.is_rejoining {
            let addresses = candidates(&sources).await;
            let chosen = choose(&addresses, is_alone);
            for address in chosen {
                if probe_address(&node, &clients, address).await && is_alone {
                    info!(logger, "joined the fleet"; "through" => %address);
                }
            }
        } else if !sources.is_rejoining {
            return;
        }
        let period = if is_alone { JOIN_PERIOD } else { REJOIN_PERIOD };
        let wait = period.mul_f64(rand::rng().random_range(0.8..1.2));
        tokio::select! {
            () = sleep(wait) => {}
            () = closing.cancelled() => return,
        }
    }
}

/// Keeps an entry's row fresh until `closing` is cancelled, then deletes it.
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

async fn candidates(sources: &SeedSources) -> Vec<SocketAddr> {
    let rows = sources.store.list(keys::SEEDS, "").await.unwrap_or_default();
    let oldest_ms = unix_ms(std::time::SystemTime::now()).saturating_sub(MAX_AGE_MS);
    let from_table = rows
        .iter()
        .filter_map(|row| Row::parse::<SeedRow>(row).ok())
        .filter(|seed| seed.written_at_ms >= oldest_ms)
        .map(|seed| seed.control_address);
    let mut all: Vec<SocketAddr> = sources.settings.iter().copied().chain(from_table).collect();
    all.retain(|address| *address != sources.own);
    all.sort_unstable();
    all.dedup();
    all
}

/// All addresses while alone, so that one dead entry doesn't delay the start; else one at random.
fn choose(addresses: &[SocketAddr], is_alone: bool) -> Vec<SocketAddr> {
    if is_alone {
        return addresses.to_vec();
    }
    addresses.choose(&mut rand::rng()).copied().into_iter().collect()
}
