//! The life of one task: its states and the committed decisions that change them.
//!
//! A decision names the attempt that it is about. A decision about any other attempt than the
//! current one is refused, so that late and repeated news changes nothing.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::{
    ids::{AttemptNumber, Incarnation, InstanceId, JobName, Revision},
    record::JobSpec,
};

/// One task of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The job.
    pub job: JobName,
    /// Number within the job, from 0.
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

/// Where a task stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// Waits for a place.
    #[default]
    Pending,
    /// Has a place; the start may or may not have arrived.
    Assigned(Placement),
    /// Runs.
    Running(Placement),
    /// Stopped with a checkpoint; waits for a place to resume.
    Evicted,
    /// Finished.
    Done,
    /// Failed for good.
    Failed,
    /// Can't run anywhere at present.
    Parked,
    /// Withdrawn by an operator.
    Cancelled,
}

impl TaskState {
    /// Name on the wire and in reports.
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

    /// Whether the task changes no more.
    pub fn is_final(&self) -> bool {
        matches!(self, Self::Done | Self::Failed | Self::Cancelled)
    }

    /// Whether the task waits for a place.
    pub fn is_waiting(&self) -> bool {
        matches!(self, Self::Pending | Self::Evicted)
    }

    /// Where the current attempt is, if it is anywhere.
    pub fn placement(&self) -> Option<&Placement> {
        match self {
            Self::Assigned(placement) | Self::Running(placement) => Some(placement),
            _ => None,
        }
    }
}

/// A task as its shard holds it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Task {
    /// Where it stands.
    pub state: TaskState,
    /// Number of the newest attempt; 0 before the first.
    pub attempt: AttemptNumber,
    /// Attempts that failed.
    pub failures: u32,
    /// Key of the newest committed checkpoint in the object store.
    pub checkpoint: Option<String>,
}

/// One committed change to a shard.
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
    /// A job was amended; tasks that wait follow the new specification.
    JobAmended {
        /// The job.
        job: JobName,
        /// Revision of its record.
        revision: Revision,
        /// Its new specification.
        spec: JobSpec,
    },
    /// A job was withdrawn; all its tasks that aren't final are cancelled.
    JobCancelled {
        /// The job.
        job: JobName,
        /// Revision of its record.
        revision: Revision,
    },
    /// An attempt got a place.
    Assigned {
        /// The task.
        task: TaskId,
        /// The new attempt.
        attempt: AttemptNumber,
        /// Its place.
        placement: Placement,
        /// Why there.
        reason: String,
    },
    /// An attempt was seen running.
    Started {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// An attempt ended without a result; the task waits again.
    Released {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
        /// Why.
        reason: String,
    },
    /// An attempt stopped behind a stored checkpoint.
    Evicted {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
        /// Key of the checkpoint in the object store.
        checkpoint: String,
        /// Why.
        reason: String,
    },
    /// An attempt finished the task.
    Done {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// An attempt failed; the task waits again, or failed for good.
    AttemptFailed {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
        /// Whether the task is given up.
        is_final: bool,
        /// Why.
        reason: String,
    },
    /// A task can't run anywhere at present.
    Parked {
        /// The task.
        task: TaskId,
        /// Why.
        reason: String,
    },
    /// A parked task may run again.
    Unparked {
        /// The task.
        task: TaskId,
        /// Why.
        reason: String,
    },
}

impl Decision {
    /// The job that the decision is about.
    pub fn job(&self) -> &str {
        match self {
            Self::JobAdded { job, .. }
            | Self::JobAmended { job, .. }
            | Self::JobCancelled { job, .. } => job,
            _ => self.task().map_or("", |task| &task.job),
        }
    }

    /// The task that the decision is about, if it is about one.
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

/// Why a decision doesn't apply.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(visibility(pub(crate)))]
pub enum TransitionError {
    /// The job isn't in the shard.
    #[snafu(display("{job}: no such job"))]
    UnknownJob {
        /// The job.
        job: JobName,
    },
    /// The job has no task of that number.
    #[snafu(display("{task}: no such task"))]
    UnknownTask {
        /// The task.
        task: TaskId,
    },
    /// The decision is about another attempt than the current one.
    #[snafu(display("attempt {given} isn't the current attempt {current}"))]
    StaleAttempt {
        /// Attempt of the decision.
        given: AttemptNumber,
        /// Attempt of the task.
        current: AttemptNumber,
    },
    /// The state doesn't allow the decision.
    #[snafu(display("{decision} doesn't follow {state}"))]
    InvalidTransition {
        /// Name of the state.
        state: &'static str,
        /// Name of the decision.
        decision: &'static str,
    },
    /// The record's revision is older than the one applied.
    #[snafu(display("revision {given} isn't above {current}"))]
    StaleRevision {
        /// Revision of the decision.
        given: Revision,
        /// Revision of the job.
        current: Revision,
    },
}

/// Change to one task, without the task's identity.
#[derive(Clone, Debug)]
pub(crate) enum Transition<'a> {
    Assign(AttemptNumber, &'a Placement),
    Start(AttemptNumber),
    Release(AttemptNumber),
    Evict(AttemptNumber, &'a str),
    Finish(AttemptNumber),
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
            Self::Finish(_) => "done",
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
            | Self::Finish(attempt)
            | Self::Fail { attempt, .. } => Some(*attempt),
            Self::Assign(..) | Self::Park | Self::Unpark | Self::Cancel => None,
        }
    }
}

impl Task {
    /// The task after the transition.
    pub(crate) fn after(&self, transition: &Transition<'_>) -> Result<Self, TransitionError> {
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
            (TaskState::Assigned(_) | TaskState::Running(_), Transition::Finish(_)) => {
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

    /// The waiting state: with a checkpoint the task resumes, without one it starts anew.
    fn waiting_state(&self) -> TaskState {
        if self.checkpoint.is_some() { TaskState::Evicted } else { TaskState::Pending }
    }
}
