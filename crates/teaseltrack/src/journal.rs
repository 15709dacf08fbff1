//! Hash-chained journals of decisions.
//!
//! Every stream (the configuration, each job shard) is a row of heads and a row for each entry. An
//! entry's hash covers the text of the entry and the hash before it, so that a reader needs to know
//! nothing of the entry's schema to prove the chain whole. Old entries move to the object store in
//! segments of a fixed number of entries.

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use snafu::{OptionExt, Snafu, ensure};

use crate::{
    ids::{Epoch, Incarnation, InstanceId},
    record::Record,
    task::Decision,
};

/// Stream of configuration changes.
pub const CONFIGURATION_STREAM: &str = "configuration";
/// Entries of one segment in the object store.
pub const SEGMENT_ENTRIES: u64 = 256;

/// Why a chain isn't whole.
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
    /// The text of an entry or the one before it was changed.
    #[snafu(display("{stream}: entry {sequence} doesn't follow from the one before it"))]
    Inconsistent {
        /// Name of the stream.
        stream: String,
        /// The first entry that doesn't fit.
        sequence: u64,
    },
    /// An entry can't be read.
    #[snafu(display("{stream}: entry {sequence} can't be read: {message}"))]
    Unreadable {
        /// Name of the stream.
        stream: String,
        /// The entry.
        sequence: u64,
        /// Cause.
        message: String,
    },
}

/// Owner of a stream for one epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The owning instance.
    pub instance: InstanceId,
    /// Number of the process on that instance.
    pub holder: Incarnation,
    /// Address of its control port.
    pub control_address: String,
}

/// Head of a stream, one row of the table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamHead {
    /// Number of the last entry; 0 for none.
    pub sequence: u64,
    /// Number of the ownership period; 0 for a stream that nobody owns.
    pub epoch: Epoch,
    /// Hash of the last entry; empty for none.
    pub hash: String,
    /// Owner, if there is one.
    pub owner: Option<Owner>,
}

/// How much of a stream has moved to the object store, one row of the table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ArchiveMark {
    /// Number of the last archived entry; 0 for none.
    pub through_sequence: u64,
    /// Hash of the last archived entry.
    pub hash: String,
    /// Number of the entry that the newest snapshot includes; 0 for none.
    pub snapshot_sequence: u64,
}

/// One entry of a stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// Number within the stream, from 1.
    pub sequence: u64,
    /// Ownership period in which it was committed.
    pub epoch: Epoch,
    /// Identifier of the transaction that committed it.
    pub transaction: String,
    /// Time of the commit, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Operator or instance that committed it.
    pub author: String,
    /// What was decided.
    pub body: EntryBody,
}

/// What an entry decided.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryBody {
    /// A record was submitted, amended or withdrawn.
    Change {
        /// Which of the three.
        action: ChangeAction,
        /// The record after the change.
        record: Record,
    },
    /// A shard got another owner.
    Ownership {
        /// The new owner; absent after a planned stop.
        owner: Option<Owner>,
        /// Why.
        reason: String,
    },
    /// Decisions on tasks, committed together.
    Decisions(Vec<Decision>),
}

/// What an operator did with a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeAction {
    /// The record is new.
    Submit,
    /// The record has a new body.
    Amend,
    /// The record is no longer in force.
    Withdraw,
}

/// An entry as it is kept: its text and the hash of the chain up to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SealedEntry {
    /// The entry as JSON text.
    pub payload: String,
    /// Hexadecimal SHA-256 of the hash before it and the text.
    pub hash: String,
}

impl SealedEntry {
    /// Seals an entry behind the given hash.
    pub fn seal(previous_hash: &str, entry: &JournalEntry) -> Self {
        let payload = serde_json::to_string(entry).unwrap_or_default();
        let hash = chain_hash(previous_hash, &payload);
        Self { payload, hash }
    }

    /// Reads the entry.
    ///
    /// # Errors
    ///
    /// The text isn't an entry of a known schema.
    pub fn open(&self) -> Result<JournalEntry, serde_json::Error> {
        serde_json::from_str(&self.payload)
    }
}

/// Position up to which a chain was proved whole.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChainPosition {
    /// Number of the last proved entry.
    pub sequence: u64,
    /// Its hash.
    pub hash: String,
}

impl ChainPosition {
    /// Proves that the entry is the next one, and moves on to it.
    ///
    /// # Errors
    ///
    /// The entry is missing, or doesn't follow from the one before it.
    pub fn advance(
        &mut self,
        stream: &str,
        sealed: Option<&SealedEntry>,
    ) -> Result<(), ChainError> {
        #[derive(Deserialize)]
        struct Numbered {
            sequence: u64,
        }
        let sequence = self.sequence + 1;
        let sealed = sealed.context(MissingSnafu { stream, sequence })?;
        let numbered: Numbered = serde_json::from_str(&sealed.payload).map_err(|error| {
            UnreadableSnafu { stream, sequence, message: error.to_string() }.build()
        })?;
        let is_next = numbered.sequence == sequence;
        let is_sealed = chain_hash(&self.hash, &sealed.payload) == sealed.hash;
        ensure!(is_next && is_sealed, InconsistentSnafu { stream, sequence });
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
