//! Delegation of long-running tasks to other cells.
//!
//! A long-running job stays in its cell while other jobs end elsewhere, so a task can wait for room
//! that only another cell has. The owner of the job's cell then delegates the task: it commits that
//! the task belongs to the other cell, and only afterwards stores the row by which the other cell
//! learns of it. From that commit on, only the other cell may start the task. A delegation is never
//! taken back or passed on, so a task has one owner at any time.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::{
    cell::{
        Cell, JobKey, Occurrence, Task,
        job::{JobSpec, Queue, Stage},
        partition::CellId,
        planning::TaskKind,
        progress::{MAX_ATTEMPT, TaskPhase, TaskProgress},
        protocol::TaskName,
        worker::TaskKey,
    },
    ids::{AttemptNumber, ServiceName},
};

/// A task that belongs to another cell than its job, as stored for that cell.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Delegation {
    /// Cell that runs the task.
    pub cell: CellId,
    /// The task.
    pub task: TaskName,
    /// Last attempt in the job's cell; later attempts have higher numbers.
    pub attempt: AttemptNumber,
    /// Last checkpoint; empty for none.
    pub checkpoint: String,
    /// Number of crashes of workers for which the task was a suspect; see [`TaskProgress`].
    #[serde(default)]
    pub crash_count: u32,
    /// Number of those crashes for which the task was the only suspect.
    #[serde(default)]
    pub sole_crash_count: u32,
    /// Specification of the job.
    pub spec: JobSpec,
    /// Queue of the job.
    pub queue: Queue,
}

impl Delegation {
    /// Whether the job's specification is valid and has the task.
    pub fn is_valid(&self) -> bool {
        let counts = [self.attempt, self.crash_count, self.sole_crash_count];
        let stage = self.spec.stages.get(self.task.stage as usize);
        self.spec.validate().is_ok()
            && counts.into_iter().all(|count| count <= MAX_ATTEMPT)
            && self.task.occurrence < self.spec.max_occurrence_count()
            && stage.is_some_and(|stage| self.task.index < stage.task_count)
    }
}

/// Long-running tasks of a stage that wait for room.
#[derive(Clone, Debug, PartialEq)]
pub struct UnplacedTasks {
    /// Service whose workers can run them.
    pub service: ServiceName,
    /// The stage, with the number of waiting tasks as its task count.
    pub stage: Stage,
    /// The tasks.
    pub tasks: Vec<TaskName>,
}

impl Cell {
    /// Long-running tasks that have waited for at least `wait`, by stage. Gangs are exempt, because
    /// their members must run in one cell.
    pub fn unplaced_tasks(&self, wait: Duration, now: Instant) -> Vec<UnplacedTasks> {
        let has_waited = |task: &Task| {
            task.is_waiting()
                && task.waiting_since.is_some_and(|since| now.duration_since(since) >= wait)
        };
        let mut unplaced = Vec::new();
        for &key in &self.open_jobs {
            let Some(job) = self.jobs.get(key).filter(|job| !job.state.is_final()) else {
                continue;
            };
            let is_serving = job.spec.stages.iter().any(|stage| stage.is_long_running);
            if job.is_partial || !is_serving {
                continue;
            }
            for (task_key, stage) in self.stages_of(key) {
                if TaskKind::of(stage) != TaskKind::Serving || stage.is_gang {
                    continue;
                }
                let tasks: Vec<TaskName> = (0..stage.task_count)
                    .map(|index| TaskKey { index, ..task_key })
                    .filter(|task_key| self.task(*task_key).is_some_and(has_waited))
                    .filter_map(|task_key| self.name_of(task_key))
                    .collect();
                if tasks.is_empty() {
                    continue;
                }
                let stage = Stage { task_count: tasks.len() as u32, ..stage.clone() };
                unplaced.push(UnplacedTasks { service: job.queue.service.clone(), stage, tasks });
            }
        }
        unplaced
    }

    /// Delegates a task that still waits; the delegation takes effect with the next commit.
    pub fn delegate(&mut self, name: &TaskName, cell: CellId) {
        let Some(key) = self.key_of(name) else { return };
        let job = &self.jobs[key.job];
        let is_open = !job.state.is_final() && !job.is_partial && cell != self.id;
        let Some(task) = self.task_mut(key).filter(|task| is_open && task.is_waiting()) else {
            return;
        };
        task.progress.phase = TaskPhase::Delegated(cell);
        let job = &mut self.jobs[key.job];
        job.is_dirty = true;
        job.uncommitted_delegations.push(key);
    }

    /// Returns and clears the delegations to store. Some may be stored already.
    pub fn take_delegations(&mut self) -> Vec<Delegation> {
        std::mem::take(&mut self.committed_delegations)
    }

    /// Adds a task that another cell has delegated to this one; has no effect if the task is known.
    ///
    /// The caller has checked after reading the delegation that the job wasn't cancelled before.
    pub fn admit_delegation(&mut self, delegation: Delegation, now: Instant) {
        let key = match self.by_id.get(&delegation.task.job) {
            Some(&key) => key,
            None => self.insert_partial_job(&delegation, now),
        };
        let job = &mut self.jobs[key];
        if !job.is_partial || job.state.is_final() {
            return;
        }
        let elsewhere = elsewhere(&job.spec);
        while job.occurrences.len() <= delegation.task.occurrence as usize {
            job.occurrences.push(elsewhere.clone());
        }
        let TaskName { occurrence, stage, index, .. } = delegation.task;
        let Some(task) = self.task_mut(TaskKey { job: key, occurrence, stage, index }) else {
            return;
        };
        if matches!(task.progress.phase, TaskPhase::Delegated(_)) {
            task.progress.phase = TaskPhase::Waiting;
            task.progress.attempt = task.progress.attempt.max(delegation.attempt);
            task.progress.checkpoint = delegation.checkpoint;
            task.progress.crash_count = delegation.crash_count;
            task.progress.sole_crash_count = delegation.sole_crash_count;
            self.may_have_suspects = true;
            self.jobs[key].may_have_waiting = true;
        }
        self.needs_plan = true;
    }

    pub(super) fn commit_delegations(&mut self, keys: Vec<TaskKey>) {
        for key in keys {
            if let Some(delegation) = self.delegation_of(key) {
                self.committed_delegations.push(delegation);
            }
        }
    }

    /// Prepares the delegations of a restored job to be stored again: the previous owner may have
    /// failed between the commit and the row.
    pub(super) fn restore_delegations(&mut self, key: JobKey) {
        if !self.jobs[key].is_partial {
            self.commit_delegations(self.task_keys(key));
        }
    }

    fn delegation_of(&self, key: TaskKey) -> Option<Delegation> {
        let job = self.jobs.get(key.job)?;
        let progress = &self.task(key)?.progress;
        let TaskPhase::Delegated(cell) = progress.phase else { return None };
        Some(Delegation {
            cell,
            task: self.name_of(key)?,
            attempt: progress.attempt,
            checkpoint: progress.checkpoint.clone(),
            crash_count: progress.crash_count,
            sole_crash_count: progress.sole_crash_count,
            spec: JobSpec::clone(&job.spec),
            queue: job.queue.clone(),
        })
    }

    /// Stages of all occurrences, with the key of the task with index 0.
    pub(super) fn stages_of(&self, key: JobKey) -> impl Iterator<Item = (TaskKey, &Stage)> + '_ {
        let job = &self.jobs[key];
        (0..job.occurrences.len() as u32).flat_map(move |occurrence| {
            (0..).zip(&job.spec.stages).map(move |(stage_number, stage)| {
                (TaskKey { job: key, occurrence, stage: stage_number, index: 0 }, stage)
            })
        })
    }
}

/// An occurrence of which no task belongs to this cell. The cell in the phase is not used.
fn elsewhere(spec: &JobSpec) -> Occurrence {
    let task = Task {
        progress: TaskProgress {
            phase: TaskPhase::Delegated(CellId::default()),
            ..TaskProgress::default()
        },
        ..Task::default()
    };
    let stages =
        spec.stages.iter().map(|stage| vec![task.clone(); stage.task_count as usize]).collect();
    Occurrence { stages }
}
