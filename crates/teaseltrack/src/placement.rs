//! Capacity of instances and placement of tasks.
//!
//! The agent's [`ReservationLedger`] is the sole authority on an instance's capacity. Shard owners
//! keep the free capacity last reported by agents, choose between two random candidates, and
//! reserve capacity on the chosen instance before they commit the assignment. An instance is put on
//! probation after several consecutive task failures, provided that one of the failed jobs has
//! succeeded on another instance.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

use crate::{
    ids::{AttemptNumber, InstanceId, JobName},
    record::JobSpec,
    task::TaskId,
};

/// Consecutive failures after which an instance may be put on probation.
const PROBATION_FAILURE_THRESHOLD: u32 = 3;
/// Time for which an instance on probation gets no tasks. Failures stay counted afterwards until a
/// success, so that a single further failure renews the probation.
const PROBATION_PERIOD: Duration = Duration::from_secs(30);

/// Amounts of CPU, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// CPU, in millicores.
    pub cpu_milli: u64,
    /// Memory, in MiB.
    pub memory_mib: u64,
    /// Number of accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Resources that the job declares for each task.
    pub fn declared(spec: &JobSpec) -> Self {
        Self {
            cpu_milli: spec.cpu_milli,
            memory_mib: spec.memory_mib,
            accelerators: spec.accelerators,
        }
    }

    /// Whether `requested` fits into these resources.
    pub fn can_fit(&self, requested: &Self) -> bool {
        requested.cpu_milli <= self.cpu_milli
            && requested.memory_mib <= self.memory_mib
            && requested.accelerators <= self.accelerators
    }

    /// Sum of both, saturating at the highest number.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Difference, saturating at zero.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

/// Capacity reserved for an attempt; confirmed if `expires_at` is `None`.
#[derive(Clone, Copy, Debug)]
struct Reservation {
    attempt: AttemptNumber,
    resources: Resources,
    expires_at: Option<Instant>,
}

/// Capacity of one instance and its reservations, at most one per task.
#[derive(Debug)]
pub struct ReservationLedger {
    capacity: Resources,
    reservations: BTreeMap<TaskId, Reservation>,
}

impl ReservationLedger {
    /// Creates a ledger without reservations.
    pub fn new(capacity: Resources) -> Self {
        Self { capacity, reservations: BTreeMap::new() }
    }

    /// Total capacity for tasks.
    pub fn capacity(&self) -> Resources {
        self.capacity
    }

    /// Capacity that is not reserved.
    pub fn available(&self) -> Resources {
        let reserved =
            self.reservations.values().fold(Resources::default(), |reserved, reservation| {
                reserved.plus(&reservation.resources)
            });
        assert!(
            self.capacity.can_fit(&reserved),
            "reservations exceed the capacity of the instance"
        );
        self.capacity.minus(&reserved)
    }

    /// Reserves capacity for an attempt until `expires_at`. Returns false if the capacity is
    /// insufficient or another attempt of the task has a reservation.
    pub fn reserve(
        &mut self,
        task: &TaskId,
        attempt: AttemptNumber,
        resources: Resources,
        expires_at: Instant,
    ) -> bool {
        if let Some(reservation) = self.reservations.get(task) {
            return reservation.attempt == attempt;
        }
        if !self.available().can_fit(&resources) {
            return false;
        }
        let reservation = Reservation { attempt, resources, expires_at: Some(expires_at) };
        self.reservations.insert(task.clone(), reservation);
        true
    }

    /// Makes a reservation permanent until [`Self::release`]. Returns false if the attempt has no
    /// reservation.
    pub fn confirm(&mut self, task: &TaskId, attempt: AttemptNumber) -> bool {
        match self.reservations.get_mut(task) {
            Some(reservation) if reservation.attempt == attempt => {
                reservation.expires_at = None;
                true
            }
            _ => false,
        }
    }

    /// Releases the reservation of an attempt.
    pub fn release(&mut self, task: &TaskId, attempt: AttemptNumber) {
        if self.reservations.get(task).is_some_and(|reservation| reservation.attempt == attempt) {
            self.reservations.remove(task);
        }
    }

    /// Releases unconfirmed reservations that have expired.
    pub fn expire(&mut self, now: Instant) {
        self.reservations.retain(|_, reservation| {
            reservation.expires_at.is_none_or(|expires_at| expires_at > now)
        });
    }
}

/// Free capacity of the fleet's instances as last reported to a shard owner, less the tasks that it
/// has assigned since.
#[derive(Debug, Default)]
pub struct CapacityHints {
    by_instance: BTreeMap<InstanceId, Hint>,
}

#[derive(Clone, Copy, Debug)]
struct Hint {
    capacity: Resources,
    available: Resources,
}

impl CapacityHints {
    /// Records the capacity that an agent reported.
    pub fn update(&mut self, instance: &str, capacity: Resources, available: Resources) {
        self.by_instance.insert(instance.to_owned(), Hint { capacity, available });
    }

    /// Deducts the resources of a task that is being assigned to the instance.
    pub fn deduct(&mut self, instance: &str, resources: &Resources) {
        if let Some(hint) = self.by_instance.get_mut(instance) {
            hint.available = hint.available.minus(resources);
        }
    }

    /// Removes instances for which `is_present` returns false.
    pub fn retain(&mut self, is_present: impl Fn(&str) -> bool) {
        self.by_instance.retain(|instance, _| is_present(instance));
    }

    /// Number of instances with a reported capacity.
    pub fn len(&self) -> usize {
        self.by_instance.len()
    }

    /// Whether no instance has a reported capacity.
    pub fn is_empty(&self) -> bool {
        self.by_instance.is_empty()
    }

    /// Whether the total capacity of any of the instances is sufficient.
    pub fn is_feasible(&self, resources: &Resources) -> bool {
        self.by_instance.values().any(|hint| hint.capacity.can_fit(resources))
    }

    /// Chooses the candidate with more available CPU out of two random ones (power of two choices).
    /// Candidates have sufficient available capacity and are not excluded by `is_excluded`.
    pub fn choose(
        &self,
        resources: &Resources,
        is_excluded: impl Fn(&str) -> bool,
        rng: &mut impl Rng,
    ) -> Option<InstanceId> {
        let candidates: Vec<(&InstanceId, &Hint)> = self
            .by_instance
            .iter()
            .filter(|(instance, hint)| hint.available.can_fit(resources) && !is_excluded(instance))
            .collect();
        if candidates.is_empty() {
            return None;
        }
        let first = candidates[rng.random_range(0..candidates.len())];
        let second = candidates[rng.random_range(0..candidates.len())];
        let chosen = if first.1.available.cpu_milli >= second.1.available.cpu_milli {
            first
        } else {
            second
        };
        Some(chosen.0.clone())
    }
}

#[derive(Debug, Default)]
struct FailureHistory {
    consecutive_failures: u32,
    failed_jobs: BTreeSet<JobName>,
    probation_until: Option<Instant>,
}

/// Tracks instances that fail tasks whose jobs succeed on other instances.
#[derive(Debug, Default)]
pub struct Probation {
    histories: BTreeMap<InstanceId, FailureHistory>,
    succeeded_jobs: BTreeMap<JobName, InstanceId>,
}

impl Probation {
    /// Records a task that completed on an instance.
    pub fn record_success(&mut self, instance: &str, job: &str) {
        self.histories.remove(instance);
        self.succeeded_jobs.insert(job.to_owned(), instance.to_owned());
    }

    /// Records a task that failed on an instance.
    pub fn record_failure(&mut self, instance: &str, job: &str, now: Instant) {
        let history = self.histories.entry(instance.to_owned()).or_default();
        history.consecutive_failures += 1;
        history.failed_jobs.insert(job.to_owned());
        let is_instance_at_fault = history
            .failed_jobs
            .iter()
            .any(|job| self.succeeded_jobs.get(job).is_some_and(|peer| peer != instance));
        if history.consecutive_failures >= PROBATION_FAILURE_THRESHOLD && is_instance_at_fault {
            history.probation_until = Some(now + PROBATION_PERIOD);
        }
    }

    /// Whether the instance is on probation and gets no tasks.
    pub fn is_on_probation(&self, instance: &str, now: Instant) -> bool {
        self.histories
            .get(instance)
            .is_some_and(|history| history.probation_until.is_some_and(|until| until > now))
    }
}
