//! Commits of an owner, each conditional on the owner's row.
//!
//! A commit without a response is retried unchanged; its condition ensures that it takes effect at
//! most once. If the condition fails, the row shows whether an earlier try was committed.

use std::time::{Duration, Instant};

use slog::{Logger, error, warn};
use teaseltrack::{
    cell::{
        CommitBatch,
        job::JobId,
        ownership::{OwnerRecord, SilentWorkerRecord, recorded_remaining_ms},
        partition::CellId,
        progress::{JobProgress, stored::ProgressRow},
        silence::SilentWorker,
        succession::Predecessor,
    },
    clock::SharedClock,
};
use teaseltrack_daemon::metrics::Metrics;
use teaseltrack_platform::store::{
    CommitOutcome, Condition, Store, StoreError, Transaction, Write,
};
use tokio::time::sleep;

use crate::{
    constants::RETRY_DELAY,
    rows::{owner_key, progress_key, worker_key},
};

/// Maximum delay between two tries of a commit.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(300);

/// The commit was rejected because another process owns the cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnershipLost;

/// Commits the owner's decisions to the store.
pub struct Committer {
    /// The cell.
    pub cell: CellId,
    /// The store.
    pub store: Store,
    /// The clock.
    pub clock: SharedClock,
    /// The owner's row as last written.
    pub record: OwnerRecord,
    /// Version of the owner's row.
    pub version: u64,
    /// Time at which the last successful commit was first sent.
    pub renewed_at: Instant,
    /// Latest time at which a predecessor may grant a lease.
    pub previous_grants_end: Instant,
    /// Owner from which the cell was taken over, if it may still grant leases.
    pub predecessor: Option<Predecessor>,
    /// Silent workers to record with each commit.
    pub silent_workers: Vec<SilentWorker>,
    /// Logger for failed tries.
    pub logger: Logger,
    /// Metrics.
    pub metrics: Metrics,
}

impl Committer {
    /// Commits a batch and renews the ownership; retries until the outcome is known. Returns the jobs
    /// whose rows the store rejects for good.
    ///
    /// # Errors
    ///
    /// The cell has another owner.
    pub async fn commit(&mut self, batch: CommitBatch) -> Result<Vec<JobId>, OwnershipLost> {
        self.silent_workers = batch.silent_workers;
        self.record.has_no_grants = false;
        let mut writes = Vec::new();
        for (job, progress) in &batch.rows {
            writes.push(self.progress_write(job, progress));
        }
        for (agent, worker) in &batch.workers {
            writes.push(Write::put(worker_key(self.cell, agent), worker));
        }
        if self.commit_writes(&writes).await? {
            return Ok(Vec::new());
        }
        let mut rejected = Vec::new();
        let mut is_committed = false;
        for write in writes {
            if self.commit_writes(std::slice::from_ref(&write)).await? {
                is_committed = true;
                continue;
            }
            self.metrics.count("rows_rejected");
            error!(self.logger, "the store rejects a row; its changes aren't stored";
                "key" => &write.key, "bytes" => write.value.as_ref().map_or(0, String::len));
            let job = batch.rows.iter().find(|(job, _)| progress_key(self.cell, job) == write.key);
            rejected.extend(job.map(|(job, _)| job.clone()));
        }
        // Leases depend on the owner's row, not on the rejected ones.
        if !is_committed {
            self.renew().await?;
        }
        Ok(rejected)
    }

    fn progress_write(&self, job: &JobId, progress: &JobProgress) -> Write {
        let key = progress_key(self.cell, job);
        let max_bytes = self.store.max_value_bytes();
        match progress.to_row(max_bytes) {
            Ok(ProgressRow { text, lacks_checkpoints }) => {
                if lacks_checkpoints {
                    self.metrics.count("progress_rows_without_checkpoints");
                    warn!(self.logger, "progress stored without checkpoints; the row is too large";
                        "request_id" => job, "bytes" => text.len(), "max_bytes" => max_bytes);
                }
                self.metrics.gauge("progress_row_bytes", text.len() as u64);
                Write { key, value: Some(text) }
            }
            Err(error) => {
                error!(self.logger, "progress can't be encoded"; "request_id" => job,
                    "error" => %error);
                Write::put(key, progress)
            }
        }
    }

    /// Renews the ownership without further changes.
    ///
    /// # Errors
    ///
    /// The cell has another owner.
    pub async fn renew(&mut self) -> Result<(), OwnershipLost> {
        self.commit_writes(&[]).await.map(drop)
    }

    /// Returns whether the rows are committed; the store rejects them for good otherwise.
    async fn commit_writes(&mut self, writes: &[Write]) -> Result<bool, OwnershipLost> {
        let first_sent_at = self.clock.now();
        let silent_workers = self.silent_workers.iter();
        let next = OwnerRecord {
            sequence: self.record.sequence + 1,
            previous_grants_remaining_ms: Some(recorded_remaining_ms(
                self.previous_grants_end,
                first_sent_at,
            )),
            silent_workers: silent_workers
                .map(|silent| SilentWorkerRecord::new(silent, first_sent_at))
                .collect(),
            ..self.record.clone()
        };
        let renewal = Write::put(owner_key(self.cell), &next);
        let writes: Vec<Write> = std::iter::once(renewal).chain(writes.iter().cloned()).collect();
        let mut delay = RETRY_DELAY;
        loop {
            match self.try_commit(&next, &writes).await {
                Ok(Some(version)) => {
                    self.record = next;
                    self.version = version;
                    self.renewed_at = first_sent_at;
                    return Ok(true);
                }
                Ok(None) => return Err(OwnershipLost),
                Err(StoreError::Rejected { .. }) if writes.len() > 1 => return Ok(false),
                Err(error) => {
                    warn!(self.logger, "commit failed; retrying";
                        "sequence" => next.sequence, "rows" => writes.len(), "error" => %error);
                    sleep(delay).await;
                    delay = (delay * 2).min(MAX_RETRY_DELAY);
                }
            }
        }
    }

    /// Releases the cell, so that another process can take over without waiting for a timeout.
    ///
    /// # Errors
    ///
    /// The cell has another owner.
    pub async fn release(&mut self) -> Result<(), OwnershipLost> {
        self.record.is_released = true;
        self.renew().await
    }

    /// Returns the row's new version, or `None` if another process owns the cell.
    async fn try_commit(
        &mut self,
        next: &OwnerRecord,
        writes: &[Write],
    ) -> Result<Option<u64>, StoreError> {
        let transaction = Transaction {
            id: format!("{}-{}", next.epoch, next.sequence),
            conditions: vec![Condition { key: owner_key(self.cell), version: self.version }],
            writes: writes.to_vec(),
        };
        if let CommitOutcome::Committed { version } = self.store.commit(transaction).await? {
            return Ok(Some(version));
        }
        let Some(row) = self.store.read(&owner_key(self.cell)).await? else { return Ok(None) };
        // A record that can't be read isn't the one of this owner.
        let stored: Option<OwnerRecord> = self.store.parse(&row);
        Ok((stored.as_ref() == Some(next)).then_some(row.version))
    }
}
