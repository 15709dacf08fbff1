//! State of one job shard, replayed from its journal.
//!
//! An owner keeps the state in memory, applies decisions to it and commits them in one transaction
//! before it acts on them. An owner whose commit fails drops the state. A new owner replays the
//! committed decisions after a takeover.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    ids::{InstanceId, JobName, Revision, ShardNumber},
    record::JobSpec,
    task::{
        Decision, StaleRevisionSnafu, Task, TaskId, TaskState, Transition, TransitionError,
        UnknownJobSnafu, UnknownTaskSnafu,
    },
};

/// Number of job shards. It determines the keys of stored rows and must not be changed.
pub const SHARD_COUNT: ShardNumber = 16;

/// Shard that a job belongs to.
pub fn shard_of(job: &str) -> ShardNumber {
    (xxh3_64(job.as_bytes()) % u64::from(SHARD_COUNT)) as ShardNumber
}

/// Name of the journal stream of a shard.
pub fn stream_of(shard: ShardNumber) -> String {
    format!("shard-{shard:04}")
}

/// Ranks the instances as owners of the shard by rendezvous hashing, most preferred first.
pub fn preferred_owners<'a>(
    shard: ShardNumber,
    instances: impl Iterator<Item = &'a InstanceId>,
) -> Vec<&'a InstanceId> {
    let mut ranked: Vec<&InstanceId> = instances.collect();
    ranked.sort_by_cached_key(|instance| xxh3_64(format!("{shard}/{instance}").as_bytes()));
    ranked
}

/// Job with its tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Applied revision of the job's record.
    pub revision: Revision,
    /// Specification of the job.
    pub spec: JobSpec,
    /// Whether the job was withdrawn.
    pub is_cancelled: bool,
    /// Tasks by index.
    pub tasks: Vec<Task>,
}

/// State of one shard.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ShardState {
    jobs: BTreeMap<JobName, Job>,
    /// Tasks waiting for a placement, ordered by urgency, job revision and task identity.
    #[serde(skip)]
    waiting: BTreeSet<WaitingKey>,
    /// Assigned and running tasks, by instance.
    #[serde(skip)]
    placed: BTreeMap<InstanceId, BTreeSet<TaskId>>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WaitingKey {
    urgency: u32,
    revision: Revision,
    task: TaskId,
}

impl ShardState {
    /// Rebuilds the indexes after the state was deserialized from a snapshot.
    pub fn reindex(&mut self) {
        self.waiting.clear();
        self.placed.clear();
        let jobs: Vec<JobName> = self.jobs.keys().cloned().collect();
        for job in jobs {
            self.index_job(&job);
        }
    }

    /// Jobs by name.
    pub fn jobs(&self) -> &BTreeMap<JobName, Job> {
        &self.jobs
    }

    /// Looks up a task.
    pub fn task(&self, id: &TaskId) -> Option<&Task> {
        self.jobs.get(&id.job)?.tasks.get(id.index as usize)
    }

    /// Tasks waiting for a placement, most urgent first, then by job revision.
    pub fn waiting(&self) -> impl Iterator<Item = &TaskId> {
        self.waiting.iter().map(|key| &key.task)
    }

    /// Number of tasks waiting for a placement.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Tasks assigned to or running on an instance.
    pub fn placed_on(&self, instance: &str) -> impl Iterator<Item = &TaskId> {
        self.placed.get(instance).into_iter().flatten()
    }

    /// Instances with assigned or running tasks of the shard.
    pub fn instances(&self) -> impl Iterator<Item = &InstanceId> {
        self.placed.keys()
    }

    /// Checks whether the decision is valid in the current state.
    ///
    /// # Errors
    ///
    /// The reason for which the decision is rejected.
    pub fn check(&self, decision: &Decision) -> Result<(), TransitionError> {
        match decision {
            Decision::JobAdded { job, revision, .. }
            | Decision::JobAmended { job, revision, .. }
            | Decision::JobCancelled { job, revision } => self.check_revision(job, *revision),
            _ => self.updated_task(decision).map(drop),
        }
    }

    /// Applies a decision.
    ///
    /// # Errors
    ///
    /// The reason for which the decision is rejected; the state is unchanged.
    pub fn apply(&mut self, decision: &Decision) -> Result<(), TransitionError> {
        self.check(decision)?;
        match decision {
            Decision::JobAdded { job, revision, spec } => self.upsert_job(job, *revision, spec),
            Decision::JobAmended { job, revision, spec } => self.amend_job(job, *revision, spec),
            Decision::JobCancelled { job, revision } => self.cancel_job(job, *revision),
            _ => {
                let (id, task) = self.updated_task(decision)?;
                self.replace_task(&id, task);
            }
        }
        Ok(())
    }

    fn check_revision(&self, job: &JobName, given: Revision) -> Result<(), TransitionError> {
        match self.jobs.get(job) {
            Some(current) if current.revision >= given => {
                StaleRevisionSnafu { given, current: current.revision }.fail()
            }
            _ => Ok(()),
        }
    }

    fn updated_task(&self, decision: &Decision) -> Result<(TaskId, Task), TransitionError> {
        let transition = match decision {
            Decision::Assigned { attempt, placement, .. } => {
                Transition::Assign(*attempt, placement)
            }
            Decision::Started { attempt, .. } => Transition::Start(*attempt),
            Decision::Released { attempt, .. } => Transition::Release(*attempt),
            Decision::Evicted { attempt, checkpoint, .. } => {
                Transition::Evict(*attempt, checkpoint)
            }
            Decision::Done { attempt, .. } => Transition::Complete(*attempt),
            Decision::AttemptFailed { attempt, is_final, .. } => {
                Transition::Fail { attempt: *attempt, is_final: *is_final }
            }
            Decision::Parked { .. } => Transition::Park,
            Decision::Unparked { .. } => Transition::Unpark,
            Decision::JobAdded { job, .. }
            | Decision::JobAmended { job, .. }
            | Decision::JobCancelled { job, .. } => return UnknownJobSnafu { job }.fail(),
        };
        let Some(id) = decision.task() else { return UnknownJobSnafu { job: "" }.fail() };
        let task = self.task(id).ok_or_else(|| UnknownTaskSnafu { task: id.clone() }.build())?;
        Ok((id.clone(), task.apply(&transition)?))
    }

    fn upsert_job(&mut self, name: &JobName, revision: Revision, spec: &JobSpec) {
        if self.jobs.contains_key(name) {
            self.amend_job(name, revision, spec);
            return;
        }
        let tasks = vec![Task::default(); spec.tasks as usize];
        let job = Job { revision, spec: spec.clone(), is_cancelled: false, tasks };
        self.jobs.insert(name.clone(), job);
        self.index_job(name);
    }

    /// Applies an amended specification: cancels tasks beyond the new count, or adds missing ones.
    fn amend_job(&mut self, name: &JobName, revision: Revision, spec: &JobSpec) {
        self.unindex_job(name);
        let Some(job) = self.jobs.get_mut(name) else { return };
        job.revision = revision;
        job.spec = spec.clone();
        let task_count = spec.tasks as usize;
        for task in job.tasks.iter_mut().skip(task_count) {
            if let Ok(cancelled) = task.apply(&Transition::Cancel) {
                *task = cancelled;
            }
        }
        let count = job.tasks.len().max(task_count);
        job.tasks.resize_with(count, Task::default);
        self.index_job(name);
    }

    fn cancel_job(&mut self, name: &JobName, revision: Revision) {
        self.unindex_job(name);
        let Some(job) = self.jobs.get_mut(name) else { return };
        job.revision = revision;
        job.is_cancelled = true;
        for task in &mut job.tasks {
            if let Ok(cancelled) = task.apply(&Transition::Cancel) {
                *task = cancelled;
            }
        }
    }

    fn replace_task(&mut self, id: &TaskId, next: Task) {
        self.unindex(id);
        if let Some(task) =
            self.jobs.get_mut(&id.job).and_then(|job| job.tasks.get_mut(id.index as usize))
        {
            *task = next;
        }
        self.index(id);
    }

    fn task_ids(&self, name: &JobName) -> Vec<TaskId> {
        let count = self.jobs.get(name).map_or(0, |job| job.tasks.len()) as u32;
        (0..count).map(|index| TaskId { job: name.clone(), index }).collect()
    }

    fn index_job(&mut self, name: &JobName) {
        for id in self.task_ids(name) {
            self.index(&id);
        }
    }

    fn unindex_job(&mut self, name: &JobName) {
        for id in self.task_ids(name) {
            self.unindex(&id);
        }
    }

    fn waiting_key(&self, id: &TaskId) -> Option<WaitingKey> {
        let job = self.jobs.get(&id.job)?;
        Some(WaitingKey { urgency: job.spec.urgency, revision: job.revision, task: id.clone() })
    }

    fn index(&mut self, id: &TaskId) {
        let Some(state) = self.task(id).map(|task| task.state.clone()) else { return };
        if state.is_waiting() {
            self.waiting.extend(self.waiting_key(id));
        }
        if let Some(placement) = state.placement() {
            self.placed.entry(placement.instance.clone()).or_default().insert(id.clone());
        }
    }

    fn unindex(&mut self, id: &TaskId) {
        if let Some(key) = self.waiting_key(id) {
            self.waiting.remove(&key);
        }
        let Some(task) = self.task(id) else { return };
        let Some(placement) = task.state.placement().cloned() else { return };
        let Some(tasks) = self.placed.get_mut(&placement.instance) else { return };
        tasks.remove(id);
        if tasks.is_empty() {
            self.placed.remove(&placement.instance);
        }
    }
}

/// Number of tasks by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCounts {
    /// Pending.
    pub pending: u32,
    /// Assigned or running.
    pub running: u32,
    /// Evicted and waiting to resume.
    pub evicted: u32,
    /// Completed.
    pub done: u32,
    /// Failed permanently.
    pub failed: u32,
    /// Parked because no known instance can fit them.
    pub parked: u32,
    /// Cancelled.
    pub cancelled: u32,
}

impl TaskCounts {
    /// Counts tasks by state.
    pub fn of(tasks: &[Task]) -> Self {
        let mut counts = Self::default();
        for task in tasks {
            let count = match &task.state {
                TaskState::Pending => &mut counts.pending,
                TaskState::Assigned(_) | TaskState::Running(_) => &mut counts.running,
                TaskState::Evicted => &mut counts.evicted,
                TaskState::Done => &mut counts.done,
                TaskState::Failed => &mut counts.failed,
                TaskState::Parked => &mut counts.parked,
                TaskState::Cancelled => &mut counts.cancelled,
            };
            *count += 1;
        }
        counts
    }
}
