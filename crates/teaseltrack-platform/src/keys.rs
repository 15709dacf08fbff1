//! Names of rows in the table and of objects in the store.

use teaseltrack::{
    ids::{Revision, ShardNumber},
    record::RecordKind,
};

/// Head of a stream.
pub fn head(stream: &str) -> String {
    format!("head/{stream}")
}

/// Prefix of the heads of all shards.
pub const SHARD_HEADS: &str = "head/shard-";

/// Prefix of a stream's entries.
pub fn journal(stream: &str) -> String {
    format!("journal/{stream}/")
}

/// An entry of a stream.
pub fn journal_entry(stream: &str, sequence: u64) -> String {
    format!("journal/{stream}/{sequence:020}")
}

/// How much of a stream has moved to the object store.
pub fn archive_mark(stream: &str) -> String {
    format!("archive/{stream}")
}

/// A segment of a stream in the object store.
pub fn segment(stream: &str, number: u64) -> String {
    format!("history/{stream}/{number:010}")
}

/// A snapshot of a shard in the object store.
pub fn snapshot(stream: &str, sequence: u64) -> String {
    format!("snapshot/{stream}/{sequence:020}")
}

/// A record.
pub fn record(kind: RecordKind, name: &str) -> String {
    format!("record/{}/{name}", kind.as_str())
}

/// Prefix of the records of a kind.
pub fn records(kind: RecordKind) -> String {
    format!("record/{}/", kind.as_str())
}

/// Prefix of the commands that wait for a shard's owner.
pub fn inbox(shard: ShardNumber) -> String {
    format!("inbox/{shard:04}/")
}

/// A command that waits for a shard's owner.
pub fn inbox_command(shard: ShardNumber, revision: Revision) -> String {
    format!("inbox/{shard:04}/{revision:020}")
}

/// Prefix of the leases of all instances.
pub const LEASES: &str = "lease/";

/// Lease of an instance.
pub fn lease(instance: &str) -> String {
    format!("{LEASES}{instance}")
}

/// A notice that a watch acted on.
pub fn notice(watch: &str, notice: &str) -> String {
    format!("notice/{watch}/{notice}")
}

/// Address of an entry, for instances that start.
pub fn seed(instance: &str) -> String {
    format!("{SEEDS}{instance}")
}

/// Prefix of the addresses of entries.
pub const SEEDS: &str = "seed/";

/// Checkpoint of an attempt in the object store.
pub fn checkpoint(job: &str, index: u32, attempt: u32) -> String {
    format!("checkpoint/{job}/{index}/{attempt}")
}
