//! Takes the cell when its owner has gone.
//!
//! While the agent hears the owner, a candidate does nothing. Otherwise it looks at the owner's
//! row, and takes the cell once the row has stood unchanged for the owner's silence, or at once if
//! the owner has released it. A process that
//! finds its own name there from an earlier life takes the cell at once.

use std::time::{Duration, Instant};

use slog::{info, warn};
use teaseltrack::{
    cell::ownership::{OwnerRecord, OwnershipMonitor, candidate_delay},
    ids::InstanceId,
};
use teaseltrack_platform::store::{CommitOutcome, Condition, Row, StoreError, Transaction, Write};
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use crate::{
    calls::KnownOwner,
    constants::{CANDIDATE_INTERVAL, CANDIDATE_STEP, CANDIDATE_STEPS, OWNER_SUSPECT_AFTER},
    owner::{OwnerContext, committer::Committer, run_owner},
    rows::{OWNER_KEY, OWNER_NOTICE_KEY},
};

/// When the agent last heard an owner that can commit.
pub type OwnerContact = watch::Receiver<Option<Instant>>;

/// A process that may own the cell.
#[derive(Clone)]
pub struct Candidate {
    /// Its instance.
    pub instance: InstanceId,
    /// Address of its inner port.
    pub address: String,
    /// Start of its process, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// What it needs as an owner.
    pub context: OwnerContext,
    /// Who owns the cell, for the rest of the process.
    pub known_owner: watch::Sender<KnownOwner>,
}

/// A cell that was just taken.
struct Taken {
    committer: Committer,
    foreign_grants_end: Instant,
}

impl Candidate {
    /// Watches the owner, and runs the cell whenever it is taken, until `closing` is cancelled.
    pub async fn run(self, contact: OwnerContact, closing: CancellationToken) {
        let mut watch = OwnershipMonitor::default();
        loop {
            tokio::select! {
                () = self.wait_for_suspicion(&contact) => {}
                () = closing.cancelled() => return,
            }
            match self.look(&mut watch).await {
                Ok(Some(taken)) => {
                    let Taken { committer, foreign_grants_end } = taken;
                    let context = self.context.clone();
                    run_owner(context, committer, foreign_grants_end, closing.clone()).await;
                    watch.reset();
                }
                Ok(None) => sleep(CANDIDATE_INTERVAL).await,
                Err(error) => {
                    warn!(self.context.logger, "owner's row can't be read"; "error" => %error);
                    sleep(CANDIDATE_INTERVAL).await;
                }
            }
            if closing.is_cancelled() {
                return;
            }
        }
    }

    async fn wait_for_suspicion(&self, contact: &OwnerContact) {
        let mut contact = contact.clone();
        loop {
            let Some(heard_at) = *contact.borrow_and_update() else { return };
            let silence = self.context.clock.now().duration_since(heard_at);
            let Some(rest) = OWNER_SUSPECT_AFTER.checked_sub(silence) else { return };
            let lost = contact.wait_for(Option::is_none);
            drop(timeout(rest.max(Duration::from_millis(1)), lost).await);
        }
    }

    async fn look(&self, watch: &mut OwnershipMonitor) -> Result<Option<Taken>, StoreError> {
        let row = self.context.store.read(OWNER_KEY).await?;
        let now = self.context.clock.now();
        let Some(row) = row else { return self.take(None, now).await };
        let record: OwnerRecord = row.parse()?;
        self.tell_owner(&record);
        watch.observe(row.version, now);
        if record.is_released {
            return self.take(Some((record, row)), now).await;
        }
        if record.owner == self.instance && record.started_unix_ms == self.started_unix_ms {
            // A takeover whose answer was lost, and which took effect after all. Since when is not
            // known, so no lease is granted before the next commit.
            let grant_period = self.context.ownership.grant_period;
            let renewed_at = now.checked_sub(grant_period).unwrap_or(now);
            return Ok(Some(self.taken(record, row.version, renewed_at, now + grant_period)));
        }
        if record.owner == self.instance && record.address == self.address {
            let is_first = record.epoch == 1;
            let earlier_grants =
                if is_first { Duration::ZERO } else { self.context.ownership.grant_period };
            return self.take(Some((record, row)), now + earlier_grants).await;
        }
        let delay = candidate_delay(&self.instance, row.version, CANDIDATE_STEP, CANDIDATE_STEPS);
        let silence = self.context.ownership.takeover_timeout + delay;
        let Some(since) = watch.unchanged_since(silence, now) else { return Ok(None) };
        let grants_end = since + self.context.ownership.grant_period;
        self.take(Some((record, row)), grants_end).await
    }

    fn tell_owner(&self, record: &OwnerRecord) {
        let Ok(address) = record.address.parse() else { return };
        let known = KnownOwner { epoch: record.epoch, address: Some(address) };
        self.known_owner.send_if_modified(|current| {
            let is_newer = known.epoch > current.epoch;
            if is_newer {
                *current = known.clone();
            }
            is_newer
        });
    }

    async fn take(
        &self,
        known: Option<(OwnerRecord, Row)>,
        foreign_grants_end: Instant,
    ) -> Result<Option<Taken>, StoreError> {
        let (epoch, version) = known.map_or((0, 0), |(record, row)| (record.epoch, row.version));
        let record = OwnerRecord {
            epoch: epoch + 1,
            owner: self.instance.clone(),
            address: self.address.clone(),
            started_unix_ms: self.started_unix_ms,
            sequence: 0,
            is_released: false,
        };
        let transaction = Transaction {
            id: format!("{}-take", record.epoch),
            conditions: vec![Condition { key: OWNER_KEY.to_owned(), version }],
            writes: vec![
                Write::put(OWNER_KEY.to_owned(), &record),
                Write::put(OWNER_NOTICE_KEY.to_owned(), &record),
            ],
        };
        let sent_at = self.context.clock.now();
        match self.context.store.commit(transaction).await? {
            CommitOutcome::Conflict { .. } => Ok(None),
            CommitOutcome::Committed { version } => {
                info!(self.context.logger, "cell taken"; "epoch" => record.epoch);
                self.tell_owner(&record);
                Ok(Some(self.taken(record, version, sent_at, foreign_grants_end)))
            }
        }
    }

    fn taken(
        &self,
        record: OwnerRecord,
        version: u64,
        renewed_at: Instant,
        foreign_grants_end: Instant,
    ) -> Taken {
        let committer = Committer {
            store: self.context.store.clone(),
            clock: self.context.clock.clone(),
            record,
            version,
            renewed_at,
            logger: self.context.logger.clone(),
        };
        Taken { committer, foreign_grants_end }
    }
}
