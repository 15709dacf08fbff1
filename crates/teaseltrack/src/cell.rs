//! State machine of a cell's owner. A cell is a set of workers on which one owner at a time
//! schedules jobs of dependent stages.
//!
//! The owner keeps all state in memory and commits job progress ([`progress`]) in batches. A start
//! order is sent only after its assignment is committed, and a worker discards the record of an
//! ended run only after the owner has committed it; together this prevents a task from running
//! twice. After a takeover, the new owner recovers uncommitted state from the workers' listings,
//! which it requests under a higher session token. An unreachable worker keeps its tasks until its
//! lease expires.
//!
//! [`Cell`] processes submissions, cancellations and reports, plans ([`planning`]), and returns the
//! progress to commit and the orders to send. It performs no I/O; callers pass in the current time.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::{Duration, Instant},
};

use slotmap::{SlotMap, new_key_type};

use crate::{
    cell::{
        copies::TaskCopy,
        delegation::{Delegation, UncommittedHandOver},
        durations::{FactorEstimate, Histories, HistoryKey},
        evacuation::{EvacuationSettings, EvacuationState},
        feasibility::InfeasibleStages,
        gang_room::GangHold,
        idle_tasks::{IdleCause, IdleTaskCounts, RoomCounts},
        interference::{ImageUsage, InterferenceModel, InterferenceSettings},
        job::{JobId, JobSpec, Queue, QueueConfiguration, Stage},
        obstacles::Obstacles,
        occurrences::{Occurrence, Occurrences},
        partition::CellId,
        planning::Promotion,
        progress::{
            JobProgress, JobState, TaskPhase, TaskProgress, WorkerIncarnation, WorkerRecord,
        },
        protocol::{
            EndCause, EndedTask, Order, RefusedStart, Report, ReportResponse, RunningTask,
            SessionToken, TaskName, WorkerListing, WorkerStatus, worker_of,
        },
        room_promises::RoomPromise,
        silence::SilentWorker,
        tail_model::Tail,
        worker::{Exclusion, ExclusionCause, TaskKey, Worker},
    },
    ids::{AttemptNumber, Epoch, InstanceId, ZoneName},
    placement::Resources,
};

mod commits;
pub mod copies;
pub mod delegation;
mod durations;
pub mod evacuation;
mod failures;
mod feasibility;
mod gang_room;
pub mod health;
pub mod idle_tasks;
pub mod interference;
pub mod job;
pub mod loss;
pub mod obstacles;
mod occurrences;
pub mod ownership;
pub mod pacing;
pub mod partition;
pub mod planning;
pub mod preemption;
pub mod progress;
pub mod protocol;
pub mod quarantine;
pub mod quote;
pub mod regrouping;
pub mod reliability;
pub mod relocation;
mod restrictions;
pub mod room_promises;
pub mod scoring;
mod serving_room;
pub mod silence;
pub mod succession;
pub mod tail_model;
mod unsettled_starts;
pub mod worker;

new_key_type! {
    /// Key of a job within the owner.
    pub struct JobKey;
    /// Key of a worker incarnation within the owner.
    pub struct WorkerKey;
}

/// Attempt numbers of a task reserved for each epoch. A new owner starts above its predecessor's
/// range, so that it doesn't reuse numbers that the predecessor assigned but didn't commit.
const ATTEMPTS_PER_EPOCH: u32 = 1_000;
/// Session numbers reserved for each epoch, so that session tokens increase from owner to owner.
const SESSIONS_PER_EPOCH: u64 = 1 << 20;
/// Interval of interference estimation, stall detection and slowdown decay, and maximum interval of
/// planning; about the interval at which tails are reported.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of orders in one response; keeps the response within the message size limit.
const MAX_ORDERS_PER_RESPONSE: usize = 64;
/// Number of ends in a listing from which on it may lack further ones.
const MAX_LISTED_ENDS: usize = 500;

/// Settings of a cell's owner.
#[derive(Clone, Copy, Debug)]
pub struct CellSettings {
    /// Duration of the lease granted with each report.
    pub lease: Duration,
    /// Maximum rate, as a fraction, by which a worker's clock may run slow.
    pub clock_drift: f64,
    /// Longest lease that a worker accepts, whatever it was granted.
    pub max_lease: Duration,
    /// Safety margin added to every wait for a lease to expire, for the time that a worker takes to
    /// stop its tasks.
    pub lease_margin: Duration,
    /// Time without a report from the agent after which its worker gets no new tasks.
    pub agent_timeout: Duration,
    /// Time without a new reading of its clock after which a worker counts as silent.
    pub silence_timeout: Duration,
    /// Time without new assignments to a worker after it refused a start.
    pub refusal_backoff: Duration,
    /// Detection of failing and slow workers and of stalled runs.
    pub health: health::HealthSettings,
    /// Placement and sharing of workers.
    pub planning: planning::PlanningSettings,
    /// Isolation of tasks that may crash their workers.
    pub quarantine: quarantine::QuarantineSettings,
    /// Stops of runs for waiting jobs of higher priority.
    pub preemption: preemption::PreemptionSettings,
    /// Copies of slow runs.
    pub copies: copies::CopySettings,
    /// Estimation of the interference between images.
    pub interference: InterferenceSettings,
    /// Evacuation of availability zones; `None` if the owner doesn't follow requests for it.
    pub evacuation: Option<EvacuationSettings>,
}

impl CellSettings {
    /// Time after the grant of a lease until nothing runs under it, even with the slowest allowed
    /// worker clock.
    pub fn worst_case_lease(&self) -> Duration {
        self.lease.mul_f64(1.0 + self.clock_drift) + self.lease_margin
    }

    /// Time after which nothing runs on a worker that has taken a lease that wasn't its own.
    fn longest_lease(&self) -> Duration {
        self.max_lease.mul_f64(1.0 + self.clock_drift) + self.lease_margin
    }
}

/// Run of a task's current attempt on a worker.
#[derive(Clone, Debug)]
pub struct Run {
    worker: WorkerKey,
    /// Session of the assignment or of the last listing with the run; 0 for a run restored from the
    /// store until the worker lists it.
    session: SessionToken,
    /// Whether the worker has listed the run to this owner.
    is_listed: bool,
    /// Whether the start order may have been sent.
    is_ordered: bool,
    /// Time of the first listing since the start order that lacks the run.
    unsettled_since: Option<Instant>,
    /// Whether the run has been ordered to stop.
    is_stopping: bool,
    /// Completed share of the work, as last listed.
    percent: u32,
    /// Completed share of the work, as first listed.
    first_percent: u32,
    /// CPU time used between the listings, in core-milliseconds; not more than requested.
    used_core_ms: f64,
    /// Tail latency or CPU use, as last listed; see [`RunningTask::gauge`].
    gauge: u64,
    first_listed_at: Option<Instant>,
    last_listed_at: Option<Instant>,
    /// Readings of the worker's clock with the first and the last listing of the run.
    listed_clock_ms: Option<(u64, u64)>,
    /// Reading of the worker's clock with the first listing of the present percentage.
    progressed_clock_ms: u64,
    /// Start of the stall timeout.
    progressed_at: Option<Instant>,
    /// Time since which the run has been listed without CPU use.
    idle_since: Option<Instant>,
    /// Whether the long-running run has counted as a success of its worker.
    has_lasted: bool,
}

/// Scheduling state of a task.
#[derive(Clone, Debug, Default)]
pub struct Task {
    /// Progress to commit, except that an assignment is derived from `run` on commit
    /// ([`Cell::progress_to_commit`]): with a new run, `phase` stays [`TaskPhase::Waiting`].
    progress: TaskProgress,
    run: Option<Run>,
    /// Second run, only while there is a first one.
    copy: Option<TaskCopy>,
    /// Number of the last attempt that was started as a copy by this owner; 0 for none.
    last_copy_attempt: AttemptNumber,
    /// Time at which planning first tried to place the task; cleared when its run ends.
    waiting_since: Option<Instant>,
    /// Time since which the serving task has no worker, in this cell or in one that has handed it over
    /// since; cleared when its run ends.
    unplaced_since: Option<Instant>,
    /// Time since which no worker lists the serving task.
    unlisted_since: Option<Instant>,
    /// Reason for which no worker lists the serving task, and time since which it is that one.
    idle_cause: Option<(IdleCause, Instant)>,
    /// Time since which workers have had room for the serving task that nobody lists.
    beside_room_since: Option<Instant>,
    /// Time since which another cell is known to have had room for the waiting task.
    room_found_at: Option<Instant>,
    /// Time at which the waiting task was handed over to this cell.
    received_at: Option<Instant>,
    /// Whether the last crash under the task preceded the first listing of its run.
    has_crashed_unlisted: bool,
    /// Time at which the last crash under the task was attributed to it.
    crashed_at: Option<Instant>,
    /// Worker on which a run failed or stalled, or from which the task was moved.
    avoided_worker: Option<WorkerKey>,
    /// Time of the last move by [`regrouping`].
    moved_at: Option<Instant>,
    /// Time of the last stop by [`preemption`].
    preempted_at: Option<Instant>,
    /// Duration of the completed run.
    run_time: Option<Duration>,
}

impl Task {
    fn is_waiting(&self) -> bool {
        let is_startable =
            matches!(self.progress.phase, TaskPhase::Waiting | TaskPhase::Assigned(_));
        self.run.is_none() && is_startable
    }
}

/// Scheduling state of a job.
#[derive(Clone, Debug)]
pub struct Job {
    id: JobId,
    spec: Arc<JobSpec>,
    queue: Queue,
    accepted_at: Instant,
    state: JobState,
    committed_state: JobState,
    occurrences: Occurrences,
    is_dirty: bool,
    /// Whether the store has rejected the last version of its progress.
    is_rejected: bool,
    /// Whether a task may be waiting in a stage that is ready; planning skips the job otherwise.
    may_have_waiting: bool,
    /// Run times of the done tasks of each stage, as factors on the declared estimate.
    stage_factors: Vec<FactorEstimate>,
    /// What earlier jobs have shown about each stage.
    histories: Vec<HistoryKey>,
    /// Whether only tasks that another cell has delegated belong to this one.
    is_partial: bool,
    /// Whether a run of any task is known to have started.
    has_begun: bool,
    /// Time at which the job was last passed over after it had come first without getting any room.
    promoted_in_vain_at: Option<Instant>,
    uncommitted_starts: Vec<UncommittedStart>,
    uncommitted_hand_overs: Vec<UncommittedHandOver>,
    /// Whether the store may have a hand-over of any task.
    has_hand_overs: bool,
}

/// State to commit in one transaction.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CommitBatch {
    /// Progress rows to write, by job.
    pub rows: Vec<(JobId, JobProgress)>,
    /// Worker rows to write, by agent.
    pub workers: Vec<(InstanceId, WorkerRecord)>,
    /// Silent workers, to be recorded in the owner's row.
    pub silent_workers: Vec<SilentWorker>,
}

/// Assignment of a task whose start order is sent once the assignment is committed.
#[derive(Clone, Copy, Debug)]
struct UncommittedStart {
    worker: WorkerKey,
    task: TaskKey,
    attempt: AttemptNumber,
}

/// State changes and orders deferred until the in-flight commit succeeds.
#[derive(Clone, Debug, Default)]
struct PendingEffects {
    starts: Vec<UncommittedStart>,
    hand_overs: Vec<UncommittedHandOver>,
    states: Vec<(JobKey, JobState)>,
    ends: Vec<(WorkerKey, u64)>,
    /// Workers that the owner's row has listed as silent and that the batch doesn't list.
    returned: Vec<WorkerKey>,
}

/// Job as read from the store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredJob {
    /// Identifier chosen by the caller.
    pub id: JobId,
    /// Specification as submitted.
    pub spec: JobSpec,
    /// Queue configuration at submission; used if the queue no longer exists.
    pub queue: Queue,
    /// Last committed progress; `None` if nothing was committed.
    pub progress: Option<JobProgress>,
    /// Whether the caller cancelled the job.
    pub is_cancelled: bool,
    /// Whether the job belongs to another cell, which has delegated tasks of it to this one.
    pub is_partial: bool,
    /// Time since the job was accepted.
    pub age: Duration,
}

/// Scheduling event, for logs and metrics.
#[derive(Clone, Debug, PartialEq)]
pub enum CellEvent {
    /// A task was assigned to a worker.
    Assigned {
        /// Name of the task.
        task: TaskName,
        /// Attempt of the run.
        attempt: AttemptNumber,
        /// Worker incarnation of the run.
        worker: WorkerIncarnation,
    },
    /// A worker reported the end of a run.
    Ended {
        /// Name of the task.
        task: TaskName,
        /// Attempt of the run.
        attempt: AttemptNumber,
        /// Worker incarnation of the run.
        worker: WorkerIncarnation,
        /// Why the run ended.
        cause: EndCause,
    },
    /// A run is being stopped because it makes no progress.
    Stalled {
        /// Name of the task.
        task: TaskName,
        /// Attempt of the run.
        attempt: AttemptNumber,
        /// Worker incarnation of the run.
        worker: WorkerIncarnation,
    },
    /// Others are preferred to a worker from now on, because work is expected to take longer there,
    /// or not any more.
    Doubt {
        /// Worker incarnation.
        worker: WorkerIncarnation,
        /// Whether others are preferred.
        is_doubted: bool,
        /// Expected time until work is done, in relation to a sound worker.
        expected_slowdown: f64,
    },
    /// A serving or paused best-effort task is being stopped so that it can be placed on another
    /// worker.
    Moved {
        /// Name of the task.
        task: TaskName,
        /// Attempt of the run.
        attempt: AttemptNumber,
        /// Worker incarnation of the run.
        worker: WorkerIncarnation,
    },
    /// A run is being stopped to make room for a waiting task.
    Preempted {
        /// Name of the task.
        task: TaskName,
        /// Attempt of the run.
        attempt: AttemptNumber,
        /// Worker incarnation of the run.
        worker: WorkerIncarnation,
        /// Waiting task.
        newcomer: TaskName,
        /// What the waiting job's caller gains by the stops of one round, in the unit of
        /// [`loss::job_value`].
        gain: f64,
        /// What the stops for the job cost, in the same unit.
        cost: f64,
    },
    /// A copy of a slow run was assigned to another worker.
    CopyStarted {
        /// Name of the task.
        task: TaskName,
        /// Attempt of the copy.
        attempt: AttemptNumber,
        /// Worker incarnation of the copy.
        worker: WorkerIncarnation,
        /// Expected time until the first run is done.
        remaining: Duration,
        /// Expected time until the copy is done.
        copy_time: Duration,
    },
    /// One of a task's two runs was done, and the other one is being stopped.
    CopySettled {
        /// Name of the task.
        task: TaskName,
        /// Attempt of the run that was done.
        attempt: AttemptNumber,
        /// Worker incarnation of that run.
        worker: WorkerIncarnation,
        /// Whether that run is the copy.
        is_copy_first: bool,
        /// Work of the other run, which is lost, in core-milliseconds.
        lost_core_ms: u64,
    },
    /// A task was reclaimed from a worker that reported no end of its run.
    Reclaimed {
        /// Name of the task.
        task: TaskName,
        /// Attempt of the run.
        attempt: AttemptNumber,
        /// Worker incarnation of the run.
        worker: WorkerIncarnation,
        /// Reason, as logged.
        reason: String,
    },
    /// A worker crashed under a task that may have caused it.
    Suspected {
        /// Name of the task.
        task: TaskName,
        /// Worker incarnation that crashed.
        worker: WorkerIncarnation,
        /// Number of crashes for which the task was a suspect.
        crash_count: u32,
        /// Number of those for which it was the only suspect.
        sole_crash_count: u32,
        /// Whether the task is given up and its job fails.
        is_given_up: bool,
    },
    /// A worker with tasks has stopped reporting; its tasks are reclaimed once its lease has expired.
    Silent {
        /// Worker incarnation.
        worker: WorkerIncarnation,
        /// Number of its tasks.
        task_count: usize,
        /// Time until its lease has expired for certain.
        lease_remaining: Duration,
    },
    /// Serving tasks wait to be placed; reported for the one that has waited longest.
    Unplaced {
        /// Name of the task.
        task: TaskName,
        /// Time for which it has waited under this owner.
        waited: Duration,
        /// Number of serving tasks that wait.
        count: usize,
        /// What it requests.
        required: Resources,
        /// What is free on the eligible worker with the most free CPU.
        free: Resources,
        /// What keeps the workers from running it.
        obstacles: Obstacles,
    },
    /// Serving tasks are listed by no worker; reported for one task of each cause.
    Idle {
        /// Name of the task.
        task: TaskName,
        /// Its last attempt; 0 before the first.
        attempt: AttemptNumber,
        /// Worker incarnation that it is assigned to, if any.
        worker: Option<WorkerIncarnation>,
        /// Why it has no run, as far as the owner knows.
        cause: IdleCause,
        /// Time for which no worker has listed it under this owner.
        idle: Duration,
        /// Time since it has that cause.
        cause_time: Duration,
        /// Time for which there has been room for it twice over.
        beside_room: Duration,
        /// Number of serving tasks with that cause.
        count: usize,
        /// Room for such tasks.
        rooms: RoomCounts,
    },
    /// A worker gets no new tasks for some time, because several runs in a row have failed there; also
    /// when the time starts anew.
    ProbationBegun {
        /// Worker incarnation.
        worker: WorkerIncarnation,
        /// Number of the last tasks that have failed there in a row.
        failed_task_count: usize,
        /// Number of its tasks.
        task_count: usize,
    },
    /// A worker gets new tasks again.
    ProbationEnded {
        /// Worker incarnation.
        worker: WorkerIncarnation,
    },
    /// Stages wait that no state of the present workers can run; reported for the one that was accepted
    /// first.
    Infeasible {
        /// Name of its first task.
        task: TaskName,
        /// Number of its tasks.
        task_count: u32,
        /// What each of them requests.
        required: Resources,
        /// Number of its tasks for which the empty workers have room.
        room_count: u32,
        /// Number of such stages.
        stage_count: usize,
    },
    /// A job reached a final state.
    State {
        /// Identifier of the job.
        job: JobId,
        /// State that it reached.
        state: JobState,
    },
    /// An availability zone is being evacuated.
    EvacuationStarted {
        /// The zone.
        zone: ZoneName,
        /// Number of the cell's workers in it.
        worker_count: usize,
        /// Number of their tasks.
        task_count: usize,
    },
    /// An evacuated zone has no tasks left.
    EvacuationEmptied {
        /// The zone.
        zone: ZoneName,
        /// Time since the owner learned of the request.
        elapsed: Duration,
    },
    /// The evacuation of a zone was taken back.
    EvacuationEnded {
        /// The zone.
        zone: ZoneName,
        /// Number of tasks that are still there.
        task_count: usize,
        /// Time since the owner learned of the request.
        elapsed: Duration,
    },
    /// No worker of the cell is in an evacuated zone.
    EvacuationUnknown {
        /// The zone.
        zone: ZoneName,
    },
    /// The report of another cell's agent was ignored.
    ForeignReport {
        /// Agent that sent the report.
        agent: InstanceId,
        /// Cell of the agent.
        cell: CellId,
    },
    /// A worker incarnation started a session.
    Session {
        /// Worker incarnation.
        worker: WorkerIncarnation,
        /// Agent of the worker.
        agent: InstanceId,
        /// Token of the new session.
        session: SessionToken,
    },
}

impl CellEvent {
    /// Name in metrics; ended runs are named by their cause and final jobs by their state.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Assigned { .. } => "assigned",
            Self::Ended { cause, .. } => cause.name(),
            Self::Stalled { .. } => "stalled",
            Self::Doubt { is_doubted: true, .. } => "worker_doubted",
            Self::Doubt { .. } => "worker_trusted",
            Self::Moved { .. } => "moved",
            Self::Preempted { .. } => "preempted",
            Self::CopyStarted { .. } => "copy_started",
            Self::CopySettled { is_copy_first: true, .. } => "copy_won",
            Self::CopySettled { .. } => "copy_lost",
            Self::Reclaimed { .. } => "taken_back",
            Self::Suspected { is_given_up: true, .. } => "task_given_up",
            Self::Suspected { .. } => "task_suspected",
            Self::Silent { .. } => "worker_silent",
            Self::Unplaced { .. } => "task_unplaced",
            Self::Idle { .. } => "task_idle",
            Self::ProbationBegun { .. } => "probation_begun",
            Self::ProbationEnded { .. } => "probation_ended",
            Self::Infeasible { .. } => "stage_infeasible",
            Self::State { state, .. } => state.name(),
            Self::EvacuationStarted { .. } => "evacuation_started",
            Self::EvacuationEmptied { .. } => "evacuation_emptied",
            Self::EvacuationEnded { .. } => "evacuation_ended",
            Self::EvacuationUnknown { .. } => "evacuation_unknown",
            Self::ForeignReport { .. } => "foreign_report",
            Self::Session { .. } => "session",
        }
    }
}

/// In-memory state of a cell, held by its owner.
#[derive(Debug)]
pub struct Cell {
    id: CellId,
    settings: CellSettings,
    epoch: Epoch,
    session_count: u64,
    configuration: QueueConfiguration,
    jobs: SlotMap<JobKey, Job>,
    by_id: HashMap<JobId, JobKey>,
    /// Jobs that are not final, still have runs, or whose final state is not yet committed.
    open_jobs: Vec<JobKey>,
    workers: SlotMap<WorkerKey, Worker>,
    by_incarnation: HashMap<WorkerIncarnation, WorkerKey>,
    by_agent: BTreeMap<InstanceId, WorkerKey>,
    /// Stored workers of agents that haven't reported to this owner.
    stored_workers: HashMap<InstanceId, WorkerRecord>,
    pending_effects: Option<PendingEffects>,
    committed_delegations: Vec<Delegation>,
    /// Jobs whose end other cells must learn of.
    ended_jobs: Vec<JobId>,
    /// Rooms that other cells have been told of.
    room_promises: Vec<RoomPromise>,
    needs_plan: bool,
    /// Whether any task may be a suspect.
    may_have_suspects: bool,
    /// Version of the interference estimates that the workers' remaining headrooms follow from.
    headrooms_version: u64,
    /// Time of the next occurrence.
    next_due_at: Option<Instant>,
    events: Vec<CellEvent>,
    previous_leases_end: Instant,
    /// Workers that were silent for the previous owner.
    silent_workers: HashMap<WorkerIncarnation, SilentWorker>,
    /// Silent workers in the last version of the owner's row, or in the commit in flight.
    listed_silent_workers: Vec<SilentWorker>,
    interference: InterferenceModel,
    evacuation: EvacuationState,
    histories: Histories,
    /// Decayed number of losses of each agent's worker, and when it was last changed.
    losses: HashMap<InstanceId, (f64, Instant)>,
    /// Recent crashes of each agent's worker that no convicted task explains.
    crashes: HashMap<InstanceId, Vec<quarantine::Crash>>,
    maintained_at: Option<Instant>,
    regrouped_at: Option<Instant>,
    relocated_at: Option<Instant>,
    preemption_checked_at: Option<Instant>,
    copies_searched_at: Option<Instant>,
    obstacles_reported_at: Option<Instant>,
    idle_reported_at: Option<Instant>,
    idle_task_counts: IdleTaskCounts,
    infeasible_stages: InfeasibleStages,
    gang_hold: Option<GangHold>,
    promotion: Option<Promotion>,
}

impl Cell {
    /// Creates the empty cell of an owner that has just started `epoch`.
    ///
    /// `previous_grants_end` is the latest time at which the previous owner may have granted a
    /// lease.
    pub fn new(
        id: CellId,
        settings: CellSettings,
        epoch: Epoch,
        configuration: QueueConfiguration,
        previous_grants_end: Instant,
    ) -> Self {
        Self {
            id,
            previous_leases_end: previous_grants_end + settings.worst_case_lease(),
            silent_workers: HashMap::new(),
            listed_silent_workers: Vec::new(),
            interference: InterferenceModel::new(settings.interference),
            evacuation: EvacuationState::default(),
            histories: Histories::default(),
            losses: HashMap::new(),
            crashes: HashMap::new(),
            maintained_at: None,
            regrouped_at: None,
            relocated_at: None,
            preemption_checked_at: None,
            copies_searched_at: None,
            obstacles_reported_at: None,
            idle_reported_at: None,
            idle_task_counts: IdleTaskCounts::default(),
            infeasible_stages: InfeasibleStages::default(),
            gang_hold: None,
            promotion: None,
            settings,
            epoch,
            session_count: 0,
            configuration,
            jobs: SlotMap::with_key(),
            by_id: HashMap::new(),
            open_jobs: Vec::new(),
            workers: SlotMap::with_key(),
            by_incarnation: HashMap::new(),
            by_agent: BTreeMap::new(),
            stored_workers: HashMap::new(),
            pending_effects: None,
            committed_delegations: Vec::new(),
            ended_jobs: Vec::new(),
            room_promises: Vec::new(),
            needs_plan: true,
            may_have_suspects: true,
            headrooms_version: 0,
            next_due_at: None,
            events: Vec::new(),
        }
    }

    /// Epoch of the owner.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Version of the active configuration.
    pub fn configuration_version(&self) -> u64 {
        self.configuration.version
    }

    /// Returns and clears the events since the last call.
    pub fn take_events(&mut self) -> Vec<CellEvent> {
        std::mem::take(&mut self.events)
    }

    /// Applies a configuration if it is newer than the active one.
    pub fn apply_configuration(&mut self, configuration: QueueConfiguration) {
        if configuration.version <= self.configuration.version {
            return;
        }
        self.configuration = configuration;
        for job in self.jobs.values_mut() {
            if let Some(queue) = self.configuration.queue(&job.spec.queue) {
                job.queue = queue.clone();
            }
        }
        self.needs_plan = true;
    }

    /// Adds a stored job. For a job that is already loaded, only applies its cancellation.
    pub fn admit(&mut self, stored: StoredJob, now: Instant) {
        if let Some(&key) = self.by_id.get(&stored.id) {
            if stored.is_cancelled {
                self.cancel_job(key);
            }
            return;
        }
        let queue = self.configuration.queue(&stored.spec.queue).cloned().unwrap_or(stored.queue);
        let progress = stored.progress.unwrap_or_default();
        let mut tasks = progress.occurrences.iter().flatten().flatten();
        let has_begun = progress.first_occurrence > 0
            || tasks.any(|task| task.phase == TaskPhase::Done || task.ended_attempt > 0);
        let accepted_at = now.checked_sub(stored.age).unwrap_or(now);
        let stage_factors = vec![FactorEstimate::default(); stored.spec.stages.len()];
        let histories = self.histories.keys_of(&stored.spec, now);
        let key = self.jobs.insert(Job {
            id: stored.id.clone(),
            spec: Arc::new(stored.spec),
            queue,
            accepted_at,
            state: progress.state,
            committed_state: progress.state,
            occurrences: Occurrences::starting_at(progress.first_occurrence),
            is_dirty: false,
            is_rejected: false,
            may_have_waiting: true,
            stage_factors,
            histories,
            is_partial: stored.is_partial,
            has_begun,
            promoted_in_vain_at: None,
            uncommitted_starts: Vec::new(),
            uncommitted_hand_overs: Vec::new(),
            has_hand_overs: false,
        });
        self.by_id.insert(stored.id, key);
        self.restore_occurrences(key, progress, now);
        self.restore_delegations(key);
        if !self.jobs[key].state.is_final() || self.has_runs(key) {
            self.open_jobs.push(key);
        }
        if stored.is_cancelled {
            self.cancel_job(key);
        }
        self.needs_plan = true;
    }

    /// Adopts the stored workers of agents.
    pub fn adopt_workers(&mut self, workers: Vec<(InstanceId, WorkerRecord)>) {
        self.stored_workers.extend(workers);
    }

    /// Cancels a job whose cancellation is stored; returns `false` if the job is not loaded.
    pub fn cancel(&mut self, id: &str) -> bool {
        let Some(&key) = self.by_id.get(id) else { return false };
        self.cancel_job(key);
        true
    }

    /// State of a job as shown to its caller. `Completed` and `Failed` are shown only once they are
    /// committed; a cancellation is stored before the owner applies it, and is shown at once.
    ///
    /// `None` for an unknown job, or one of which only delegated tasks belong to the cell.
    pub fn state(&self, id: &str) -> Option<JobState> {
        let job = &self.jobs[*self.by_id.get(id)?];
        if job.is_partial {
            return None;
        }
        let is_visible = !job.state.is_final() || job.committed_state == job.state;
        Some(match job.state {
            JobState::Cancelled => JobState::Cancelled,
            state if is_visible => state,
            _ => JobState::Active,
        })
    }

    /// Number of jobs of a queue of which no task is known to have started. An assignment isn't
    /// enough, since its start order may not reach the worker.
    pub fn pending_count(&self, queue: &str) -> usize {
        self.open_jobs
            .iter()
            .filter_map(|key| self.jobs.get(*key))
            .filter(|job| {
                !job.state.is_final()
                    && !job.has_begun
                    && job.spec.queue == queue
                    && !job.is_partial
            })
            .count()
    }

    /// Number of open jobs: jobs that are not final, still have runs, or whose final state is not
    /// yet committed.
    pub fn open_count(&self) -> usize {
        self.open_jobs.len()
    }

    /// Processes an agent's report and returns the response. The report of another cell's agent,
    /// whose worker has another owner, is ignored.
    ///
    /// `may_grant` states whether the owner has renewed its ownership recently enough to grant
    /// leases, and has had a batch committed since its takeover.
    pub fn handle_report(
        &mut self,
        mut report: Report,
        may_grant: bool,
        now: Instant,
    ) -> ReportResponse {
        if report.cell != self.id {
            self.events.push(CellEvent::ForeignReport { agent: report.agent, cell: report.cell });
            return ReportResponse::default();
        }
        let mut response = ReportResponse { epoch: self.epoch, ..ReportResponse::default() };
        let Some(key) = self.attach_agent(&report, now) else { return response };
        if !self.ensure_session(key, report.session, report.started_unix_ms, &report.agent) {
            // Carries no orders: the agent gets those of the session, which are numbered from 1,
            // once it reports under it.
            response.session = self.workers[key].session;
            response.first_order = 1;
            response.evacuation = self.evacuation_notice(key, now);
            self.grant_lease(key, &report, may_grant, now, &mut response);
            return response;
        }
        let worker = &mut self.workers[key];
        worker.last_report_at = now;
        if worker.is_reachable != report.is_worker_reachable {
            worker.is_reachable = report.is_worker_reachable;
            self.needs_plan = true;
        }
        worker.acknowledge_orders(report.accepted_order);
        for refused in &report.refused {
            self.process_refusal(key, refused, now);
        }
        if let Some(listing) = report.listing.take() {
            if let Some(running) = &listing.running {
                self.observe_interference(key, running, now);
            }
            self.process_listing(key, listing, report.worker_clock_ms, now);
        }
        if let Some(estimates) = report.interference.take() {
            self.interference.adopt_estimates(estimates);
        }
        self.grant_lease(key, &report, may_grant, now, &mut response);
        self.limit_lease_end(key, &report, now);
        let worker = &self.workers[key];
        response.session = worker.session;
        response.forget_until = worker.committed_end;
        response.first_order = worker.first_order;
        response.orders = worker.orders.iter().take(MAX_ORDERS_PER_RESPONSE).cloned().collect();
        response.evacuation = self.evacuation_notice(key, now);
        // The response to a report that is parked carries no estimates.
        let is_immediate = report.wait_ms == 0
            || !response.orders.is_empty()
            || response.forget_until > report.forgot_until;
        if is_immediate && report.interference_version != self.interference.estimates().version {
            response.interference = Some(self.interference.estimates().clone());
        }
        response
    }

    /// Whether the agent's worker has orders that the agent has not accepted, committed ends
    /// that it may discard, or a lease to get with its next report.
    pub fn has_pending_update(&self, agent: &str, accepted_order: u64, forgot_until: u64) -> bool {
        self.by_agent.get(agent).is_some_and(|key| {
            let worker = &self.workers[*key];
            let next_order = worker.first_order + worker.orders.len() as u64;
            next_order > accepted_order + 1
                || worker.committed_end > forgot_until
                || worker.is_lease_due
        })
    }

    /// Returns the agents whose workers have an update since the last call: only their parked reports
    /// may have a response.
    pub fn take_updated_agents(&mut self) -> Vec<InstanceId> {
        let workers = self.workers.values_mut();
        let updated = workers.filter_map(|worker| {
            std::mem::take(&mut worker.has_update).then(|| worker.agent.clone())
        });
        updated.flatten().collect()
    }

    /// Response to a parked report: one without an immediate response, because there were no orders
    /// or committed ends to send. Grants no lease.
    pub fn pending_update(&self, agent: &str, now: Instant) -> ReportResponse {
        let mut response = ReportResponse { epoch: self.epoch, ..ReportResponse::default() };
        let Some(&key) = self.by_agent.get(agent) else { return response };
        let worker = &self.workers[key];
        response.session = worker.session;
        response.forget_until = worker.committed_end;
        response.first_order = worker.first_order;
        response.orders = worker.orders.iter().take(MAX_ORDERS_PER_RESPONSE).cloned().collect();
        response.evacuation = self.evacuation_notice(key, now);
        response
    }

    /// Reclaims the tasks of workers whose lease has expired, and periodically updates the
    /// interference estimates, stops stalled runs, decays slowdowns and requests a planning round.
    /// Due occurrences request one at once.
    pub fn tick(&mut self, now: Instant) {
        let expired_workers: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.lease_end.is_some_and(|end| end <= now))
            .map(|(key, _)| key)
            .collect();
        for key in expired_workers {
            self.note_expired_suspects(key);
            self.note_loss(key, now);
            self.invalidate_worker(key, "lease expired");
        }
        self.detect_silent_workers(now);
        self.needs_plan |= self.next_due_at.is_some_and(|due_at| due_at <= now);
        let maintained_at = *self.maintained_at.get_or_insert(now);
        if now.duration_since(maintained_at) >= MAINTENANCE_INTERVAL {
            self.interference.update_estimates(now.duration_since(maintained_at), now);
            self.stop_stalled_runs(now);
            self.observe_progress();
            self.decay_slowdowns(now.duration_since(maintained_at));
            self.review_evacuations(now);
            self.end_exclusions(now);
            self.review_idle_tasks(now);
            self.decay_reliability(now.duration_since(maintained_at), now);
            self.forget_crashes(now);
            // Back-offs, waiting times and due occurrences change what planning decides without any
            // report.
            self.needs_plan = true;
            self.maintained_at = Some(now);
        }
    }

    /// Feeds the interference model with the tails of serving tasks and the CPU use of the
    /// colocated best-effort tasks, and updates the worker's headrooms.
    fn observe_interference(&mut self, key: WorkerKey, running: &[RunningTask], now: Instant) {
        let Some(status) = self.workers[key].status.as_ref() else { return };
        let capacity_milli = status.capacity.cpu_milli.max(1) as f64;
        let mut usage = ImageUsage::new();
        let mut tails = Vec::new();
        for run in running {
            let Some(task) = self.key_of(&run.task) else { continue };
            let stage = self.stage(task);
            let image = stage.image.clone().unwrap_or_default();
            if stage.is_best_effort {
                *usage.entry(image).or_insert(0.0) += run.gauge as f64 / capacity_milli;
            } else if let Some(target_ms) = stage.target_tail_ms.filter(|_| run.gauge > 0) {
                tails.push((task, image, run.gauge, target_ms));
            }
        }
        let estimates = self.interference.estimates();
        let limit = self.settings.planning.tail_limit;
        let mut headrooms = BTreeMap::new();
        for (_, image, tail_ms, target_ms) in &tails {
            let tail_ms = *tail_ms as f64;
            let idle_tail_ms = estimates.idle_tail_ms(image, tail_ms);
            let tail = Tail { tail_ms, idle_tail_ms, target_ms: *target_ms as f64 };
            let base_utilization =
                tail.utilization() / (1.0 + estimates.total_growth(image, &usage));
            let headroom = tail.utilization_at(limit) / base_utilization - 1.0;
            let min_headroom = headrooms.entry(image.clone()).or_insert(headroom);
            *min_headroom = headroom.min(*min_headroom);
        }
        let worker = &mut self.workers[key];
        worker.are_headrooms_stale = true;
        worker.headrooms = headrooms;
        worker.best_effort_used_milli = (usage.values().sum::<f64>() * capacity_milli) as u64;
        let usage = Arc::new(usage);
        for (task, image, tail_ms, _) in tails {
            self.interference.observe(task, &image, tail_ms, &usage, now);
        }
    }

    /// Whether a planning round is due: state has changed since the last one, or time has passed.
    pub fn needs_plan(&self) -> bool {
        self.needs_plan
    }

    fn restore_occurrences(&mut self, key: JobKey, progress: JobProgress, now: Instant) {
        let spec = self.jobs[key].spec.clone();
        let lease_end = self.previous_leases_end;
        for (occurrence, stages) in (progress.first_occurrence..).zip(progress.occurrences) {
            let mut restored = Occurrence::default();
            for (stage, tasks) in stages.into_iter().enumerate() {
                let mut restored_tasks = Vec::with_capacity(tasks.len());
                for (index, mut progress) in tasks.into_iter().enumerate() {
                    self.may_have_suspects |= progress.crash_count > 0;
                    let task =
                        TaskKey { job: key, occurrence, stage: stage as u32, index: index as u32 };
                    let mut run = match &progress.phase {
                        TaskPhase::Assigned(incarnation) => {
                            let worker = self.get_or_insert_worker(incarnation, lease_end, now);
                            self.workers[worker].reserve(task, &spec.stages[stage]);
                            Some(Run { is_ordered: true, ..Run::new(worker, 0) })
                        }
                        TaskPhase::Waiting | TaskPhase::Done | TaskPhase::Delegated(_) => None,
                    };
                    let stage = &spec.stages[stage];
                    let copy = self.restore_other_runs(
                        task,
                        stage,
                        &mut progress,
                        &mut run,
                        (lease_end, now),
                    );
                    restored_tasks.push(Task { progress, run, copy, ..Task::default() });
                }
                restored.stages.push(restored_tasks);
            }
            self.jobs[key].occurrences.push(restored);
        }
        if !self.jobs[key].is_partial {
            self.jobs[key].occurrences.drop_finished();
        }
    }

    /// Inserts a job of another cell, of which no task belongs to this one yet.
    fn insert_partial_job(&mut self, delegation: &Delegation, now: Instant) -> JobKey {
        let id = delegation.task.job.clone();
        self.admit(
            StoredJob {
                id: id.clone(),
                spec: delegation.spec.clone(),
                queue: delegation.queue.clone(),
                progress: None,
                is_cancelled: false,
                is_partial: true,
                age: Duration::ZERO,
            },
            now,
        );
        self.by_id[&id]
    }

    fn get_or_insert_worker(
        &mut self,
        incarnation: &str,
        lease_end: Instant,
        now: Instant,
    ) -> WorkerKey {
        if let Some(&key) = self.by_incarnation.get(incarnation) {
            return key;
        }
        let mut worker = Worker::new(incarnation.to_owned(), now);
        worker.lease_end = Some(lease_end);
        worker.is_unconfirmed = true;
        worker.is_lease_inherited = true;
        if let Some(silent) = self.silent_workers.get(incarnation) {
            worker.lease_end = Some(lease_end.min(silent.lease_end));
            worker.reported_clock_ms = silent.clock_ms;
            // Without a reading, the worker hasn't responded to the owner that recorded it.
            worker.is_silent = silent.clock_ms > 0;
            worker.is_recorded_silent = true;
        }
        let key = self.workers.insert(worker);
        self.by_incarnation.insert(incarnation.to_owned(), key);
        key
    }

    /// Associates the agent with the reported worker incarnation, creating it if it is unknown;
    /// `None` without a worker, and for a late report of an earlier incarnation.
    fn attach_agent(&mut self, report: &Report, now: Instant) -> Option<WorkerKey> {
        let status = report.status.as_ref()?;
        let agent = &report.agent;
        let incarnation = status.incarnation();
        if let Some(&current) = self.by_agent.get(agent)
            && self.workers[current].incarnation != incarnation
        {
            let worker = &self.workers[current];
            let current_unix_ms = worker.status.as_ref().map_or(0, |status| status.started_unix_ms);
            if current_unix_ms <= status.started_unix_ms {
                self.note_restart(current, report, now);
            } else if !worker.is_abandoned(now) {
                return None;
            }
            self.replace_worker(current, &incarnation, now);
        }
        let is_recorded = self.adopt_stored_worker(report, status, now);
        let key = match self.by_incarnation.get(&incarnation) {
            Some(&key) => key,
            None => {
                let mut worker = Worker::new(incarnation.clone(), now);
                worker.recent_losses = self.loss_count(agent, now);
                let key = self.workers.insert(worker);
                self.by_incarnation.insert(incarnation, key);
                key
            }
        };
        self.by_agent.insert(agent.clone(), key);
        let worker = &mut self.workers[key];
        worker.agent = Some(agent.clone());
        worker.is_recorded |= is_recorded;
        worker.last_report_at = now;
        // An agent's reports may overtake each other.
        if report.worker_clock_ms < worker.status_clock_ms {
            return Some(key);
        }
        worker.status_clock_ms = report.worker_clock_ms;
        if worker.status.as_ref() != Some(status) {
            worker.status = Some(status.clone());
            worker.are_headrooms_stale = true;
            self.needs_plan = true;
        }
        Some(key)
    }

    /// Records that an agent's worker has ended.
    fn note_restart(&mut self, ended: WorkerKey, report: &Report, now: Instant) {
        // If the agent has restarted as well, so has the instance, and no task is to blame.
        if self.workers[ended].agent_started_unix_ms == report.started_unix_ms {
            self.attribute_crash(ended, &report.agent, now);
        }
        let status = self.workers[ended].status.as_ref();
        if status.is_none_or(|status| !status.is_draining) {
            self.note_loss(ended, now);
        }
    }

    /// Ends the agent's stored worker if the reported one is a later incarnation. Returns whether the
    /// reported worker is the stored one.
    fn adopt_stored_worker(
        &mut self,
        report: &Report,
        status: &WorkerStatus,
        now: Instant,
    ) -> bool {
        let Some(stored) = self.stored_workers.remove(&report.agent) else { return false };
        let has_same_agent = stored.agent_started_unix_ms == report.started_unix_ms;
        if stored.incarnation == status.incarnation() {
            return has_same_agent;
        }
        if stored.started_unix_ms < status.started_unix_ms
            && let Some(&ended) = self.by_incarnation.get(&stored.incarnation)
            && !self.is_worker_of_another_agent(ended, &report.agent)
        {
            if has_same_agent {
                self.attribute_crash(ended, &report.agent, now);
            }
            self.replace_worker(ended, &status.incarnation(), now);
        }
        false
    }

    /// Whether a worker has reported through another agent, or is recorded as the one of another agent.
    fn is_worker_of_another_agent(&self, key: WorkerKey, agent: &str) -> bool {
        let worker = &self.workers[key];
        worker.agent.as_ref().is_some_and(|other| other != agent)
            || self.stored_workers.values().any(|stored| stored.incarnation == worker.incarnation)
    }

    /// Ends a worker's incarnation and reclaims its runs. Starts that it hasn't listed may still
    /// reach the next incarnation. One with the same identifier can't tell them from its own, so these
    /// tasks stay assigned until its first listing; any other refuses them.
    fn replace_worker(&mut self, ended: WorkerKey, next: &str, now: Instant) {
        let is_same_worker = worker_of(next) == worker_of(&self.workers[ended].incarnation);
        let assigned: Vec<TaskKey> = self.workers[ended].tasks.iter().copied().collect();
        let mut in_transit = assigned;
        in_transit.retain(|task| {
            let run = self.task(*task).and_then(|task| task.run_on(ended));
            is_same_worker && run.is_some_and(|run| run.is_ordered && !run.is_listed)
        });
        if !in_transit.is_empty() {
            let next = self.get_or_insert_worker(next, now + self.settings.longest_lease(), now);
            // Not a bound of the previous owner.
            self.workers[next].is_lease_inherited = false;
            for task in in_transit {
                self.move_run(task, ended, next);
            }
        }
        self.invalidate_worker(ended, "worker restarted");
        self.remove_worker(ended);
    }

    /// Assigns a task's run on one worker to another.
    fn move_run(&mut self, key: TaskKey, from: WorkerKey, to: WorkerKey) {
        let spec = self.jobs[key.job].spec.clone();
        let stage = &spec.stages[key.stage as usize];
        self.workers[from].release(key, stage);
        self.workers[to].reserve(key, stage);
        self.select_run(key, from);
        if let Some(run) = self.task_mut(key).and_then(|task| task.run.as_mut()) {
            run.worker = to;
        }
        self.jobs[key.job].is_dirty = true;
    }

    /// Starts a session if the worker has none or its agent has restarted. Returns whether the
    /// report belongs to the active session; a report never belongs to a session that it started.
    fn ensure_session(
        &mut self,
        key: WorkerKey,
        reported: SessionToken,
        agent_started_unix_ms: u64,
        agent: &InstanceId,
    ) -> bool {
        let worker = &self.workers[key];
        if worker.session != 0 && worker.agent_started_unix_ms == agent_started_unix_ms {
            return reported == worker.session;
        }
        self.begin_session(key, agent_started_unix_ms, agent);
        false
    }

    fn begin_session(&mut self, key: WorkerKey, agent_started_unix_ms: u64, agent: &InstanceId) {
        self.session_count += 1;
        let session = self.epoch * SESSIONS_PER_EPOCH + self.session_count;
        let worker = &mut self.workers[key];
        worker.begin_session(session, agent_started_unix_ms);
        self.events.push(CellEvent::Session {
            worker: worker.incarnation.clone(),
            agent: agent.clone(),
            session,
        });
    }

    /// Grants a lease for a reading of the worker's clock. An agent that can't call its worker can't
    /// pass on a lease either, and its worker's heartbeats may bring new readings for ever.
    fn grant_lease(
        &mut self,
        key: WorkerKey,
        report: &Report,
        may_grant: bool,
        now: Instant,
        response: &mut ReportResponse,
    ) {
        let worker_clock_ms = report.worker_clock_ms;
        let worst_case_lease = self.settings.worst_case_lease();
        let worker = &mut self.workers[key];
        // The first reading since the worker fell silent may repeat one that an earlier owner has had.
        let is_comparable = !worker.is_silent || worker.reported_clock_ms > 0;
        let is_new = worker_clock_ms > worker.reported_clock_ms && is_comparable;
        worker.reported_clock_ms = worker.reported_clock_ms.max(worker_clock_ms);
        if !report.is_worker_reachable {
            return;
        }
        worker.is_unconfirmed = false;
        if is_new {
            worker.clock_reported_at = now;
            worker.is_silent = false;
        }
        if !may_grant || worker_clock_ms == 0 || worker.is_silent || worker.is_recorded_silent {
            return;
        }
        let lease_ms = self.settings.lease.as_millis() as u64;
        response.lease_until_ms = Some(worker_clock_ms.saturating_add(lease_ms));
        worker.is_lease_due = false;
        // A repeated or late clock reading yields a lease that ends no later than one already
        // granted.
        if worker_clock_ms > worker.clock_ms {
            worker.clock_ms = worker_clock_ms;
            let end = now + worst_case_lease;
            worker.lease_end = Some(worker.lease_end.map_or(end, |current| current.max(end)));
        }
    }

    fn process_listing(
        &mut self,
        key: WorkerKey,
        listing: WorkerListing,
        clock_ms: u64,
        now: Instant,
    ) {
        let has_all_ends = listing.ended.len() < MAX_LISTED_ENDS;
        for end in listing.ended {
            self.process_end(key, &end, now);
        }
        self.needs_plan |= self.workers[key].is_quarantined;
        let Some(running) = listing.running else { return };
        for run in &running {
            self.reconcile_run(key, run, clock_ms, now);
        }
        if has_all_ends {
            self.reclaim_lost_runs(key, clock_ms);
        }
        let worker = &mut self.workers[key];
        worker.listed_at = Some(now);
        // Only the first complete listing of a session shows which start orders of earlier sessions were
        // not executed; later listings may lack runs whose start order is still in transit.
        if worker.is_reconciled {
            return self.limit_wait_for_starts(key, now);
        }
        if !has_all_ends {
            return;
        }
        worker.is_reconciled = true;
        // The worker has responded since its lease expired, so it hasn't crashed.
        worker.expired_suspects.clear();
        // A new session ends a refusal back-off or probation.
        if !worker.is_settling_starts {
            (worker.exclusion, worker.refused_at) = (None, None);
        }
        let session = worker.session;
        let assigned: Vec<TaskKey> = worker.tasks.iter().copied().collect();
        for task in assigned {
            let is_listed = self
                .task(task)
                .and_then(|task| task.run_on(key))
                .is_some_and(|run| run.is_listed && run.session == session);
            if !is_listed {
                self.select_run(task, key);
                self.reclaim_with_gang(task, "start order was not executed");
            }
        }
        self.needs_plan = true;
    }

    /// Reclaims the runs that the session has listed, that a complete listing at a later reading of the clock
    /// lacks, and whose end isn't known: it is lost, since a worker lists each end until it is
    /// acknowledged. An agent's reports may overtake each other, but one with a later reading was sent
    /// later, and a run that has ended never comes back.
    fn reclaim_lost_runs(&mut self, key: WorkerKey, clock_ms: u64) {
        let worker = &self.workers[key];
        let session = worker.session;
        let is_lost = |task: &TaskKey| {
            self.task(*task).and_then(|task| task.run_on(key)).is_some_and(|run| {
                run.is_listed
                    && run.session == session
                    && run.listed_clock_ms.is_some_and(|(_, last_ms)| last_ms < clock_ms)
            })
        };
        let lost: Vec<TaskKey> = worker.tasks.iter().copied().filter(is_lost).collect();
        for task in lost {
            self.select_run(task, key);
            self.reclaim_with_gang(task, "run is gone, and its end is lost");
        }
    }

    fn reconcile_run(&mut self, key: WorkerKey, listed: &RunningTask, clock_ms: u64, now: Instant) {
        let session = self.workers[key].session;
        let clearing_time = self.settings.quarantine.clearing_time;
        let task_key = self.key_of(&listed.task);
        if let Some(task_key) = task_key {
            self.restore_completed_run(key, task_key, listed.attempt);
        }
        let mut was_suspect = false;
        let cpu_milli = task_key.map_or(0, |key| self.stage(key).resources.cpu_milli);
        let is_wanted = task_key.is_some_and(|task_key| {
            let is_final = self.jobs[task_key.job].state.is_final();
            let Some(task) = self.task_mut(task_key) else { return false };
            let is_ahead = task.is_ahead(listed.attempt, listed.percent);
            let Some(run) = task.run_mut(key, listed.attempt) else { return false };
            run.update_progress(listed, clock_ms, cpu_milli, now);
            run.is_listed = true;
            run.session = session;
            let is_wanted = !run.is_stopping && !is_final;
            if !listed.checkpoint.is_empty() && is_ahead {
                task.progress.checkpoint.clone_from(&listed.checkpoint);
            }
            was_suspect = task.clear_after_run(clearing_time);
            is_wanted
        });
        if let Some(job) = task_key.and_then(|key| self.jobs.get_mut(key.job)) {
            job.has_begun = true;
        }
        if was_suspect && let Some(task_key) = task_key {
            self.jobs[task_key.job].is_dirty = true;
            self.needs_plan = true;
        }
        if let Some(task_key) = task_key {
            self.note_lasting_run(key, task_key);
        }
        if is_wanted {
            if !self.workers[key].is_reconciled {
                self.enqueue_traits(key, &listed.task, task_key);
            }
            return;
        }
        let stop = Order::Stop(listed.task.clone(), listed.attempt);
        let worker = &mut self.workers[key];
        if !worker.orders.contains(&stop) {
            worker.enqueue_order(stop);
        }
        let Some(task) = task_key.and_then(|key| self.task_mut(key)) else { return };
        if let Some(run) = task.run.as_mut()
            && run.worker == key
        {
            run.is_stopping = true;
        }
        if let Some(run) = task.run_mut(key, listed.attempt) {
            run.is_stopping = true;
        }
    }

    /// Reserves the resources of a listed run whose task a previous owner has committed as done: the
    /// run of another member of a completed gang, or of a later attempt, takes some time to stop.
    fn restore_completed_run(&mut self, key: WorkerKey, task_key: TaskKey, attempt: AttemptNumber) {
        let session = self.workers[key].session;
        let Some(task) = self.task_mut(task_key) else { return };
        let progress = &task.progress;
        let is_running = progress.attempt == attempt && progress.ended_attempt < attempt;
        if task.run.is_some() || progress.phase != TaskPhase::Done || !is_running {
            return;
        }
        let run = Run { is_ordered: true, is_stopping: true, ..Run::new(key, session) };
        task.run = Some(run);
        let spec = self.jobs[task_key.job].spec.clone();
        self.workers[key].reserve(task_key, &spec.stages[task_key.stage as usize]);
    }

    fn process_end(&mut self, key: WorkerKey, end: &EndedTask, now: Instant) {
        let worker = &mut self.workers[key];
        if end.number <= worker.processed_end {
            return;
        }
        worker.processed_end = end.number;
        let incarnation = worker.incarnation.clone();
        let Some(task_key) = self.key_of(&end.task) else { return };
        self.events.push(CellEvent::Ended {
            task: end.task.clone(),
            attempt: end.attempt,
            worker: incarnation,
            cause: end.cause,
        });
        let is_current =
            self.task_mut(task_key).is_some_and(|task| task.run_mut(key, end.attempt).is_some());
        let mut is_ahead = true;
        if is_current {
            self.select_run(task_key, key);
            if end.cause == EndCause::Done {
                self.settle_copy(task_key, now);
            }
            self.note_end_on_worker(key, (task_key, end.attempt), end.cause, now);
            is_ahead = self.task(task_key).is_some_and(Task::is_first_run_ahead);
            self.release_run(task_key);
        }
        let Some(task) = self.task_mut(task_key) else { return };
        // A run that was done while its worker was cut off may be listed after the end of a later attempt.
        let is_first_done = end.cause == EndCause::Done && task.progress.phase != TaskPhase::Done;
        if end.attempt <= task.progress.ended_attempt && !is_current && !is_first_done {
            return;
        }
        if !end.checkpoint.is_empty() && is_ahead {
            task.progress.checkpoint.clone_from(&end.checkpoint);
        }
        if is_current && matches!(end.cause, EndCause::Done | EndCause::Failed) {
            task.clear_suspicion();
        }
        // The end of a copy may precede that of an earlier attempt. After one of them is done, the
        // end of the other one counts for nothing.
        let is_counted = (end.attempt > task.progress.ended_attempt || is_current)
            && task.progress.phase != TaskPhase::Done;
        task.progress.ended_attempt = task.progress.ended_attempt.max(end.attempt);
        self.jobs[task_key.job].is_dirty = true;
        self.jobs[task_key.job].has_begun = true;
        self.needs_plan = true;
        match end.cause {
            EndCause::Done => self.complete_task(task_key),
            EndCause::Failed if is_counted => self.record_failure(task_key, end.attempt),
            EndCause::Failed
            | EndCause::Stopped
            | EndCause::Lapsed
            | EndCause::Broken
            | EndCause::Alone => {}
        }
        self.finalize_if_done(task_key.job);
    }

    fn complete_task(&mut self, key: TaskKey) {
        let stage = &self.jobs[key.job].spec.stages[key.stage as usize];
        if stage.is_long_running {
            return;
        }
        // The first member of a gang to complete completes all members.
        let members = if stage.is_gang { 0..stage.task_count } else { key.index..key.index + 1 };
        // The stages that depend on this one may be ready now.
        self.jobs[key.job].may_have_waiting = true;
        for index in members {
            let member = TaskKey { index, ..key };
            self.stop_run(member);
            self.stop_copy(member);
            if let Some(task) = self.task_mut(member) {
                task.progress.phase = TaskPhase::Done;
                task.progress.checkpoint.clear();
            }
        }
    }

    fn process_refusal(&mut self, key: WorkerKey, refused: &RefusedStart, now: Instant) {
        let Some(task_key) = self.key_of(&refused.task) else { return };
        let task = self.task_mut(task_key);
        if task.is_none_or(|task| task.run_mut(key, refused.attempt).is_none()) {
            return;
        }
        self.select_run(task_key, key);
        let worker = &mut self.workers[key];
        worker.refused_at = Some(now);
        worker.exclude(Exclusion {
            until: now + self.settings.refusal_backoff,
            cause: ExclusionCause::Refusal,
        });
        self.reclaim_with_gang(task_key, &refused.reason);
    }

    /// Reclaims all tasks of a worker that can no longer run them, and invalidates its lease and
    /// session.
    fn invalidate_worker(&mut self, key: WorkerKey, reason: &str) {
        let tasks: Vec<TaskKey> = self.workers[key].tasks.iter().copied().collect();
        for task in tasks {
            self.select_run(task, key);
            self.reclaim_task(task, reason);
            self.finalize_if_done(task.job);
        }
        let worker = &mut self.workers[key];
        worker.lease_end = None;
        worker.is_reconciled = false;
        worker.session = 0;
        worker.orders.clear();
        self.needs_plan = true;
    }

    fn remove_worker(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.remove(key) {
            self.by_incarnation.remove(&worker.incarnation);
            // Several agents may have named it.
            self.by_agent.retain(|_, named| *named != key);
        }
    }

    fn reclaim_task(&mut self, key: TaskKey, reason: &str) {
        let Some(name) = self.name_of(key) else { return };
        let Some(task) = self.task(key) else { return };
        let attempt = task.progress.attempt;
        let Some(run) = task.run.as_ref() else { return };
        let worker = self.workers.get(run.worker).map(|worker| worker.incarnation.clone());
        self.events.push(CellEvent::Reclaimed {
            task: name,
            attempt,
            worker: worker.unwrap_or_default(),
            reason: reason.to_owned(),
        });
        self.release_run(key);
        self.jobs[key.job].is_dirty = true;
        self.needs_plan = true;
    }

    /// Reclaims a task whose assigned attempt doesn't run. The other members of its gang would wait for
    /// it, so they are stopped and assigned again together.
    ///
    /// A serving task has had no worker meanwhile, so its wait goes on; that of a suspect, which may have
    /// crashed its worker, begins anew.
    fn reclaim_with_gang(&mut self, key: TaskKey, reason: &str) {
        let unstarted = self.task(key).filter(|task| {
            !task.is_suspect() && task.run.as_ref().is_some_and(|run| !run.is_listed)
        });
        let unplaced_since = unstarted.and_then(|task| task.unplaced_since);
        self.reclaim_task(key, reason);
        if let Some(task) = self.task_mut(key) {
            task.unplaced_since = task.unplaced_since.or(unplaced_since);
        }
        let stage = self.stage(key);
        let members = if stage.is_gang { 0..stage.task_count } else { 0..0 };
        for index in members {
            self.stop_run(TaskKey { index, ..key });
        }
        self.finalize_if_done(key.job);
    }

    fn release_run(&mut self, key: TaskKey) {
        let job = &mut self.jobs[key.job];
        job.may_have_waiting = true;
        let stage = &job.spec.stages[key.stage as usize];
        let occurrence = job.occurrences.get_mut(key.occurrence);
        let tasks = occurrence.and_then(|occurrence| occurrence.stages.get_mut(key.stage as usize));
        let Some(task) = tasks.and_then(|tasks| tasks.get_mut(key.index as usize)) else { return };
        task.waiting_since = None;
        task.unplaced_since = None;
        task.room_found_at = None;
        task.received_at = None;
        if let Some(run) = task.run.take()
            && let Some(worker) = self.workers.get_mut(run.worker)
        {
            worker.release(key, stage);
        }
        task.promote_copy();
        if task.progress.phase != TaskPhase::Done {
            task.progress.phase = TaskPhase::Waiting;
        }
    }

    /// Orders a run to stop. Its resources stay reserved until its end is reported.
    fn stop_run(&mut self, key: TaskKey) {
        let Some(name) = self.name_of(key) else { return };
        let Some(task) = self.task_mut(key) else { return };
        let attempt = task.progress.attempt;
        let Some(run) = task.run.as_mut() else { return };
        if run.is_stopping {
            return;
        }
        run.is_stopping = true;
        let worker = run.worker;
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.enqueue_order(Order::Stop(name, attempt));
        }
    }

    fn cancel_job(&mut self, key: JobKey) {
        if !self.jobs[key].state.is_final() {
            self.finish(key, JobState::Cancelled);
            self.finalize_if_done(key);
        }
    }

    /// Puts a job into a final state and orders its runs to stop. Its task state is kept until
    /// [`Self::finalize_if_done`] finds no runs left.
    fn finish(&mut self, key: JobKey, state: JobState) {
        let job = &mut self.jobs[key];
        if job.state.is_final() {
            return;
        }
        job.state = state;
        job.is_dirty = true;
        let id = job.id.clone();
        self.events.push(CellEvent::State { job: id, state });
        for task in self.task_keys(key) {
            self.stop_run(task);
            self.stop_copy(task);
        }
        self.needs_plan = true;
    }

    /// Completes a job whose tasks are all done, and drops the task state of finished occurrences and
    /// of a final job that has no runs left.
    fn finalize_if_done(&mut self, key: JobKey) {
        let job = &self.jobs[key];
        let occurrence_count = job.spec.schedule.map_or(1, |schedule| schedule.occurrence_count);
        let all_started = job.occurrences.begun_count() >= occurrence_count;
        let is_done = |task: &Task| task.progress.phase == TaskPhase::Done;
        let all_done = all_started && job.occurrences.tasks().all(is_done);
        if all_done && !job.state.is_final() {
            self.finish(key, JobState::Completed);
        }
        if self.jobs[key].state.is_final() && !self.has_runs(key) {
            let job = &mut self.jobs[key];
            job.is_dirty |= !job.occurrences.is_empty();
            job.occurrences.clear();
            job.uncommitted_starts.clear();
        } else if !self.jobs[key].is_partial {
            self.jobs[key].occurrences.drop_finished();
        }
    }

    fn has_runs(&self, key: JobKey) -> bool {
        self.jobs[key].occurrences.tasks().any(|task| task.run.is_some())
    }

    fn stage(&self, key: TaskKey) -> &Stage {
        &self.jobs[key.job].spec.stages[key.stage as usize]
    }

    fn task(&self, key: TaskKey) -> Option<&Task> {
        let occurrence = self.jobs.get(key.job)?.occurrences.get(key.occurrence)?;
        occurrence.stages.get(key.stage as usize)?.get(key.index as usize)
    }

    fn task_mut(&mut self, key: TaskKey) -> Option<&mut Task> {
        let job = self.jobs.get_mut(key.job)?;
        let occurrence = job.occurrences.get_mut(key.occurrence)?;
        occurrence.stages.get_mut(key.stage as usize)?.get_mut(key.index as usize)
    }

    fn task_keys(&self, job: JobKey) -> Vec<TaskKey> {
        let mut keys = Vec::new();
        for (occurrence, stages) in self.jobs[job].occurrences.iter() {
            for (stage, tasks) in stages.stages.iter().enumerate() {
                keys.extend((0..tasks.len()).map(|index| TaskKey {
                    job,
                    occurrence,
                    stage: stage as u32,
                    index: index as u32,
                }));
            }
        }
        keys
    }

    fn key_of(&self, name: &TaskName) -> Option<TaskKey> {
        let job = *self.by_id.get(&name.job)?;
        let key =
            TaskKey { job, occurrence: name.occurrence, stage: name.stage, index: name.index };
        self.task(key).map(|_| key)
    }

    fn name_of(&self, key: TaskKey) -> Option<TaskName> {
        Some(TaskName {
            job: self.jobs.get(key.job)?.id.clone(),
            occurrence: key.occurrence,
            stage: key.stage,
            index: key.index,
        })
    }
}

impl Run {
    fn new(worker: WorkerKey, session: SessionToken) -> Self {
        Self {
            worker,
            session,
            is_listed: false,
            is_ordered: false,
            unsettled_since: None,
            is_stopping: false,
            percent: 0,
            first_percent: 0,
            used_core_ms: 0.0,
            gauge: 0,
            first_listed_at: None,
            last_listed_at: None,
            listed_clock_ms: None,
            progressed_clock_ms: 0,
            progressed_at: None,
            idle_since: None,
            has_lasted: false,
        }
    }
}
