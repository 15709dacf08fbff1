//! What a new owner learns from the process of its predecessor about leases.
//!
//! A new owner doesn't know which leases its predecessor granted, and assumes the latest possible
//! time. A predecessor that is cut off from the store only still knows. The new owner calls its
//! process, which ends the owner for good, and then answers with the end of each worker's lease
//! ([`OwnerLeases`]). The new owner shortens its bounds by the answer, and never extends one
//! ([`Cell::shorten_inherited_leases`]).
//!
//! The ends are those after which the predecessor would have reclaimed the tasks itself, and as it
//! grants nothing any more, they remain true whatever happens next:
//! - A grant in transit to an agent or its worker counts in the end from the time at which it was
//!   granted. A lease is an absolute reading of the worker's clock, so that it doesn't end later for
//!   arriving late.
//! - An earlier owner that is cut off elsewhere may still grant leases. Its grants count in the
//!   predecessor's own bounds, which the predecessor took over with the cell and answers with for a
//!   worker that it has granted none.
//! - A process that has run no owner of the predecessor's epoch since its start has replaced the
//!   predecessor's process, or has never learned of its takeover, and never starts that owner later.
//!   Nothing is granted after its answer, but it doesn't know what was granted before: such a lease
//!   has been granted for a reading that precedes the answer. The predecessors of the predecessor are
//!   bounded by its row.
//! - Remaining times count from the receipt of the answer, so that a late one yields later ends. A
//!   repeated one changes nothing. One to an earlier call of the same process names another epoch of
//!   the caller and is ignored, as is one of another instance at the same address.
//! - A worker's bound is only shortened while it is the inherited one. Once the new owner has granted
//!   a lease, or has set another bound, the answer doesn't matter any more.
//! - An owner that is replaced in turn stores the bounds that it took over with, or shortened ones of
//!   silent workers. Both are true for all leases of its predecessors.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::{
    cell::{
        Cell,
        ownership::{MAX_CLOCK_MS, MAX_LEASE_REMAINING, recorded_remaining_ms},
        progress::WorkerIncarnation,
        worker::Worker,
    },
    ids::{Epoch, InstanceId},
};

/// Lease of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerLease {
    /// The worker incarnation.
    pub incarnation: WorkerIncarnation,
    /// Time by which all its leases have expired for certain.
    pub lease_end: Instant,
    /// Highest reported reading of its clock, in milliseconds; 0 for none.
    pub clock_ms: u64,
}

/// Leases that an owner knows of when it ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerLeases {
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// Time by which all leases have expired for certain, also those of its predecessors.
    pub leases_end: Instant,
    /// The leases of the workers that it knows.
    pub workers: Vec<WorkerLease>,
}

/// Answer of a process that runs no owner of an epoch lower than the caller's any more.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Superseded {
    /// Instance of the process.
    pub instance: InstanceId,
    /// Epoch of the caller.
    pub successor_epoch: Epoch,
    /// Leases of the last owner that has run in the process, if there was one.
    pub leases: Option<OwnerLeasesRecord>,
}

/// [`OwnerLeases`] at the time of the answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerLeasesRecord {
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// Time until all leases have expired for certain, in milliseconds.
    pub remaining_ms: u64,
    /// The leases of the workers that it knows.
    pub workers: Vec<WorkerLeaseRecord>,
}

/// [`WorkerLease`] at the time of the answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerLeaseRecord {
    /// The worker incarnation.
    pub incarnation: WorkerIncarnation,
    /// Time until all its leases have expired for certain, in milliseconds.
    pub remaining_ms: u64,
    /// Highest reported reading of its clock, in milliseconds; 0 for none.
    pub clock_ms: u64,
}

impl Superseded {
    /// Answer that is sent at `now` or later.
    pub fn new(
        instance: InstanceId,
        successor_epoch: Epoch,
        leases: Option<&OwnerLeases>,
        now: Instant,
    ) -> Self {
        let record = |lease: &WorkerLease| WorkerLeaseRecord {
            incarnation: lease.incarnation.clone(),
            remaining_ms: recorded_remaining_ms(lease.lease_end, now),
            clock_ms: lease.clock_ms,
        };
        let leases = leases.map(|leases| OwnerLeasesRecord {
            epoch: leases.epoch,
            remaining_ms: recorded_remaining_ms(leases.leases_end, now),
            workers: leases.workers.iter().map(record).collect(),
        });
        Self { instance, successor_epoch, leases }
    }
}

/// Owner from which a cell was taken over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Predecessor {
    /// Instance of its process.
    pub instance: InstanceId,
    /// Address of its process's internal port.
    pub address: String,
    /// Its epoch.
    pub epoch: Epoch,
    /// Latest time at which one of its own predecessors may grant a lease.
    pub earlier_grants_end: Instant,
}

/// Effect of a predecessor's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShortenedLeases {
    /// Number of workers whose bound is shorter than before.
    pub worker_count: usize,
    /// Longest remaining time of an inherited bound.
    pub longest_remaining: Duration,
}

impl Cell {
    /// Time by which all leases of the owner's predecessors have expired for certain.
    pub fn previous_leases_end(&self) -> Instant {
        self.previous_leases_end
    }

    /// Leases that this owner, which grants none any more, and its predecessors have granted.
    pub fn into_leases(self) -> OwnerLeases {
        let previous_end = self.previous_leases_end;
        let worker_lease = |worker: Worker| WorkerLease {
            incarnation: worker.incarnation,
            lease_end: worker.lease_end.unwrap_or(previous_end),
            clock_ms: worker.reported_clock_ms,
        };
        let workers: Vec<WorkerLease> =
            self.workers.into_iter().map(|(_, worker)| worker_lease(worker)).collect();
        let ends = workers.iter().map(|lease| lease.lease_end);
        OwnerLeases {
            epoch: self.epoch,
            leases_end: ends.fold(previous_end, Instant::max),
            workers,
        }
    }

    /// Shortens the bounds of leases that this owner hasn't granted by its predecessor's answer,
    /// received at `received_at`. Returns `None` for an answer that isn't the predecessor's answer to
    /// this owner.
    pub fn shorten_inherited_leases(
        &mut self,
        predecessor: &Predecessor,
        answer: &Superseded,
        received_at: Instant,
    ) -> Option<ShortenedLeases> {
        if answer.successor_epoch != self.epoch || answer.instance != predecessor.instance {
            return None;
        }
        let leases = answer.leases.as_ref().filter(|leases| leases.epoch == predecessor.epoch);
        let end_after = |remaining_ms| {
            received_at + Duration::from_millis(remaining_ms).min(MAX_LEASE_REMAINING)
        };
        let leases_end = match leases {
            Some(leases) => end_after(leases.remaining_ms),
            None => {
                received_at.max(predecessor.earlier_grants_end) + self.settings.worst_case_lease()
            }
        };
        self.previous_leases_end = self.previous_leases_end.min(leases_end);
        let mut shortened = ShortenedLeases { worker_count: 0, longest_remaining: Duration::ZERO };
        for worker in self.workers.values_mut().filter(|worker| has_inherited_lease(worker)) {
            let Some(lease_end) = worker.lease_end else { continue };
            let (new_end, clock_ms) = match leases {
                Some(leases) => {
                    let is_own =
                        |lease: &&WorkerLeaseRecord| lease.incarnation == worker.incarnation;
                    match leases.workers.iter().find(is_own) {
                        Some(lease) => (end_after(lease.remaining_ms), lease.clock_ms),
                        None => (lease_end, 0),
                    }
                }
                None => (leases_end, 0),
            };
            if clock_ms <= MAX_CLOCK_MS {
                worker.reported_clock_ms = worker.reported_clock_ms.max(clock_ms);
            }
            if new_end < lease_end {
                worker.lease_end = Some(new_end);
                shortened.worker_count += 1;
            }
            let remaining = new_end.min(lease_end).saturating_duration_since(received_at);
            shortened.longest_remaining = shortened.longest_remaining.max(remaining);
        }
        Some(shortened)
    }
}

/// Whether the bound of the worker's lease follows from what earlier owners may have granted.
fn has_inherited_lease(worker: &Worker) -> bool {
    worker.is_lease_inherited && worker.clock_ms == 0
}
