//! Control calls between instances.
//!
//! One service for entries and agents alike; an entry has no tasks and refuses the calls about them.

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

/// Bytes of the largest control message.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// A probe or its answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Gossip {
    /// The sender.
    pub sender: Member,
    /// Members whose state changed lately.
    #[serde(rename = "news")]
    pub updates: Vec<Member>,
    /// Hash of the sender's digest.
    pub digest_hash: u64,
    /// Configuration revision in force at the sender.
    pub revision: Revision,
}

/// Room asked for before an assignment is committed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReservationRequest {
    /// The task.
    pub task: TaskId,
    /// The attempt that would be made.
    pub attempt: AttemptNumber,
    /// What it needs.
    pub resources: Resources,
}

/// Answer to requests for room.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReservationResponse {
    /// Whether each request got its room, in their order.
    pub granted: Vec<bool>,
    /// Incarnation of the instance's lease; `None` while it holds none.
    pub incarnation: Option<Incarnation>,
    /// Capacity of the instance for tasks.
    pub capacity: Resources,
    /// Room that is left.
    #[serde(rename = "room")]
    pub available: Resources,
}

/// A shard's owner, to whom reports go.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ShardOwner {
    /// The shard.
    pub shard: ShardNumber,
    /// Its ownership period.
    pub epoch: Epoch,
    /// Address of the owner's control port.
    pub control_address: String,
}

/// A committed assignment that is to start.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StartOrder {
    /// The task.
    pub task: TaskId,
    /// The committed attempt.
    pub attempt: AttemptNumber,
    /// Incarnation of the lease under which it runs.
    pub incarnation: Incarnation,
    /// Specification of the job.
    pub spec: JobSpec,
    /// Key of the checkpoint from which it resumes.
    pub checkpoint: Option<String>,
}

/// Why a running attempt is to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopCause {
    /// It is checkpointed and resumes elsewhere.
    Evict,
    /// It is no longer wanted.
    Cancel,
}

/// An attempt that is to stop.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StopOrder {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// Why.
    pub cause: StopCause,
}

/// What an agent has to tell of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptEvent {
    /// It runs.
    Started,
    /// It finished the task.
    Done,
    /// It stopped behind a stored checkpoint.
    Evicted {
        /// Key in the object store.
        checkpoint: String,
        /// Why.
        reason: String,
    },
    /// It failed.
    Failed {
        /// Why.
        reason: String,
    },
    /// It didn't start, or ended without a result.
    Released {
        /// Why.
        reason: String,
    },
}

impl AttemptEvent {
    /// Whether the attempt is over.
    pub fn is_terminal(&self) -> bool {
        !matches!(self, Self::Started)
    }
}

/// Event of an attempt, repeated until it is acknowledged.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AttemptReport {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// What happened.
    pub event: AttemptEvent,
}

/// Reports of one agent to one shard's owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReportBatch {
    /// The reporting instance.
    pub instance: InstanceId,
    /// Incarnation of its lease.
    pub incarnation: Incarnation,
    /// Capacity of the instance for tasks.
    pub capacity: Resources,
    /// Room that is left.
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
    /// Probes the instance and swaps news; an exchange follows if the digests differ.
    async fn probe(gossip: Gossip) -> Gossip;
    /// Probes another instance on the caller's behalf.
    async fn probe_through(control_address: String) -> bool;
    /// Hands over the caller's members of differing buckets and gets the instance's.
    async fn exchange(digest: Digest) -> Vec<Member>;
    /// Configuration changes after a revision.
    async fn changes_after(revision: Revision) -> ChangePage;
    /// Says that the shard's inbox holds something new.
    async fn wake_shard(shard: ShardNumber);
    /// Asks for room.
    async fn reserve_room(
        requests: Vec<ReservationRequest>,
    ) -> Result<ReservationResponse, ErrorKind>;
    /// Starts committed assignments; events follow as reports.
    async fn start_tasks(owner: ShardOwner, orders: Vec<StartOrder>) -> Result<(), ErrorKind>;
    /// Stops attempts; events follow as reports.
    async fn stop_tasks(owner: ShardOwner, orders: Vec<StopOrder>) -> Result<(), ErrorKind>;
    /// Tells the shard's owner of events; answered after they are committed.
    async fn report_tasks(batch: ReportBatch) -> Result<(), ErrorKind>;
}
