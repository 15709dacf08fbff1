//! The port to the worker on the agent's own instance.

use std::{sync::Arc, time::Duration};

use futures::future::BoxFuture;
use snafu::Snafu;
use teaseltrack::{
    cell::protocol::{SessionToken, StartOrder, TaskName, WorkerListing},
    ids::AttemptNumber,
};

/// Why a worker's answer is of no use.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum WorkerError {
    /// No answer in time; the call may still be carried out.
    #[snafu(display("no answer: {message}"))]
    Unavailable {
        /// Cause.
        message: String,
    },
    /// The worker did nothing, and won't.
    #[snafu(display("refused: {reason}"))]
    Refused {
        /// Why.
        reason: String,
    },
}

/// A call to the worker.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerCall {
    /// Extends the lease, forgets ends and lists what runs.
    Sync {
        /// End of the lease on the worker's clock.
        lease_until_ms: Option<u64>,
        /// Ends to forget, up to this number.
        forget_until: u64,
        /// How long the worker may wait for an end.
        wait: Duration,
    },
    /// Starts a task.
    Start {
        /// The task.
        order: StartOrder,
        /// End of the lease on the worker's clock.
        lease_until_ms: u64,
    },
    /// Stops a run.
    Stop {
        /// The task.
        task: TaskName,
        /// Its attempt.
        attempt: AttemptNumber,
    },
    /// Sets the pace of a run.
    Pace {
        /// The task.
        task: TaskName,
        /// Its attempt.
        attempt: AttemptNumber,
        /// Share of full speed, in percent.
        percent: u32,
    },
}

/// A call with whom it is meant for.
#[derive(Clone, Debug, PartialEq)]
pub struct AddressedCall {
    /// The worker; another refuses.
    pub worker: String,
    /// Fencing token.
    pub session: SessionToken,
    /// The call.
    pub call: WorkerCall,
}

/// A worker's answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerResponse {
    /// The worker's clock.
    pub clock_ms: Option<u64>,
    /// Start of its present life, where it says so.
    pub started_unix_ms: Option<u64>,
    /// What it runs, in answer to a hold.
    pub listing: Option<WorkerListing>,
}

/// Carries calls to the worker.
pub type WorkerAdapter = Arc<
    dyn Fn(AddressedCall) -> BoxFuture<'static, Result<WorkerResponse, WorkerError>> + Send + Sync,
>;
