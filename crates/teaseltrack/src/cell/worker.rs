//! What a cell's owner knows of one life of a worker: its lease, its room and its orders.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Instant,
};

use crate::{
    cell::{
        JobKey,
        interference::ImageName,
        job::Stage,
        progress::WorkerIncarnation,
        protocol::{Order, SessionToken, WorkerStatus},
    },
    ids::InstanceId,
    placement::Resources,
};

/// Key of a task within the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskKey {
    /// The job.
    pub job: JobKey,
    /// Number of the occurrence.
    pub occurrence: u32,
    /// Number of the stage.
    pub stage: u32,
    /// Place in the stage.
    pub index: u32,
}

/// Processor time that tasks on a worker ask for, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Tasks that hold processors and end by themselves.
    pub batch_milli: u64,
    /// Tasks that hold processors and last.
    pub serving_milli: u64,
    /// Tasks that take what others leave.
    pub best_effort_milli: u64,
}

/// What the best-effort tasks of an image ask for on a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ImageDemand {
    /// Number of tasks.
    pub task_count: u32,
    /// Thousandths of a core.
    pub cpu_milli: u64,
}

/// A best-effort task that was assigned lately.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When it was assigned.
    pub at: Instant,
    /// What it asks for, in thousandths of a core.
    pub cpu_milli: u64,
}

/// One life of a worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Name of the life.
    pub life: WorkerIncarnation,
    /// The agent beside it; `None` until one reports it to this owner.
    pub agent: Option<InstanceId>,
    /// Last status; `None` until an agent reports it to this owner.
    pub status: Option<WorkerStatus>,
    /// Session in force; 0 for none.
    pub session: SessionToken,
    /// Start of the agent process that the session belongs to.
    pub agent_started_unix_ms: u64,
    /// Whether the worker's runs are known under the session.
    pub is_confirmed: bool,
    /// When everything on it has ended at the latest; `None` if no lease was granted.
    pub lease_end: Option<Instant>,
    /// Newest sample of its clock.
    pub clock_ms: u64,
    /// When its agent last reported.
    pub last_heard: Instant,
    /// Whether it answered its agent's last call.
    pub is_reachable: bool,
    /// When a refused start, or failures in a row, allow the next start.
    pub refused_until: Option<Instant>,
    /// Runs that failed since the last one that was done.
    pub failures_in_row: u32,
    /// Run times against those of the same stage elsewhere; 1 for a worker like the others.
    pub slowness: f64,
    /// Room held by tasks.
    pub reserved: Resources,
    /// Processor time asked for by kind of task.
    pub demand: Demand,
    /// Images of the tasks that last, with the number of tasks.
    pub serving_images: BTreeMap<ImageName, u32>,
    /// Growth of utilization that best-effort tasks may cause together, by serving image.
    pub headrooms: BTreeMap<ImageName, f64>,
    /// What is left of `headrooms` beside the best-effort tasks that are there.
    pub left_headrooms: Vec<(ImageName, f64)>,
    /// What best-effort tasks ask for, by image.
    pub best_effort_images: BTreeMap<ImageName, ImageDemand>,
    /// Processor time that best-effort tasks were last seen to use, in thousandths of a core.
    pub best_effort_used_milli: u64,
    /// Best-effort tasks that were assigned lately and aren't seen at work yet.
    pub arriving: Vec<Arrival>,
    /// Tasks assigned to it.
    pub tasks: BTreeSet<TaskKey>,
    /// Orders that weren't taken yet.
    pub orders: VecDeque<Order>,
    /// Number of the first order in `orders`.
    pub first_order: u64,
    /// Ends taken in.
    pub seen_end: u64,
    /// Ends taken in and committed.
    pub committed_end: u64,
}

impl Worker {
    /// A worker that nothing is known of.
    pub fn new(life: WorkerIncarnation, now: Instant) -> Self {
        Self {
            life,
            agent: None,
            status: None,
            session: 0,
            agent_started_unix_ms: 0,
            is_confirmed: false,
            lease_end: None,
            clock_ms: 0,
            last_heard: now,
            is_reachable: false,
            refused_until: None,
            failures_in_row: 0,
            slowness: 1.0,
            reserved: Resources::default(),
            demand: Demand::default(),
            serving_images: BTreeMap::new(),
            headrooms: BTreeMap::new(),
            left_headrooms: Vec::new(),
            best_effort_images: BTreeMap::new(),
            best_effort_used_milli: 0,
            arriving: Vec::new(),
            tasks: BTreeSet::new(),
            orders: VecDeque::new(),
            first_order: 1,
            seen_end: 0,
            committed_end: 0,
        }
    }

    /// Begins a session; orders of the one before are void.
    pub fn begin_session(&mut self, session: SessionToken, agent_started_unix_ms: u64) {
        self.session = session;
        self.agent_started_unix_ms = agent_started_unix_ms;
        self.is_confirmed = false;
        self.orders.clear();
        self.first_order = 1;
    }

    /// Queues an order.
    pub fn order(&mut self, order: Order) {
        self.orders.push_back(order);
    }

    /// Drops orders up to a number, which the agent has taken.
    pub fn take_orders(&mut self, taken: u64) {
        while self.first_order <= taken && self.orders.pop_front().is_some() {
            self.first_order += 1;
        }
    }

    /// Takes in a task of the stage.
    pub fn hold(&mut self, key: TaskKey, stage: &Stage) {
        if self.tasks.insert(key) {
            self.reserved = self.reserved.plus(&held(stage));
            *self.demand_of(stage) += stage.resources.cpu_milli;
            if stage.is_long_running {
                *self.serving_images.entry(image_of(stage)).or_insert(0) += 1;
            } else if stage.is_best_effort {
                let asked = self.best_effort_images.entry(image_of(stage)).or_default();
                asked.task_count += 1;
                asked.cpu_milli += stage.resources.cpu_milli;
            }
        }
    }

    /// Frees a task of the stage.
    pub fn free(&mut self, key: TaskKey, stage: &Stage) {
        if self.tasks.remove(&key) {
            self.reserved = self.reserved.minus(&held(stage));
            let demand = self.demand_of(stage);
            *demand = demand.saturating_sub(stage.resources.cpu_milli);
            let image = image_of(stage);
            if stage.is_long_running
                && let Some(count) = self.serving_images.get_mut(&image)
            {
                *count -= 1;
            } else if stage.is_best_effort
                && let Some(asked) = self.best_effort_images.get_mut(&image)
            {
                asked.task_count -= 1;
                asked.cpu_milli -= stage.resources.cpu_milli;
            }
            self.serving_images.retain(|_, count| *count > 0);
            self.best_effort_images.retain(|_, asked| asked.task_count > 0);
        }
    }

    /// Room that nothing holds.
    pub fn room(&self) -> Resources {
        self.status
            .as_ref()
            .map_or(Resources::default(), |status| status.capacity.minus(&self.reserved))
    }

    /// Tasks of one stage that it holds.
    pub fn count_of_stage(&self, key: TaskKey) -> u32 {
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

/// What a task of the stage holds on its worker.
pub fn held(stage: &Stage) -> Resources {
    if stage.is_best_effort {
        Resources { cpu_milli: 0, ..stage.resources }
    } else {
        stage.resources
    }
}
