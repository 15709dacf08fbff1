//! Operations of an entry on callers' jobs.
//!
//! A job is accepted once its row is stored, and cancelled once the row of its cancellation is
//! stored. States are read from the owner, or from the store if the owner doesn't respond or
//! doesn't have the job.
//!
//! A job that isn't stored when it is cancelled may still be on its way: a call that stores it may be
//! delayed for as long as a partition lasts, after its caller has left. Its cancellation therefore stores
//! a row in its place ([`Submission::withdrawn`]), with which any later submission conflicts. The row is
//! deleted once no earlier call can succeed any more ([`withdrawals`]).
//!
//! [`withdrawals`]: crate::owner::withdrawals

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use futures::future::join_all;

use slog::{Logger, info, warn};
use teaseltrack::{
    cell::{
        job::{InvalidJob, JobId, JobSpec, Queue, QueueName},
        ownership::OwnerRecord,
        partition::{CellId, Partition},
        progress::{JobProgress, JobState},
        quote::{Quote, StageDemand},
    },
    clock::SharedClock,
};
use teaseltrack_daemon::metrics::Metrics;
use teaseltrack_platform::store::{
    CommitOutcome, Condition, Row, Store, StoreError, Transaction, Write,
};
use teaseltrack_wire::cell::JobLookup;
use tokio::{
    sync::watch,
    time::{sleep, timeout_at},
};

use crate::{
    calls::{CellClients, KnownOwner, KnownOwners},
    constants::{MAX_CHANGES_WAIT, RETRY_DELAY},
    partition::wait_for_partition,
    rows::{
        OWNERS_TABLE, Submission, cancellation_key, job_part, owner_notice_key,
        parse_owner_notice_key, progress_key, submission_key, submission_period_key,
        withdrawal_key,
    },
};

/// What the row of a delegated task has beside the job's specification, in bytes.
const DELEGATION_BYTES: usize = 2_048;

/// Outcome of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The job is stored.
    Accepted,
    /// The specification is invalid; a retry can't succeed.
    Invalid(InvalidJob),
    /// The job is not stored and won't be.
    Refused,
    /// The job was cancelled before it was stored, and never will be; a retry can't succeed.
    Withdrawn,
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
            Self::Withdrawn => "withdrawn",
            Self::Unknown => "unknown",
        }
    }
}

/// Outcome of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The cancellation is stored.
    Cancelled,
    /// No such job is stored, and none will be.
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

/// Version of each part's submission period as last read; 0 for one that hasn't been read.
pub type KnownPeriods = Arc<Mutex<BTreeMap<&'static str, u64>>>;

/// Operations on jobs; cheap to clone.
#[derive(Clone)]
pub struct JobApi {
    /// The store.
    pub store: Store,
    /// The clock.
    pub clock: SharedClock,
    /// Partition of the fleet into cells; `None` until it is known.
    pub partition: watch::Receiver<Option<Partition>>,
    /// Clients for calls to the owners.
    pub clients: CellClients,
    /// Versions of the submission periods, as last read.
    pub periods: KnownPeriods,
    /// Last known owners.
    pub known_owners: watch::Receiver<KnownOwners>,
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
        let Some(cell) = self.choose_cell(job, &spec, queue).await else {
            warn!(self.logger, "fleet not partitioned yet; job refused"; "request_id" => job);
            return SubmitOutcome::Refused;
        };
        let key = submission_key(job);
        let submission = Submission { spec, queue: queue.clone(), cell, is_withdrawn: false };
        let write = Write::put(key.clone(), &submission);
        let bytes = write.value.as_ref().map_or(0, String::len);
        let max_bytes = self.store.max_value_bytes().saturating_sub(DELEGATION_BYTES);
        if bytes > max_bytes {
            return SubmitOutcome::Invalid(InvalidJob::TooLarge { bytes, max_bytes });
        }
        let period_key = submission_period_key(job_part(job));
        let transaction = || Transaction {
            id: job.clone(),
            conditions: vec![
                Condition { key: key.clone(), version: 0 },
                Condition { key: period_key.clone(), version: self.known_period(job) },
            ],
            writes: vec![write.clone()],
        };
        // Number of calls that may have stored the job, including the one in flight.
        let mut in_doubt_calls = 0_u32;
        let retry_loop = async {
            loop {
                in_doubt_calls += 1;
                match self.store.commit(transaction()).await {
                    Ok(CommitOutcome::Committed { .. }) => return SubmitOutcome::Accepted,
                    Ok(CommitOutcome::Conflict { .. }) => {
                        if let Some(outcome) = self.outcome_of_conflict(job).await {
                            return outcome;
                        }
                    }
                    Err(StoreError::Refused { .. }) => in_doubt_calls -= 1,
                    Err(error @ StoreError::Rejected { .. }) => {
                        warn!(self.logger, "the store rejects the job"; "request_id" => job,
                            "bytes" => bytes, "error" => %error);
                        in_doubt_calls -= 1;
                        return SubmitOutcome::Refused;
                    }
                    Err(_) => {}
                }
                sleep(RETRY_DELAY).await;
            }
        };
        let outcome = match timeout_at(deadline.into(), retry_loop).await {
            Ok(SubmitOutcome::Refused) | Err(_) if in_doubt_calls > 0 => SubmitOutcome::Unknown,
            Ok(outcome) => outcome,
            Err(_) => SubmitOutcome::Refused,
        };
        self.metrics.count_tagged("submissions", "outcome", outcome.name());
        info!(self.logger, "job submitted"; "request_id" => job, "queue" => &queue.name,
            "cell" => cell, "outcome" => ?outcome);
        outcome
    }

    /// Version of the period of the job's part, as last read.
    fn known_period(&self, job: &JobId) -> u64 {
        let periods = self.periods.lock().unwrap_or_else(PoisonError::into_inner);
        periods.get(job_part(job)).copied().unwrap_or_default()
    }

    /// Reads the period of the job's part, which has changed.
    async fn refresh_period(&self, job: &JobId) {
        let part = job_part(job);
        match self.store.read(&submission_period_key(part)).await {
            Ok(row) => {
                let version = row.map_or(0, |row| row.version);
                let mut periods = self.periods.lock().unwrap_or_else(PoisonError::into_inner);
                periods.insert(part, version);
            }
            Err(error) => {
                warn!(self.logger, "failed to read the submission period; retrying";
                    "request_id" => job, "error" => %error);
            }
        }
    }

    /// Outcome of a submission whose job has a row already: it was submitted or cancelled before. `None`
    /// if it has none, because a new period has begun, or if that can't be read now.
    async fn outcome_of_conflict(&self, job: &JobId) -> Option<SubmitOutcome> {
        match self.store.read(&submission_key(job)).await {
            Ok(Some(row)) if self.is_withdrawn(&row) => Some(SubmitOutcome::Withdrawn),
            Ok(Some(_)) => Some(SubmitOutcome::Accepted),
            Ok(None) => {
                self.refresh_period(job).await;
                None
            }
            Err(error) => {
                warn!(self.logger, "failed to read the row of a job that was submitted before; retrying";
                    "request_id" => job, "error" => %error);
                None
            }
        }
    }

    fn is_withdrawn(&self, row: &Row) -> bool {
        self.store.parse(row).is_some_and(|submission: Submission| submission.is_withdrawn)
    }

    /// Stores the cancellation of a job, or that it must not be stored any more.
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
        let cancellation = cancellation_key(job);
        loop {
            let row = self.store.read(&key).await?;
            if row.as_ref().is_some_and(|row| self.is_withdrawn(row)) {
                return Ok(CancelOutcome::NoSuchJob);
            }
            let is_stored = row.is_some();
            let version = row.map_or(0, |row| row.version);
            let mut conditions = vec![Condition { key: key.clone(), version }];
            // Earlier builds show a withdrawn job as cancelled.
            let mut writes = vec![Write::put(cancellation.clone(), &true)];
            if is_stored {
                conditions.push(Condition { key: cancellation.clone(), version: 0 });
            } else {
                writes.push(Write::put(key.clone(), &Submission::withdrawn()));
                writes.push(Write::put(withdrawal_key(job), &true));
            }
            let transaction = Transaction { id: cancellation.clone(), conditions, writes };
            let is_committed =
                matches!(self.store.commit(transaction).await?, CommitOutcome::Committed { .. });
            if is_stored && (is_committed || self.store.read(&cancellation).await?.is_some()) {
                return Ok(CancelOutcome::Cancelled);
            }
            if is_committed {
                return Ok(CancelOutcome::NoSuchJob);
            }
            // The job was stored, or withdrawn by another call, since it was read.
        }
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
                if let Some(count) = self.try_pending_count(queue).await {
                    return Lookup::Found(count);
                }
                sleep(RETRY_DELAY).await;
            }
        };
        timeout_at(deadline.into(), retry_loop).await.unwrap_or(Lookup::Unavailable)
    }

    /// Cell with the best quote for a job; `None` until the partition is known. It is one of two
    /// cells by the job's hash, where the job's state is then found without a search and where
    /// entries that choose at the same time rarely meet. A job goes to any other cell if neither can
    /// run all of its tasks, or, for a long-running job, if neither has room for them or responds.
    async fn choose_cell(&self, job: &JobId, spec: &JobSpec, queue: &Queue) -> Option<CellId> {
        let partition = self.partition.borrow().clone()?;
        let choices = partition.cells_of_job(job);
        if partition.cells.len() == 1 {
            return Some(choices[0]);
        }
        let mut best = self.best_quote(choices.to_vec(), spec, queue).await;
        let best_quote = best.as_ref().map(|(quote, _)| quote);
        if Quote::needs_other_cells(best_quote, spec.is_long_running()) {
            let others = partition.cell_ids().filter(|cell| !choices.contains(cell)).collect();
            let other = self.best_quote(others, spec, queue).await;
            best = best.into_iter().chain(other).min();
        }
        Some(best.map_or(choices[0], |(_, cell)| cell))
    }

    async fn best_quote(
        &self,
        cells: Vec<CellId>,
        spec: &JobSpec,
        queue: &Queue,
    ) -> Option<(Quote, CellId)> {
        let quotes = cells.into_iter().map(async |cell| {
            let address = self.owner_address(cell)?;
            let service = queue.service.clone();
            let stages = spec.stages.iter().map(StageDemand::of).collect();
            let quote = self.clients.of(cell).quote(address, cell, service, stages).await?;
            Some((quote, cell))
        });
        join_all(quotes).await.into_iter().flatten().min()
    }

    fn owner_address(&self, cell: CellId) -> Option<SocketAddr> {
        self.known_owners.borrow().get(&cell)?.address
    }

    /// Sum of the counts of all cells; `None` unless all owners respond.
    async fn try_pending_count(&self, queue: &QueueName) -> Option<u64> {
        let cells = self.partition.borrow().as_ref()?.cell_ids();
        let counts = cells.map(async |cell| {
            let address = self.owner_address(cell)?;
            self.clients.of(cell).pending_count(address, queue.clone()).await
        });
        join_all(counts).await.into_iter().sum()
    }

    async fn state_from_owner(&self, job: &JobId) -> Option<JobState> {
        let [first, second] = self.partition.borrow().as_ref()?.cells_of_job(job);
        let state = self.state_from_cell(first, job).await;
        if state.is_some() || first == second {
            return state;
        }
        self.state_from_cell(second, job).await
    }

    async fn state_from_cell(&self, cell: CellId, job: &JobId) -> Option<JobState> {
        let address = self.owner_address(cell)?;
        match self.clients.of(cell).job_state(address, job.clone()).await? {
            JobLookup::State(state) => Some(state),
            JobLookup::NotOwner | JobLookup::Unknown => None,
        }
    }

    /// Returns the stored state; a job without a progress row is queued.
    async fn state_from_store(&self, job: &JobId) -> Result<Option<JobState>, StoreError> {
        let Some(row) = self.store.read(&submission_key(job)).await? else { return Ok(None) };
        let submission: Submission = row.parse()?;
        if submission.is_withdrawn {
            return Ok(None);
        }
        if self.store.read(&cancellation_key(job)).await?.is_some() {
            return Ok(Some(JobState::Cancelled));
        }
        let Some(row) = self.store.read(&progress_key(submission.cell, job)).await? else {
            return Ok(Some(JobState::Queued));
        };
        let progress: JobProgress = row.parse()?;
        Ok(Some(progress.state))
    }
}

/// Waits for the partition, publishes it, and then follows changes of the cells' owners and
/// publishes them.
pub async fn follow_cells(
    store: Store,
    partition_sender: watch::Sender<Option<Partition>>,
    sender: watch::Sender<KnownOwners>,
    logger: Logger,
) {
    let partition = wait_for_partition(&store, &logger).await;
    let cells: Vec<CellId> = partition.cell_ids().collect();
    partition_sender.send_replace(Some(partition));
    let mut after: Option<u64> = None;
    let mut wait = MAX_CHANGES_WAIT;
    loop {
        match next_owners(&store, &cells, after, wait, &sender).await {
            Ok(version) => (after, wait) = (version, MAX_CHANGES_WAIT),
            Err(error) => {
                warn!(logger, "failed to follow the cells' owners; retrying"; "error" => %error);
                // The next response shows at once whether the store responds again.
                wait = Duration::ZERO;
                sleep(RETRY_DELAY * 2).await;
            }
        }
    }
}

async fn next_owners(
    store: &Store,
    cells: &[CellId],
    after: Option<u64>,
    wait: Duration,
    sender: &watch::Sender<KnownOwners>,
) -> Result<Option<u64>, StoreError> {
    let Some(after) = after else {
        let version = store.version(OWNERS_TABLE).await?;
        for &cell in cells {
            if let Some(row) = store.read(&owner_notice_key(cell)).await? {
                update_known_owner(cell, &row, store, sender);
            }
        }
        return Ok(Some(version));
    };
    let page = store.changes(OWNERS_TABLE, after, wait).await?;
    if page.is_history_lost {
        return Ok(None);
    }
    let is_empty = page.changes.is_empty();
    for change in page.changes {
        let Some(value) = change.value else { continue };
        let row = Row { key: change.key, version: change.version, value };
        match parse_owner_notice_key(&row.key) {
            Some(cell) => update_known_owner(cell, &row, store, sender),
            None => store.report_odd_row(&row.key, row.version, "not the key of an owner"),
        }
    }
    if page.version <= after && is_empty {
        sleep(Duration::from_millis(5)).await;
    }
    Ok(Some(page.version.max(after)))
}

fn update_known_owner(cell: CellId, row: &Row, store: &Store, sender: &watch::Sender<KnownOwners>) {
    let Some(record) = store.parse::<OwnerRecord>(row) else { return };
    let (Ok(address), true) = (record.address.parse(), record.is_valid()) else {
        store.report_odd_row(&row.key, row.version, "no address or epoch of an owner");
        return;
    };
    sender.send_if_modified(|owners| {
        let known = owners.entry(cell).or_default();
        let is_newer = record.epoch > known.epoch;
        if is_newer {
            let reads_known_leases = record.reads_known_leases;
            *known = KnownOwner { epoch: record.epoch, address: Some(address), reads_known_leases };
        }
        is_newer
    });
}
