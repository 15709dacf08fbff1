//! Fetches configuration changes from the store and from peers.

use std::{net::SocketAddr, time::Duration};

use rand::RngExt;
use slog::{Logger, debug, warn};
use teaseltrack::{
    configuration::ChangePage,
    ids::Revision,
    journal::{CONFIGURATION_STREAM, EntryBody, StreamHead},
    record::{Record, RecordKind},
};
use teaseltrack_platform::{
    history::read_entries,
    keys,
    store::{Row, Store, StoreError},
};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::{
    clients::{ControlClients, context_with_timeout},
    gossip::push_updates,
    node::{NodeHandle, NodeMessage},
};

/// Timeout of a request for a page of a peer's changes.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum revisions to catch up on from the journal; further behind, all records are listed.
const MAX_INCREMENTAL_REVISIONS: Revision = 200;
/// Kinds of records that belong to the configuration of every process.
const CONFIGURATION_KINDS: [RecordKind; 3] =
    [RecordKind::Service, RecordKind::Team, RecordKind::Watch];

/// Polls the store for changes until `closing` is cancelled; the period is jittered by 20%.
pub async fn run_configuration_polling(
    node: NodeHandle,
    clients: ControlClients,
    store: Store,
    period: Duration,
    logger: Logger,
    closing: CancellationToken,
) {
    loop {
        match poll_changes(&node, &store).await {
            Ok(true) => push_updates(&node, &clients).await,
            Ok(false) => {}
            Err(error) => warn!(logger, "polling the store failed"; "error" => %error),
        }
        let wait = period.mul_f64(rand::rng().random_range(0.8..1.2));
        tokio::select! {
            () = sleep(wait) => debug!(logger, "polling the store for configuration changes"),
            () = closing.cancelled() => return,
        }
    }
}

/// Fetches and applies the changes that a peer has and this instance lacks; true if the active
/// revision increased.
pub async fn fetch_from_peer(
    node: &NodeHandle,
    clients: &ControlClients,
    address: SocketAddr,
) -> bool {
    let mut after = node.configuration().revision();
    loop {
        let Ok(client) = clients.connect(address).await else { return false };
        let Ok(page) = client.changes_after(context_with_timeout(FETCH_TIMEOUT), after).await
        else {
            return false;
        };
        let next_after = page.next_after();
        let is_higher = node.request(|reply| NodeMessage::Apply(page, reply)).await == Some(true);
        match next_after {
            Some(next) => after = next,
            None => return is_higher,
        }
    }
}

/// Reads and applies the changes stored after the active revision; true if the active revision
/// increased.
///
/// # Errors
///
/// The store is unavailable, or a row or entry can't be parsed.
pub async fn poll_changes(node: &NodeHandle, store: &Store) -> Result<bool, StoreError> {
    let revision = node.configuration().revision();
    let row = store.read(&keys::head(CONFIGURATION_STREAM)).await?;
    let head: StreamHead = row.as_ref().map(Row::parse).transpose()?.unwrap_or_default();
    if head.sequence <= revision {
        return Ok(false);
    }
    let page = if revision == 0 || head.sequence - revision > MAX_INCREMENTAL_REVISIONS {
        read_all(store, head.sequence).await?
    } else {
        read_after(store, revision).await?
    };
    Ok(node.request(|reply| NodeMessage::Apply(page, reply)).await == Some(true))
}

async fn read_all(store: &Store, through_revision: Revision) -> Result<ChangePage, StoreError> {
    let mut records: Vec<Record> = Vec::new();
    for kind in CONFIGURATION_KINDS {
        for row in store.list_all(&keys::records(kind)).await? {
            records.push(row.parse()?);
        }
    }
    records.sort_by_key(|record| record.revision);
    Ok(ChangePage::complete(records, through_revision))
}

async fn read_after(store: &Store, revision: Revision) -> Result<ChangePage, StoreError> {
    let (mut records, mut through_revision) = (Vec::new(), revision);
    for sealed in read_entries(store, CONFIGURATION_STREAM, revision).await? {
        let entry = sealed.open().map_err(|source| StoreError::Unreadable {
            key: CONFIGURATION_STREAM.to_owned(),
            source,
        })?;
        through_revision = entry.sequence;
        if let EntryBody::Change { record, .. } = entry.body {
            records.push(record);
        }
    }
    Ok(ChangePage::complete(records, through_revision))
}
