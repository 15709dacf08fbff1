//! The platform's worker on the agent's own instance.
//!
//! A worker runs attempts under a lease whose deadline is expressed in the worker's clock: each
//! sync response carries the worker's time, from which the agent converts the deadline. When the
//! lease expires, the worker pauses its attempts on its own; a lease with a new incarnation drops
//! them. The holder of the worker is the agent's process with the highest incarnation; requests from
//! earlier ones are refused.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use http::Method;
use serde::{Deserialize, Serialize};
use teaseltrack::{
    clock::SharedClock,
    ids::{AttemptNumber, Incarnation},
    placement::Resources,
    task::TaskId,
};
use teaseltrack_daemon::http_client::{CallError, HttpClient};

/// Deadline of one call to the worker.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Identifies an attempt on a worker.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptKey {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: AttemptNumber,
}

/// State of an attempt on its worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerAttemptState {
    /// Running under a valid lease.
    Running,
    /// Paused until the lease is renewed.
    Paused,
    /// Stopped, and kept until the agent acknowledges it.
    Stopped,
    /// Completed.
    Done,
    /// Failed, with the reason.
    Failed(String),
}

/// An attempt as reported by its worker; usage figures lag behind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerAttempt {
    /// The attempt.
    pub key: AttemptKey,
    /// State of the attempt.
    pub state: WorkerAttemptState,
    /// Resources reserved for it.
    pub resources: Resources,
    /// CPU usage in thousandths of a core, delayed.
    pub used_cpu_milli: u64,
    /// Memory usage in mebibytes, delayed.
    pub used_memory_mib: u64,
}

/// Renews the lease and requests the state of all attempts.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SyncRequest {
    /// Incarnation of the agent's process.
    pub holder: Incarnation,
    /// Incarnation of the lease; `None` while the agent holds no lease.
    pub incarnation: Option<Incarnation>,
    /// End of the lease in the worker's clock, in milliseconds; `None` until the worker's clock has
    /// been read or while there is no lease.
    pub lease_until_ms: Option<u64>,
    /// Fraction of full speed at which attempts run.
    pub share: f64,
    /// Ended attempts that the agent has acknowledged and the worker may drop.
    pub forget: Vec<AttemptKey>,
}

/// Response to [`SyncRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SyncResponse {
    /// The worker's clock, in milliseconds.
    pub now_ms: u64,
    /// Incarnation under which the attempts run.
    pub incarnation: Option<Incarnation>,
    /// All attempts except ended ones that the agent has acknowledged.
    pub attempts: Vec<WorkerAttempt>,
}

/// Starts an attempt; idempotent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StartRequest {
    /// Incarnation of the agent's process.
    pub holder: Incarnation,
    /// Incarnation of the lease.
    pub incarnation: Incarnation,
    /// The attempt.
    pub key: AttemptKey,
    /// Resources reserved for it.
    pub resources: Resources,
    /// Declared run time, in milliseconds.
    pub run_ms: u64,
    /// Content of the checkpoint to resume from.
    pub checkpoint: Option<String>,
    /// Time in the worker's clock after which the request is refused, in milliseconds.
    pub not_after_ms: Option<u64>,
}

/// Stops an attempt; idempotent. Stopping an attempt that was never started prevents a delayed
/// [`StartRequest`] from starting it later.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StopRequest {
    /// Incarnation of the agent's process.
    pub holder: Incarnation,
    /// The attempt.
    pub key: AttemptKey,
    /// Whether to return a checkpoint.
    pub is_checkpointed: bool,
}

/// Response to [`StopRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StopResponse {
    /// State of the attempt after the stop.
    pub state: WorkerAttemptState,
    /// Content of the checkpoint, if one was requested.
    pub checkpoint: Option<String>,
}

/// Client of the worker that tracks the worker's clock.
#[derive(Clone)]
pub struct WorkerClient {
    client: HttpClient,
    address: SocketAddr,
    clock: SharedClock,
    /// Incarnation of the agent's process.
    holder: Incarnation,
    /// Local time when the last sync response was received, and the worker's clock from that
    /// response, in milliseconds; the worker read its clock no later than the local time.
    clock_sample: Option<(Instant, u64)>,
}

impl WorkerClient {
    /// Creates a client of the worker at `address`; `holder` is the incarnation of the agent's
    /// process.
    pub fn new(address: SocketAddr, holder: Incarnation, clock: SharedClock) -> Self {
        Self { client: HttpClient::new(CALL_TIMEOUT), address, clock, holder, clock_sample: None }
    }

    /// Renews the lease until `deadline` and reads the state of all attempts.
    ///
    /// # Errors
    ///
    /// No response, or a later process of the agent is the worker's holder.
    pub async fn sync(
        &mut self,
        incarnation: Option<Incarnation>,
        deadline: Option<Instant>,
        share: f64,
        forget: Vec<AttemptKey>,
    ) -> Result<SyncResponse, CallError> {
        let lease_until_ms = deadline.and_then(|deadline| self.to_worker_clock(deadline));
        let request =
            SyncRequest { holder: self.holder, incarnation, lease_until_ms, share, forget };
        let response: SyncResponse =
            self.client.call(Method::POST, self.address, "/sync", &request).await?;
        self.clock_sample = Some((self.clock.now(), response.now_ms));
        Ok(response)
    }

    /// Starts an attempt.
    ///
    /// # Errors
    ///
    /// No response, or the worker refused.
    pub async fn start(&self, request: StartRequest) -> Result<(), CallError> {
        self.client.call(Method::POST, self.address, "/start", &request).await
    }

    /// Stops an attempt.
    ///
    /// # Errors
    ///
    /// No response, or the worker refused.
    pub async fn stop(
        &self,
        key: AttemptKey,
        is_checkpointed: bool,
    ) -> Result<StopResponse, CallError> {
        let request = StopRequest { holder: self.holder, key, is_checkpointed };
        self.client.call(Method::POST, self.address, "/stop", &request).await
    }

    /// Incarnation of the agent's process.
    pub fn holder(&self) -> Incarnation {
        self.holder
    }

    /// Time in the worker's clock after which the worker refuses a start sent now, in milliseconds;
    /// `None` until the worker's clock has been read.
    pub fn start_deadline_ms(&self) -> Option<u64> {
        self.to_worker_clock(self.clock.now() + CALL_TIMEOUT)
    }

    /// Converts a local instant to the worker's clock; never later than the exact time, so that the
    /// worker ends a lease no later than the agent does.
    fn to_worker_clock(&self, instant: Instant) -> Option<u64> {
        let (sampled_at, sampled_ms) = self.clock_sample?;
        let elapsed = instant.saturating_duration_since(sampled_at);
        Some(sampled_ms + elapsed.as_millis() as u64)
    }
}
