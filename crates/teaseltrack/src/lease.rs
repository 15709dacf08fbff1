//! Instance leases: one row of the table for each instance.
//!
//! The holder counts its lease from before it sent the renewal, on its own monotonic clock. A taker
//! counts from when it first saw the row unchanged, only over time in which the store answered, and
//! adds a margin. Before work is taken from an instance its row is marked as lapsed in a conditional
//! transaction, so that either the holder's renewal or the taker's mark takes effect, never both.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, InstanceId};

/// Longest time between two observations that counts in full.
const MAX_OBSERVATION_GAP: Duration = Duration::from_secs(2);
/// Share of the lease that a taker waits on top of it.
const MARGIN_DIVISOR: u32 = 4;

/// Whether an instance's work may be taken over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseState {
    /// The holder renews it.
    Held,
    /// The holder gave it up after stopping all its work.
    Released,
    /// A taker found it unrenewed.
    Lapsed,
}

/// Lease of an instance, one row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// The instance.
    pub instance: InstanceId,
    /// Goes up with every lease that doesn't continue the one before.
    pub incarnation: Incarnation,
    /// Number of the agent process that renews it; goes up with every process.
    pub holder: Incarnation,
    /// Length of the lease, in milliseconds.
    pub ttl_ms: u64,
    /// Whether it is in force.
    pub state: LeaseState,
    /// Identifier of the transaction that wrote the row.
    pub transaction: String,
}

/// The holder's view of its lease.
#[derive(Clone, Copy, Debug)]
pub struct HeldLease {
    ttl: Duration,
    deadline: Instant,
}

impl HeldLease {
    /// A lease whose first write was sent at the given instant.
    pub fn new(ttl: Duration, sent_at: Instant) -> Self {
        Self { ttl, deadline: sent_at + ttl }
    }

    /// Extends the lease after a renewal that was sent at the given instant took effect.
    pub fn renew(&mut self, sent_at: Instant) {
        self.deadline = self.deadline.max(sent_at + self.ttl);
    }

    /// Instant at which the work must have stopped.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Whether work may go on.
    pub fn is_valid(&self, now: Instant) -> bool {
        now < self.deadline
    }

    /// Time between renewals, so that two may fail before the lease lapses.
    pub fn renewal_period(&self) -> Duration {
        self.ttl / 3
    }
}

/// A taker's view of another instance's lease.
#[derive(Clone, Copy, Debug)]
pub struct LeaseWatch {
    version: u64,
    unchanged: Duration,
    observed_at: Instant,
}

impl LeaseWatch {
    /// Starts with the first observation of a row.
    pub fn new(version: u64, now: Instant) -> Self {
        Self { version, unchanged: Duration::ZERO, observed_at: now }
    }

    /// Takes in another observation, answered by the store after `sent_at`.
    pub fn observe(&mut self, version: u64, sent_at: Instant) {
        if version != self.version {
            *self = Self::new(version, sent_at);
            return;
        }
        let gap = sent_at.saturating_duration_since(self.observed_at);
        self.unchanged += gap.min(MAX_OBSERVATION_GAP);
        self.observed_at = self.observed_at.max(sent_at);
    }

    /// Whether the holder must have stopped by now.
    pub fn is_lapsed(&self, ttl: Duration) -> bool {
        self.unchanged >= ttl + ttl / MARGIN_DIVISOR
    }
}
