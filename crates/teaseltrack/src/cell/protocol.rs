//! What agents and their cell's owner tell each other.
//!
//! An agent reports what its worker runs and how runs ended; the owner answers with the lease and
//! with orders. The session number is the fencing token of the worker's calls: each new session of
//! an agent, and each new owner, has a higher one, which voids whatever was sent under a lower.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{
    cell::{interference::InterferenceEstimates, job::JobId, progress::WorkerIncarnation},
    ids::{AttemptNumber, Epoch, InstanceId, ServiceName, ZoneName},
    placement::Resources,
};

/// Fencing token of an agent's session; only goes up for one worker.
pub type SessionToken = u64;

/// A task by its job, occurrence, stage and place in the stage.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskName {
    /// The job.
    pub job: JobId,
    /// Number of the occurrence, from 0.
    pub occurrence: u32,
    /// Number of the stage, from 0.
    pub stage: u32,
    /// Place in the stage, from 0.
    pub index: u32,
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}/{}", self.job, self.occurrence, self.stage, self.index)
    }
}

/// What a worker says of itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkerStatus {
    /// Its identifier; may outlive a crash.
    pub worker: String,
    /// Start of its present life, in milliseconds since the Unix epoch.
    #[serde(rename = "born_unix_ms")]
    pub started_unix_ms: u64,
    /// Service whose tasks it runs.
    pub service: ServiceName,
    /// Availability zone.
    pub zone: ZoneName,
    /// What it offers to tasks.
    pub capacity: Resources,
    /// Kind and rack.
    pub labels: Vec<String>,
    /// Whether it is about to leave.
    pub is_draining: bool,
    /// Least time until it leaves, if it is about to.
    pub remaining_ms: Option<u64>,
}

impl WorkerStatus {
    /// Name of the worker's present life.
    pub fn incarnation(&self) -> WorkerIncarnation {
        format!("{}@{}", self.worker, self.started_unix_ms)
    }
}

/// A run on a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunningTask {
    /// The task.
    pub task: TaskName,
    /// Its attempt.
    pub attempt: AttemptNumber,
    /// Last checkpoint; empty for none.
    pub checkpoint: String,
    /// Share of the work that is done; for long-running tasks 100 while at work.
    pub percent: u32,
    /// Tail latency in milliseconds of a serving task, else processor use in thousandths of a core.
    pub gauge: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndCause {
    /// The task is done.
    Done,
    /// By its own or the worker's fault.
    Failed,
    /// Stopped on order.
    Stopped,
    /// The worker's lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The others of its gang didn't come.
    Alone,
}

impl EndCause {
    /// Name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Done => "run_done",
            Self::Failed => "run_failed",
            Self::Stopped => "run_stopped",
            Self::Lapsed => "run_lapsed",
            Self::Broken => "run_broken",
            Self::Alone => "run_alone",
        }
    }
}

/// An end that a worker lists until it is told to forget it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedTask {
    /// Number of the end within the worker's life, from 1.
    pub number: u64,
    /// The task.
    pub task: TaskName,
    /// Its attempt.
    pub attempt: AttemptNumber,
    /// How it ended.
    pub cause: EndCause,
    /// Last checkpoint; empty for none.
    pub checkpoint: String,
}

/// Outcome of a start order that left nothing running.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedStart {
    /// The task.
    pub task: TaskName,
    /// The attempt, which can never start any more.
    pub attempt: AttemptNumber,
    /// Why.
    pub reason: String,
}

/// What a worker runs and has ended, as of one answer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkerListing {
    /// All runs; `None` where only ends are reported.
    pub running: Option<Vec<RunningTask>>,
    /// Ends that aren't forgotten yet.
    pub ended: Vec<EndedTask>,
}

/// What an agent tells the owner.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The agent.
    pub agent: InstanceId,
    /// Start of the agent's process, in milliseconds since the Unix epoch; tells its lives apart.
    pub started_unix_ms: u64,
    /// Address of its inner port.
    pub address: String,
    /// Session under which the worker was last heard; 0 before the first.
    pub session: SessionToken,
    /// The worker; `None` while none has registered.
    pub status: Option<WorkerStatus>,
    /// The worker's clock when it last answered.
    pub worker_clock_ms: u64,
    /// Whether the worker answers calls.
    pub is_worker_reachable: bool,
    /// What the worker listed under the session.
    pub listing: Option<WorkerListing>,
    /// Starts that left nothing running.
    pub refused: Vec<RefusedStart>,
    /// Last order that was taken.
    #[serde(rename = "taken_order")]
    pub accepted_order: u64,
    /// Ends that the worker was told to forget, up to this number.
    pub forgot_until: u64,
    /// Version of the disturbances that it knows.
    #[serde(rename = "disturbances_version")]
    pub interference_version: u64,
    /// The disturbances themselves, in the first full report of a session.
    #[serde(rename = "disturbances")]
    pub interference: Option<InterferenceEstimates>,
    /// How long to wait for orders, in milliseconds.
    pub wait_ms: u64,
}

/// A task that is to start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StartOrder {
    /// The task.
    pub task: TaskName,
    /// The committed attempt.
    pub attempt: AttemptNumber,
    /// What the worker is handed.
    pub payload: String,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: String,
}

/// How a task shares its worker, for the agent's pacing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SharingTraits {
    /// The task.
    pub task: TaskName,
    /// What it runs; tasks of one image behave alike.
    pub image: Option<String>,
    /// Whether it takes only what others leave.
    pub is_best_effort: bool,
    /// Tail latency below which it must stay.
    pub target_tail_ms: Option<u64>,
}

/// What an agent is told to do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Order {
    /// Start a task.
    Start(StartOrder),
    /// Stop a run.
    Stop(TaskName, AttemptNumber),
    /// How a task shares its worker.
    Traits(SharingTraits),
}

/// The owner's answer to a report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReportResponse {
    /// Epoch of the answering owner; 0 if the answering process owns nothing.
    pub epoch: Epoch,
    /// Session to go on with.
    pub session: SessionToken,
    /// End of the worker's lease on the worker's own clock; `None` if none may be granted.
    pub lease_until_ms: Option<u64>,
    /// Ends that the worker is to forget, up to this number.
    pub forget_until: u64,
    /// Orders after the last one taken, with the number of the first.
    pub first_order: u64,
    /// The orders.
    pub orders: Vec<Order>,
    /// Known disturbances, if the agent knows another version.
    #[serde(rename = "disturbances")]
    pub interference: Option<InterferenceEstimates>,
    /// Whether the owner has been without the store for long.
    pub is_store_lost: bool,
    /// Address of the owner that the answering process knows of.
    pub owner_address: Option<String>,
}
