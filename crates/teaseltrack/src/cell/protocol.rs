//! Messages between agents and their cell's owner.
//!
//! An agent reports the runs of its worker and how runs ended; the owner responds with the lease
//! and with orders. The session number is the fencing token of calls to the worker: each new
//! session of an agent and each new owner uses a higher number, which invalidates all calls sent
//! under a lower one.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{
    cell::{
        evacuation::EvacuationNotice, interference::InterferenceEstimates, job::JobId,
        partition::CellId, progress::WorkerIncarnation,
    },
    ids::{AttemptNumber, Epoch, InstanceId, ServiceName, ZoneName},
    placement::Resources,
};

/// Fencing token of an agent's session; only increases for a worker.
pub type SessionToken = u64;

/// Identifies a task by its job, occurrence, stage and index in the stage.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskName {
    /// The job.
    pub job: JobId,
    /// Number of the occurrence, from 0.
    pub occurrence: u32,
    /// Number of the stage, from 0.
    pub stage: u32,
    /// Index in the stage, from 0.
    pub index: u32,
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}/{}", self.job, self.occurrence, self.stage, self.index)
    }
}

/// State that a worker announces.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkerStatus {
    /// Identifier of the worker; may stay the same after a crash.
    pub worker: String,
    /// Start of the current incarnation, in milliseconds since the Unix epoch.
    #[serde(rename = "born_unix_ms")]
    pub started_unix_ms: u64,
    /// Service whose tasks the worker runs.
    pub service: ServiceName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Resources available to tasks.
    pub capacity: Resources,
    /// Labels for the kind and the rack of the worker.
    pub labels: Vec<String>,
    /// Whether the worker is about to shut down.
    pub is_draining: bool,
    /// Minimum time until shutdown, if draining.
    pub remaining_ms: Option<u64>,
    /// Whether the worker is slow because it has just started.
    #[serde(default)]
    pub is_cold: bool,
}

impl WorkerStatus {
    /// Identifier of the current incarnation.
    pub fn incarnation(&self) -> WorkerIncarnation {
        format!("{}@{}", self.worker, self.started_unix_ms)
    }
}

/// Identifier of the worker of an incarnation. A worker may keep it when it restarts.
pub fn worker_of(incarnation: &str) -> &str {
    incarnation.rsplit_once('@').map_or(incarnation, |(worker, _)| worker)
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
    /// Completed share of the work; always 100 for active long-running tasks.
    pub percent: u32,
    /// Tail latency in milliseconds for serving tasks, otherwise CPU use in millicores.
    pub gauge: u64,
}

/// Cause of the end of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndCause {
    /// The task completed.
    Done,
    /// The task or its worker failed.
    Failed,
    /// Stopped by a stop order.
    Stopped,
    /// The worker's lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang didn't start.
    Alone,
}

impl EndCause {
    /// Name of the cause in metrics.
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

/// End of a run, which a worker lists until the owner has acknowledged it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedTask {
    /// Number of the end within the worker's incarnation, from 1.
    pub number: u64,
    /// The task.
    pub task: TaskName,
    /// Its attempt.
    pub attempt: AttemptNumber,
    /// Cause of the end.
    pub cause: EndCause,
    /// Last checkpoint; empty for none.
    pub checkpoint: String,
}

/// A start order that didn't start a run, or whose run is gone without an end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedStart {
    /// The task.
    pub task: TaskName,
    /// The attempt, which can no longer start.
    pub attempt: AttemptNumber,
    /// Reason for the refusal.
    pub reason: String,
}

/// Current runs and ended runs of a worker, from one response.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkerListing {
    /// All current runs; `None` if only ends are reported.
    pub running: Option<Vec<RunningTask>>,
    /// Ends that haven't been acknowledged yet.
    pub ended: Vec<EndedTask>,
}

/// What an agent knows of the leases of its worker's incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownLeases {
    /// No lease that this agent or an earlier process of it has from any owner ends later on the
    /// worker's clock.
    pub lease_until_ms: u64,
    /// Time since the agent received the reading of the worker's clock that it reports.
    pub reading_age_ms: u64,
}

/// Report of an agent to the owner.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Cell of the agent.
    #[serde(default)]
    pub cell: CellId,
    /// The agent.
    pub agent: InstanceId,
    /// Start of the agent's process, in milliseconds since the Unix epoch; distinguishes restarts.
    pub started_unix_ms: u64,
    /// Address of the agent's internal port.
    pub address: String,
    /// Session of the last response from the worker; 0 before the first.
    pub session: SessionToken,
    /// Status of the worker; `None` until one has registered.
    pub status: Option<WorkerStatus>,
    /// The worker's clock at its last response.
    pub worker_clock_ms: u64,
    /// Whether the worker responds to calls.
    pub is_worker_reachable: bool,
    /// Last listing of the worker under the session.
    pub listing: Option<WorkerListing>,
    /// Start orders that didn't start a run, or whose run is gone without an end.
    pub refused: Vec<RefusedStart>,
    /// Number of the last accepted order.
    #[serde(rename = "taken_order")]
    pub accepted_order: u64,
    /// Number up to which the worker was allowed to discard ends.
    pub forgot_until: u64,
    /// Version of the interference estimates that the agent has.
    #[serde(rename = "disturbances_version")]
    pub interference_version: u64,
    /// The agent's interference estimates, in the first full report of a session.
    #[serde(rename = "disturbances")]
    pub interference: Option<InterferenceEstimates>,
    /// Maximum time to wait for orders, in milliseconds.
    pub wait_ms: u64,
    /// The leases of the worker; `None` until the worker has responded to the agent's process. Left
    /// out for an owner of an earlier build, which can't read a longer report.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub known_leases: Option<KnownLeases>,
}

/// Order to start a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StartOrder {
    /// The task.
    pub task: TaskName,
    /// The committed attempt.
    pub attempt: AttemptNumber,
    /// Payload that is passed to the worker.
    pub payload: String,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: String,
    /// Capacity of the worker that the assignment is based on. The agent refuses the start once the
    /// worker has announced less.
    #[serde(default)]
    pub planned_capacity: Resources,
}

/// Properties of a task that the agent needs for pacing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SharingTraits {
    /// The task.
    pub task: TaskName,
    /// Image that the task runs; tasks of one image have the same resource behaviour.
    pub image: Option<String>,
    /// Whether the task uses only what other tasks leave idle.
    pub is_best_effort: bool,
    /// Target below which the task's tail latency must stay.
    pub target_tail_ms: Option<u64>,
}

/// Order to an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Order {
    /// Start a task.
    Start(StartOrder),
    /// Stop a run.
    Stop(TaskName, AttemptNumber),
    /// Set the properties of a task for pacing.
    Traits(SharingTraits),
}

impl Order {
    /// Attempt that the order stops, if it is a stop order.
    pub fn stopped_attempt(&self) -> Option<(&TaskName, AttemptNumber)> {
        match self {
            Self::Stop(task, attempt) => Some((task, *attempt)),
            Self::Start(_) | Self::Traits(_) => None,
        }
    }
}

/// Response of the owner to a report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReportResponse {
    /// Epoch of the responding owner; 0 if the responding process owns no cell.
    pub epoch: Epoch,
    /// Session to continue with.
    pub session: SessionToken,
    /// End of the worker's lease on the worker's clock; `None` if no lease may be granted.
    pub lease_until_ms: Option<u64>,
    /// Number up to which the worker may discard ends.
    pub forget_until: u64,
    /// Number of the first order in `orders`.
    pub first_order: u64,
    /// Orders that the agent hasn't accepted yet.
    pub orders: Vec<Order>,
    /// Current interference estimates, if the agent has a different version.
    #[serde(rename = "disturbances")]
    pub interference: Option<InterferenceEstimates>,
    /// Whether the owner hasn't reached the store for an extended time.
    pub is_store_lost: bool,
    /// Address of the owner, if the responding process has it.
    pub owner_address: Option<String>,
    /// Evacuation of the worker's availability zone.
    #[serde(default)]
    pub evacuation: EvacuationNotice,
}
