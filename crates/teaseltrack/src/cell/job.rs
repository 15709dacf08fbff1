//! Jobs of dependent stages, as callers submit them, and the queues that they are submitted to.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::{ids::ServiceName, placement::Resources};

/// Identifier of a job, chosen by its caller.
pub type JobId = String;
/// Name of a queue.
pub type QueueName = String;

/// Most tasks of one job; more would not fit into one progress record.
const MAX_TASKS: u64 = 1_000;

/// Why a job can't be accepted.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum InvalidJob {
    /// There is nothing to run.
    #[snafu(display("stages: none"))]
    NoStages,
    /// A stage without tasks.
    #[snafu(display("stages.{stage}.task_count: 0"))]
    NoTasks {
        /// Number of the stage.
        stage: usize,
    },
    /// A stage that waits for itself or a later one.
    #[snafu(display("stages.{stage}.after: {dependency} isn't an earlier stage"))]
    BadDependency {
        /// Number of the stage.
        stage: usize,
        /// What it names.
        dependency: usize,
    },
    /// More tasks than one record holds.
    #[snafu(display("stages: {task_count} tasks, at most {MAX_TASKS}"))]
    TooManyTasks {
        /// Tasks of all stages.
        task_count: u64,
    },
}

/// Tasks that run the same thing and wait for the same stages.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Stage {
    /// Number of tasks.
    pub task_count: u32,
    /// What each task asks for.
    pub resources: Resources,
    /// The caller's guess at a task's run time.
    pub estimate_ms: u64,
    /// Stages, all of whose tasks must be done first.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<usize>,
    /// Whether tasks write checkpoints.
    pub is_checkpointing: bool,
    /// Whether all tasks run together or not at all.
    pub is_gang: bool,
    /// Whether tasks are slower on more than one rack.
    pub is_rack_local: bool,
    /// Whether copies of a task may run side by side.
    pub is_speculative: bool,
    /// Whether tasks run until the job is cancelled.
    pub is_long_running: bool,
    /// Whether tasks take only the processor time that others leave.
    pub is_best_effort: bool,
    /// Label that a worker must carry.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub required_label: Option<String>,
    /// Rack that holds the data.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub data_rack: Option<String>,
    /// Most tasks on one worker.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_per_worker: Option<u32>,
    /// What the tasks run; tasks of one image behave alike.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub image: Option<String>,
    /// Tail latency below which tasks that serve must stay.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub target_tail_ms: Option<u64>,
    /// Tasks that may be unavailable at a time by the system's own actions.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_unavailable: Option<u32>,
}

/// Runs of all stages at set times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Time of the first occurrence, in milliseconds since the Unix epoch.
    pub first_unix_ms: u64,
    /// Time between two occurrences.
    pub interval_ms: u64,
    /// Number of occurrences.
    pub occurrence_count: u32,
}

/// A job as submitted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct JobSpec {
    /// Queue that it was submitted to.
    pub queue: QueueName,
    /// What the worker is handed with each task.
    pub payload: String,
    /// The stages; a stage's number is its place here.
    pub stages: Vec<Stage>,
    /// When it runs, unless at once.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub schedule: Option<Schedule>,
    /// When it was submitted, in milliseconds since the Unix epoch.
    pub submitted_unix_ms: u64,
}

impl JobSpec {
    /// Checks what a caller sent.
    ///
    /// # Errors
    ///
    /// Names the field that can't be accepted.
    pub fn validate(&self) -> Result<(), InvalidJob> {
        if self.stages.is_empty() {
            return NoStagesSnafu.fail();
        }
        for (stage, spec) in self.stages.iter().enumerate() {
            if spec.task_count == 0 {
                return NoTasksSnafu { stage }.fail();
            }
            if let Some(&dependency) = spec.after.iter().find(|&&earlier| earlier >= stage) {
                return BadDependencySnafu { stage, dependency }.fail();
            }
        }
        let per_run: u64 = self.stages.iter().map(|stage| u64::from(stage.task_count)).sum();
        if per_run > MAX_TASKS {
            return TooManyTasksSnafu { task_count: per_run }.fail();
        }
        Ok(())
    }

    /// Whether any task runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.stages.iter().any(|stage| stage.is_long_running)
    }

    /// Declared run time along the longest chain of stages, in milliseconds.
    pub fn critical_path_ms(&self) -> u64 {
        let mut chains: Vec<u64> = Vec::with_capacity(self.stages.len());
        for stage in &self.stages {
            let before = stage.after.iter().map(|&earlier| chains[earlier]).max().unwrap_or(0);
            chains.push(before + stage.estimate_ms);
        }
        chains.into_iter().max().unwrap_or(0)
    }
}

/// A queue of jobs, from the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Queue {
    /// Its name.
    pub name: QueueName,
    /// Service whose workers run its tasks.
    pub service: ServiceName,
    /// Order among queues; 0 comes first.
    pub priority: u32,
    /// Failures of one task after which its job has failed.
    pub max_attempts: u32,
    /// Factor on a job's chain of work within which it is in time.
    pub stretch: f64,
    /// Time on top of the stretched chain, in milliseconds.
    pub objective_ms: u64,
}

/// The queues in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QueueConfiguration {
    /// Version; only goes up.
    pub version: u64,
    /// The queues.
    pub queues: Vec<Queue>,
    /// Services whose workers refuse tasks beyond their capacity by themselves.
    pub guarded_services: Vec<ServiceName>,
}

impl QueueConfiguration {
    /// A queue by its name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == name)
    }
}
