//! Jobs of dependent stages, and the queues to which they are submitted.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::{ids::ServiceName, placement::Resources};

/// Identifier of a job, chosen by the caller.
pub type JobId = String;
/// Name of a queue.
pub type QueueName = String;

/// Maximum number of tasks of a job, over all stages, and of its unfinished occurrences together if
/// there are several; their state must fit into one progress row.
pub const MAX_TASKS_PER_JOB: u64 = 1_000;

/// Maximum number of tasks of the occurrences up to that of a delegated task.
const MAX_BEGUN_TASKS: u64 = 100_000;

/// Reason why a job is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum InvalidJob {
    /// The job has no stages.
    #[snafu(display("stages: none"))]
    NoStages,
    /// A stage without tasks.
    #[snafu(display("stages.{stage}.task_count: 0"))]
    NoTasks {
        /// Index of the stage.
        stage: usize,
    },
    /// A stage that depends on itself or a later stage.
    #[snafu(display("stages.{stage}.after: {dependency} isn't an earlier stage"))]
    BadDependency {
        /// Index of the stage.
        stage: usize,
        /// Index of the stage that it depends on.
        dependency: usize,
    },
    /// More tasks than fit into a progress record.
    #[snafu(display("stages: {task_count} tasks, at most {MAX_TASKS_PER_JOB}"))]
    TooManyTasks {
        /// Total number of tasks of all stages.
        task_count: u64,
    },
    /// A specification that doesn't fit into a row.
    #[snafu(display("{bytes} bytes when stored, at most {max_bytes}"))]
    TooLarge {
        /// Size of the row, in bytes.
        bytes: usize,
        /// Maximum size, in bytes.
        max_bytes: usize,
    },
}

/// A set of identical tasks with common dependencies.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Stage {
    /// Number of tasks.
    pub task_count: u32,
    /// Resources that each task requires.
    pub resources: Resources,
    /// The caller's estimate of a task's run time.
    pub estimate_ms: u64,
    /// Indexes of the stages that must be completed first.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<usize>,
    /// Whether tasks write checkpoints; not used by the scheduler, which keeps any checkpoint that
    /// a worker reports.
    pub is_checkpointing: bool,
    /// Whether all tasks must run concurrently (gang scheduling).
    pub is_gang: bool,
    /// Whether tasks run slower when spread across racks; not used by the scheduler.
    pub is_rack_local: bool,
    /// Whether copies of a task may run at the same time, of which the first one that is done counts
    /// (speculative execution).
    pub is_speculative: bool,
    /// Whether tasks run until the job is cancelled.
    pub is_long_running: bool,
    /// Whether tasks use only CPU time that other tasks leave idle.
    pub is_best_effort: bool,
    /// Label that a worker must have.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub required_label: Option<String>,
    /// Label of the rack on which the data is stored; workers with this label are preferred.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub data_rack: Option<String>,
    /// Maximum number of tasks on one worker.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_per_worker: Option<u32>,
    /// Image that the tasks run; interference is estimated per image, since tasks of one image have
    /// the same resource behaviour.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub image: Option<String>,
    /// Target below which the tail latency that each serving task of the stage reports must stay.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub target_tail_ms: Option<u64>,
    /// Maximum number of tasks that the system itself may make unavailable at the same time. A task
    /// is moved to another worker only while all tasks of its stage run, so only 0 has an effect:
    /// it exempts the tasks from such moves.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_unavailable: Option<u32>,
}

/// Schedule of a recurring job; each occurrence runs all stages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Time of the first occurrence, in milliseconds since the Unix epoch.
    pub first_unix_ms: u64,
    /// Interval between two occurrences.
    pub interval_ms: u64,
    /// Number of occurrences.
    pub occurrence_count: u32,
}

/// A job as submitted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct JobSpec {
    /// Queue to which it was submitted.
    pub queue: QueueName,
    /// Payload that is passed to the worker with each task.
    pub payload: String,
    /// The stages, each after those that it depends on; a stage's number is its index.
    pub stages: Vec<Stage>,
    /// When the job runs; immediately if `None`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub schedule: Option<Schedule>,
    /// When it was submitted, in milliseconds since the Unix epoch.
    pub submitted_unix_ms: u64,
}

impl JobSpec {
    /// Validates a submitted job.
    ///
    /// # Errors
    ///
    /// Returns the first invalid field.
    pub fn validate(&self) -> Result<(), InvalidJob> {
        if self.stages.is_empty() {
            return NoStagesSnafu.fail();
        }
        for (stage, spec) in self.stages.iter().enumerate() {
            if spec.task_count == 0 {
                return NoTasksSnafu { stage }.fail();
            }
            if let Some(&dependency) = spec.after.iter().find(|&&dependency| dependency >= stage) {
                return BadDependencySnafu { stage, dependency }.fail();
            }
        }
        let task_count = self.task_count();
        if task_count > MAX_TASKS_PER_JOB {
            return TooManyTasksSnafu { task_count }.fail();
        }
        Ok(())
    }

    /// Number of tasks of one occurrence.
    pub fn task_count(&self) -> u64 {
        self.stages.iter().map(|stage| u64::from(stage.task_count)).sum()
    }

    /// Number of occurrences.
    pub fn occurrence_count(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.occurrence_count)
    }

    /// Number of occurrences whose tasks may be delegated.
    pub fn max_occurrence_count(&self) -> u32 {
        let limit = (MAX_BEGUN_TASKS / self.task_count().max(1)).max(1);
        self.occurrence_count().min(u32::try_from(limit).unwrap_or(u32::MAX))
    }

    /// Whether any task runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.stages.iter().any(|stage| stage.is_long_running)
    }

    /// Estimated run time of the critical path through the stages, in milliseconds.
    ///
    /// # Panics
    ///
    /// Panics if a stage depends on itself or a later stage; [`Self::validate`] rejects such jobs.
    pub fn critical_path_ms(&self) -> u64 {
        let mut path_ends_ms: Vec<u64> = Vec::with_capacity(self.stages.len());
        for stage in &self.stages {
            let ready_ms =
                stage.after.iter().map(|&dependency| path_ends_ms[dependency]).max().unwrap_or(0);
            path_ends_ms.push(ready_ms.saturating_add(stage.estimate_ms));
        }
        path_ends_ms.into_iter().max().unwrap_or(0)
    }
}

/// A queue of jobs, from the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Queue {
    /// Name of the queue.
    pub name: QueueName,
    /// Service whose workers run the tasks.
    pub service: ServiceName,
    /// Priority of the queue; 0 is the highest.
    pub priority: u32,
    /// Number of failures of one task at which its job fails; 0 counts as 1. The failure of a
    /// gang's member counts for all members, once for each run of the gang, and failures of long-running
    /// tasks don't count.
    pub max_attempts: u32,
    /// Factor on the critical path in a job's completion-time objective, which is `stretch` times
    /// the critical path plus `objective_ms`; values below 1 count as 1.
    pub stretch: f64,
    /// Constant part of the completion-time objective, in milliseconds.
    pub objective_ms: u64,
}

/// The active queue configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QueueConfiguration {
    /// Version, which only increases.
    pub version: u64,
    /// The queues.
    pub queues: Vec<Queue>,
    /// Services whose workers enforce their capacity themselves and refuse excess tasks.
    pub guarded_services: Vec<ServiceName>,
}

impl QueueConfiguration {
    /// Returns a queue by name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == name)
    }
}
