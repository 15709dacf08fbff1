//! State of one worker incarnation in the owner's memory: its lease, reserved resources and orders.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::{Duration, Instant},
};

use crate::{
    cell::{
        JobKey,
        interference::ImageName,
        job::Stage,
        progress::WorkerIncarnation,
        protocol::{Order, SessionToken, WorkerStatus},
        reliability::Outcomes,
    },
    ids::{AttemptNumber, InstanceId},
    placement::Resources,
};

/// Longest time from the sending of a report to its arrival.
const MAX_REPORT_DELAY: Duration = Duration::from_secs(1);

/// Key of a task within the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskKey {
    /// Key of the job.
    pub job: JobKey,
    /// Number of the occurrence, from 0.
    pub occurrence: u32,
    /// Number of the stage, from 0.
    pub stage: u32,
    /// Index of the task in the stage, from 0.
    pub index: u32,
}

/// CPU requested by the tasks on a worker, in millicores.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Requested by batch tasks, which reserve CPU and run to completion.
    pub batch_milli: u64,
    /// Requested by long-running tasks, which reserve CPU.
    pub serving_milli: u64,
    /// Requested by best-effort tasks, which reserve no CPU.
    pub best_effort_milli: u64,
}

/// Best-effort tasks of one image on a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ImageDemand {
    /// Number of tasks.
    pub task_count: u32,
    /// Requested CPU, in millicores.
    pub cpu_milli: u64,
}

/// Best-effort task whose CPU use the worker's reports may not show yet.
#[derive(Clone, Debug, PartialEq)]
pub struct RecentAssignment {
    /// Time of the assignment.
    pub at: Instant,
    /// Requested CPU, in millicores.
    pub cpu_milli: u64,
}

/// Reason for which a worker gets no new tasks for some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExclusionCause {
    /// It has refused a start.
    Refusal,
    /// Several runs in a row have failed there.
    Probation,
}

/// Time for which a worker gets no new tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exclusion {
    /// The reason.
    pub cause: ExclusionCause,
    /// End of the time.
    pub until: Instant,
}

/// Room of a worker that is held for a waiting task.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldRoom {
    /// Waiting task.
    pub task: TaskKey,
    /// What it reserves.
    pub required: Resources,
    /// Priority of the queue against which it is held, and of all less urgent ones.
    pub priority: u32,
    /// Time at which the room is released.
    pub until: Instant,
    /// Whether serving tasks may use the room all the same.
    pub is_open_to_serving: bool,
    /// Whether runs were stopped for the room.
    pub is_preempted: bool,
}

/// Incarnation of a worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Name of the incarnation.
    pub incarnation: WorkerIncarnation,
    /// Agent of the worker; `None` until one reports the worker to this owner.
    pub agent: Option<InstanceId>,
    /// Whether the worker is stored as that of its agent.
    pub is_recorded: bool,
    /// Last reported status; `None` until an agent reports the worker to this owner.
    pub status: Option<WorkerStatus>,
    /// Reading of the worker's clock in the report with `status`, in milliseconds.
    pub status_clock_ms: u64,
    /// Token of the active session; 0 for none.
    pub session: SessionToken,
    /// Start time of the agent process that the session belongs to, in milliseconds since the Unix
    /// epoch.
    pub agent_started_unix_ms: u64,
    /// Whether the session began only to settle starts of the one before.
    pub is_settling_starts: bool,
    /// Whether the worker has listed its runs under the session.
    pub is_reconciled: bool,
    /// Time by which the lease has expired on the worker, so that nothing runs there any more;
    /// `None` if no lease was granted.
    pub lease_end: Option<Instant>,
    /// Whether `lease_end` was set on loading, for leases of earlier owners.
    pub is_lease_inherited: bool,
    /// Highest reported reading of the worker's clock, in milliseconds.
    pub reported_clock_ms: u64,
    /// Time of the report with that reading, or at which this owner learned of the worker.
    pub clock_reported_at: Instant,
    /// Whether there was no new reading of the worker's clock for `silence_timeout`.
    pub is_silent: bool,
    /// Whether the worker is known from stored tasks, and hasn't responded to an agent of this owner.
    pub is_unconfirmed: bool,
    /// Whether the owner's row may list the worker as silent; it gets no lease until a commit has
    /// removed it from the row.
    pub is_recorded_silent: bool,
    /// Whether the worker gets a lease with its next report, after it had to wait for that removal.
    pub is_lease_due: bool,
    /// Highest reading of the worker's clock for which a lease was granted, in milliseconds.
    pub clock_ms: u64,
    /// Time of the last report from its agent.
    pub last_report_at: Instant,
    /// Whether the worker responded to its agent's last call.
    pub is_reachable: bool,
    /// Tasks that will be suspects if the worker, whose lease has expired, turns out to have crashed.
    pub expired_suspects: Vec<TaskKey>,
    /// Whether the worker gets only tasks that may have crashed another worker.
    pub is_quarantined: bool,
    /// Why and until when the worker gets no new tasks.
    pub exclusion: Option<Exclusion>,
    /// Time at which it last refused a start in this session.
    pub refused_at: Option<Instant>,
    /// The last tasks whose runs have failed there since the last success; each is listed once.
    pub failed_tasks: Vec<TaskKey>,
    /// Last run of a gang of which a member failed here: the member with index 0 and the attempt.
    pub failed_gang_run: Option<(TaskKey, AttemptNumber)>,
    /// Moving average of run times relative to the expected ones; 1 for a typical worker.
    pub slowdown: f64,
    /// Ends of its runs, for its reliability.
    pub outcomes: Outcomes,
    /// Losses of the agent's worker, decayed since this incarnation began or last lapsed.
    pub recent_losses: f64,
    /// Whether other workers are preferred.
    pub is_doubted: bool,
    /// Resources reserved by tasks.
    pub reserved: Resources,
    /// Requested CPU by kind of task.
    pub demand: Demand,
    /// Number of long-running tasks by image.
    pub serving_images: BTreeMap<ImageName, u32>,
    /// Relative growth of utilization that all best-effort tasks together may cause, by serving
    /// image.
    pub headrooms: BTreeMap<ImageName, f64>,
    /// What remains of `headrooms` after the expected interference of the assigned best-effort
    /// tasks.
    pub remaining_headrooms: Vec<(ImageName, f64)>,
    /// Whether `remaining_headrooms` must be computed anew.
    pub are_headrooms_stale: bool,
    /// Best-effort tasks by image.
    pub best_effort_images: BTreeMap<ImageName, ImageDemand>,
    /// CPU use of best-effort tasks in the last listing, in millicores.
    pub best_effort_used_milli: u64,
    /// Recently assigned best-effort tasks, whose CPU use is not reported yet.
    pub recent_assignments: Vec<RecentAssignment>,
    /// Rooms that are held for waiting tasks.
    pub held_rooms: Vec<HeldRoom>,
    /// Tasks assigned to the worker.
    pub tasks: BTreeSet<TaskKey>,
    /// Time of the last report that listed the worker's runs.
    pub listed_at: Option<Instant>,
    /// Orders that the agent has not accepted yet.
    pub orders: VecDeque<Order>,
    /// Sequence number of the first order in `orders`.
    pub first_order: u64,
    /// Whether orders were added, ends committed or its zone's evacuation changed since
    /// [`Cell::take_updated_agents`] was last called.
    ///
    /// [`Cell::take_updated_agents`]: crate::cell::Cell::take_updated_agents
    pub has_update: bool,
    /// Number of the last processed end.
    pub processed_end: u64,
    /// Number of the last end whose processing is committed.
    pub committed_end: u64,
}

impl Worker {
    /// Creates a worker without status, lease, session or tasks.
    pub fn new(incarnation: WorkerIncarnation, now: Instant) -> Self {
        Self {
            incarnation,
            agent: None,
            is_recorded: false,
            status: None,
            status_clock_ms: 0,
            session: 0,
            agent_started_unix_ms: 0,
            is_settling_starts: false,
            is_reconciled: false,
            lease_end: None,
            is_lease_inherited: false,
            reported_clock_ms: 0,
            clock_reported_at: now,
            is_silent: false,
            is_unconfirmed: false,
            is_recorded_silent: false,
            is_lease_due: false,
            clock_ms: 0,
            last_report_at: now,
            is_reachable: false,
            expired_suspects: Vec::new(),
            is_quarantined: false,
            exclusion: None,
            refused_at: None,
            failed_tasks: Vec::new(),
            failed_gang_run: None,
            slowdown: 1.0,
            outcomes: Outcomes::default(),
            recent_losses: 0.0,
            is_doubted: false,
            reserved: Resources::default(),
            demand: Demand::default(),
            serving_images: BTreeMap::new(),
            headrooms: BTreeMap::new(),
            remaining_headrooms: Vec::new(),
            are_headrooms_stale: true,
            best_effort_images: BTreeMap::new(),
            best_effort_used_milli: 0,
            recent_assignments: Vec::new(),
            held_rooms: Vec::new(),
            tasks: BTreeSet::new(),
            listed_at: None,
            orders: VecDeque::new(),
            first_order: 1,
            has_update: false,
            processed_end: 0,
            committed_end: 0,
        }
    }

    /// Whether nothing runs on the worker any more, and its agent has stopped reporting it for good.
    /// Reports that overtake each other name it in turn with another one for a short time only.
    pub fn is_abandoned(&self, now: Instant) -> bool {
        self.lease_end.is_none() && now >= self.last_report_at + MAX_REPORT_DELAY
    }

    /// Starts a session; orders of the previous session are dropped.
    pub fn begin_session(&mut self, session: SessionToken, agent_started_unix_ms: u64) {
        self.session = session;
        self.is_recorded &= self.agent_started_unix_ms == agent_started_unix_ms;
        self.agent_started_unix_ms = agent_started_unix_ms;
        self.is_settling_starts = false;
        self.is_reconciled = false;
        self.orders.clear();
        self.first_order = 1;
    }

    /// Appends an order to the queue.
    pub fn enqueue_order(&mut self, order: Order) {
        self.has_update = true;
        self.orders.push_back(order);
    }

    /// Drops the orders up to and including the last one that the agent has accepted.
    pub fn acknowledge_orders(&mut self, last_accepted: u64) {
        while self.first_order <= last_accepted && self.orders.pop_front().is_some() {
            self.first_order += 1;
        }
    }

    /// Assigns a task of the stage to the worker and reserves its resources.
    pub fn reserve(&mut self, key: TaskKey, stage: &Stage) {
        if self.tasks.insert(key) {
            self.reserved = self.reserved.plus(&reserved_resources(stage));
            let demand = self.demand_of(stage);
            *demand = demand.saturating_add(stage.resources.cpu_milli);
            if stage.is_long_running {
                *self.serving_images.entry(image_of(stage)).or_insert(0) += 1;
            } else if stage.is_best_effort {
                let image_demand = self.best_effort_images.entry(image_of(stage)).or_default();
                image_demand.task_count += 1;
                image_demand.cpu_milli =
                    image_demand.cpu_milli.saturating_add(stage.resources.cpu_milli);
                self.are_headrooms_stale = true;
            }
        }
    }

    /// Removes a task of the stage from the worker and releases its resources.
    pub fn release(&mut self, key: TaskKey, stage: &Stage) {
        if self.tasks.remove(&key) {
            self.reserved = self.reserved.minus(&reserved_resources(stage));
            let demand = self.demand_of(stage);
            *demand = demand.saturating_sub(stage.resources.cpu_milli);
            let image = stage.image.as_deref().unwrap_or_default();
            if stage.is_long_running
                && let Some(count) = self.serving_images.get_mut(image)
            {
                *count -= 1;
                self.serving_images.retain(|_, count| *count > 0);
            } else if stage.is_best_effort
                && let Some(image_demand) = self.best_effort_images.get_mut(image)
            {
                image_demand.task_count -= 1;
                image_demand.cpu_milli -= stage.resources.cpu_milli;
                self.best_effort_images.retain(|_, demand| demand.task_count > 0);
                self.are_headrooms_stale = true;
            }
        }
    }

    /// Excludes the worker, unless it is excluded for longer already.
    pub fn exclude(&mut self, exclusion: Exclusion) {
        if self.exclusion.is_none_or(|present| present.until < exclusion.until) {
            self.exclusion = Some(exclusion);
        }
    }

    /// Notes a failed run, unless the task's last failure is among the last `max_count` ones since the last
    /// success. Returns their number if the failure counts, and 0 otherwise.
    pub fn note_failed_task(&mut self, key: TaskKey, max_count: usize) -> usize {
        if self.failed_tasks.contains(&key) {
            return 0;
        }
        self.failed_tasks.push(key);
        if self.failed_tasks.len() > max_count {
            self.failed_tasks.remove(0);
        }
        self.failed_tasks.len()
    }

    /// Notes a run that was done or has lasted, which ends probation. Returns whether it has ended one.
    pub fn note_success(&mut self) -> bool {
        self.failed_tasks.clear();
        let is_probation = |exclusion: &mut Exclusion| exclusion.cause == ExclusionCause::Probation;
        self.exclusion.take_if(is_probation).is_some()
    }

    /// The exclusion that keeps new tasks from the worker now.
    pub fn active_exclusion(&self, now: Instant) -> Option<Exclusion> {
        self.exclusion.filter(|exclusion| exclusion.until > now)
    }

    /// Capacity that is not reserved; zero before the first status.
    pub fn available(&self) -> Resources {
        self.status
            .as_ref()
            .map_or(Resources::default(), |status| status.capacity.minus(&self.reserved))
    }

    /// Whether a task that reserves `required` would leave the worker within its capacity. While the
    /// worker is over it, because the capacity shrank, no task fits, whatever it requires.
    pub fn can_fit(&self, required: &Resources) -> bool {
        let reserved = self.reserved.plus(required);
        self.status.as_ref().is_some_and(|status| status.capacity.can_fit(&reserved))
    }

    /// Whether a task of the stage, in a queue with `priority`, fits beside the rooms that are held for
    /// tasks of other jobs.
    pub fn can_fit_beside_held_rooms(&self, key: TaskKey, priority: u32, stage: &Stage) -> bool {
        let held = self.held_for_others(key, priority, stage);
        self.can_fit(&reserved_resources(stage).plus(&held))
    }

    /// What a task of the stage, in a queue with `priority`, must leave to tasks of other jobs.
    pub fn held_for_others(&self, key: TaskKey, priority: u32, stage: &Stage) -> Resources {
        let held = self.rooms_for_others(key, priority, stage);
        held.fold(Resources::default(), |sum, held| sum.plus(&held.required))
    }

    /// Rooms that are held for tasks of other jobs against a task of the stage, in a queue with `priority`.
    pub fn rooms_for_others(
        &self,
        key: TaskKey,
        priority: u32,
        stage: &Stage,
    ) -> impl Iterator<Item = &HeldRoom> {
        self.held_rooms.iter().filter(move |held| {
            held.task.job != key.job
                && held.priority <= priority
                && !(stage.is_long_running && held.is_open_to_serving)
        })
    }

    /// Number of tasks on the worker of the same stage as `key`.
    pub fn stage_task_count(&self, key: TaskKey) -> u32 {
        let first = TaskKey { index: 0, ..key };
        let last = TaskKey { index: u32::MAX, ..key };
        self.tasks.range(first..=last).count() as u32
    }

    fn demand_of(&mut self, stage: &Stage) -> &mut u64 {
        if stage.is_best_effort {
            &mut self.demand.best_effort_milli
        } else if stage.is_long_running {
            &mut self.demand.serving_milli
        } else {
            &mut self.demand.batch_milli
        }
    }
}

fn image_of(stage: &Stage) -> ImageName {
    stage.image.clone().unwrap_or_default()
}

/// Resources that a task of the stage reserves on its worker; best-effort tasks reserve no CPU.
pub fn reserved_resources(stage: &Stage) -> Resources {
    if stage.is_best_effort {
        Resources { cpu_milli: 0, ..stage.resources }
    } else {
        stage.resources
    }
}
