//! Room that is held for waiting serving tasks against batch tasks.
//!
//! A serving task needs all of its CPU at once on one worker, while batch tasks, which are placed
//! first and are small, take each core as soon as it is free. A steady stream of them would keep a
//! serving task waiting for good. Once it has waited for `reserve_wait`, room is therefore held for
//! it on a worker that has the CPU beside its serving tasks: no further batch task of the same or a
//! lower priority starts in it, and the batch tasks that run there end by themselves.
//!
//! The share of a worker's CPU that serving tasks leave to batch tasks isn't held, and room is held
//! on a part of a service's workers at a time, so that batch tasks go on elsewhere. Smaller serving tasks
//! that have waited too long may use the room ([`restrictions`]).
//!
//! A room serves nobody if its worker can't run the task any more, or if more rooms are held there than it
//! has capacity for. Such rooms are released at once ([`Cell::release_vain_rooms`]): their tasks may
//! get others.
//!
//! [`restrictions`]: crate::cell::restrictions

use std::time::{Duration, Instant};

use crate::{
    cell::{
        Cell, WorkerKey,
        job::Stage,
        planning::{Candidate, TaskKind},
        worker::{HeldRoom, TaskKey, Worker, reserved_resources},
    },
    placement::Resources,
};

/// Number of stages for which no worker was found after which a planning round looks for no more.
const MAX_FAILED_STAGES: usize = 4;

impl Cell {
    /// Holds room for the serving tasks that have waited long enough, in the order of the candidates.
    pub(super) fn hold_serving_rooms(
        &mut self,
        candidates: &[Candidate],
        workers: &[WorkerKey],
        now: Instant,
    ) {
        let settings = self.settings.planning;
        let serving = candidates.iter().filter(|candidate| candidate.kind() == TaskKind::Serving);
        let mut failed_count = 0;
        for candidate in serving {
            if failed_count >= MAX_FAILED_STAGES {
                return;
            }
            let spec = self.jobs[candidate.first_task.job].spec.clone();
            let stage = &spec.stages[candidate.first_task.stage as usize];
            if stage.is_gang {
                continue;
            }
            let waiting: Vec<TaskKey> = self
                .waiting_tasks(candidate.first_task, false, now)
                .filter(|key| self.has_waited(*key, settings.reserve_wait, now))
                .filter(|key| !self.has_room(*key, workers))
                .collect();
            if waiting.is_empty() {
                continue;
            }
            let workers =
                self.workers_of(&self.jobs[candidate.first_task.job].queue.service, workers);
            let limit = (workers.len() as f64 * settings.max_held_share).ceil() as usize;
            for key in waiting {
                let held_count = workers.iter().filter(|key| self.holds_room(**key)).count();
                let Some(worker) = self.worker_to_hold((key, stage), &workers, held_count < limit)
                else {
                    failed_count += 1;
                    break;
                };
                let held = HeldRoom {
                    task: key,
                    required: reserved_resources(stage),
                    priority: self.jobs[key.job].queue.priority,
                    until: now + settings.max_held_time,
                    is_open_to_serving: false,
                    is_preempted: false,
                };
                self.workers[worker].held_rooms.push(held);
            }
        }
    }

    /// Releases rooms that their task can't get: its worker isn't among `workers`, already has as many
    /// tasks of the stage as it may, or lacks the capacity beside its serving tasks and the rooms held
    /// before. Room for which runs were stopped outlasts a back-off of its worker.
    pub(super) fn release_vain_rooms(&mut self, workers: &[WorkerKey]) {
        let holders = self.workers.iter().filter(|(_, worker)| !worker.held_rooms.is_empty());
        let holders: Vec<WorkerKey> = holders.map(|(key, _)| key).collect();
        for key in holders {
            let is_open = workers.contains(&key) && !self.workers[key].is_quarantined;
            self.workers[key].held_rooms = self.attainable_rooms(key, is_open);
        }
    }

    /// The worker's rooms that their tasks may get, in the order in which they were held.
    fn attainable_rooms(&self, key: WorkerKey, is_open: bool) -> Vec<HeldRoom> {
        let worker = &self.workers[key];
        let capacity =
            worker.status.as_ref().map_or(Resources::default(), |status| status.capacity);
        let ending = Resources { cpu_milli: worker.demand.batch_milli, ..Resources::default() };
        let mut taken = worker.reserved.minus(&ending);
        let mut rooms: Vec<HeldRoom> = Vec::new();
        for held in &worker.held_rooms {
            // The room of a gang has a review of its own.
            if held.is_open_to_serving {
                rooms.push(held.clone());
                continue;
            }
            let next = taken.plus(&held.required);
            let is_attainable = (is_open || held.is_preempted)
                && next.cpu_milli <= capacity.cpu_milli
                && is_below_limit(worker, self.stage(held.task), held.task, &rooms);
            if is_attainable {
                taken = next;
                rooms.push(held.clone());
            }
        }
        rooms
    }

    /// Releases the room that a serving task takes on its worker: its own, or else that of another task of
    /// its stage.
    pub(super) fn use_room(&mut self, key: TaskKey, worker: WorkerKey) {
        let rooms = &mut self.workers[worker].held_rooms;
        let own = rooms.iter().position(|held| held.task == key);
        let used = own.or_else(|| rooms.iter().position(|held| is_of_same_stage(held.task, key)));
        if let Some(index) = used {
            rooms.remove(index);
        }
    }

    pub(super) fn workers_of(&self, service: &str, workers: &[WorkerKey]) -> Vec<WorkerKey> {
        let is_of_service = |key: &WorkerKey| {
            self.workers[*key].status.as_ref().is_some_and(|status| status.service == service)
        };
        workers.iter().copied().filter(is_of_service).collect()
    }

    pub(super) fn holds_room(&self, worker: WorkerKey) -> bool {
        let held = &self.workers[worker].held_rooms;
        held.iter().any(|held| !held.is_open_to_serving)
    }

    pub(super) fn has_room(&self, key: TaskKey, workers: &[WorkerKey]) -> bool {
        let mut rooms = workers.iter().flat_map(|worker| &self.workers[*worker].held_rooms);
        rooms.any(|held| held.task == key)
    }

    /// Worker on which the task will fit soonest if no further batch task starts there; `None` if its
    /// batch tasks aren't expected to make room within `max_held_time` anywhere. `may_add` tells
    /// whether room may be held on further workers.
    fn worker_to_hold(
        &self,
        (key, stage): (TaskKey, &Stage),
        workers: &[WorkerKey],
        may_add: bool,
    ) -> Option<WorkerKey> {
        let max_wait = self.settings.planning.max_held_time;
        let waits = workers.iter().copied().filter_map(|worker| {
            let is_allowed = may_add || self.holds_room(worker);
            let wait = is_allowed.then(|| self.wait_for_room(worker, (key, stage)))??;
            (wait <= max_wait).then_some((wait, worker))
        });
        waits.min().map(|(_, worker)| worker)
    }

    /// Expected time until enough of a worker's batch tasks have ended for the task to fit there, beside
    /// the rooms that are held already; `None` if it wouldn't fit without any of them.
    fn wait_for_room(
        &self,
        worker_key: WorkerKey,
        (key, stage): (TaskKey, &Stage),
    ) -> Option<Duration> {
        let worker = &self.workers[worker_key];
        let service = &self.jobs[key.job].queue.service;
        let meets_constraints = self.meets_constraints(worker, service, (key, stage));
        if !meets_constraints || !is_below_limit(worker, stage, key, &worker.held_rooms) {
            return None;
        }
        let capacity = worker.status.as_ref()?.capacity;
        let reserve_milli = capacity.cpu_milli as f64 * self.settings.planning.batch_reserve;
        let held = worker.held_rooms.iter().filter(|held| !held.is_open_to_serving);
        let required = held
            .map(|held| held.required)
            .fold(reserved_resources(stage), |sum, held| sum.plus(&held));
        let needed = worker.reserved.plus(&required);
        let serving_milli = needed.cpu_milli.saturating_sub(worker.demand.batch_milli);
        if serving_milli as f64 + reserve_milli > capacity.cpu_milli as f64 {
            return None;
        }
        let mut ends: Vec<(Duration, Resources)> = worker
            .tasks
            .iter()
            .filter(|task| TaskKind::of(self.stage(**task)) == TaskKind::Batch)
            .filter_map(|task| {
                let remaining = self.expected_remaining(*task)?;
                Some((remaining, reserved_resources(self.stage(*task))))
            })
            .collect();
        ends.sort_by_key(|(remaining, _)| *remaining);
        let mut freed = Resources::default();
        let mut wait = Duration::ZERO;
        for (remaining, released) in ends {
            if capacity.can_fit(&needed.minus(&freed)) {
                break;
            }
            freed = freed.plus(&released);
            wait = remaining;
        }
        capacity.can_fit(&needed.minus(&freed)).then_some(wait)
    }
}

/// Whether a worker may run another task of the stage beside its own and those that the rooms are held
/// for.
fn is_below_limit(worker: &Worker, stage: &Stage, key: TaskKey, rooms: &[HeldRoom]) -> bool {
    let held_count = rooms.iter().filter(|held| is_of_same_stage(held.task, key)).count() as u32;
    stage.max_per_worker.is_none_or(|max| worker.stage_task_count(key) + held_count < max)
}

fn is_of_same_stage(a: TaskKey, b: TaskKey) -> bool {
    TaskKey { index: 0, ..a } == TaskKey { index: 0, ..b }
}
