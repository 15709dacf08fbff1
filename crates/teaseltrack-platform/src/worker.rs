//! The platform's worker on the agent's own instance.
//!
//! A worker runs attempts under a lease that it is told in its own clock: each answer carries the
//! worker's time, from which the agent works out the deadline. Past the deadline the worker pauses its
//! attempts by itself; a new incarnation drops them. A holder with a lower number is refused.

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

/// Time for the worker to answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// One attempt on a worker.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptKey {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: AttemptNumber,
}

/// Where an attempt stands on its worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerAttemptState {
    /// Makes progress.
    Running,
    /// Waits for the lease.
    Paused,
    /// Was stopped and waits to be forgotten.
    Stopped,
    /// Finished.
    Done,
    /// Failed.
    Failed(String),
}

/// An attempt as its worker reports it; use comes with a lag.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerAttempt {
    /// The attempt.
    pub key: AttemptKey,
    /// Where it stands.
    pub state: WorkerAttemptState,
    /// Room that was set aside for it.
    pub resources: Resources,
    /// Processor use, in thousandths of a core, as of a while ago.
    pub used_cpu_milli: u64,
    /// Memory use, in mebibytes, as of a while ago.
    pub used_memory_mib: u64,
}

/// Renews the lease and asks for the state of all attempts.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SyncRequest {
    /// Number of the agent's process.
    pub holder: Incarnation,
    /// Incarnation of the lease; absent while the agent holds none.
    pub incarnation: Option<Incarnation>,
    /// End of the lease in the worker's clock, in milliseconds; absent before it is known.
    pub lease_until_ms: Option<u64>,
    /// Share of its full speed at which work runs.
    pub share: f64,
    /// Ended attempts that need not be reported again.
    pub forget: Vec<AttemptKey>,
}

/// Answer to [`SyncRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SyncResponse {
    /// The worker's clock, in milliseconds.
    pub now_ms: u64,
    /// Incarnation under which the attempts run.
    pub incarnation: Option<Incarnation>,
    /// All attempts that aren't forgotten.
    pub attempts: Vec<WorkerAttempt>,
}

/// Starts an attempt; the same attempt may be asked for again.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StartRequest {
    /// Number of the agent's process.
    pub holder: Incarnation,
    /// Incarnation of the lease.
    pub incarnation: Incarnation,
    /// The attempt.
    pub key: AttemptKey,
    /// Room set aside.
    pub resources: Resources,
    /// Declared run time, in milliseconds.
    pub run_ms: u64,
    /// Content of the checkpoint from which it resumes.
    pub checkpoint: Option<String>,
    /// Time in the worker's clock after which the call is refused, in milliseconds.
    pub not_after_ms: Option<u64>,
}

/// Stops an attempt; the same attempt may be stopped again, and one that isn't known is never started
/// afterwards.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StopRequest {
    /// Number of the agent's process.
    pub holder: Incarnation,
    /// The attempt.
    pub key: AttemptKey,
    /// Whether a checkpoint is wanted.
    pub is_checkpointed: bool,
}

/// Answer to [`StopRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StopResponse {
    /// Where the attempt stood.
    pub state: WorkerAttemptState,
    /// Content of the checkpoint, if one was wanted.
    pub checkpoint: Option<String>,
}

/// Calls to the worker, and its clock.
#[derive(Clone)]
pub struct WorkerClient {
    client: HttpClient,
    address: SocketAddr,
    clock: SharedClock,
    /// Number of the agent's process.
    holder: Incarnation,
    /// The worker's clock at an instant of ours that wasn't before it.
    seen: Option<(Instant, u64)>,
}

impl WorkerClient {
    /// A client of the worker at `address` for the agent's process `holder`.
    pub fn new(address: SocketAddr, holder: Incarnation, clock: SharedClock) -> Self {
        Self { client: HttpClient::new(CALL_TIMEOUT), address, clock, holder, seen: None }
    }

    /// Renews the lease until `deadline` and reads the state of all attempts.
    ///
    /// # Errors
    ///
    /// No answer, or another process holds the worker.
    pub async fn sync(
        &mut self,
        incarnation: Option<Incarnation>,
        deadline: Option<Instant>,
        share: f64,
        forget: Vec<AttemptKey>,
    ) -> Result<SyncResponse, CallError> {
        let lease_until_ms = deadline.and_then(|deadline| self.in_worker_clock(deadline));
        let call = SyncRequest { holder: self.holder, incarnation, lease_until_ms, share, forget };
        let answer: SyncResponse =
            self.client.call(Method::POST, self.address, "/sync", &call).await?;
        self.seen = Some((self.clock.now(), answer.now_ms));
        Ok(answer)
    }

    /// Starts an attempt.
    ///
    /// # Errors
    ///
    /// No answer, or the worker refuses.
    pub async fn start(&self, call: StartRequest) -> Result<(), CallError> {
        self.client.call(Method::POST, self.address, "/start", &call).await
    }

    /// Stops an attempt.
    ///
    /// # Errors
    ///
    /// No answer, or the worker doesn't know the attempt.
    pub async fn stop(
        &self,
        key: AttemptKey,
        is_checkpointed: bool,
    ) -> Result<StopResponse, CallError> {
        let call = StopRequest { holder: self.holder, key, is_checkpointed };
        self.client.call(Method::POST, self.address, "/stop", &call).await
    }

    /// Number of the agent's process.
    pub fn holder(&self) -> Incarnation {
        self.holder
    }

    /// Time in the worker's clock after which a start that is sent now is to be refused.
    pub fn start_deadline_ms(&self) -> Option<u64> {
        self.in_worker_clock(self.clock.now() + CALL_TIMEOUT)
    }

    /// An instant of ours in the worker's clock, never later than the true one.
    fn in_worker_clock(&self, instant: Instant) -> Option<u64> {
        let (seen_at, worker_ms) = self.seen?;
        let ahead = instant.saturating_duration_since(seen_at);
        Some(worker_ms + ahead.as_millis() as u64)
    }
}
