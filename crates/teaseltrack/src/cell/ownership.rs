//! Ownership of a cell.
//!
//! One row names the owner. The owner rewrites it with every commit. Once the row hasn't changed
//! for a timeout, a candidate takes over the cell by a transaction that is conditional on the row's
//! version. Safety doesn't depend on the timeout: agents obey the highest epoch, and an owner
//! grants leases only for a bounded time after sending its last successful commit.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::{
    cell::{progress::WorkerIncarnation, silence::SilentWorker},
    ids::{Epoch, InstanceId},
};

/// Highest epoch of an owner; the ranges of its attempts and sessions are numbers too.
pub const MAX_EPOCH: Epoch = 2_000_000;
/// Highest number of commits in an epoch.
const MAX_SEQUENCE: u64 = 1 << 48;
/// Longest time for which a recorded lease can go on.
pub const MAX_LEASE_REMAINING: Duration = Duration::from_secs(120);
/// Grant period of builds that don't record theirs.
const UNRECORDED_GRANT_PERIOD: Duration = Duration::from_secs(4);
/// Longest recorded grant period that can be right.
const MAX_GRANT_PERIOD: Duration = Duration::from_secs(60);
/// Highest reading of a worker's clock, in milliseconds.
pub const MAX_CLOCK_MS: u64 = 1 << 46;

/// The row that names a cell's owner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// Epoch; increases with each new owner.
    pub epoch: Epoch,
    /// The owner.
    pub owner: InstanceId,
    /// Address of the owner's internal port.
    pub address: String,
    /// Start of the owner's process, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// Number of commits in the epoch.
    pub sequence: u64,
    /// Whether the owner has shut down and grants no more leases.
    #[serde(default)]
    pub is_released: bool,
    /// Whether the owner has granted no lease yet. It grants none before its first commit after the
    /// takeover, which lists the workers that haven't reported to it. Owners of earlier builds may have
    /// granted leases at any time.
    #[serde(default)]
    pub has_no_grants: bool,
    /// Time for which the owner grants leases after sending its last successful commit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub grant_period_ms: Option<u64>,
    /// Time from the commit of the record until the owner's predecessors grant no more leases. A
    /// predecessor that doesn't know that it was replaced may outlast its successor.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub previous_grants_remaining_ms: Option<u64>,
    /// Whether the owner reads reports with [`KnownLeases`].
    ///
    /// [`KnownLeases`]: crate::cell::protocol::KnownLeases
    #[serde(default)]
    pub reads_known_leases: bool,
    /// Workers that get no lease from any owner until they are removed from this list: silent ones, and
    /// those that haven't reported to the owner since its takeover.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub silent_workers: Vec<SilentWorkerRecord>,
}

/// Silent worker as recorded in the owner's row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SilentWorkerRecord {
    /// The worker incarnation.
    pub incarnation: WorkerIncarnation,
    /// Time from the commit of the record until the worker's lease has expired for certain.
    pub lease_remaining_ms: u64,
    /// Highest reported reading of the worker's clock, in milliseconds.
    #[serde(default)]
    pub clock_ms: u64,
}

impl SilentWorkerRecord {
    /// Record that is committed at `now` or later.
    pub fn new(silent: &SilentWorker, now: Instant) -> Self {
        let remaining = silent.lease_end.saturating_duration_since(now);
        Self {
            incarnation: silent.incarnation.clone(),
            lease_remaining_ms: remaining.as_millis() as u64 + 1,
            clock_ms: silent.clock_ms,
        }
    }

    /// The silent worker, if the record was committed at `committed_by` or earlier.
    pub fn restore(self, committed_by: Instant) -> SilentWorker {
        let remaining = Duration::from_millis(self.lease_remaining_ms).min(MAX_LEASE_REMAINING);
        SilentWorker {
            incarnation: self.incarnation,
            lease_end: committed_by + remaining,
            // The worker's next reading has to be higher.
            clock_ms: if self.clock_ms <= MAX_CLOCK_MS { self.clock_ms } else { 0 },
        }
    }
}

impl OwnerRecord {
    /// Whether this can be the record of an owner.
    pub fn is_valid(&self) -> bool {
        self.epoch <= MAX_EPOCH && self.sequence <= MAX_SEQUENCE
    }

    /// Grant period of the owner; that of the reading process is `grant_period`.
    pub fn own_grant_period(&self, grant_period: Duration) -> Duration {
        let unrecorded = grant_period.max(UNRECORDED_GRANT_PERIOD);
        self.grant_period_ms.map_or(unrecorded, Duration::from_millis).min(MAX_GRANT_PERIOD)
    }

    /// Latest time at which the owner or a predecessor may grant a lease, if the record was committed at
    /// `committed_by` or earlier, and the owner itself grants none after `own_grants_end`.
    pub fn grants_end(
        &self,
        committed_by: Instant,
        own_grants_end: Instant,
        grant_period: Duration,
    ) -> Instant {
        let previous_grants_end = self.previous_grants_end(committed_by, grant_period);
        if self.has_no_grants {
            previous_grants_end
        } else {
            previous_grants_end.max(own_grants_end)
        }
    }

    /// Latest time at which a predecessor of the owner may grant a lease, if the record was
    /// committed at `committed_by` or earlier.
    pub fn previous_grants_end(&self, committed_by: Instant, grant_period: Duration) -> Instant {
        // The first owner has no predecessor; a record without the time is that of an earlier build.
        let longest = grant_period.max(UNRECORDED_GRANT_PERIOD);
        let unknown = if self.epoch > 1 { longest } else { Duration::ZERO };
        let remaining = self.previous_grants_remaining_ms.map_or(unknown, Duration::from_millis);
        committed_by + remaining.min(longest * 2)
    }
}

/// Remaining time as recorded in the owner's row, rounded up.
pub fn recorded_remaining_ms(end: Instant, now: Instant) -> u64 {
    let remaining = end.saturating_duration_since(now);
    if remaining.is_zero() { 0 } else { remaining.as_millis() as u64 + 1 }
}

/// Timing of ownership.
#[derive(Clone, Copy, Debug)]
pub struct OwnershipSettings {
    /// Time without a change of the row after which a candidate takes over the cell.
    pub takeover_timeout: Duration,
    /// Time for which an owner grants leases after sending its last successful commit.
    pub grant_period: Duration,
}

/// Tracks how long the owner's row has been unchanged.
#[derive(Clone, Debug, Default)]
pub struct OwnershipMonitor {
    last_change: Option<(u64, Instant)>,
}

impl OwnershipMonitor {
    /// Records the row's version, read at `now`; 0 if there is no row.
    pub fn observe(&mut self, version: u64, now: Instant) {
        if self.last_change.is_none_or(|(recorded, _)| recorded != version) {
            self.last_change = Some((version, now));
        }
    }

    /// Discards the observed version.
    pub fn reset(&mut self) {
        self.last_change = None;
    }

    /// When the current version was first observed, if it has been unchanged for the timeout.
    pub fn unchanged_since(&self, timeout: Duration, now: Instant) -> Option<Instant> {
        let (_, since) = self.last_change?;
        (now.duration_since(since) >= timeout).then_some(since)
    }
}

/// Delay of a candidate on top of the takeover timeout, so that candidates try in turn.
pub fn candidate_delay(candidate: &str, version: u64, step: Duration, steps: u64) -> Duration {
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(candidate.as_bytes(), version);
    step * (hash % steps.max(1)) as u32
}
