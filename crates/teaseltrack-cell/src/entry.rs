//! Operations of an entry on callers' jobs.
//!
//! A job is accepted once its row is stored, and cancelled once the row of its cancellation is
//! stored. States are read from the owner, or from the store if the owner doesn't respond or
//! doesn't have the job.

use std::time::{Duration, Instant};

use slog::{Logger, info, warn};
use teaseltrack::{
    cell::{
        job::{InvalidJob, JobId, JobSpec, Queue, QueueName},
        ownership::OwnerRecord,
        progress::{JobProgress, JobState},
    },
    clock::SharedClock,
};
use teaseltrack_daemon::metrics::Metrics;
use teaseltrack_platform::store::{
    CommitOutcome, Condition, Store, StoreError, Transaction, Write,
};
use teaseltrack_wire::cell::JobLookup;
use tokio::{
    sync::watch,
    time::{sleep, timeout_at},
};

use crate::{
    calls::{CellClient, KnownOwner},
    constants::{MAX_CHANGES_WAIT, RETRY_DELAY},
    rows::{OWNER_KEY, OWNERS_TABLE, Submission, cancellation_key, progress_key, submission_key},
};

/// Outcome of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The job is stored.
    Accepted,
    /// The specification is invalid; a retry can't succeed.
    Invalid(InvalidJob),
    /// The job is not stored and won't be.
    Refused,
    /// The job may or may not be stored.
    Unknown,
}

impl SubmitOutcome {
    /// Name in metrics.
    fn name(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Invalid(_) => "invalid",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
        }
    }
}

/// Outcome of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The cancellation is stored.
    Cancelled,
    /// No such job is stored.
    NoSuchJob,
    /// The cancellation may or may not be stored.
    Unknown,
}

impl CancelOutcome {
    /// Name in metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Cancelled => "cancelled",
            Self::NoSuchJob => "no_such_job",
            Self::Unknown => "unknown",
        }
    }
}

/// Outcome of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lookup<T> {
    /// Result of the query.
    Found(T),
    /// The object doesn't exist.
    Absent,
    /// No response to the query in time.
    Unavailable,
}

/// Operations on jobs; cheap to clone.
#[derive(Clone)]
pub struct JobApi {
    /// The store.
    pub store: Store,
    /// The clock.
    pub clock: SharedClock,
    /// Client for calls to the owner.
    pub client: CellClient,
    /// Last known owner.
    pub known_owner: watch::Receiver<KnownOwner>,
    /// Logger for outcomes.
    pub logger: Logger,
    /// Metrics.
    pub metrics: Metrics,
}

impl JobApi {
    /// Stores a job; idempotent for the same identifier.
    pub async fn submit(
        &self,
        job: &JobId,
        spec: JobSpec,
        queue: &Queue,
        deadline: Instant,
    ) -> SubmitOutcome {
        if let Err(error) = spec.validate() {
            return SubmitOutcome::Invalid(error);
        }
        let key = submission_key(job);
        let transaction = Transaction {
            id: job.clone(),
            conditions: vec![Condition { key: key.clone(), version: 0 }],
            writes: vec![Write::put(key, &Submission { spec, queue: queue.clone() })],
        };
        // Number of calls that may have stored the job, including the one in flight.
        let mut in_doubt_calls = 0_u32;
        let retry_loop = async {
            loop {
                in_doubt_calls += 1;
                match self.store.commit(transaction.clone()).await {
                    Ok(CommitOutcome::Committed { .. } | CommitOutcome::Conflict { .. }) => return,
                    Err(StoreError::Refused { .. }) => in_doubt_calls -= 1,
                    Err(_) => {}
                }
                sleep(RETRY_DELAY).await;
            }
        };
        let outcome = match timeout_at(deadline.into(), retry_loop).await {
            Ok(()) => SubmitOutcome::Accepted,
            Err(_) if in_doubt_calls > 0 => SubmitOutcome::Unknown,
            Err(_) => SubmitOutcome::Refused,
        };
        self.metrics.count_tagged("submissions", "outcome", outcome.name());
        info!(self.logger, "job submitted"; "request_id" => job, "queue" => &queue.name,
            "outcome" => ?outcome);
        outcome
    }

    /// Stores the cancellation of a job.
    pub async fn cancel(&self, job: &JobId, deadline: Instant) -> CancelOutcome {
        let retry_loop = async {
            loop {
                match self.try_cancel(job).await {
                    Ok(outcome) => return outcome,
                    Err(error) => {
                        warn!(self.logger, "failed to store the cancellation; retrying";
                            "request_id" => job, "error" => %error);
                        sleep(RETRY_DELAY).await;
                    }
                }
            }
        };
        let outcome =
            timeout_at(deadline.into(), retry_loop).await.unwrap_or(CancelOutcome::Unknown);
        self.metrics.count_tagged("cancellations", "outcome", outcome.name());
        info!(self.logger, "job cancelled"; "request_id" => job, "outcome" => ?outcome);
        outcome
    }

    async fn try_cancel(&self, job: &JobId) -> Result<CancelOutcome, StoreError> {
        let key = submission_key(job);
        let Some(row) = self.store.read(&key).await? else { return Ok(CancelOutcome::NoSuchJob) };
        let cancellation = cancellation_key(job);
        let transaction = Transaction {
            id: cancellation.clone(),
            conditions: vec![
                Condition { key, version: row.version },
                Condition { key: cancellation.clone(), version: 0 },
            ],
            writes: vec![Write::put(cancellation, &true)],
        };
        self.store.commit(transaction).await?;
        Ok(CancelOutcome::Cancelled)
    }

    /// Returns the state of a job.
    pub async fn state(&self, job: &JobId, deadline: Instant) -> Lookup<JobState> {
        let retry_loop = async {
            loop {
                if let Some(state) = self.state_from_owner(job).await {
                    return Lookup::Found(state);
                }
                match self.state_from_store(job).await {
                    Ok(Some(state)) => return Lookup::Found(state),
                    Ok(None) => return Lookup::Absent,
                    Err(error) => {
                        warn!(self.logger, "failed to read the job's state; retrying";
                            "request_id" => job, "error" => %error);
                        sleep(RETRY_DELAY).await;
                    }
                }
            }
        };
        timeout_at(deadline.into(), retry_loop).await.unwrap_or(Lookup::Unavailable)
    }

    /// Returns the number of a queue's jobs of which no task has started.
    pub async fn pending_count(&self, queue: &QueueName, deadline: Instant) -> Lookup<u64> {
        let retry_loop = async {
            loop {
                let owner = self.known_owner.borrow().address;
                if let Some(address) = owner
                    && let Some(count) = self.client.pending_count(address, queue.clone()).await
                {
                    return Lookup::Found(count);
                }
                sleep(RETRY_DELAY).await;
            }
        };
        timeout_at(deadline.into(), retry_loop).await.unwrap_or(Lookup::Unavailable)
    }

    async fn state_from_owner(&self, job: &JobId) -> Option<JobState> {
        let address = self.known_owner.borrow().address?;
        match self.client.job_state(address, job.clone()).await? {
            JobLookup::State(state) => Some(state),
            JobLookup::NotOwner | JobLookup::Unknown => None,
        }
    }

    /// Returns the stored state; a job without a progress row is queued.
    async fn state_from_store(&self, job: &JobId) -> Result<Option<JobState>, StoreError> {
        if self.store.read(&submission_key(job)).await?.is_none() {
            return Ok(None);
        }
        if self.store.read(&cancellation_key(job)).await?.is_some() {
            return Ok(Some(JobState::Cancelled));
        }
        let Some(row) = self.store.read(&progress_key(job)).await? else {
            return Ok(Some(JobState::Queued));
        };
        let progress: JobProgress = row.parse()?;
        Ok(Some(progress.state))
    }
}

/// Follows changes of the cell's owner and publishes them.
pub async fn follow_owner(store: Store, sender: watch::Sender<KnownOwner>, logger: Logger) {
    let mut after: Option<u64> = None;
    loop {
        match next_owner(&store, after, &sender).await {
            Ok(version) => after = version,
            Err(error) => {
                warn!(logger, "failed to follow the cell's owner; retrying"; "error" => %error);
                sleep(RETRY_DELAY * 2).await;
            }
        }
    }
}

async fn next_owner(
    store: &Store,
    after: Option<u64>,
    sender: &watch::Sender<KnownOwner>,
) -> Result<Option<u64>, StoreError> {
    let Some(after) = after else {
        let version = store.version(OWNERS_TABLE).await?;
        if let Some(row) = store.read(OWNER_KEY).await? {
            update_known_owner(&row.parse()?, sender);
        }
        return Ok(Some(version));
    };
    let page = store.changes(OWNERS_TABLE, after, MAX_CHANGES_WAIT).await?;
    if page.is_history_lost {
        return Ok(None);
    }
    for value in page.changes.iter().filter_map(|change| change.value.as_ref()) {
        if let Ok(record) = serde_json::from_str::<OwnerRecord>(value) {
            update_known_owner(&record, sender);
        }
    }
    if page.version <= after && page.changes.is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
    Ok(Some(page.version.max(after)))
}

fn update_known_owner(record: &OwnerRecord, sender: &watch::Sender<KnownOwner>) {
    let address = record.address.parse().ok();
    sender.send_if_modified(|known| {
        let is_newer = record.epoch > known.epoch;
        if is_newer {
            *known = KnownOwner { epoch: record.epoch, address };
        }
        is_newer
    });
}
