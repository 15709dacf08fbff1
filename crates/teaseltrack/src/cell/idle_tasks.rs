//! Long-running tasks that no worker lists, and what the owner takes for the reason.
//!
//! A serving task either waits to be placed, or is assigned to a worker. In both cases the owner may be
//! wrong: planning may pass over the task, or refuse it workers that have room, and an assigned task
//! may have no run. What the workers list is compared with what the owner assumes, so that an operator
//! can tell these cases apart.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use crate::cell::{
    Cell, CellEvent, WorkerKey,
    feasibility::Occupancy,
    planning::TaskKind,
    progress::TaskPhase,
    protocol::Order,
    worker::{ExclusionCause, TaskKey, Worker},
};

/// Time without a run from which a task is reported.
const MIN_REPORTED_TIME: Duration = Duration::from_millis(1_500);
/// Time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// Number of rooms from which a task counts as idle beside room: one that a single task takes is soon
/// gone.
const MIN_ROOMS: u32 = 2;

/// Why a serving task has no run, as far as the owner knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum IdleCause {
    /// It waits to be placed.
    Waiting,
    /// It waits for a quarantined worker.
    Isolated,
    /// It waits, and planning passes over it.
    PassedOver,
    /// Its assignment isn't committed.
    Uncommitted,
    /// The agent hasn't accepted its start order.
    Ordered,
    /// The agent has accepted its start order, and no listing has shown its run.
    Unlisted,
    /// An earlier listing has shown its run, and the last one didn't.
    Missing,
    /// Its run is being stopped.
    Stopping,
    /// Its worker has stopped reporting.
    Silent,
}

impl IdleCause {
    /// All causes.
    pub const ALL: [Self; 9] = [
        Self::Waiting,
        Self::Isolated,
        Self::PassedOver,
        Self::Uncommitted,
        Self::Ordered,
        Self::Unlisted,
        Self::Missing,
        Self::Stopping,
        Self::Silent,
    ];

    /// Name of the cause in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::Isolated => "isolated",
            Self::PassedOver => "passed_over",
            Self::Uncommitted => "uncommitted",
            Self::Ordered => "ordered",
            Self::Unlisted => "unlisted",
            Self::Missing => "missing",
            Self::Stopping => "stopping",
            Self::Silent => "silent",
        }
    }
}

/// Numbers of serving tasks that no worker lists, by cause.
pub type IdleTaskCounts = BTreeMap<IdleCause, usize>;

/// Numbers of tasks for which workers in use have capacity, by what planning has against the worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoomCounts {
    /// On workers that haven't listed their runs under the present session.
    pub unlisted: u32,
    /// On workers in a back-off after a refused start.
    pub refusing: u32,
    /// On workers on probation.
    pub probation: u32,
    /// On quarantined workers.
    pub isolated: u32,
    /// In rooms that are held for other tasks.
    pub held: u32,
    /// Nothing.
    pub open: u32,
}

impl RoomCounts {
    /// Number of all rooms.
    pub fn total(&self) -> u32 {
        let Self { unlisted, refusing, probation, isolated, held, open } = *self;
        let counts = [unlisted, refusing, probation, isolated, held, open];
        counts.into_iter().fold(0, u32::saturating_add)
    }
}

/// Serving task that no worker lists.
#[derive(Clone, Copy, Debug)]
struct IdleTask {
    key: TaskKey,
    cause: IdleCause,
    idle: Duration,
    cause_time: Duration,
    beside_room: Duration,
    rooms: RoomCounts,
}

impl Cell {
    /// Numbers of serving tasks that no worker lists, for all causes.
    pub fn idle_task_counts(&self) -> impl Iterator<Item = (IdleCause, usize)> + '_ {
        let count_of = |cause| self.idle_task_counts.get(&cause).copied().unwrap_or_default();
        IdleCause::ALL.into_iter().map(move |cause| (cause, count_of(cause)))
    }

    /// Notes which serving tasks are listed, and reports those that aren't: for each cause the task that
    /// has been idle beside room for longest.
    pub(super) fn review_idle_tasks(&mut self, now: Instant) {
        let idle_tasks = self.idle_serving_tasks(now);
        self.idle_task_counts.clear();
        let mut longest: BTreeMap<IdleCause, IdleTask> = BTreeMap::new();
        for idle in idle_tasks {
            *self.idle_task_counts.entry(idle.cause).or_default() += 1;
            let longest = longest.entry(idle.cause).or_insert(idle);
            if (idle.beside_room, idle.idle) > (longest.beside_room, longest.idle) {
                *longest = idle;
            }
        }
        longest.retain(|_, idle| idle.idle >= MIN_REPORTED_TIME);
        let is_due =
            self.idle_reported_at.is_none_or(|at| now.duration_since(at) >= REPORT_INTERVAL);
        if longest.is_empty() || !is_due {
            return;
        }
        self.idle_reported_at = Some(now);
        for idle_task in longest.into_values() {
            let IdleTask { key, cause, idle, cause_time, beside_room, rooms } = idle_task;
            let (Some(name), Some(task)) = (self.name_of(key), self.task(key)) else { continue };
            let worker = task.run.as_ref().and_then(|run| self.workers.get(run.worker));
            self.events.push(CellEvent::Idle {
                task: name,
                attempt: task.progress.attempt,
                worker: worker.map(|worker| worker.incarnation.clone()),
                cause,
                idle,
                cause_time,
                beside_room,
                count: self.idle_task_counts[&cause],
                rooms,
            });
        }
    }

    /// Serving tasks that no worker lists. Updates since when that is so, and since when there has been
    /// room for them.
    fn idle_serving_tasks(&mut self, now: Instant) -> Vec<IdleTask> {
        let open = self.open_jobs.iter().copied().filter(|key| {
            let job = &self.jobs[*key];
            !job.state.is_final() && job.spec.is_long_running()
        });
        let tasks: Vec<TaskKey> = open.flat_map(|job| self.task_keys(job)).collect();
        let mut rooms_of_stages: HashMap<TaskKey, RoomCounts> = HashMap::new();
        let mut idle_tasks = Vec::new();
        for key in tasks {
            if TaskKind::of(self.stage(key)) != TaskKind::Serving {
                continue;
            }
            let Some(cause) = self.idle_cause(key, now) else {
                if let Some(task) = self.task_mut(key) {
                    (task.unlisted_since, task.idle_cause) = (None, None);
                    task.beside_room_since = None;
                }
                continue;
            };
            let first_task = TaskKey { index: 0, ..key };
            let rooms = *rooms_of_stages
                .entry(first_task)
                .or_insert_with(|| self.rooms_for(first_task, now));
            let Some(task) = self.task_mut(key) else { continue };
            let unlisted_since = *task.unlisted_since.get_or_insert(now);
            let known = task.idle_cause.filter(|(known, _)| *known == cause);
            let (_, cause_since) = *task.idle_cause.insert(known.unwrap_or((cause, now)));
            if rooms.total() >= MIN_ROOMS {
                task.beside_room_since.get_or_insert(now);
            } else {
                task.beside_room_since = None;
            }
            idle_tasks.push(IdleTask {
                key,
                cause,
                idle: now.duration_since(unlisted_since),
                cause_time: now.duration_since(cause_since),
                beside_room: task
                    .beside_room_since
                    .map_or(Duration::ZERO, |since| now.duration_since(since)),
                rooms,
            });
        }
        idle_tasks
    }

    /// Why a task has no run; `None` if its worker has listed it last, if it belongs to another cell, or if
    /// it isn't due.
    fn idle_cause(&self, key: TaskKey, now: Instant) -> Option<IdleCause> {
        let task = self.task(key)?;
        let job = &self.jobs[key.job];
        let Some(run) = &task.run else {
            let is_elsewhere = matches!(task.progress.phase, TaskPhase::Delegated(_));
            let is_due = job
                .occurrences
                .get(key.occurrence)
                .is_some_and(|occurrence| job.is_ready(occurrence, self.stage(key)));
            if is_elsewhere || !is_due {
                return None;
            }
            let max_wait = self.settings.quarantine.max_wait;
            return Some(if !task.is_waiting() || !job.may_have_waiting || job.is_rejected {
                IdleCause::PassedOver
            } else if task.must_be_isolated(max_wait, now) {
                IdleCause::Isolated
            } else {
                IdleCause::Waiting
            });
        };
        let worker = self.workers.get(run.worker)?;
        let is_listed_last = run.last_listed_at.is_some() && run.last_listed_at == worker.listed_at;
        if worker.is_silent {
            Some(IdleCause::Silent)
        } else if run.is_stopping {
            Some(IdleCause::Stopping)
        } else if is_listed_last {
            None
        } else if run.is_listed {
            Some(IdleCause::Missing)
        } else if !run.is_ordered {
            Some(IdleCause::Uncommitted)
        } else if self.is_order_pending(worker, key) {
            Some(IdleCause::Ordered)
        } else {
            Some(IdleCause::Unlisted)
        }
    }

    /// Whether the worker's agent hasn't accepted the start order of the task.
    fn is_order_pending(&self, worker: &Worker, key: TaskKey) -> bool {
        let Some(name) = self.name_of(key) else { return false };
        let is_start = |order: &Order| matches!(order, Order::Start(start) if start.task == name);
        worker.orders.iter().any(is_start)
    }

    /// Room for tasks of a stage on workers in use, whatever planning has against them.
    fn rooms_for(&self, first_task: TaskKey, now: Instant) -> RoomCounts {
        let stage = self.stage(first_task);
        let is_in_use = |(key, worker): &(WorkerKey, &Worker)| {
            worker.is_reachable
                && worker.status.as_ref().is_some_and(|status| !status.is_draining)
                && now.duration_since(worker.last_report_at) < self.settings.agent_timeout
                && !self.is_evacuated(*key)
        };
        let mut rooms = RoomCounts::default();
        for (key, worker) in self.workers.iter().filter(is_in_use) {
            let count = |occupancy| self.worker_room_count(key, (first_task, stage), occupancy);
            let total = count(Occupancy::Assigned);
            let exclusion = worker.exclusion.filter(|exclusion| exclusion.until > now);
            let rooms_of_cause = if !worker.is_reconciled {
                &mut rooms.unlisted
            } else if let Some(exclusion) = exclusion {
                match exclusion.cause {
                    ExclusionCause::Refusal => &mut rooms.refusing,
                    ExclusionCause::Probation => &mut rooms.probation,
                }
            } else if worker.is_quarantined {
                &mut rooms.isolated
            } else {
                let open = count(Occupancy::Present).min(total);
                rooms.open += open;
                rooms.held += total - open;
                continue;
            };
            *rooms_of_cause += total;
        }
        rooms
    }
}
