//! Rows of submissions and rejections, which share a key.
//!
//! A rejection promises that the job never runs, although an earlier try to store it may still take
//! effect if its condition holds. Each rejection therefore gives the row a new version, and a
//! submission replaces a rejection only if that was written before the request arrived: the entry
//! had seen a later version of the table by then. `docs/design/admission.md` explains why this is
//! enough.

use std::{
    hash::{BuildHasher, RandomState},
    time::Instant,
};

use teaseltrack::cell::job::{InvalidJob, JobId};
use teaseltrack_platform::store::{
    CommitOutcome, Condition, Store, StoreError, Transaction, Write,
};
use tokio::time::{sleep, timeout_at};

use crate::{
    constants::RETRY_DELAY,
    rows::{Rejection, Submission, SubmissionRow, submission_key},
};

/// Time in seconds after which a caller may return if another try was rejected meanwhile.
const OVERTAKEN_RETRY_AFTER_S: u64 = 1;

/// Outcome of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The job is stored.
    Accepted,
    /// The specification is invalid; a retry can't succeed.
    Invalid(InvalidJob),
    /// The job is not stored and won't be.
    Refused,
    /// The job would be finished too late. It is not stored and won't be, unless the caller submits it
    /// again.
    Rejected {
        /// Time in seconds after which a retry may succeed.
        retry_after_s: u64,
    },
    /// The job may or may not be stored.
    Unknown,
}

impl SubmitOutcome {
    /// Name in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Invalid(_) => "invalid",
            Self::Refused => "refused",
            Self::Rejected { .. } => "rejected",
            Self::Unknown => "unknown",
        }
    }
}

/// Reads the row of a job; its version is 0 if there is none.
///
/// # Errors
///
/// No response in time, or the row can't be parsed.
pub async fn read_submission(
    store: &Store,
    job: &JobId,
) -> Result<(u64, Option<SubmissionRow>), StoreError> {
    let Some(row) = store.read(&submission_key(job)).await? else { return Ok((0, None)) };
    Ok((row.version, Some(SubmissionRow::parse(&row)?)))
}

/// Stores a job, unless a rejection has been written since the request arrived; retries until the
/// outcome is known or the deadline has passed.
///
/// `seen_version` is a version that the table had before the request arrived.
pub async fn store_submission(
    store: &Store,
    job: &JobId,
    submission: &Submission,
    seen_version: u64,
    deadline: Instant,
) -> SubmitOutcome {
    let key = submission_key(job);
    let mut transaction = Transaction {
        id: job.clone(),
        conditions: vec![Condition { key: key.clone(), version: 0 }],
        writes: vec![Write::put(key, submission)],
    };
    // Number of calls that may have stored the job, including the one in flight.
    let mut in_doubt_calls = 0_u32;
    let retry_loop = async {
        loop {
            in_doubt_calls += 1;
            match store.commit(transaction.clone()).await {
                Ok(CommitOutcome::Committed { .. }) => return SubmitOutcome::Accepted,
                Ok(CommitOutcome::Conflict { .. }) => match read_submission(store, job).await {
                    Ok((_, Some(SubmissionRow::Accepted(_)))) => return SubmitOutcome::Accepted,
                    Ok((version, _)) if version > seen_version => {
                        let retry_after_s = OVERTAKEN_RETRY_AFTER_S;
                        return store_rejection(store, job, retry_after_s, deadline).await;
                    }
                    Ok((version, _)) if version != transaction.conditions[0].version => {
                        // The row differs, so that no earlier call can still store the job.
                        in_doubt_calls = 0;
                        transaction.conditions[0].version = version;
                        continue;
                    }
                    Ok(_) | Err(_) => {}
                },
                Err(StoreError::Refused { .. }) => in_doubt_calls -= 1,
                Err(_) => {}
            }
            sleep(RETRY_DELAY).await;
        }
    };
    match timeout_at(deadline.into(), retry_loop).await {
        Ok(outcome) => outcome,
        Err(_) if in_doubt_calls > 0 => SubmitOutcome::Unknown,
        Err(_) => SubmitOutcome::Refused,
    }
}

/// Stores the rejection of a job, unless the job is stored, so that no earlier try can still store
/// it; retries until the outcome is known or the deadline has passed.
pub async fn store_rejection(
    store: &Store,
    job: &JobId,
    retry_after_s: u64,
    deadline: Instant,
) -> SubmitOutcome {
    let key = submission_key(job);
    let token = format!("{:016x}", RandomState::new().hash_one(job));
    let rejection = Rejection { rejected: token };
    let retry_loop = async {
        let mut version = 0;
        loop {
            let transaction = Transaction {
                id: format!("{job}-{}", rejection.rejected),
                conditions: vec![Condition { key: key.clone(), version }],
                writes: vec![Write::put(key.clone(), &rejection)],
            };
            match store.commit(transaction).await {
                Ok(CommitOutcome::Committed { .. }) => {
                    return SubmitOutcome::Rejected { retry_after_s };
                }
                Ok(CommitOutcome::Conflict { .. }) => match read_submission(store, job).await {
                    Ok((_, Some(SubmissionRow::Accepted(_)))) => return SubmitOutcome::Accepted,
                    Ok((_, Some(SubmissionRow::Rejected(stored)))) if stored == rejection => {
                        return SubmitOutcome::Rejected { retry_after_s };
                    }
                    // Another try was rejected; a still earlier one may be conditional on that row.
                    Ok((found, _)) if found != version => {
                        version = found;
                        continue;
                    }
                    Ok(_) | Err(_) => {}
                },
                Err(_) => {}
            }
            sleep(RETRY_DELAY).await;
        }
    };
    timeout_at(deadline.into(), retry_loop).await.unwrap_or(SubmitOutcome::Unknown)
}
