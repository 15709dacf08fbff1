//! What operators send to and get from an entry, as JSON.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use teaseltrack::{
    ids::{Revision, ShardNumber},
    journal::SealedEntry,
    membership::Member,
    shard::TaskCounts,
    task::{Decision, Task},
};

/// A record's body as an operator sends it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubmittedRecord {
    /// Version of the schema that the body is written in.
    pub schema_version: u32,
    /// The specification.
    pub body: Value,
}

/// A job as it is shown.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobView {
    /// Its name.
    pub job: String,
    /// Its shard.
    pub shard: ShardNumber,
    /// Whether it was withdrawn.
    pub is_cancelled: bool,
    /// Its tasks by state.
    pub counts: TaskCounts,
    /// Its tasks by number.
    pub tasks: Vec<Task>,
}

/// Entries of a stream, as they are kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HistoryPage {
    /// Name of the stream.
    pub stream: String,
    /// Entries after the one that was asked for; empty at the end.
    pub entries: Vec<SealedEntry>,
}

/// One decision about a job and where it is written.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainedDecision {
    /// Number of the entry.
    pub sequence: u64,
    /// Time of the commit, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Who decided.
    pub author: String,
    /// What was decided and why.
    pub decision: Decision,
}

/// The fleet as an entry knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// Configuration revision in force.
    pub revision: Revision,
    /// Members that may get work.
    pub members: Vec<Member>,
}
