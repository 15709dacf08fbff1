//! Interface to the worker on the agent's instance.
//!
//! A run is one attempt of a task on a worker.

use std::{sync::Arc, time::Duration};

use futures::future::BoxFuture;
use snafu::Snafu;
use teaseltrack::{
    cell::protocol::{SessionToken, StartOrder, TaskName, WorkerListing},
    ids::AttemptNumber,
};

use crate::constants::{CALL_TIMEOUT, WORKER_CALL_TIMEOUT};

/// Reason of a refusal by another worker than the one that the call was addressed to.
pub const OTHER_WORKER: &str = "addressed to another worker";

/// Failure of a call to the worker.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum WorkerError {
    /// No usable response arrived in time; the worker may or may not execute the call.
    #[snafu(display("worker unavailable: {message}"))]
    Unavailable {
        /// Cause.
        message: String,
    },
    /// The worker refused the call, which was not and will not be executed.
    #[snafu(display("worker refused the call: {reason}"))]
    Refused {
        /// Reason given by the worker, or [`OTHER_WORKER`].
        reason: String,
    },
}

/// Call to the worker.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerCall {
    /// Renews the lease, acknowledges ended runs, and requests a listing of current and ended runs.
    Sync {
        /// End of the lease on the worker's clock; `None` if the owner has granted no lease.
        lease_until_ms: Option<u64>,
        /// Number of the last ended run, inclusive, up to which the worker may discard ended runs.
        forget_until: u64,
        /// Long-poll timeout: maximum time for which the worker waits for the next run to end.
        wait: Duration,
    },
    /// Starts a run.
    Start {
        /// The owner's order.
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
        /// Pace, in percent of full speed.
        percent: u32,
    },
    /// Asks the worker whether it is the addressed one, for its start and for its clock. A worker that
    /// has seen a later session responds as well.
    Identify,
}

impl WorkerCall {
    /// Time after which the agent no longer waits for the response.
    pub fn timeout(&self) -> Duration {
        match self {
            Self::Sync { wait, .. } => *wait + CALL_TIMEOUT,
            Self::Start { .. } | Self::Stop { .. } | Self::Pace { .. } | Self::Identify => {
                WORKER_CALL_TIMEOUT
            }
        }
    }
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
    /// Time of the worker's clock, in milliseconds; `None` if not included.
    pub clock_ms: Option<u64>,
    /// Start of the worker's current incarnation, in milliseconds since the Unix epoch; `None` if
    /// not included.
    pub started_unix_ms: Option<u64>,
    /// Listing of current and ended runs; only in a response to [`WorkerCall::Sync`].
    pub listing: Option<WorkerListing>,
    /// Whether the listing may lack runs or ends: it is cut off, or has parts that can't be read.
    pub has_missing_rows: bool,
}

/// Implementation of the interface: sends a call to the worker and returns its response.
pub type WorkerAdapter = Arc<
    dyn Fn(AddressedCall) -> BoxFuture<'static, Result<WorkerResponse, WorkerError>> + Send + Sync,
>;
