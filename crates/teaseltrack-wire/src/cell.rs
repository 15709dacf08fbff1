//! Calls to the processes that take part in a cell.

use teaseltrack::cell::{
    job::{JobId, QueueName},
    progress::JobState,
    protocol::{Report, ReportResponse},
};

/// Bytes of the largest message.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// What an owner knows of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum JobLookup {
    /// The asked process doesn't own the cell, or is still loading it.
    NotOwner,
    /// The owner doesn't know the job.
    Unknown,
    /// The job's state.
    State(JobState),
}

/// Calls to a cell's owner; whoever isn't the owner says so.
#[tarpc::service]
pub trait CellControl {
    /// Takes an agent's report and hands out its orders.
    async fn report(report: Report) -> ReportResponse;
    /// State of a job.
    async fn job_state(job: JobId) -> JobLookup;
    /// Jobs of a queue of which no task has started; `None` from a process that isn't the owner.
    async fn pending_count(queue: QueueName) -> Option<u64>;
}
