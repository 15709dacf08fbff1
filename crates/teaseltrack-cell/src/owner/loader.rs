//! Loads the stored state of a cell for a new owner, then follows submissions and cancellations.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::{Duration, SystemTime},
};

use slog::{Logger, info, warn};
use teaseltrack::{
    cell::{
        StoredJob,
        delegation::Delegation,
        job::JobId,
        partition::CellId,
        progress::{JobProgress, WorkerRecord},
    },
    clock::unix_ms,
    ids::InstanceId,
};
use teaseltrack_platform::store::{Row, Store, StoreError};
use tokio::{sync::mpsc, time::sleep};

use crate::{
    constants::{MAX_CHANGES_WAIT, RETRY_DELAY},
    rows::{
        JOB_PARTS, JOBS_TABLE, JobRowKey, Submission, cancellation_key, end_key, key_name,
        parse_job_key, progress_key, progress_prefix, stored_job, worker_prefix,
    },
};

/// New submissions and cancellations.
#[derive(Clone, Debug, Default)]
pub struct JobChanges {
    /// Submitted jobs.
    pub jobs: Vec<StoredJob>,
    /// Cancelled jobs.
    pub cancelled: Vec<JobId>,
    /// Tasks of other cells' jobs that have been delegated to this cell.
    pub delegations: Vec<Delegation>,
    /// Jobs of which a task has been delegated to any cell.
    pub handed_over: HashSet<JobId>,
    /// Jobs that have ended in their own cell, other than by a cancellation.
    pub ended: Vec<JobId>,
}

/// Stored state of a cell.
#[derive(Clone, Debug)]
pub struct LoadedCell {
    /// All stored jobs, and those of which tasks have been delegated to this cell.
    pub jobs: Vec<StoredJob>,
    /// Tasks that have been delegated to this cell.
    pub delegations: Vec<Delegation>,
    /// Jobs of which a task has been delegated to any cell.
    pub handed_over: HashSet<JobId>,
    /// Workers of the cell's agents.
    pub workers: Vec<(InstanceId, WorkerRecord)>,
    /// Version of the jobs table from which changes are followed.
    pub version: u64,
}

/// Loads the cell; retries until the store responds.
pub async fn load(
    cell: CellId,
    store: Store,
    wall_now: fn() -> SystemTime,
    logger: Logger,
) -> LoadedCell {
    loop {
        match try_load(cell, &store, wall_now, &logger).await {
            Ok(loaded) => return loaded,
            Err(error) => {
                warn!(logger, "failed to load the cell; retrying"; "error" => %error);
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn try_load(
    cell: CellId,
    store: &Store,
    wall_now: fn() -> SystemTime,
    logger: &Logger,
) -> Result<LoadedCell, StoreError> {
    let (version, rows) = list_jobs(store).await?;
    let mut progress: HashMap<JobId, (u64, JobProgress)> = HashMap::new();
    for row in store.list_all(&progress_prefix(cell)).await? {
        if let Some(stored_progress) = store.parse(&row) {
            progress.insert(key_name(&row.key).to_owned(), (row.version, stored_progress));
        }
    }
    let mut workers = Vec::new();
    for row in store.list_all(&worker_prefix(cell)).await? {
        workers.extend(store.parse(&row).map(|worker| (key_name(&row.key).to_owned(), worker)));
    }
    let JobRows { submissions, cancelled, ended, delegations } =
        group_rows(cell, &rows, store, logger);
    let handed_over = jobs_of(&delegations);
    let progress_jobs: HashSet<JobId> = progress.keys().cloned().collect();
    let now_ms = unix_ms(wall_now());
    let mut restore = |id: JobId, submission: Submission| {
        let stored_progress = progress.remove(&id).and_then(|(version, stored)| {
            let is_valid = stored.is_valid(&submission.spec);
            if !is_valid {
                let key = progress_key(cell, &id);
                store.report_odd_row(&key, version, "not the progress of the job");
            }
            is_valid.then_some(stored)
        });
        let is_cancelled = cancelled.contains(&id);
        stored_job(id, submission, stored_progress, is_cancelled, now_ms)
    };
    let mut jobs: Vec<StoredJob> =
        submissions.into_iter().map(|(id, submission)| restore(id, submission)).collect();
    // Tasks of the cell's own jobs may have been handed back to it. Jobs of which it has handed on all
    // tasks are loaded as well, so that it recognizes earlier hand-overs.
    let own_jobs: HashSet<JobId> = jobs.iter().map(|job| job.id.clone()).collect();
    let partial: BTreeMap<&JobId, &Delegation> = delegations
        .iter()
        .map(|delegation| (&delegation.task.job, delegation))
        .filter(|(job, _)| !own_jobs.contains(*job))
        .filter(|(job, delegation)| delegation.cell == cell || progress_jobs.contains(*job))
        .collect();
    jobs.extend(partial.into_iter().map(|(id, Delegation { spec, queue, .. })| {
        let submission =
            Submission { spec: spec.clone(), queue: queue.clone(), cell, is_withdrawn: false };
        let restored = restore(id.clone(), submission);
        let is_cancelled = restored.is_cancelled || ended.contains(id);
        StoredJob { is_partial: true, is_cancelled, ..restored }
    }));
    let delegations = delegations_to(cell, delegations);
    Ok(LoadedCell { jobs, delegations, handed_over, workers, version })
}

/// Follows submissions and cancellations after a version and sends them to the owner.
pub async fn follow_jobs(
    cell: CellId,
    store: Store,
    mut after: u64,
    sender: mpsc::Sender<JobChanges>,
    wall_now: fn() -> SystemTime,
    logger: Logger,
) {
    let mut wait = MAX_CHANGES_WAIT;
    loop {
        let grouped = match next_rows(&store, after, wait).await {
            Ok((version, rows)) => {
                (after, wait) = (version, MAX_CHANGES_WAIT);
                group_rows(cell, &rows, &store, &logger)
            }
            Err(error) => {
                warn!(logger, "failed to follow submissions; retrying"; "error" => %error);
                // A call without a wait fails sooner if its connection is silent as well.
                wait = Duration::ZERO;
                sleep(RETRY_DELAY).await;
                continue;
            }
        };
        let handed_over = jobs_of(&grouped.delegations);
        let delegations = delegations_to(cell, grouped.delegations);
        let delegations = without_ended(delegations, &store, &logger).await;
        let now_ms = unix_ms(wall_now());
        let jobs = grouped
            .submissions
            .into_iter()
            .map(|(id, submission)| stored_job(id, submission, None, false, now_ms))
            .collect();
        let cancelled = grouped.cancelled.into_iter().collect();
        let ended = grouped.ended.into_iter().collect();
        let changes = JobChanges { jobs, cancelled, delegations, handed_over, ended };
        if sender.send(changes).await.is_err() {
            return;
        }
    }
}

/// Drops delegations of jobs that were cancelled or have ended before: the owner has ignored the
/// cancellation or the end of a job that it didn't know. Later ones follow the delegation.
async fn without_ended(
    delegations: Vec<Delegation>,
    store: &Store,
    logger: &Logger,
) -> Vec<Delegation> {
    let mut open = Vec::new();
    for delegation in delegations {
        loop {
            match has_ended(&delegation.task.job, store).await {
                Ok(true) => break,
                Ok(false) => {
                    open.push(delegation);
                    break;
                }
                Err(error) => {
                    warn!(logger, "failed to check whether a delegated job has ended; retrying";
                        "request_id" => &delegation.task.job, "error" => %error);
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }
    open
}

async fn has_ended(job: &str, store: &Store) -> Result<bool, StoreError> {
    for key in [cancellation_key(job), end_key(job)] {
        if store.read(&key).await?.is_some() {
            return Ok(true);
        }
    }
    Ok(false)
}

async fn next_rows(
    store: &Store,
    after: u64,
    wait: Duration,
) -> Result<(u64, Vec<Row>), StoreError> {
    let page = store.changes(JOBS_TABLE, after, wait).await?;
    if page.is_history_lost {
        return list_jobs(store).await;
    }
    if page.version <= after && page.changes.is_empty() {
        sleep(RETRY_DELAY).await;
    }
    let rows = page
        .changes
        .into_iter()
        .filter_map(|change| {
            let value = change.value?;
            Some(Row { key: change.key, version: change.version, value })
        })
        .collect();
    Ok((page.version.max(after), rows))
}

async fn list_jobs(store: &Store) -> Result<(u64, Vec<Row>), StoreError> {
    let version = store.version(JOBS_TABLE).await?;
    let mut rows = Vec::new();
    for part in JOB_PARTS {
        rows.extend(store.list_all(&format!("{JOBS_TABLE}/{part}/")).await?);
    }
    Ok((version, rows))
}

fn delegations_to(cell: CellId, delegations: Vec<Delegation>) -> Vec<Delegation> {
    delegations.into_iter().filter(|delegation| delegation.cell == cell).collect()
}

fn jobs_of(delegations: &[Delegation]) -> HashSet<JobId> {
    delegations.iter().map(|delegation| delegation.task.job.clone()).collect()
}

struct JobRows {
    submissions: Vec<(JobId, Submission)>,
    cancelled: HashSet<JobId>,
    ended: HashSet<JobId>,
    delegations: Vec<Delegation>,
}

/// Submissions to the cell, and all delegations, cancellations and ends: the rows of these two don't name
/// the cell.
fn group_rows(cell: CellId, rows: &[Row], store: &Store, logger: &Logger) -> JobRows {
    let mut grouped = JobRows {
        submissions: Vec::new(),
        cancelled: HashSet::new(),
        ended: HashSet::new(),
        delegations: Vec::new(),
    };
    for row in rows {
        match parse_job_key(&row.key) {
            JobRowKey::Cancellation(job) => {
                grouped.cancelled.insert(job);
            }
            JobRowKey::End(job) => {
                grouped.ended.insert(job);
            }
            JobRowKey::Delegation => {
                let delegation: Option<Delegation> = store.parse(row);
                let Some(delegation) = delegation else { continue };
                if delegation.is_valid() {
                    grouped.delegations.push(delegation);
                } else if delegation.cell == cell {
                    store.report_odd_row(&row.key, row.version, "not a valid delegation");
                }
            }
            JobRowKey::Submission(job) => {
                let submission: Option<Submission> = store.parse(row);
                let is_own =
                    |submission: &Submission| submission.cell == cell && !submission.is_withdrawn;
                let submission = submission.filter(is_own);
                let Some(submission) = submission else { continue };
                match submission.spec.validate() {
                    Ok(()) => grouped.submissions.push((job, submission)),
                    Err(error) => store.report_odd_row(&row.key, row.version, error),
                }
            }
        }
    }
    if rows.len() > 100 {
        info!(logger, "jobs listed"; "rows" => rows.len());
    }
    grouped
}
