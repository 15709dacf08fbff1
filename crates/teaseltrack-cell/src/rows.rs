//! What a cell keeps in the store.
//!
//! A key is `table/part/name`; a transaction stays within one part. Submissions are spread over
//! parts, since a part takes its transactions one after another. Everything that the owner writes
//! is in one part, so that each of its commits can be conditional on the owner's row.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use teaseltrack::cell::{
    StoredJob,
    job::{JobId, JobSpec, Queue},
    progress::JobProgress,
};

/// Table of submissions and cancellations.
pub const JOBS_TABLE: &str = "jobs";
/// Table that changes with each new owner only, for those who follow it.
pub const OWNERS_TABLE: &str = "owners";
/// The owner's row, rewritten with each commit.
pub const OWNER_KEY: &str = "cell/0/owner";
/// The row in [`OWNERS_TABLE`].
pub const OWNER_NOTICE_KEY: &str = "owners/0/owner";
/// Prefix of the owner's progress rows.
pub const PROGRESS_PREFIX: &str = "progress/0/";
/// Parts of the submissions: twice the burst of submissions that a part's rate allows.
pub const JOB_PARTS: [&str; 4] = ["0", "1", "2", "3"];

const CANCEL_SUFFIX: &str = ".cancel";

/// A submission as stored.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// What was submitted.
    pub spec: JobSpec,
    /// The queue as it was then.
    pub queue: Queue,
}

/// What a row of [`JOBS_TABLE`] is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobRowKey {
    /// A submission.
    Submission(JobId),
    /// A cancellation.
    Cancellation(JobId),
}

/// Part of a job's rows.
pub fn part_of(job: &str) -> &'static str {
    let sum: usize = job.bytes().map(usize::from).sum();
    JOB_PARTS[sum % JOB_PARTS.len()]
}

/// Key of a submission.
pub fn submission_key(job: &str) -> String {
    format!("{JOBS_TABLE}/{}/{job}", part_of(job))
}

/// Key of a cancellation.
pub fn cancellation_key(job: &str) -> String {
    format!("{}{CANCEL_SUFFIX}", submission_key(job))
}

/// Key of a job's progress.
pub fn progress_key(job: &str) -> String {
    format!("{PROGRESS_PREFIX}{job}")
}

/// Name in a key, behind its table and part.
pub fn name_in(key: &str) -> &str {
    key.splitn(3, '/').nth(2).unwrap_or_default()
}

/// Reads a key of [`JOBS_TABLE`].
pub fn parse_job_key(key: &str) -> JobRowKey {
    let name = name_in(key);
    match name.strip_suffix(CANCEL_SUFFIX) {
        Some(job) => JobRowKey::Cancellation(job.to_owned()),
        None => JobRowKey::Submission(name.to_owned()),
    }
}

/// A job as the owner takes it in.
pub fn stored_job(
    id: JobId,
    submission: Submission,
    progress: Option<JobProgress>,
    is_cancelled: bool,
    unix_now_ms: u64,
) -> StoredJob {
    let age_ms = unix_now_ms.saturating_sub(submission.spec.submitted_unix_ms);
    StoredJob {
        id,
        queue: submission.queue,
        spec: submission.spec,
        progress,
        is_cancelled,
        age: Duration::from_millis(age_ms),
    }
}
