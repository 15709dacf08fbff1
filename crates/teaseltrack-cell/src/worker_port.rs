//! Interface to the worker on the agent's instance.

use std::{sync::Arc, time::Duration};

use futures::future::BoxFuture;
use snafu::Snafu;
use teaseltrack::{
    cell::protocol::{SessionToken, StartOrder, TaskName, WorkerListing},
    ids::AttemptNumber,
};

/// Failure of a call to the worker.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum WorkerError {
    /// No usable response in time; the call may or may not take effect.
    #[snafu(display("worker unavailable: {message}"))]
    Unavailable {
        /// Cause.
        message: String,
    },
    /// The worker rejected the call: it didn't execute it and won't.
    #[snafu(display("worker refused the call: {reason}"))]
    Refused {
        /// Reason given by the worker.
        reason: String,
    },
}

/// Call to the worker.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerCall {
    /// Renews the lease, acknowledges ends, and requests a listing of runs and ends.
    Sync {
        /// End of the lease on the worker's clock.
        lease_until_ms: Option<u64>,
        /// Number up to which the worker may discard ends.
        forget_until: u64,
        /// Maximum time for which the worker waits for the next end.
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
        /// Pace as a share of full speed, in percent.
        percent: u32,
    },
}

/// Call with its intended worker and session.
#[derive(Clone, Debug, PartialEq)]
pub struct AddressedCall {
    /// Identifier of the worker; any other worker refuses the call.
    pub worker: String,
    /// Fencing token of the agent's session.
    pub session: SessionToken,
    /// The call.
    pub call: WorkerCall,
}

/// Response of the worker.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerResponse {
    /// Reading of the worker's clock, in milliseconds.
    pub clock_ms: Option<u64>,
    /// Start of the worker's current incarnation, in milliseconds since the Unix epoch, if
    /// included.
    pub started_unix_ms: Option<u64>,
    /// Listing of runs and ends, in a response to a sync call.
    pub listing: Option<WorkerListing>,
}

/// Transport for calls to the worker.
pub type WorkerAdapter = Arc<
    dyn Fn(AddressedCall) -> BoxFuture<'static, Result<WorkerResponse, WorkerError>> + Send + Sync,
>;
