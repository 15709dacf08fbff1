//! Commits of an owner, each conditional on the owner's row.
//!
//! A commit without an answer is sent again as it was: its condition lets it take effect once. The
//! row tells what became of it.

use std::time::{Duration, Instant};

use slog::{Logger, warn};
use teaseltrack::{
    cell::{ownership::OwnerRecord, progress::JobProgress},
    clock::SharedClock,
};
use teaseltrack_platform::store::{
    CommitOutcome, Condition, Store, StoreError, Transaction, Write,
};
use tokio::time::sleep;

use crate::{
    constants::RETRY_PAUSE,
    rows::{OWNER_KEY, progress_key},
};

/// Longest pause between two tries of a commit.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Another process owns the cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnershipLost;

/// Writes what an owner decides.
pub struct Committer {
    /// The store.
    pub store: Store,
    /// The clock.
    pub clock: SharedClock,
    /// The owner's row as last written.
    pub record: OwnerRecord,
    /// Its version.
    pub version: u64,
    /// When the last commit that took effect was first sent.
    pub renewed_at: Instant,
    /// Where lost answers are told.
    pub logger: Logger,
}

impl Committer {
    /// Commits progress; renews the ownership at the same time.
    ///
    /// # Errors
    ///
    /// The cell has another owner.
    pub async fn commit(&mut self, rows: &[(String, JobProgress)]) -> Result<(), OwnershipLost> {
        let next = OwnerRecord { sequence: self.record.sequence + 1, ..self.record.clone() };
        let mut writes = vec![Write::put(OWNER_KEY.to_owned(), &next)];
        writes.extend(rows.iter().map(|(job, progress)| Write::put(progress_key(job), progress)));
        let first_sent_at = self.clock.now();
        let mut pause = RETRY_PAUSE;
        loop {
            match self.try_commit(&next, &writes).await {
                Ok(Some(version)) => {
                    self.record = next;
                    self.version = version;
                    self.renewed_at = first_sent_at;
                    return Ok(());
                }
                Ok(None) => return Err(OwnershipLost),
                Err(error) => {
                    warn!(self.logger, "commit without an answer";
                        "sequence" => next.sequence, "rows" => rows.len(), "error" => %error);
                    sleep(pause).await;
                    pause = (pause * 2).min(MAX_RETRY_PAUSE);
                }
            }
        }
    }

    /// Gives the cell up, so that another process takes it without waiting.
    ///
    /// # Errors
    ///
    /// The cell has another owner.
    pub async fn release(&mut self) -> Result<(), OwnershipLost> {
        self.record.is_released = true;
        self.commit(&[]).await
    }

    /// The row's new version, or `None` if another process owns the cell.
    async fn try_commit(
        &mut self,
        next: &OwnerRecord,
        writes: &[Write],
    ) -> Result<Option<u64>, StoreError> {
        let transaction = Transaction {
            id: format!("{}-{}", next.epoch, next.sequence),
            conditions: vec![Condition { key: OWNER_KEY.to_owned(), version: self.version }],
            writes: writes.to_vec(),
        };
        if let CommitOutcome::Committed { version } = self.store.commit(transaction).await? {
            return Ok(Some(version));
        }
        let Some(row) = self.store.read(OWNER_KEY).await? else { return Ok(None) };
        let found: OwnerRecord = row.parse()?;
        Ok((found == *next).then_some(row.version))
    }
}
