//! Who owns a cell.
//!
//! The owner is named in one row, which it rewrites with every commit. A candidate takes the cell
//! by a transaction on the row's version, once the row hasn't changed for a while. Nothing depends
//! on that while: agents obey the highest epoch, and an owner grants leases only for a bounded time
//! after it sent its last successful commit.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ids::{Epoch, InstanceId};

/// The row that names a cell's owner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// Ownership period; goes up with each new owner.
    pub epoch: Epoch,
    /// The owner.
    pub owner: InstanceId,
    /// Address of its inner port.
    pub address: String,
    /// Start of its process, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// Commits of the epoch so far.
    pub sequence: u64,
    /// Whether the owner has stopped and grants nothing any more.
    #[serde(default)]
    pub is_released: bool,
}

/// Bounds of ownership.
#[derive(Clone, Copy, Debug)]
pub struct OwnershipSettings {
    /// Time without a change of the row after which a candidate takes the cell.
    pub takeover_timeout: Duration,
    /// How long an owner grants leases after it sent its last successful commit.
    pub grant_period: Duration,
}

/// A candidate's view of the owner's row.
#[derive(Clone, Debug, Default)]
pub struct OwnershipMonitor {
    seen: Option<(u64, Instant)>,
}

impl OwnershipMonitor {
    /// Takes in the row's version, read at `now`; 0 for no row.
    pub fn observe(&mut self, version: u64, now: Instant) {
        if self.seen.is_none_or(|(known, _)| known != version) {
            self.seen = Some((version, now));
        }
    }

    /// Forgets what was seen.
    pub fn reset(&mut self) {
        self.seen = None;
    }

    /// When the row in force was first seen, if it has stood unchanged for `silence`.
    pub fn unchanged_since(&self, silence: Duration, now: Instant) -> Option<Instant> {
        let (_, since) = self.seen?;
        (now.duration_since(since) >= silence).then_some(since)
    }
}

/// Delay of a candidate beyond the silence, so that candidates try one after the other.
pub fn candidate_delay(candidate: &str, version: u64, step: Duration, steps: u64) -> Duration {
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(candidate.as_bytes(), version);
    step * (hash % steps.max(1)) as u32
}
