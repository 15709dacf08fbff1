//! Instance leases, stored as one table row per instance.
//!
//! The holder measures its lease on its own monotonic clock, from before it sent the renewal. An
//! observer measures from its first observation of the unchanged row, counts only time in which the
//! store responded, and adds a safety margin. Before an observer reclaims work from an instance, it
//! marks the row as lapsed in a conditional transaction, so that either the holder's renewal or the
//! observer's mark commits, never both.
//!
//! An observer records what it has measured, so that its successor continues instead of starting
//! anew. A version of the row is never used twice. That a version was unchanged for some time
//! therefore stays true whoever reads it and however late: a stale record is too short or about an
//! earlier version, and never too long.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

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

    /// Time for which the row was unchanged.
    pub fn unchanged_for(&self) -> Duration {
        self.unchanged_for
    }

    /// Whether the lease has expired on the holder's clock as well.
    pub fn is_lapsed(&self, ttl: Duration) -> bool {
        self.unchanged_for >= ttl + ttl / SAFETY_MARGIN_DIVISOR
    }
}

/// Time for which a version of a lease's row was unchanged, as measured by an observer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SilentLease {
    /// The instance.
    pub instance: InstanceId,
    /// Version of the lease's row.
    pub version: u64,
    /// Time for which that version was unchanged, in milliseconds.
    pub unchanged_ms: u64,
}

/// Table row of the leases that the owner of a shard waits for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct SilenceRow {
    /// The leases, in the order of their instances.
    pub leases: Vec<SilentLease>,
}

/// Watches over the leases of several instances.
#[derive(Clone, Debug, Default)]
pub struct LeaseWatches {
    by_instance: BTreeMap<InstanceId, LeaseWatch>,
}

impl LeaseWatches {
    /// Watch over an instance's lease.
    pub fn get(&self, instance: &str) -> Option<&LeaseWatch> {
        self.by_instance.get(instance)
    }

    /// Number of watched leases.
    pub fn len(&self) -> usize {
        self.by_instance.len()
    }

    /// Whether no lease is watched.
    pub fn is_empty(&self) -> bool {
        self.by_instance.is_empty()
    }

    /// Ends the watch over an instance's lease.
    pub fn remove(&mut self, instance: &str) {
        self.by_instance.remove(instance);
    }

    /// Ends the watches over the leases of all other instances.
    pub fn retain(&mut self, is_watched: impl Fn(&str) -> bool) {
        self.by_instance.retain(|instance, _| is_watched(instance));
    }

    /// Records an observation of a lease's row, whose read was sent at `sent_at` and answered by
    /// `received_at`; returns the watch.
    pub fn observe(
        &mut self,
        instance: &str,
        version: u64,
        sent_at: Instant,
        received_at: Instant,
    ) -> &LeaseWatch {
        self.observe_mut(instance, version, sent_at, received_at)
    }

    fn observe_mut(
        &mut self,
        instance: &str,
        version: u64,
        sent_at: Instant,
        received_at: Instant,
    ) -> &mut LeaseWatch {
        let watch = self
            .by_instance
            .entry(instance.to_owned())
            .or_insert_with(|| LeaseWatch::new(version, received_at));
        if watch.version == version {
            watch.observe(version, sent_at);
        } else {
            // The row may have been written at any time until the answer.
            *watch = LeaseWatch::new(version, received_at);
        }
        watch
    }

    /// Continues the measurements of another observer, whose row was read with a call sent at
    /// `sent_at` and answered by `received_at`.
    ///
    /// Time between two reads counts for the recorded version: it is only of use if the lease's row
    /// still has that version afterwards, and then had it all the time.
    pub fn adopt(&mut self, row: &SilenceRow, sent_at: Instant, received_at: Instant) {
        for lease in &row.leases {
            let known = self.by_instance.get(&lease.instance);
            if known.is_some_and(|watch| watch.version > lease.version) {
                continue;
            }
            let recorded = Duration::from_millis(lease.unchanged_ms);
            let watch = self.observe_mut(&lease.instance, lease.version, sent_at, received_at);
            // The measurement may have been recorded at any time until the answer.
            if recorded > watch.unchanged_for {
                watch.unchanged_for = recorded;
                watch.observed_at = received_at;
            }
        }
    }

    /// The measurements, for a successor.
    pub fn record(&self) -> SilenceRow {
        let leases = self.by_instance.iter().map(|(instance, watch)| SilentLease {
            instance: instance.clone(),
            version: watch.version,
            unchanged_ms: watch.unchanged_for.as_millis() as u64,
        });
        SilenceRow { leases: leases.collect() }
    }
}
