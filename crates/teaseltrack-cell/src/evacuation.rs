//! Follows the operator's rows for a cell's owner: the requested evacuations and the configuration,
//! which share the feed of one table.

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::{Duration, Instant},
};

use slog::{Logger, info, warn};
use teaseltrack::{cell::evacuation::Evacuations, clock::SharedClock, ids::ZoneName};
use teaseltrack_platform::store::{ChangePage, Store, StoreError};
use tokio::{sync::watch, time::sleep};

use crate::{
    configuration::{ConfigurationSource, apply},
    constants::{MAX_CHANGES_WAIT, RETRY_DELAY},
};

/// Operator's rows for an owner.
#[derive(Clone)]
pub struct OperatorSource<T> {
    /// The configuration.
    pub configuration: ConfigurationSource<T>,
    /// Prefix of the keys of evacuation requests in the configuration's table; the rest of a key is
    /// the availability zone. The values aren't read.
    pub evacuation_prefix: String,
}

/// Publishes what the operator's rows hold.
pub struct OperatorSenders<T> {
    /// The newest configuration.
    pub configuration: watch::Sender<Option<Arc<T>>>,
    /// The requested evacuations, renewed with each proof that they are current.
    pub evacuations: watch::Sender<Option<Evacuations>>,
}

/// Follows the operator's rows; older versions of the configuration are ignored.
pub async fn follow_operator<T>(
    store: Store,
    clock: SharedClock,
    source: OperatorSource<T>,
    senders: OperatorSenders<T>,
    logger: Logger,
) {
    let zones = BTreeSet::new();
    let mut follower = Follower { store, clock, source, senders, zones, logger };
    let mut after: Option<u64> = None;
    let mut wait = MAX_CHANGES_WAIT;
    loop {
        let result = match after {
            Some(after) => follower.read_changes(after, wait).await,
            None => follower.read_rows().await.map(Some),
        };
        match result {
            Ok(version) => (after, wait) = (version, MAX_CHANGES_WAIT),
            Err(error) => {
                warn!(follower.logger, "failed to follow the operator's rows"; "error" => %error);
                // The next response shows at once whether the requests are current.
                wait = Duration::ZERO;
                sleep(RETRY_DELAY * 2).await;
            }
        }
    }
}

struct Follower<T> {
    store: Store,
    clock: SharedClock,
    source: OperatorSource<T>,
    senders: OperatorSenders<T>,
    zones: BTreeSet<ZoneName>,
    logger: Logger,
}

impl<T> Follower<T> {
    /// Reads the rows; returns the version to continue from.
    async fn read_rows(&mut self) -> Result<u64, StoreError> {
        let current_at = self.clock.now();
        let OperatorSource { configuration, evacuation_prefix } = &self.source;
        let version = self.store.version(&configuration.table).await?;
        let requests = self.store.list_all(evacuation_prefix).await?;
        self.zones = requests.iter().filter_map(|row| self.zone_of(&row.key)).collect();
        self.publish_evacuations(version, current_at);
        if let Some(row) = self.store.read(&self.source.configuration.key).await? {
            self.apply_configuration(&row.value);
        }
        Ok(version)
    }

    /// Waits for changes after a version; returns the version to continue from, or `None` to read the
    /// rows again.
    async fn read_changes(
        &mut self,
        after: u64,
        wait: Duration,
    ) -> Result<Option<u64>, StoreError> {
        let sent_at = self.clock.now();
        let page = self.store.changes(&self.source.configuration.table, after, wait).await?;
        if page.is_history_lost {
            info!(
                self.logger,
                "changes of the operator's rows no longer retained; reading them again"
            );
            return Ok(None);
        }
        for change in &page.changes {
            if change.key == self.source.configuration.key
                && let Some(value) = &change.value
            {
                self.apply_configuration(value);
            }
            let Some(zone) = self.zone_of(&change.key) else { continue };
            if change.value.is_some() {
                self.zones.insert(zone);
            } else {
                self.zones.remove(&zone);
            }
        }
        let version = page.version.max(after);
        self.publish_evacuations(version, proven_at(&page, sent_at, wait, self.clock.now()));
        if page.version <= after && page.changes.is_empty() {
            sleep(Duration::from_millis(5)).await;
        }
        Ok(Some(version))
    }

    fn zone_of(&self, key: &str) -> Option<ZoneName> {
        let zone = key.strip_prefix(&self.source.evacuation_prefix)?;
        (!zone.is_empty()).then(|| zone.to_owned())
    }

    fn publish_evacuations(&self, version: u64, current_at: Instant) {
        let evacuations = Evacuations { version, zones: self.zones.clone(), current_at };
        self.senders.evacuations.send_replace(Some(evacuations));
    }

    fn apply_configuration(&self, text: &str) {
        apply(&self.source.configuration, text, &self.senders.configuration, &self.logger);
    }
}

/// Time at which a response proves that there were no other changes. An empty one is sent only after
/// the store has waited.
fn proven_at(page: &ChangePage, sent_at: Instant, wait: Duration, now: Instant) -> Instant {
    let has_waited = page.changes.is_empty() && now.duration_since(sent_at) >= wait;
    if has_waited { sent_at + wait } else { sent_at }
}
