//! Rows of a cell in the store.
//!
//! A key has the form `table/part/name`; a transaction is limited to one part. Submissions are
//! spread over several parts, since the store executes the transactions of a part one at a time.
//! All rows that the owner writes are in one part, so that each commit can be conditional on the
//! owner's row.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use teaseltrack::cell::{
    StoredJob,
    job::{JobId, JobSpec, Queue},
    progress::JobProgress,
};

/// Table of submissions and cancellations.
pub const JOBS_TABLE: &str = "jobs";
/// Table that changes only when the cell gets a new owner, for processes that follow the owner.
pub const OWNERS_TABLE: &str = "owners";
/// Key of the owner's row, which is rewritten with each commit.
pub const OWNER_KEY: &str = "cell/0/owner";
/// Key of the row in [`OWNERS_TABLE`].
pub const OWNER_NOTICE_KEY: &str = "owners/0/owner";
/// Prefix of the jobs' progress rows.
pub const PROGRESS_PREFIX: &str = "progress/0/";
/// Parts of [`JOBS_TABLE`]; at the rate limit of a part, they accept twice the burst of
/// submissions.
pub const JOB_PARTS: [&str; 4] = ["0", "1", "2", "3"];

const CANCEL_SUFFIX: &str = ".cancel";

/// Value of a submission's row.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// Specification of the job.
    pub spec: JobSpec,
    /// Queue configuration at submission.
    pub queue: Queue,
}

/// Parsed key of a row of [`JOBS_TABLE`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobRowKey {
    /// Row of a submission.
    Submission(JobId),
    /// Row of a cancellation.
    Cancellation(JobId),
}

/// Part that contains a job's rows in [`JOBS_TABLE`].
pub fn job_part(job: &str) -> &'static str {
    let sum: usize = job.bytes().map(usize::from).sum();
    JOB_PARTS[sum % JOB_PARTS.len()]
}

/// Key of a submission's row.
pub fn submission_key(job: &str) -> String {
    format!("{JOBS_TABLE}/{}/{job}", job_part(job))
}

/// Key of a cancellation's row.
pub fn cancellation_key(job: &str) -> String {
    format!("{}{CANCEL_SUFFIX}", submission_key(job))
}

/// Key of a job's progress row.
pub fn progress_key(job: &str) -> String {
    format!("{PROGRESS_PREFIX}{job}")
}

/// Name in a key, after the table and the part.
pub fn key_name(key: &str) -> &str {
    key.splitn(3, '/').nth(2).unwrap_or_default()
}

/// Parses a key of [`JOBS_TABLE`].
pub fn parse_job_key(key: &str) -> JobRowKey {
    let name = key_name(key);
    match name.strip_suffix(CANCEL_SUFFIX) {
        Some(job) => JobRowKey::Cancellation(job.to_owned()),
        None => JobRowKey::Submission(name.to_owned()),
    }
}

/// Combines the rows of a job into its stored state.
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
