//! Deletes the rows of jobs that were cancelled before they were stored.
//!
//! Such a row keeps calls from storing its job that were sent before the cancellation and may be delayed
//! for as long as a partition lasts. Every submission is conditional on the version of the period of its
//! part, a row that is rewritten once in [`PERIOD`]: a delayed call can't succeed any more once a
//! new period has begun. Withdrawn jobs are deleted after a whole period in which entries answered all
//! requests that they had received before the cancellation.
//!
//! The owner of the first cell begins the periods. Several owners that run at the same time don't shorten
//! one: each waits for [`PERIOD`] after it has read the version that it replaces.

use std::time::Duration;

use slog::{Logger, info, warn};
use teaseltrack_platform::store::{
    CommitOutcome, Condition, Row, Store, StoreError, Transaction, Write,
};
use tokio::time::sleep;

use crate::rows::{
    JOB_PARTS, cancellation_key, key_name, submission_key, submission_period_key, withdrawal_prefix,
};

/// Time between two periods: many times the longest time that an entry takes for a request.
pub const PERIOD: Duration = Duration::from_secs(600);
/// Number of jobs deleted in one transaction; each has three rows.
const DELETED_JOBS_PER_CALL: usize = 25;

/// Begins a new period every [`PERIOD`], and deletes the jobs that were withdrawn before the last one.
pub async fn delete_withdrawn_jobs(store: Store, logger: Logger) {
    loop {
        let mut versions = Vec::new();
        for part in JOB_PARTS {
            versions.push((part, read_period(&store, part).await));
        }
        sleep(PERIOD).await;
        for (part, version) in versions {
            let deleted = match version {
                Ok(version) => end_period(&store, part, version).await,
                Err(error) => Err(error),
            };
            match deleted {
                Ok(0) => {}
                Ok(count) => {
                    info!(logger, "withdrawn jobs deleted"; "part" => part, "jobs" => count);
                }
                Err(error) => {
                    warn!(logger, "failed to delete withdrawn jobs; retrying in the next period";
                        "part" => part, "error" => %error);
                }
            }
        }
    }
}

/// Version of the period's row; 0 if it doesn't exist.
async fn read_period(store: &Store, part: &str) -> Result<u64, StoreError> {
    Ok(store.read(&submission_period_key(part)).await?.map_or(0, |row| row.version))
}

/// Begins the period after the one with the given version, and deletes the jobs that were withdrawn before
/// that one. Returns their number.
async fn end_period(store: &Store, part: &str, version: u64) -> Result<usize, StoreError> {
    let key = submission_period_key(part);
    let transaction = Transaction {
        id: key.clone(),
        conditions: vec![Condition { key: key.clone(), version }],
        writes: vec![Write::put(key, &true)],
    };
    if let CommitOutcome::Conflict { .. } = store.commit(transaction).await? {
        // Another owner has begun the period.
        return Ok(0);
    }
    let mut withdrawn = store.list_all(&withdrawal_prefix(part)).await?;
    withdrawn.retain(|row| row.version < version);
    for jobs in withdrawn.chunks(DELETED_JOBS_PER_CALL) {
        store.commit(deletion(jobs)).await?;
    }
    Ok(withdrawn.len())
}

/// Deletes all rows of the listed jobs, unless one has been written since.
fn deletion(withdrawn: &[Row]) -> Transaction {
    let (mut conditions, mut writes) = (Vec::new(), Vec::new());
    for row in withdrawn {
        let job = key_name(&row.key);
        conditions.push(Condition { key: submission_key(job), version: row.version });
        writes.push(Write::delete(submission_key(job)));
        writes.push(Write::delete(cancellation_key(job)));
        writes.push(Write::delete(row.key.clone()));
    }
    let id = withdrawn.first().map(|row| row.key.clone()).unwrap_or_default();
    Transaction { id, conditions, writes }
}
