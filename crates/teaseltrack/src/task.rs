//! Task state machine and the decisions that drive it.
//!
//! A decision about an attempt carries the attempt number. It is rejected unless that is the
//! current attempt (or the next one, for an assignment), so that late and duplicate reports change
//! nothing.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::{
    ids::{AttemptNumber, Incarnation, InstanceId, JobName, Revision},
    record::JobSpec,
};

/// Identity of a task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The job.
    pub job: JobName,
    /// Index within the job, starting at 0.
    pub index: u32,
}

impl std::fmt::Display for TaskId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// Instance and lease under which an attempt runs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Placement {
    /// The instance.
    pub instance: InstanceId,
    /// Incarnation of the instance's lease.
    pub incarnation: Incarnation,
}

/// State of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// Waiting for its first placement, or for another one after an attempt without a checkpoint.
    #[default]
    Pending,
    /// Assigned to an instance, which may not have received the start order yet.
    Assigned(Placement),
    /// Running.
    Running(Placement),
    /// Waiting for a placement to resume from its checkpoint.
    Evicted,
    /// Completed.
    Done,
    /// Failed permanently.
    Failed,
    /// Not placeable on any known instance.
    Parked,
    /// Cancelled by an operator.
    Cancelled,
}

impl TaskState {
    /// Name used on the wire and in reports.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Pending => "pending",
            Self::Assigned(_) => "assigned",
            Self::Running(_) => "running",
            Self::Evicted => "evicted",
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Parked => "parked",
            Self::Cancelled => "cancelled",
        }
    }

    /// Whether the state is final.
    pub fn is_final(&self) -> bool {
        matches!(self, Self::Done | Self::Failed | Self::Cancelled)
    }

    /// Whether the task is waiting for a placement.
    pub fn is_waiting(&self) -> bool {
        matches!(self, Self::Pending | Self::Evicted)
    }

    /// Placement of the current attempt, if it is assigned or running.
    pub fn placement(&self) -> Option<&Placement> {
        match self {
            Self::Assigned(placement) | Self::Running(placement) => Some(placement),
            _ => None,
        }
    }
}

/// Task as stored in its shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Task {
    /// State of the task.
    pub state: TaskState,
    /// Number of the latest attempt; 0 before the first.
    pub attempt: AttemptNumber,
    /// Number of failed attempts.
    pub failures: u32,
    /// Object store key of the latest committed checkpoint.
    pub checkpoint: Option<String>,
}

/// Change to the state of a shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "decision")]
pub enum Decision {
    /// A job was submitted.
    JobAdded {
        /// The job.
        job: JobName,
        /// Revision of its record.
        revision: Revision,
        /// Its specification.
        spec: JobSpec,
    },
    /// A job was amended; its new attempts use the new specification.
    JobAmended {
        /// The job.
        job: JobName,
        /// Revision of its record.
        revision: Revision,
        /// Its new specification.
        spec: JobSpec,
    },
    /// A job was withdrawn; all its tasks that are not final are cancelled.
    JobCancelled {
        /// The job.
        job: JobName,
        /// Revision of its record.
        revision: Revision,
    },
    /// An attempt was assigned to an instance.
    Assigned {
        /// The task.
        task: TaskId,
        /// The new attempt.
        attempt: AttemptNumber,
        /// Placement of the attempt.
        placement: Placement,
        /// Reason for the placement.
        reason: String,
    },
    /// An attempt was reported as running.
    Started {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// An attempt ended without a result; the task returns to a waiting state.
    Released {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
        /// Reason for the decision.
        reason: String,
    },
    /// An attempt was stopped after its checkpoint was stored.
    Evicted {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
        /// Object store key of the checkpoint.
        checkpoint: String,
        /// Reason for the decision.
        reason: String,
    },
    /// An attempt completed the task.
    Done {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// An attempt failed; the task is retried or fails permanently.
    AttemptFailed {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
        /// Whether the task failed permanently.
        is_final: bool,
        /// Reason for the decision.
        reason: String,
    },
    /// A task cannot be placed on any known instance.
    Parked {
        /// The task.
        task: TaskId,
        /// Reason for the decision.
        reason: String,
    },
    /// A parked task can be placed again.
    Unparked {
        /// The task.
        task: TaskId,
        /// Reason for the decision.
        reason: String,
    },
}

impl Decision {
    /// Job that the decision applies to.
    pub fn job(&self) -> &str {
        match self {
            Self::JobAdded { job, .. }
            | Self::JobAmended { job, .. }
            | Self::JobCancelled { job, .. } => job,
            _ => self.task().map_or("", |task| &task.job),
        }
    }

    /// Task that the decision applies to; `None` if it applies to a whole job.
    pub fn task(&self) -> Option<&TaskId> {
        match self {
            Self::JobAdded { .. } | Self::JobAmended { .. } | Self::JobCancelled { .. } => None,
            Self::Assigned { task, .. }
            | Self::Started { task, .. }
            | Self::Released { task, .. }
            | Self::Evicted { task, .. }
            | Self::Done { task, .. }
            | Self::AttemptFailed { task, .. }
            | Self::Parked { task, .. }
            | Self::Unparked { task, .. } => Some(task),
        }
    }
}

/// Reason for which a decision was rejected.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(visibility(pub(crate)))]
pub enum TransitionError {
    /// The shard has no such job.
    #[snafu(display("job {job} not found"))]
    UnknownJob {
        /// The job.
        job: JobName,
    },
    /// The job has no task with the index.
    #[snafu(display("task {task} not found"))]
    UnknownTask {
        /// The task.
        task: TaskId,
    },
    /// The decision does not match the current attempt.
    #[snafu(display("attempt {given} does not match the current attempt {current}"))]
    StaleAttempt {
        /// Attempt number in the decision.
        given: AttemptNumber,
        /// Current attempt number of the task.
        current: AttemptNumber,
    },
    /// The decision is not allowed in the current state.
    #[snafu(display("invalid transition: {decision} in state {state}"))]
    InvalidTransition {
        /// Name of the state.
        state: &'static str,
        /// Name of the decision.
        decision: &'static str,
    },
    /// The revision of the record is not newer than the applied one.
    #[snafu(display("revision {given} is not newer than {current}"))]
    StaleRevision {
        /// Revision in the decision.
        given: Revision,
        /// Applied revision of the job.
        current: Revision,
    },
}

/// State transition of one task.
#[derive(Clone, Debug)]
pub(crate) enum Transition<'a> {
    Assign(AttemptNumber, &'a Placement),
    Start(AttemptNumber),
    Release(AttemptNumber),
    Evict(AttemptNumber, &'a str),
    Complete(AttemptNumber),
    Fail { attempt: AttemptNumber, is_final: bool },
    Park,
    Unpark,
    Cancel,
}

impl Transition<'_> {
    fn name(&self) -> &'static str {
        match self {
            Self::Assign(..) => "assigned",
            Self::Start(_) => "started",
            Self::Release(_) => "released",
            Self::Evict(..) => "evicted",
            Self::Complete(_) => "done",
            Self::Fail { .. } => "failed",
            Self::Park => "parked",
            Self::Unpark => "unparked",
            Self::Cancel => "cancelled",
        }
    }

    fn attempt(&self) -> Option<AttemptNumber> {
        match self {
            Self::Start(attempt)
            | Self::Release(attempt)
            | Self::Evict(attempt, _)
            | Self::Complete(attempt)
            | Self::Fail { attempt, .. } => Some(*attempt),
            Self::Assign(..) | Self::Park | Self::Unpark | Self::Cancel => None,
        }
    }
}

impl Task {
    /// Returns the task as changed by the transition.
    pub(crate) fn apply(&self, transition: &Transition<'_>) -> Result<Self, TransitionError> {
        if let Some(given) = transition.attempt()
            && given != self.attempt
        {
            return StaleAttemptSnafu { given, current: self.attempt }.fail();
        }
        let mut next = self.clone();
        next.state = match (&self.state, transition) {
            (TaskState::Pending | TaskState::Evicted, Transition::Assign(attempt, placement)) => {
                if *attempt != self.attempt + 1 {
                    return StaleAttemptSnafu { given: *attempt, current: self.attempt }.fail();
                }
                next.attempt = *attempt;
                TaskState::Assigned((*placement).clone())
            }
            (TaskState::Assigned(placement), Transition::Start(_)) => {
                TaskState::Running(placement.clone())
            }
            (TaskState::Assigned(_) | TaskState::Running(_), Transition::Release(_)) => {
                self.waiting_state()
            }
            (TaskState::Assigned(_) | TaskState::Running(_), Transition::Evict(_, checkpoint)) => {
                next.checkpoint = Some((*checkpoint).to_owned());
                TaskState::Evicted
            }
            (TaskState::Assigned(_) | TaskState::Running(_), Transition::Complete(_)) => {
                TaskState::Done
            }
            (TaskState::Assigned(_) | TaskState::Running(_), Transition::Fail { is_final, .. }) => {
                next.failures += 1;
                if *is_final { TaskState::Failed } else { self.waiting_state() }
            }
            (TaskState::Pending | TaskState::Evicted, Transition::Park) => TaskState::Parked,
            (TaskState::Parked, Transition::Unpark) => self.waiting_state(),
            (state, Transition::Cancel) if !state.is_final() => TaskState::Cancelled,
            (state, transition) => {
                let (state, decision) = (state.name(), transition.name());
                return InvalidTransitionSnafu { state, decision }.fail();
            }
        };
        Ok(next)
    }

    /// State in which the task waits: to resume from its checkpoint, or without one to restart.
    fn waiting_state(&self) -> TaskState {
        if self.checkpoint.is_some() { TaskState::Evicted } else { TaskState::Pending }
    }
}
