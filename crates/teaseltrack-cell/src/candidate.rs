//! Takes over the cell when its owner fails or releases it.
//!
//! While the agent is in contact with the owner, the candidate is idle. Otherwise it reads the
//! owner's row periodically, and takes over the cell once the row has been unchanged for the
//! takeover timeout, or immediately if the owner has released the cell. A process whose earlier
//! incarnation is named as the owner also takes over immediately.

use std::time::{Duration, Instant};

use slog::{info, warn};
use teaseltrack::{
    cell::{
        ownership::{
            OwnerRecord, OwnershipMonitor, SilentWorkerRecord, candidate_delay,
            recorded_remaining_ms,
        },
        silence::SilentWorker,
        succession::Predecessor,
    },
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
    constants::{
        CANDIDATE_CHECK_INTERVAL, CANDIDATE_DELAY_STEP, CANDIDATE_DELAY_STEPS,
        OWNER_SUSPECT_TIMEOUT,
    },
    owner::{OwnerContext, committer::Committer, run_owner},
    rows::{owner_key, owner_notice_key},
};

/// Time of the agent's last response from an owner that can commit.
pub type OwnerContact = watch::Receiver<Option<Instant>>;

/// Candidate for the ownership of the cell.
#[derive(Clone)]
pub struct Candidate {
    /// Instance of the process.
    pub instance: InstanceId,
    /// Address of the process's internal port.
    pub address: String,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// Dependencies of the owner task.
    pub context: OwnerContext,
    /// Publishes the known owner to the rest of the process.
    pub known_owner: watch::Sender<KnownOwner>,
}

impl Candidate {
    /// Monitors the owner and runs the cell after each takeover, until `closing` is cancelled.
    pub async fn run(self, contact: OwnerContact, closing: CancellationToken) {
        let mut monitor = OwnershipMonitor::default();
        loop {
            tokio::select! {
                () = self.wait_until_suspect(&contact) => {}
                () = closing.cancelled() => return,
            }
            match self.check_owner(&mut monitor).await {
                Ok(Some(committer)) => {
                    run_owner(self.context.clone(), committer, closing.clone()).await;
                    monitor.reset();
                }
                Ok(None) => sleep(CANDIDATE_CHECK_INTERVAL).await,
                Err(error) => {
                    warn!(self.context.logger, "failed to check or take over the ownership";
                        "error" => %error);
                    sleep(CANDIDATE_CHECK_INTERVAL).await;
                }
            }
            if closing.is_cancelled() {
                return;
            }
        }
    }

    async fn wait_until_suspect(&self, contact: &OwnerContact) {
        let mut contact = contact.clone();
        loop {
            let Some(contact_at) = *contact.borrow_and_update() else { return };
            let elapsed = self.context.clock.now().duration_since(contact_at);
            let Some(remaining) = OWNER_SUSPECT_TIMEOUT.checked_sub(elapsed) else { return };
            let contact_lost = contact.wait_for(Option::is_none);
            drop(timeout(remaining.max(Duration::from_millis(1)), contact_lost).await);
        }
    }

    async fn check_owner(
        &self,
        monitor: &mut OwnershipMonitor,
    ) -> Result<Option<Committer>, StoreError> {
        let row = self.context.store.read(&owner_key(self.context.cell_id)).await?;
        let now = self.context.clock.now();
        let Some(row) = row else { return self.take_over(None, now, now).await };
        let record = self.context.store.parse(&row).filter(OwnerRecord::is_valid);
        let Some(record) = record else { return self.replace_unreadable(row, monitor, now).await };
        self.update_known_owner(&record);
        monitor.observe(row.version, now);
        if record.is_released {
            return self.take_over(Some((record, row)), now, now).await;
        }
        if record.owner == self.instance && record.started_unix_ms == self.started_unix_ms {
            // An earlier takeover by this process succeeded, but its response was lost. The time of
            // the takeover is unknown, so no lease is granted before the next commit.
            let grant_period = self.context.ownership.grant_period;
            let renewed_at = now.checked_sub(grant_period).unwrap_or(now);
            let silent_workers = restore_silent_workers(&record, now);
            let own_grants_end = now + record.own_grant_period(grant_period);
            let grants_end = record.grants_end(now, own_grants_end, grant_period);
            let predecessor = self.context.local_owner.predecessor_of(record.epoch);
            return Ok(Some(self.committer(
                record,
                row.version,
                renewed_at,
                grants_end,
                silent_workers,
                predecessor,
            )));
        }
        if record.owner == self.instance && record.address == self.address {
            // The earlier process has ended, and so have its own grants.
            return self.take_over(Some((record, row)), now, now).await;
        }
        let delay = candidate_delay(
            &self.instance,
            row.version,
            CANDIDATE_DELAY_STEP,
            CANDIDATE_DELAY_STEPS,
        );
        let takeover_timeout = self.context.ownership.takeover_timeout + delay;
        let Some(since) = monitor.unchanged_since(takeover_timeout, now) else { return Ok(None) };
        let grants_end = since + record.own_grant_period(self.context.ownership.grant_period);
        self.take_over(Some((record, row)), since, grants_end).await
    }

    /// Takes over the cell from an owner whose row has been overwritten by something that can't be
    /// read. The row of its takeover has its epoch; its predecessors are unknown.
    async fn replace_unreadable(
        &self,
        row: Row,
        monitor: &mut OwnershipMonitor,
        now: Instant,
    ) -> Result<Option<Committer>, StoreError> {
        let OwnerContext { store, cell_id, ownership, .. } = &self.context;
        monitor.observe(row.version, now);
        let Some(since) = monitor.unchanged_since(ownership.takeover_timeout, now) else {
            return Ok(None);
        };
        let notice = store.read(&owner_notice_key(*cell_id)).await?;
        let notice: Option<OwnerRecord> = notice.and_then(|notice| store.parse(&notice));
        let noted_epoch = notice.filter(OwnerRecord::is_valid).map_or(0, |notice| notice.epoch);
        let epoch = noted_epoch.max(self.known_owner.borrow().epoch);
        if epoch == 0 {
            store.report_odd_row(&row.key, row.version, "the epoch of the owner is unknown");
            return Ok(None);
        }
        let record = OwnerRecord { epoch, ..OwnerRecord::default() };
        let grants_end = since + record.own_grant_period(ownership.grant_period);
        self.take_over(Some((record, row)), since, grants_end).await
    }

    fn update_known_owner(&self, record: &OwnerRecord) {
        let Ok(address) = record.address.parse() else { return };
        let known = KnownOwner {
            epoch: record.epoch,
            address: Some(address),
            reads_known_leases: record.reads_known_leases,
        };
        self.known_owner.send_if_modified(|current| {
            let is_newer = known.epoch > current.epoch;
            if is_newer {
                *current = known.clone();
            }
            is_newer
        });
    }

    /// Takes over the cell from the owner of the stored record, which was committed at
    /// `committed_by` or earlier, and grants no lease after `owner_grants_end`.
    async fn take_over(
        &self,
        stored: Option<(OwnerRecord, Row)>,
        committed_by: Instant,
        owner_grants_end: Instant,
    ) -> Result<Option<Committer>, StoreError> {
        let (stored, version) =
            stored.map_or_else(Default::default, |(record, row)| (record, row.version));
        let grant_period = self.context.ownership.grant_period;
        let previous_grants_end = stored.grants_end(committed_by, owner_grants_end, grant_period);
        let silent_workers = restore_silent_workers(&stored, committed_by);
        let sent_at = self.context.clock.now();
        let leases_end = owner_grants_end + self.context.cell.worst_case_lease();
        let is_other_process = !stored.is_released && stored.owner != self.instance;
        let predecessor = (is_other_process && leases_end > sent_at).then(|| Predecessor {
            instance: stored.owner.clone(),
            address: stored.address.clone(),
            epoch: stored.epoch,
            earlier_grants_end: stored.previous_grants_end(committed_by, grant_period),
        });
        self.context.local_owner.note_takeover(predecessor.clone());
        let record = OwnerRecord {
            epoch: stored.epoch + 1,
            owner: self.instance.clone(),
            address: self.address.clone(),
            started_unix_ms: self.started_unix_ms,
            sequence: 0,
            is_released: false,
            has_no_grants: true,
            grant_period_ms: Some(grant_period.as_millis() as u64),
            reads_known_leases: true,
            previous_grants_remaining_ms: Some(recorded_remaining_ms(previous_grants_end, sent_at)),
            silent_workers: silent_workers
                .iter()
                .map(|silent| SilentWorkerRecord::new(silent, sent_at))
                .collect(),
        };
        let cell = self.context.cell_id;
        let transaction = Transaction {
            id: format!("{}-take", record.epoch),
            conditions: vec![Condition { key: owner_key(cell), version }],
            writes: vec![
                Write::put(owner_key(cell), &record),
                Write::put(owner_notice_key(cell), &record),
            ],
        };
        match self.context.store.commit(transaction).await? {
            CommitOutcome::Conflict { .. } => Ok(None),
            CommitOutcome::Committed { version } => {
                info!(self.context.logger, "cell taken over"; "cell" => cell, "epoch" => record.epoch);
                self.update_known_owner(&record);
                Ok(Some(self.committer(
                    record,
                    version,
                    sent_at,
                    previous_grants_end,
                    silent_workers,
                    predecessor,
                )))
            }
        }
    }

    fn committer(
        &self,
        record: OwnerRecord,
        version: u64,
        renewed_at: Instant,
        previous_grants_end: Instant,
        silent_workers: Vec<SilentWorker>,
        predecessor: Option<Predecessor>,
    ) -> Committer {
        Committer {
            cell: self.context.cell_id,
            store: self.context.store.clone(),
            clock: self.context.clock.clone(),
            record,
            version,
            renewed_at,
            previous_grants_end,
            silent_workers,
            predecessor,
            logger: self.context.logger.clone(),
            metrics: self.context.metrics.clone(),
        }
    }
}

/// Silent workers of a record that was committed at `committed_by` or earlier.
fn restore_silent_workers(record: &OwnerRecord, committed_by: Instant) -> Vec<SilentWorker> {
    let records = record.silent_workers.iter().cloned();
    records.map(|silent| silent.restore(committed_by)).collect()
}
