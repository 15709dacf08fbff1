//! Room of instances and the choice of an instance for a task.
//!
//! The agent's [`ReservationLedger`] is the only owner of an instance's room. Shard owners choose by the
//! room that agents reported last, two at random, and ask before they commit. Instances that fail
//! whatever they start, while their peers succeed with the same jobs, are put on probation.

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

/// Failures without a success before an instance is put on probation.
const FAILURES_BEFORE_PROBATION: u32 = 3;
/// Time on probation before one task is tried again.
const PROBATION: Duration = Duration::from_secs(30);

/// Processors, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu_milli: u64,
    /// Mebibytes.
    pub memory_mib: u64,
    /// Whole accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// What a task of the job declares.
    pub fn declared(spec: &JobSpec) -> Self {
        Self {
            cpu_milli: spec.cpu_milli,
            memory_mib: spec.memory_mib,
            accelerators: spec.accelerators,
        }
    }

    /// Whether `part` fits into this.
    pub fn can_fit(&self, part: &Self) -> bool {
        part.cpu_milli <= self.cpu_milli
            && part.memory_mib <= self.memory_mib
            && part.accelerators <= self.accelerators
    }

    /// The sum of both.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli + other.cpu_milli,
            memory_mib: self.memory_mib + other.memory_mib,
            accelerators: self.accelerators + other.accelerators,
        }
    }

    /// What is left of this after `other`, at least nothing.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

/// Room that is held for an attempt.
#[derive(Clone, Copy, Debug)]
struct Held {
    attempt: AttemptNumber,
    resources: Resources,
    expires_at: Option<Instant>,
}

/// Room of one instance and the attempts that hold it.
#[derive(Debug)]
pub struct ReservationLedger {
    capacity: Resources,
    held: BTreeMap<TaskId, Held>,
}

impl ReservationLedger {
    /// An instance with the given capacity for tasks.
    pub fn new(capacity: Resources) -> Self {
        Self { capacity, held: BTreeMap::new() }
    }

    /// Capacity for tasks.
    pub fn capacity(&self) -> Resources {
        self.capacity
    }

    /// Room that nothing holds.
    pub fn available(&self) -> Resources {
        let used =
            self.held.values().fold(Resources::default(), |used, held| used.plus(&held.resources));
        assert!(self.capacity.can_fit(&used), "instance committed beyond its capacity");
        self.capacity.minus(&used)
    }

    /// Holds room for an attempt until `expires_at`; false if there is none, or if another attempt
    /// of the task holds room.
    pub fn reserve(
        &mut self,
        task: &TaskId,
        attempt: AttemptNumber,
        resources: Resources,
        expires_at: Instant,
    ) -> bool {
        if let Some(held) = self.held.get(task) {
            return held.attempt == attempt;
        }
        if !self.available().can_fit(&resources) {
            return false;
        }
        let held = Held { attempt, resources, expires_at: Some(expires_at) };
        self.held.insert(task.clone(), held);
        true
    }

    /// Keeps the reserved room until [`Self::release`]; false if the attempt holds none.
    pub fn confirm(&mut self, task: &TaskId, attempt: AttemptNumber) -> bool {
        match self.held.get_mut(task) {
            Some(held) if held.attempt == attempt => {
                held.expires_at = None;
                true
            }
            _ => false,
        }
    }

    /// Frees the room of an attempt.
    pub fn release(&mut self, task: &TaskId, attempt: AttemptNumber) {
        if self.held.get(task).is_some_and(|held| held.attempt == attempt) {
            self.held.remove(task);
        }
    }

    /// Frees reserved room whose start never came.
    pub fn expire(&mut self, now: Instant) {
        self.held.retain(|_, held| held.expires_at.is_none_or(|expires_at| expires_at > now));
    }
}

/// What a shard owner knows of the fleet's room.
#[derive(Debug, Default)]
pub struct CapacityHints {
    rooms: BTreeMap<InstanceId, Hint>,
}

#[derive(Clone, Copy, Debug)]
struct Hint {
    capacity: Resources,
    room: Resources,
}

impl CapacityHints {
    /// Takes in what an agent reported.
    pub fn update(&mut self, instance: &str, capacity: Resources, room: Resources) {
        self.rooms.insert(instance.to_owned(), Hint { capacity, room });
    }

    /// Counts a task that is on its way to an instance.
    pub fn deduct(&mut self, instance: &str, resources: &Resources) {
        if let Some(hint) = self.rooms.get_mut(instance) {
            hint.room = hint.room.minus(resources);
        }
    }

    /// Forgets instances for which `is_present` is false.
    pub fn retain(&mut self, is_present: impl Fn(&str) -> bool) {
        self.rooms.retain(|instance, _| is_present(instance));
    }

    /// Number of instances with a known room.
    pub fn len(&self) -> usize {
        self.rooms.len()
    }

    /// Whether no instance is known.
    pub fn is_empty(&self) -> bool {
        self.rooms.is_empty()
    }

    /// Whether any known instance could hold the task when empty.
    pub fn is_feasible(&self, resources: &Resources) -> bool {
        self.rooms.values().any(|hint| hint.capacity.can_fit(resources))
    }

    /// The roomier of two random instances that have room, `avoided` ones left out.
    pub fn choose(
        &self,
        resources: &Resources,
        avoided: impl Fn(&str) -> bool,
        rng: &mut impl Rng,
    ) -> Option<InstanceId> {
        let fitting: Vec<(&InstanceId, &Hint)> = self
            .rooms
            .iter()
            .filter(|(instance, hint)| hint.room.can_fit(resources) && !avoided(instance))
            .collect();
        if fitting.is_empty() {
            return None;
        }
        let first = fitting[rng.random_range(0..fitting.len())];
        let second = fitting[rng.random_range(0..fitting.len())];
        let roomier =
            if first.1.room.cpu_milli >= second.1.room.cpu_milli { first } else { second };
        Some(roomier.0.clone())
    }
}

#[derive(Debug, Default)]
struct Conduct {
    failures_in_row: u32,
    failed_jobs: BTreeSet<JobName>,
    until: Option<Instant>,
}

/// Instances that fail whatever they start.
#[derive(Debug, Default)]
pub struct Probation {
    conduct: BTreeMap<InstanceId, Conduct>,
    succeeded_jobs: BTreeMap<JobName, InstanceId>,
}

impl Probation {
    /// Counts a task that an instance finished.
    pub fn record_success(&mut self, instance: &str, job: &str) {
        self.conduct.remove(instance);
        self.succeeded_jobs.insert(job.to_owned(), instance.to_owned());
    }

    /// Counts a task that failed on an instance.
    pub fn record_failure(&mut self, instance: &str, job: &str, now: Instant) {
        let conduct = self.conduct.entry(instance.to_owned()).or_default();
        conduct.failures_in_row += 1;
        conduct.failed_jobs.insert(job.to_owned());
        let is_fault_elsewhere = conduct
            .failed_jobs
            .iter()
            .any(|job| self.succeeded_jobs.get(job).is_some_and(|peer| peer != instance));
        if conduct.failures_in_row >= FAILURES_BEFORE_PROBATION && is_fault_elsewhere {
            conduct.until = Some(now + PROBATION);
        }
    }

    /// Whether the instance gets no tasks for now.
    pub fn is_on_probation(&self, instance: &str, now: Instant) -> bool {
        self.conduct
            .get(instance)
            .is_some_and(|conduct| conduct.until.is_some_and(|until| until > now))
    }
}
