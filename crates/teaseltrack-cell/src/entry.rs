//! Operations of an entry on callers' jobs.
//!
//! A job is accepted once its row is stored, rejected once the row of its rejection is stored, and
//! cancelled once the row of its cancellation is stored. States are read from the owner, or from the store if the owner doesn't respond or
//! doesn't have the job.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use futures::future::join_all;

use slog::{Logger, info, warn};
use teaseltrack::{
    cell::{
        admission::JobOutline,
        job::{JobId, JobSpec, Queue, QueueName},
        ownership::OwnerRecord,
        partition::{CellId, Partition},
        progress::{JobProgress, JobState},
        quote::{Quote, StageDemand},
    },
    clock::SharedClock,
    ids::ZoneName,
};
use teaseltrack_daemon::metrics::Metrics;
use teaseltrack_platform::store::{Condition, Store, StoreError, Transaction, Write};
use teaseltrack_wire::cell::JobLookup;
use tokio::{
    sync::watch,
    time::{sleep, timeout, timeout_at},
};

use crate::{
    calls::{CellClients, KnownOwner, KnownOwners},
    constants::{MAX_CHANGES_WAIT, QUOTE_TIMEOUT, RETRY_DELAY, VERSION_READ_INTERVAL},
    entry::{
        backlogs::{KnownBacklogs, SubmissionMode},
        submission::{read_submission, store_rejection, store_submission},
    },
    partition::wait_for_partition,
    rows::{
        JOBS_TABLE, OWNERS_TABLE, Submission, SubmissionRow, cancellation_key, owner_notice_key,
        parse_owner_notice_key, progress_key, submission_key,
    },
};

pub use crate::entry::submission::SubmitOutcome;

pub mod backlogs;
pub mod submission;

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
    /// Partition of the fleet into cells; `None` until it is known.
    pub partition: watch::Receiver<Option<Partition>>,
    /// Availability zone of the entry and of its callers.
    pub zone: ZoneName,
    /// Last known backlogs.
    pub backlogs: KnownBacklogs,
    /// Version of the jobs table that a response of the store has shown.
    pub seen_version: Arc<AtomicU64>,
    /// Clients for calls to the owners.
    pub clients: CellClients,
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
        let outcome = self.submit_to(cell, job, spec, queue, deadline).await;
        self.metrics.count_tagged("submissions", "outcome", outcome.name());
        info!(self.logger, "job submitted"; "request_id" => job, "queue" => &queue.name,
            "cell" => cell, "outcome" => ?outcome);
        outcome
    }

    /// Stores the job or its rejection, as the cell's owner decides.
    async fn submit_to(
        &self,
        cell: CellId,
        job: &JobId,
        spec: JobSpec,
        queue: &Queue,
        deadline: Instant,
    ) -> SubmitOutcome {
        // Read before anything else: it orders the request after the rejections seen so far.
        let seen_version = self.seen_version.load(Ordering::Relaxed);
        let now = self.clock.now();
        let timeout = deadline.saturating_duration_since(now);
        let retry_after_s = match JobOutline::of(job, &spec, queue, &self.zone, timeout) {
            Some(outline) => self.ask_owner(cell, outline, now).await,
            None => None,
        };
        let Some(retry_after_s) = retry_after_s else {
            let submission = Submission { spec, queue: queue.clone(), cell };
            return store_submission(&self.store, job, &submission, seen_version, deadline).await;
        };
        store_rejection(&self.store, job, retry_after_s, deadline).await
    }

    /// Time in seconds after which a rejected caller may return; `None` if the job is accepted, as it
    /// is without a backlog and without a response.
    async fn ask_owner(&self, cell: CellId, outline: JobOutline, now: Instant) -> Option<u64> {
        let mode = self.backlogs.next_mode(cell, now);
        if mode == SubmissionMode::Store {
            return None;
        }
        let address = self.owner_address(cell)?;
        let (client, backlogs) = (self.clients.of(cell), self.backlogs.clone());
        let metrics = self.metrics.clone();
        let outline = JobOutline { is_binding: mode == SubmissionMode::Ask, ..outline };
        let asking = async move {
            let decision = timeout(QUOTE_TIMEOUT, client.admission(address, cell, outline));
            let Some(decision) = decision.await.ok().flatten() else {
                metrics.count("admissions_unanswered");
                return None;
            };
            if decision.is_backlogged {
                backlogs.note_backlog(cell, now);
            }
            decision.retry_after_s
        };
        if mode == SubmissionMode::Ask {
            return asking.await;
        }
        tokio::spawn(asking);
        None
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
        if let SubmissionRow::Rejected(_) = SubmissionRow::parse(&row)? {
            return Ok(CancelOutcome::NoSuchJob);
        }
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
    /// entries that choose at the same time rarely meet. A long-running job goes to any other cell
    /// if neither has room for all of its tasks.
    async fn choose_cell(&self, job: &JobId, spec: &JobSpec, queue: &Queue) -> Option<CellId> {
        let partition = self.partition.borrow().clone()?;
        let choices = partition.cells_of_job(job);
        if partition.cells.len() == 1 {
            return Some(choices[0]);
        }
        let mut best = self.best_quote(choices.to_vec(), spec, queue).await;
        if best.is_none_or(|(quote, _)| quote.unplaceable_count > 0) && spec.is_long_running() {
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
        let (_, Some(SubmissionRow::Accepted(submission))) =
            read_submission(&self.store, job).await?
        else {
            return Ok(None);
        };
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

/// Reads the version of the jobs table while rejected callers may return, so that their requests are
/// known to be later than the rejections.
pub async fn follow_versions(jobs: JobApi) {
    loop {
        sleep(VERSION_READ_INTERVAL).await;
        if !jobs.backlogs.may_have_rejected(jobs.clock.now()) {
            continue;
        }
        match jobs.store.version(JOBS_TABLE).await {
            Ok(version) => {
                jobs.seen_version.fetch_max(version, Ordering::Relaxed);
            }
            Err(error) => warn!(jobs.logger, "failed to read the version of the jobs table";
                "error" => %error),
        }
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
    loop {
        match next_owners(&store, &cells, after, &sender, &logger).await {
            Ok(version) => after = version,
            Err(error) => {
                warn!(logger, "failed to follow the cells' owners; retrying"; "error" => %error);
                sleep(RETRY_DELAY * 2).await;
            }
        }
    }
}

async fn next_owners(
    store: &Store,
    cells: &[CellId],
    after: Option<u64>,
    sender: &watch::Sender<KnownOwners>,
    logger: &Logger,
) -> Result<Option<u64>, StoreError> {
    let Some(after) = after else {
        let version = store.version(OWNERS_TABLE).await?;
        for &cell in cells {
            if let Some(row) = store.read(&owner_notice_key(cell)).await? {
                update_known_owner(cell, &row.parse()?, sender);
            }
        }
        return Ok(Some(version));
    };
    let page = store.changes(OWNERS_TABLE, after, MAX_CHANGES_WAIT).await?;
    if page.is_history_lost {
        return Ok(None);
    }
    for change in &page.changes {
        let Some(value) = &change.value else { continue };
        match (parse_owner_notice_key(&change.key), serde_json::from_str::<OwnerRecord>(value)) {
            (Some(cell), Ok(record)) => update_known_owner(cell, &record, sender),
            (None, _) => warn!(logger, "row of an owner has an invalid key"; "key" => &change.key),
            (_, Err(error)) => warn!(logger, "invalid row of an owner ignored";
                "key" => &change.key, "error" => %error),
        }
    }
    if page.version <= after && page.changes.is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
    Ok(Some(page.version.max(after)))
}

fn update_known_owner(cell: CellId, record: &OwnerRecord, sender: &watch::Sender<KnownOwners>) {
    let address = record.address.parse().ok();
    sender.send_if_modified(|owners| {
        let known = owners.entry(cell).or_default();
        let is_newer = record.epoch > known.epoch;
        if is_newer {
            *known = KnownOwner { epoch: record.epoch, address };
        }
        is_newer
    });
}
