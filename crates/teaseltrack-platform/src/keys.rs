//! Keys of rows in the table and of objects in the object store.

use teaseltrack::{
    ids::{Revision, ShardNumber},
    record::RecordKind,
};

/// Head row of a stream.
pub fn head(stream: &str) -> String {
    format!("head/{stream}")
}

/// Prefix of the head rows of all shards.
pub const SHARD_HEADS: &str = "head/shard-";

/// Prefix of a stream's journal entries.
pub fn journal(stream: &str) -> String {
    format!("journal/{stream}/")
}

/// Journal entry of a stream.
pub fn journal_entry(stream: &str, sequence: u64) -> String {
    format!("journal/{stream}/{sequence:020}")
}

/// Leases that a shard's owner waits for.
pub fn silence(shard: ShardNumber) -> String {
    format!("silence/{shard:04}")
}

/// Archive mark of a stream.
pub fn archive_mark(stream: &str) -> String {
    format!("archive/{stream}")
}

/// Archived segment of a stream, in the object store.
pub fn segment(stream: &str, number: u64) -> String {
    format!("history/{stream}/{number:010}")
}

/// Snapshot of a shard as of a journal entry, in the object store.
pub fn snapshot(stream: &str, sequence: u64) -> String {
    format!("snapshot/{stream}/{sequence:020}")
}

/// Row of a record.
pub fn record(kind: RecordKind, name: &str) -> String {
    format!("record/{}/{name}", kind.as_str())
}

/// Prefix of the records of a kind.
pub fn records(kind: RecordKind) -> String {
    format!("record/{}/", kind.as_str())
}

/// Prefix of the commands queued for a shard's owner.
pub fn inbox(shard: ShardNumber) -> String {
    format!("inbox/{shard:04}/")
}

/// Command queued for a shard's owner.
pub fn inbox_command(shard: ShardNumber, revision: Revision) -> String {
    format!("inbox/{shard:04}/{revision:020}")
}

/// Prefix of the leases of all instances.
pub const LEASES: &str = "lease/";

/// Lease of an instance.
pub fn lease(instance: &str) -> String {
    format!("{LEASES}{instance}")
}

/// Notice that a watch has processed.
pub fn notice(watch: &str, notice: &str) -> String {
    format!("notice/{watch}/{notice}")
}

/// Address of an entry, from which starting instances join the membership.
pub fn seed(instance: &str) -> String {
    format!("{SEEDS}{instance}")
}

/// Prefix of the seed addresses.
pub const SEEDS: &str = "seed/";

/// Checkpoint of an attempt, in the object store.
pub fn checkpoint(job: &str, index: u32, attempt: u32) -> String {
    format!("checkpoint/{job}/{index}/{attempt}")
}
