//! RPC interface between the processes of a cell.

use teaseltrack::{
    cell::{
        job::{JobId, QueueName},
        partition::CellId,
        progress::JobState,
        protocol::{Report, ReportResponse},
        quote::{Quote, StageDemand},
        room_promises::RoomRequest,
        succession::Superseded,
    },
    ids::{Epoch, ServiceName},
};

/// Maximum size of a message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Result of looking up a job's state at a cell's owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum JobLookup {
    /// The called process doesn't own the cell, or is still loading its state.
    NotOwner,
    /// The cell has no such job.
    Unknown,
    /// Current state of the job.
    State(JobState),
}

/// Calls to a cell's owner; the response of any other process indicates that it isn't the owner.
#[tarpc::service]
pub trait CellControl {
    /// Accepts an agent's report and returns orders for the agent.
    async fn report(report: Report) -> ReportResponse;
    /// Returns the state of a job.
    async fn job_state(job: JobId) -> JobLookup;
    /// Returns a quote for a job with the given stages, submitted to a queue of the service; `None`
    /// from a process that isn't the owner of the cell.
    async fn quote(cell: CellId, service: ServiceName, stages: Vec<StageDemand>) -> Option<Quote>;
    /// Returns the number of jobs of a queue without a started task; `None` from a process that
    /// isn't the owner.
    async fn pending_count(queue: QueueName) -> Option<u64>;
    /// Promises rooms for waiting tasks of other cells and returns their number for each request;
    /// `None` from a process that isn't the owner of the cell.
    async fn promise_rooms(cell: CellId, requests: Vec<RoomRequest>) -> Option<Vec<u32>>;
    /// Ends the owner of the cell that runs in the process if its epoch is lower than the caller's, and
    /// returns what leases it knows of; `None` from a process that runs a later owner.
    async fn supersede(cell: CellId, epoch: Epoch) -> Option<Superseded>;
}
