//! What a cell's owner commits about a job: which tasks are assigned where, done or failed.
//!
//! An assignment is committed before its start is sent, and an end before the worker is told to
//! forget it. The records and the workers' lists together tell a new owner everything.

use serde::{Deserialize, Serialize};

use crate::ids::AttemptNumber;

/// One life of a worker: changes whenever the worker has forgotten what it ran.
pub type WorkerIncarnation = String;

/// State of a job towards its caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// No task has started.
    #[default]
    Queued,
    /// A task has started.
    Active,
    /// All tasks are done.
    Completed,
    /// A task has failed too often.
    Failed,
    /// Cancelled by its caller.
    Cancelled,
}

impl JobState {
    /// Name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Queued => "job_queued",
            Self::Active => "job_active",
            Self::Completed => "job_completed",
            Self::Failed => "job_failed",
            Self::Cancelled => "job_cancelled",
        }
    }

    /// Whether nothing of the job will ever start again.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// Where a task stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskPhase {
    /// To be assigned.
    #[default]
    #[serde(rename = "w")]
    Waiting,
    /// On a worker under the current attempt.
    #[serde(rename = "a")]
    Assigned(WorkerIncarnation),
    /// Done.
    #[serde(rename = "d")]
    Done,
}

/// Committed state of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// Where it stands.
    #[serde(rename = "p")]
    pub phase: TaskPhase,
    /// Number of the last attempt; 0 before the first.
    #[serde(rename = "n", default, skip_serializing_if = "is_zero")]
    pub attempt: AttemptNumber,
    /// Number of the last attempt whose end was taken in.
    #[serde(rename = "e", default, skip_serializing_if = "is_zero")]
    pub ended_attempt: AttemptNumber,
    /// Attempts that failed.
    #[serde(rename = "f", default, skip_serializing_if = "is_zero")]
    pub failure_count: u32,
    /// Last known checkpoint; empty for none.
    #[serde(rename = "c", default, skip_serializing_if = "String::is_empty")]
    pub checkpoint: String,
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// Committed state of one occurrence of a job: its tasks by stage.
pub type OccurrenceProgress = Vec<Vec<TaskProgress>>;

/// Committed state of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobProgress {
    /// State towards the caller.
    pub state: JobState,
    /// Occurrences that have begun; empty once the state is final and nothing runs.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub occurrences: Vec<OccurrenceProgress>,
}
