//! Fetching configuration changes, from the store and from peers.

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

/// Time for a peer to hand over changes.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Revisions behind which all records are read anew.
const MAX_CATCH_UP: Revision = 200;
/// Kinds of records that are in force at every process.
const KINDS_IN_FORCE: [RecordKind; 3] = [RecordKind::Service, RecordKind::Team, RecordKind::Watch];

/// Looks at the store for changes every period until `closing` is cancelled.
pub async fn run_configuration(
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
            Err(error) => warn!(logger, "no look at the store"; "error" => %error),
        }
        let wait = period.mul_f64(rand::rng().random_range(0.8..1.2));
        tokio::select! {
            () = sleep(wait) => debug!(logger, "looking for configuration changes"),
            () = closing.cancelled() => return,
        }
    }
}

/// Fetches and applies what the peer has in force beyond this instance; true if that was anything.
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

/// Reads and applies what came since the revision in force; true if that was anything.
///
/// # Errors
///
/// The store doesn't answer.
pub async fn poll_changes(node: &NodeHandle, store: &Store) -> Result<bool, StoreError> {
    let revision = node.configuration().revision();
    let row = store.read(&keys::head(CONFIGURATION_STREAM)).await?;
    let head: StreamHead = row.as_ref().map(Row::parse).transpose()?.unwrap_or_default();
    if head.sequence <= revision {
        return Ok(false);
    }
    let page = if revision == 0 || head.sequence - revision > MAX_CATCH_UP {
        read_all(store, head.sequence).await?
    } else {
        read_after(store, revision).await?
    };
    Ok(node.request(|reply| NodeMessage::Apply(page, reply)).await == Some(true))
}

async fn read_all(store: &Store, through_revision: Revision) -> Result<ChangePage, StoreError> {
    let mut records: Vec<Record> = Vec::new();
    for kind in KINDS_IN_FORCE {
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
