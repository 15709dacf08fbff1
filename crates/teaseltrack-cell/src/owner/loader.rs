//! What an owner reads: everything when it begins, and the submissions that come after.

use std::{
    collections::{HashMap, HashSet},
    time::SystemTime,
};

use slog::{Logger, info, warn};
use teaseltrack::{
    cell::{StoredJob, job::JobId, progress::JobProgress},
    clock::unix_ms,
};
use teaseltrack_platform::store::{Row, Store, StoreError};
use tokio::{sync::mpsc, time::sleep};

use crate::{
    constants::{MAX_CHANGES_WAIT, RETRY_PAUSE},
    rows::{
        JOB_PARTS, JOBS_TABLE, JobRowKey, PROGRESS_PREFIX, Submission, name_in, parse_job_key,
        stored_job,
    },
};

/// Submissions and cancellations that became known.
#[derive(Clone, Debug, Default)]
pub struct JobNews {
    /// Submitted jobs.
    pub jobs: Vec<StoredJob>,
    /// Cancelled jobs.
    pub cancelled: Vec<JobId>,
}

/// Everything that is stored, and the version to follow changes from.
#[derive(Clone, Debug)]
pub struct LoadedCell {
    /// The jobs.
    pub jobs: Vec<StoredJob>,
    /// Version from which changes follow.
    pub version: u64,
}

/// Loads the cell; goes on trying while the store doesn't answer.
pub async fn load(store: Store, wall_now: fn() -> SystemTime, logger: Logger) -> LoadedCell {
    loop {
        match try_load(&store, wall_now, &logger).await {
            Ok(loaded) => return loaded,
            Err(error) => {
                warn!(logger, "cell can't be loaded"; "error" => %error);
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn try_load(
    store: &Store,
    wall_now: fn() -> SystemTime,
    logger: &Logger,
) -> Result<LoadedCell, StoreError> {
    let (version, rows) = list_jobs(store).await?;
    let mut progress: HashMap<JobId, JobProgress> = HashMap::new();
    for row in store.list_all(PROGRESS_PREFIX).await? {
        if let Some(known) = parse(&row, logger) {
            progress.insert(name_in(&row.key).to_owned(), known);
        }
    }
    let JobRows { submissions, cancelled } = sort_rows(&rows, logger);
    let now_ms = unix_ms(wall_now());
    let jobs = submissions
        .into_iter()
        .map(|(id, submission)| {
            let known = progress.remove(&id);
            let is_cancelled = cancelled.contains(&id);
            stored_job(id, submission, known, is_cancelled, now_ms)
        })
        .collect();
    Ok(LoadedCell { jobs, version })
}

/// Follows submissions and cancellations after a version and hands them on.
pub async fn follow_jobs(
    store: Store,
    mut after: u64,
    sender: mpsc::Sender<JobNews>,
    wall_now: fn() -> SystemTime,
    logger: Logger,
) {
    loop {
        let news = match next_rows(&store, after).await {
            Ok((version, rows)) => {
                after = version;
                sort_rows(&rows, &logger)
            }
            Err(error) => {
                warn!(logger, "submissions can't be followed"; "error" => %error);
                sleep(RETRY_PAUSE).await;
                continue;
            }
        };
        let now_ms = unix_ms(wall_now());
        let jobs = news
            .submissions
            .into_iter()
            .map(|(id, submission)| stored_job(id, submission, None, false, now_ms))
            .collect();
        let news = JobNews { jobs, cancelled: news.cancelled.into_iter().collect() };
        if sender.send(news).await.is_err() {
            return;
        }
    }
}

async fn next_rows(store: &Store, after: u64) -> Result<(u64, Vec<Row>), StoreError> {
    let page = store.changes(JOBS_TABLE, after, MAX_CHANGES_WAIT).await?;
    if page.is_history_lost {
        return list_jobs(store).await;
    }
    if page.version <= after && page.changes.is_empty() {
        sleep(RETRY_PAUSE).await;
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

struct JobRows {
    submissions: Vec<(JobId, Submission)>,
    cancelled: HashSet<JobId>,
}

fn sort_rows(rows: &[Row], logger: &Logger) -> JobRows {
    let mut sorted = JobRows { submissions: Vec::new(), cancelled: HashSet::new() };
    for row in rows {
        match parse_job_key(&row.key) {
            JobRowKey::Cancellation(job) => {
                sorted.cancelled.insert(job);
            }
            JobRowKey::Submission(job) => {
                if let Some(submission) = parse(row, logger) {
                    sorted.submissions.push((job, submission));
                }
            }
        }
    }
    if rows.len() > 100 {
        info!(logger, "jobs listed"; "rows" => rows.len());
    }
    sorted
}

fn parse<T: serde::de::DeserializeOwned>(row: &Row, logger: &Logger) -> Option<T> {
    match row.parse() {
        Ok(value) => Some(value),
        Err(error) => {
            warn!(logger, "row can't be read and is left out"; "error" => %error);
            None
        }
    }
}
