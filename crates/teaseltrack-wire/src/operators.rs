//! JSON bodies of operators' requests to an entry and of the responses.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use teaseltrack::{
    ids::{Revision, ShardNumber},
    journal::SealedEntry,
    membership::Member,
    shard::TaskCounts,
    task::{Decision, Task},
};

/// Record as submitted by an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubmittedRecord {
    /// Schema version of the body.
    pub schema_version: u32,
    /// Specification of the record.
    pub body: Value,
}

/// State of a job and its tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobView {
    /// Name of the job.
    pub job: String,
    /// Shard of the job.
    pub shard: ShardNumber,
    /// Whether the job was withdrawn.
    pub is_cancelled: bool,
    /// Number of tasks by state.
    pub counts: TaskCounts,
    /// Tasks in the order of their index.
    pub tasks: Vec<Task>,
}

/// Page of a stream's sealed entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HistoryPage {
    /// Name of the stream.
    pub stream: String,
    /// Entries after the requested sequence number; empty at the end of the stream.
    pub entries: Vec<SealedEntry>,
}

/// Decision on a job, with its journal entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainedDecision {
    /// Sequence number of the journal entry.
    pub sequence: u64,
    /// Time of the commit, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Operator or instance that made the decision.
    pub author: String,
    /// The decision and its reason.
    pub decision: Decision,
}

/// Fleet membership as seen by an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// Active configuration revision.
    pub revision: Revision,
    /// Entries and agents that are alive or suspect.
    pub members: Vec<Member>,
}
