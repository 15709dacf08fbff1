//! Hash-chained journals of decisions.
//!
//! Each stream (the configuration and every job shard) has a head row and one row per entry. The
//! hash of an entry covers its serialized text and the previous hash, so that a reader can verify
//! the chain without knowledge of the entry schema. Old entries are archived to the object store in
//! segments of a fixed number of entries.

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use snafu::{OptionExt, Snafu, ensure};

use crate::{
    ids::{Epoch, Incarnation, InstanceId},
    record::Record,
    task::Decision,
};

/// Name of the stream of configuration changes.
pub const CONFIGURATION_STREAM: &str = "configuration";
/// Number of entries per archived segment.
pub const SEGMENT_ENTRIES: u64 = 256;

/// Verification error of a hash chain.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum ChainError {
    /// An entry is missing.
    #[snafu(display("{stream}: entry {sequence} is missing"))]
    Missing {
        /// Name of the stream.
        stream: String,
        /// The missing entry.
        sequence: u64,
    },
    /// The sequence number or hash of an entry does not match its predecessor.
    #[snafu(display("{stream}: entry {sequence} doesn't follow from the one before it"))]
    Inconsistent {
        /// Name of the stream.
        stream: String,
        /// The first inconsistent entry.
        sequence: u64,
    },
    /// An entry cannot be parsed.
    #[snafu(display("{stream}: entry {sequence} can't be read: {message}"))]
    Unreadable {
        /// Name of the stream.
        stream: String,
        /// The entry.
        sequence: u64,
        /// Parse error.
        message: String,
    },
}

/// Owner of a stream during one epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The owning instance.
    pub instance: InstanceId,
    /// Number of the owning process on that instance.
    pub holder: Incarnation,
    /// Address of its control port.
    pub control_address: String,
}

/// Table row of a stream's head.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamHead {
    /// Sequence number of the last entry; 0 if the stream is empty.
    pub sequence: u64,
    /// Epoch of the current ownership; 0 for a stream without owners.
    pub epoch: Epoch,
    /// Hash of the last entry; empty if the stream is empty.
    pub hash: String,
    /// Current owner.
    pub owner: Option<Owner>,
}

/// Table row with the archival progress of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ArchiveMark {
    /// Sequence number of the last archived entry; 0 if none is archived.
    pub through_sequence: u64,
    /// Hash of the last archived entry.
    pub hash: String,
    /// Sequence number of the last entry in the newest snapshot; 0 without a snapshot.
    pub snapshot_sequence: u64,
}

/// Entry of a stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// Sequence number within the stream, starting at 1.
    pub sequence: u64,
    /// Epoch of the owner that committed the entry.
    pub epoch: Epoch,
    /// Identifier of the transaction that committed the entry.
    pub transaction: String,
    /// Time of the commit, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Operator or instance that committed the entry.
    pub author: String,
    /// Content of the entry.
    pub body: EntryBody,
}

/// Content of an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryBody {
    /// A record was submitted, amended or withdrawn.
    Change {
        /// Kind of the change.
        action: ChangeAction,
        /// The record after the change.
        record: Record,
    },
    /// The ownership of a shard changed.
    Ownership {
        /// The new owner; absent after a graceful shutdown.
        owner: Option<Owner>,
        /// Reason for the change.
        reason: String,
    },
    /// Decisions committed in one transaction.
    Decisions(Vec<Decision>),
}

/// Kind of a change to a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeAction {
    /// The record was created.
    Submit,
    /// The body of the record was replaced.
    Amend,
    /// The record is no longer active.
    Withdraw,
}

/// Stored entry with the hash of the chain up to and including it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SealedEntry {
    /// JSON text of the entry.
    pub payload: String,
    /// SHA-256 of the previous hash, a newline and the payload, in hexadecimal.
    pub hash: String,
}

impl SealedEntry {
    /// Serializes an entry and chains it to the previous hash.
    pub fn seal(previous_hash: &str, entry: &JournalEntry) -> Self {
        let payload = serde_json::to_string(entry).unwrap_or_default();
        let hash = chain_hash(previous_hash, &payload);
        Self { payload, hash }
    }

    /// Parses the entry.
    ///
    /// # Errors
    ///
    /// The payload does not match the schema of an entry.
    pub fn open(&self) -> Result<JournalEntry, serde_json::Error> {
        serde_json::from_str(&self.payload)
    }
}

/// Position up to which a chain has been verified.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChainPosition {
    /// Sequence number of the last verified entry; 0 before the first.
    pub sequence: u64,
    /// Hash of the last verified entry; empty before the first.
    pub hash: String,
}

impl ChainPosition {
    /// Verifies that the entry follows the current position, and advances to it.
    ///
    /// # Errors
    ///
    /// The entry is missing, cannot be parsed, or does not match the chain.
    pub fn advance(
        &mut self,
        stream: &str,
        sealed: Option<&SealedEntry>,
    ) -> Result<(), ChainError> {
        #[derive(Deserialize)]
        struct SequenceHeader {
            sequence: u64,
        }
        let sequence = self.sequence + 1;
        let sealed = sealed.context(MissingSnafu { stream, sequence })?;
        let header: SequenceHeader = serde_json::from_str(&sealed.payload).map_err(|error| {
            UnreadableSnafu { stream, sequence, message: error.to_string() }.build()
        })?;
        let is_next = header.sequence == sequence;
        let is_hash_valid = chain_hash(&self.hash, &sealed.payload) == sealed.hash;
        ensure!(is_next && is_hash_valid, InconsistentSnafu { stream, sequence });
        self.sequence = sequence;
        self.hash.clone_from(&sealed.hash);
        Ok(())
    }
}

fn chain_hash(previous_hash: &str, payload: &str) -> String {
    let mut hasher = Sha256::new();
    hasher.update(previous_hash.as_bytes());
    hasher.update(b"\n");
    hasher.update(payload.as_bytes());
    hasher.finalize().iter().map(|byte| format!("{byte:02x}")).collect()
}
