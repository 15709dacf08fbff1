//! Job state that a cell's owner commits: assignments, completions and failures of tasks.
//! [`stored`] has its form in the store.
//!
//! An assignment is committed before the start order is sent, and the end of a run before the
//! worker may discard it. A new owner can therefore reconstruct the state of the cell from the
//! committed records and the listings of the workers.

use serde::{Deserialize, Serialize};

use crate::{
    cell::{job::JobSpec, partition::CellId},
    ids::{AttemptNumber, InstanceId},
};

pub mod stored;

/// Highest attempt number that an owner can have assigned; the epochs' ranges end below it.
pub const MAX_ATTEMPT: AttemptNumber = 3_000_000_000;

/// Number of a task's hand-over from one cell to another; each cell that owns the task has a higher
/// one than the cells before it.
pub type HandOverNumber = u32;

/// Identifier of a worker's incarnation; changes whenever the worker has lost its list of runs.
pub type WorkerIncarnation = String;

/// The latest incarnation of an agent's worker that tasks were assigned to. Tells a new owner that
/// an earlier incarnation has ended, once the agent reports a later one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// The incarnation.
    pub incarnation: WorkerIncarnation,
    /// Its start, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// Start of the agent's process, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub agent_started_unix_ms: u64,
}

/// State of a job as shown to its caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// No task has been assigned.
    #[default]
    Queued,
    /// A task has been assigned.
    Active,
    /// All tasks have completed.
    Completed,
    /// A task has reached the maximum number of failures.
    Failed,
    /// Cancelled by its caller.
    Cancelled,
}

impl JobState {
    /// Name of the state in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Queued => "job_queued",
            Self::Active => "job_active",
            Self::Completed => "job_completed",
            Self::Failed => "job_failed",
            Self::Cancelled => "job_cancelled",
        }
    }

    /// Whether no task of the job can start any more.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// Phase of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskPhase {
    /// Waiting for assignment.
    #[default]
    #[serde(rename = "w")]
    Waiting,
    /// Assigned to a worker under the current attempt.
    #[serde(rename = "a")]
    Assigned(WorkerIncarnation),
    /// Completed.
    #[serde(rename = "d")]
    Done,
    /// Delegated to another cell, which alone may start it or pass it on; in the progress of a job
    /// of another cell, also a task that was never delegated to this one.
    #[serde(rename = "g")]
    Delegated(CellId),
}

/// Committed state of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// Current phase.
    #[serde(rename = "p")]
    pub phase: TaskPhase,
    /// Number of the last attempt; 0 before the first.
    #[serde(rename = "n", default, skip_serializing_if = "is_zero")]
    pub attempt: AttemptNumber,
    /// Number of the last attempt whose end was processed.
    #[serde(rename = "e", default, skip_serializing_if = "is_zero")]
    pub ended_attempt: AttemptNumber,
    /// Number of failed attempts; of the whole gang, for a member of one.
    #[serde(rename = "f", default, skip_serializing_if = "is_zero")]
    pub failure_count: u32,
    /// The latest of those attempts, but for those of a gang that were counted for another member.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub failed_attempts: Vec<AttemptNumber>,
    /// Number of crashes of workers for which the task was a suspect, since it was last cleared.
    #[serde(rename = "k", default, skip_serializing_if = "is_zero")]
    pub crash_count: u32,
    /// Number of those crashes for which the task was the only suspect, and the worker wasn't in doubt
    /// itself.
    #[serde(rename = "s", default, skip_serializing_if = "is_zero")]
    pub sole_crash_count: u32,
    /// Agents of the workers that crashed then, the latest first; a few only.
    #[serde(rename = "b", default, skip_serializing_if = "Vec::is_empty")]
    pub crashed_workers: Vec<InstanceId>,
    /// Number of the task's last hand-over that this cell knows of; 0 before the first.
    #[serde(rename = "h", default, skip_serializing_if = "is_zero")]
    pub hand_over: HandOverNumber,
    /// Last reported checkpoint; empty for none.
    #[serde(rename = "c", default, skip_serializing_if = "String::is_empty")]
    pub checkpoint: String,
    /// Runs that haven't ended and that `phase` doesn't show: the second run of a task, and runs of a
    /// completed task that are being stopped.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub other_runs: Vec<RunRecord>,
}

impl TaskProgress {
    fn has_valid_numbers(&self) -> bool {
        let counts = [self.failure_count, self.crash_count, self.sole_crash_count, self.hand_over];
        let attempts = self.other_runs.iter().map(|run| run.attempt);
        let attempts = attempts.chain(self.failed_attempts.iter().copied());
        let mut numbers = attempts.chain([self.attempt, self.ended_attempt]).chain(counts);
        numbers.all(|number| number <= MAX_ATTEMPT)
    }
}

/// Run of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Its attempt.
    #[serde(rename = "n")]
    pub attempt: AttemptNumber,
    /// Its worker.
    #[serde(rename = "w")]
    pub worker: WorkerIncarnation,
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// Committed state of one occurrence of a job: its tasks by stage; empty if all are done.
pub type OccurrenceProgress = Vec<Vec<TaskProgress>>;

/// Committed state of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(try_from = "stored::StoredProgress")]
pub struct JobProgress {
    /// State as shown to the caller.
    pub state: JobState,
    /// Number of the first occurrence in `occurrences`; the tasks of all earlier ones are done.
    pub first_occurrence: u32,
    /// Occurrences that have started; empty once the state is final and no task runs.
    pub occurrences: Vec<OccurrenceProgress>,
}

impl JobProgress {
    /// Whether this can be the state of a job with the specification.
    pub fn is_valid(&self, spec: &JobSpec) -> bool {
        let has_shape = |stages: &OccurrenceProgress| {
            let task_counts = spec.stages.iter().map(|stage| stage.task_count as usize);
            stages.is_empty() || stages.iter().map(Vec::len).eq(task_counts)
        };
        let mut tasks = self.occurrences.iter().flatten().flatten();
        let begun_count = u64::from(self.first_occurrence) + self.occurrences.len() as u64;
        begun_count <= u64::from(spec.occurrence_count())
            && self.occurrences.iter().all(has_shape)
            && tasks.all(TaskProgress::has_valid_numbers)
    }
}
