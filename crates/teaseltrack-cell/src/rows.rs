//! Rows of a cell in the store.
//!
//! A key has the form `table/part/name`; a transaction is limited to one part. Submissions are
//! spread over several parts, since the store executes the transactions of a part one at a time.
//! All rows that the owner of a cell writes are in one part, so that each commit can be conditional
//! on the owner's row.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use teaseltrack::{
    cell::{
        StoredJob,
        job::{JobId, JobSpec, Queue},
        partition::CellId,
        progress::JobProgress,
        protocol::TaskName,
    },
    ids::{InstanceId, ZoneName},
};

/// Table of submissions and cancellations.
pub const JOBS_TABLE: &str = "jobs";
/// Table that changes only when the cell gets a new owner, for processes that follow the owner.
pub const OWNERS_TABLE: &str = "owners";
/// Key of the fleet's partition into cells, which is written once.
pub const PARTITION_KEY: &str = "partition/0/partition";
/// Parts of the table of instances that have started before the partition was decided; at the rate
/// limit of a part, they accept the largest fleet within half a second.
pub const INSTANCE_PARTS: [&str; 16] =
    ["0", "1", "2", "3", "4", "5", "6", "7", "8", "9", "10", "11", "12", "13", "14", "15"];
/// Parts of [`JOBS_TABLE`]; at the rate limit of a part, they accept twice the burst of
/// submissions.
pub const JOB_PARTS: [&str; 4] = ["0", "1", "2", "3"];

/// Table of the jobs that were cancelled before they were stored.
const WITHDRAWALS_TABLE: &str = "withdrawals";

const CANCEL_SUFFIX: &str = ".cancel";
const END_SUFFIX: &str = ".end";
const DELEGATION_INFIX: &str = ".delegated.";

/// Key of the row of a cell's owner, which is rewritten with each commit.
pub fn owner_key(cell: CellId) -> String {
    format!("cell/{cell}/owner")
}

/// Key of the row of a cell in [`OWNERS_TABLE`].
pub fn owner_notice_key(cell: CellId) -> String {
    format!("{OWNERS_TABLE}/{cell}/owner")
}

/// Cell of a key of [`OWNERS_TABLE`]; `None` if the key is invalid.
pub fn parse_owner_notice_key(key: &str) -> Option<CellId> {
    let (cell, name) = key.strip_prefix(OWNERS_TABLE)?.strip_prefix('/')?.split_once('/')?;
    cell.parse().ok().filter(|_| name == "owner")
}

/// Prefix of the progress rows of a cell's jobs.
pub fn progress_prefix(cell: CellId) -> String {
    format!("progress/{cell}/")
}

/// Prefix of the rows of the workers of a cell's agents.
pub fn worker_prefix(cell: CellId) -> String {
    format!("workers/{cell}/")
}

/// Key of the row of an agent's worker.
pub fn worker_key(cell: CellId, agent: &InstanceId) -> String {
    format!("{}{agent}", worker_prefix(cell))
}

/// Prefix of the rows of instances in one of [`INSTANCE_PARTS`].
pub fn instance_prefix(part: &str) -> String {
    format!("instances/{part}/")
}

/// Key of an instance's row.
pub fn instance_key(instance: &InstanceId) -> String {
    let hash = xxhash_rust::xxh3::xxh3_64(instance.as_bytes());
    let part = INSTANCE_PARTS[(hash % INSTANCE_PARTS.len() as u64) as usize];
    format!("{}{instance}", instance_prefix(part))
}

/// Cell of a job that was cancelled before it was stored; there is no such cell.
const NO_CELL: CellId = CellId::MAX;

/// Value of a submission's row.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// Specification of the job.
    pub spec: JobSpec,
    /// Queue configuration at submission.
    pub queue: Queue,
    /// Cell that runs the job.
    #[serde(default)]
    pub cell: CellId,
    /// Whether the job was cancelled before it was stored. The row then has no specification, and keeps
    /// the job from being stored.
    #[serde(default, skip_serializing_if = "is_false")]
    pub is_withdrawn: bool,
}

impl Submission {
    /// Row of a job that was cancelled before it was stored. Owners of earlier builds ignore it, since it
    /// belongs to no cell.
    pub fn withdrawn() -> Self {
        Self { cell: NO_CELL, is_withdrawn: true, ..Self::default() }
    }
}

fn is_false(value: &bool) -> bool {
    !value
}

/// Value of an instance's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRow {
    /// Availability zone.
    pub zone: ZoneName,
}

/// Parsed key of a row of [`JOBS_TABLE`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobRowKey {
    /// Row of a submission.
    Submission(JobId),
    /// Row of a cancellation.
    Cancellation(JobId),
    /// Row of the end of a job, for the other cells that have tasks of it.
    End(JobId),
    /// Row of a task's delegation to another cell.
    Delegation,
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

/// Key of the row of a job's end, for the other cells that have tasks of it.
pub fn end_key(job: &str) -> String {
    format!("{}{END_SUFFIX}", submission_key(job))
}

/// Prefix of the rows of withdrawn jobs in one of [`JOB_PARTS`].
pub fn withdrawal_prefix(part: &str) -> String {
    format!("{WITHDRAWALS_TABLE}/{part}/")
}

/// Key of the row that lists a job that was cancelled before it was stored.
pub fn withdrawal_key(job: &str) -> String {
    format!("{}{job}", withdrawal_prefix(job_part(job)))
}

/// Key of the row on whose version all submissions of one of [`JOB_PARTS`] are conditional. It doesn't
/// exist before its first change.
pub fn submission_period_key(part: &str) -> String {
    format!("submission_periods/{part}/period")
}

/// Key of the row of a task's last hand-over to another cell, in [`JOBS_TABLE`].
pub fn delegation_key(task: &TaskName) -> String {
    let TaskName { job, occurrence, stage, index } = task;
    format!("{}{DELEGATION_INFIX}{occurrence}.{stage}.{index}", submission_key(job))
}

/// Key of the progress row of a cell's job.
pub fn progress_key(cell: CellId, job: &str) -> String {
    format!("{}{job}", progress_prefix(cell))
}

/// Name in a key, after the table and the part.
pub fn key_name(key: &str) -> &str {
    key.splitn(3, '/').nth(2).unwrap_or_default()
}

/// Parses a key of [`JOBS_TABLE`].
pub fn parse_job_key(key: &str) -> JobRowKey {
    let name = key_name(key);
    if name.contains(DELEGATION_INFIX) {
        return JobRowKey::Delegation;
    }
    if let Some(job) = name.strip_suffix(CANCEL_SUFFIX) {
        return JobRowKey::Cancellation(job.to_owned());
    }
    match name.strip_suffix(END_SUFFIX) {
        Some(job) => JobRowKey::End(job.to_owned()),
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
        is_partial: false,
        age: Duration::from_millis(age_ms),
    }
}
