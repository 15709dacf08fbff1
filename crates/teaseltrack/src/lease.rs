//! Instance leases, stored as one table row per instance.
//!
//! The holder measures its lease on its own monotonic clock, from before it sent the renewal. An
//! observer measures from its first observation of the unchanged row, counts only time in which the
//! store responded, and adds a safety margin. Before an observer reclaims work from an instance, it
//! marks the row as lapsed in a conditional transaction, so that either the holder's renewal or the
//! observer's mark commits, never both.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, InstanceId};

/// Maximum time counted between two observations, so that outages of the store and pauses of the
/// observer are not counted in full.
const MAX_OBSERVATION_GAP: Duration = Duration::from_secs(2);
/// Safety margin of an observer, as a divisor of the lease duration.
const SAFETY_MARGIN_DIVISOR: u32 = 4;

/// State of an instance's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseState {
    /// Renewed by the holder.
    Held,
    /// Released by the holder after it stopped all its work.
    Released,
    /// Marked by an observer as not renewed in time.
    Lapsed,
}

/// Table row of an instance's lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// The instance.
    pub instance: InstanceId,
    /// Incremented by every lease that does not continue the previous one.
    pub incarnation: Incarnation,
    /// Number of the agent process that renews the lease; a restarted process has a higher one.
    pub holder: Incarnation,
    /// Duration of the lease, in milliseconds.
    pub ttl_ms: u64,
    /// State of the lease.
    pub state: LeaseState,
    /// Identifier of the transaction that wrote the row.
    pub transaction: String,
}

/// Validity of a lease as measured by its holder.
#[derive(Clone, Copy, Debug)]
pub struct HeldLease {
    ttl: Duration,
    deadline: Instant,
}

impl HeldLease {
    /// Creates a lease whose first write was sent at `sent_at`.
    pub fn new(ttl: Duration, sent_at: Instant) -> Self {
        Self { ttl, deadline: sent_at + ttl }
    }

    /// Extends the lease after the commit of a renewal sent at `sent_at`.
    pub fn renew(&mut self, sent_at: Instant) {
        self.deadline = self.deadline.max(sent_at + self.ttl);
    }

    /// Time by which all work under the lease must have stopped.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Whether work under the lease may continue.
    pub fn is_valid(&self, now: Instant) -> bool {
        now < self.deadline
    }

    /// Interval between renewals; two consecutive renewals may fail before the lease lapses.
    pub fn renewal_period(&self) -> Duration {
        self.ttl / 3
    }
}

/// Validity of another instance's lease as measured by an observer.
#[derive(Clone, Copy, Debug)]
pub struct LeaseWatch {
    version: u64,
    unchanged_for: Duration,
    observed_at: Instant,
}

impl LeaseWatch {
    /// Creates a watch from the first observation of the row.
    pub fn new(version: u64, now: Instant) -> Self {
        Self { version, unchanged_for: Duration::ZERO, observed_at: now }
    }

    /// Records an observation whose read was sent at `sent_at`.
    pub fn observe(&mut self, version: u64, sent_at: Instant) {
        if version != self.version {
            *self = Self::new(version, sent_at);
            return;
        }
        let gap = sent_at.saturating_duration_since(self.observed_at);
        self.unchanged_for += gap.min(MAX_OBSERVATION_GAP);
        self.observed_at = self.observed_at.max(sent_at);
    }

    /// Whether the lease has expired on the holder's clock as well.
    pub fn is_lapsed(&self, ttl: Duration) -> bool {
        self.unchanged_for >= ttl + ttl / SAFETY_MARGIN_DIVISOR
    }
}
