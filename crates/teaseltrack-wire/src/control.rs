//! RPC interface between instances for membership, configuration and tasks.
//!
//! Entries and agents serve the same interface; an entry runs no tasks: it ignores `wake_shard`
//! and refuses the other task calls.

use serde::{Deserialize, Serialize};
use teaseltrack::{
    configuration::ChangePage,
    ids::{AttemptNumber, Epoch, Incarnation, InstanceId, Revision, ShardNumber},
    membership::{Digest, Member},
    outcome::ErrorKind,
    placement::Resources,
    record::JobSpec,
    task::TaskId,
};

/// Maximum size of a message of this interface, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Gossip message: a probe or the response to it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Gossip {
    /// Sender, as a member of the fleet.
    pub sender: Member,
    /// Recently changed members.
    #[serde(rename = "news")]
    pub updates: Vec<Member>,
    /// Hash of the sender's membership digest.
    pub digest_hash: u64,
    /// Configuration revision active at the sender.
    pub revision: Revision,
}

/// Request to reserve capacity for an attempt before its assignment is committed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReservationRequest {
    /// The task.
    pub task: TaskId,
    /// The attempt to be assigned.
    pub attempt: AttemptNumber,
    /// Resources to reserve.
    pub resources: Resources,
}

/// Response to a batch of [`ReservationRequest`]s.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReservationResponse {
    /// Whether each reservation was granted, in the order of the requests.
    pub granted: Vec<bool>,
    /// Incarnation of the instance's lease; `None` while the instance holds no lease.
    pub incarnation: Option<Incarnation>,
    /// Total capacity of the instance for tasks.
    pub capacity: Resources,
    /// Free capacity.
    #[serde(rename = "room")]
    pub available: Resources,
}

/// Owner of a shard, to which reports are sent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ShardOwner {
    /// The shard.
    pub shard: ShardNumber,
    /// Epoch of its ownership.
    pub epoch: Epoch,
    /// Address of the owner's control port.
    pub control_address: String,
}

/// Order to start a committed assignment.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StartOrder {
    /// The task.
    pub task: TaskId,
    /// The assigned attempt.
    pub attempt: AttemptNumber,
    /// Incarnation of the lease under which it runs.
    pub incarnation: Incarnation,
    /// Specification of the task's job.
    pub spec: JobSpec,
    /// Key of the checkpoint to resume from.
    pub checkpoint: Option<String>,
}

/// Cause of a stop order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopCause {
    /// The task is evicted: the attempt is checkpointed, so that the task can resume elsewhere.
    Evict,
    /// The attempt is no longer needed and is stopped without a checkpoint.
    Cancel,
}

/// Order to stop an attempt.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StopOrder {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// Cause of the stop.
    pub cause: StopCause,
}

/// Event in the lifecycle of an attempt, reported by its agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptEvent {
    /// The attempt is running.
    Started,
    /// The attempt completed the task.
    Done,
    /// The attempt was stopped after its checkpoint was stored.
    Evicted {
        /// Key of the checkpoint in the object store.
        checkpoint: String,
        /// Reason.
        reason: String,
    },
    /// The worker reported that the attempt failed; counts as a failure of the task.
    Failed {
        /// Reason.
        reason: String,
    },
    /// The attempt didn't start, or was stopped without a checkpoint; doesn't count as a failure of
    /// the task.
    Released {
        /// Reason.
        reason: String,
    },
}

impl AttemptEvent {
    /// Whether the attempt has ended.
    pub fn is_terminal(&self) -> bool {
        !matches!(self, Self::Started)
    }
}

/// Report of an attempt's event, resent until acknowledged.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AttemptReport {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// The event.
    pub event: AttemptEvent,
}

/// Batch of reports from one agent to one shard's owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReportBatch {
    /// The reporting instance.
    pub instance: InstanceId,
    /// Incarnation of its lease.
    pub incarnation: Incarnation,
    /// Total capacity of the instance for tasks.
    pub capacity: Resources,
    /// Free capacity.
    #[serde(rename = "room")]
    pub available: Resources,
    /// The shard.
    pub shard: ShardNumber,
    /// The reports.
    pub reports: Vec<AttemptReport>,
}

/// Calls between instances.
#[tarpc::service]
pub trait Control {
    /// Probes the instance and exchanges recent membership updates. The caller follows up with
    /// `exchange` if the digests differ in several consecutive probes, or at once while it is
    /// joining.
    async fn probe(gossip: Gossip) -> Gossip;
    /// Probes another instance on the caller's behalf; returns whether it responded.
    async fn probe_through(control_address: String) -> bool;
    /// Compares the caller's membership digest, which has one hash per bucket of members, with the
    /// instance's own, and returns the instance's members of the buckets that differ, up to a size
    /// limit.
    async fn exchange(digest: Digest) -> Vec<Member>;
    /// Returns configuration changes after a revision.
    async fn changes_after(revision: Revision) -> ChangePage;
    /// Notifies the shard's owner that an entry has added commands to the shard's inbox in the
    /// store.
    async fn wake_shard(shard: ShardNumber);
    /// Reserves capacity for attempts before their assignments are committed.
    async fn reserve_room(
        requests: Vec<ReservationRequest>,
    ) -> Result<ReservationResponse, ErrorKind>;
    /// Starts committed assignments; events are reported with `report_tasks`.
    async fn start_tasks(owner: ShardOwner, orders: Vec<StartOrder>) -> Result<(), ErrorKind>;
    /// Stops attempts. A stop with [`StopCause::Evict`] is reported with `report_tasks`; one with
    /// [`StopCause::Cancel`] isn't, unless the attempt has ended by itself by then.
    async fn stop_tasks(owner: ShardOwner, orders: Vec<StopOrder>) -> Result<(), ErrorKind>;
    /// Reports events to the shard's owner; returns after they are committed.
    async fn report_tasks(batch: ReportBatch) -> Result<(), ErrorKind>;
}
