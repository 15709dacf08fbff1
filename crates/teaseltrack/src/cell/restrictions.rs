//! Use of restricted workers by serving tasks that have waited too long.
//!
//! Probation, quarantine, room held for other serving tasks and the limit of starts on cold workers
//! protect tasks from workers and from each other. Each ends soon by itself, but several of them together,
//! or one after the other, could keep a serving task from capacity without any bound. A serving task that
//! has waited for `max_serving_wait`, and that no other worker can run, may therefore use any worker with
//! the capacity, the least restricted one first. Workers that are draining, evacuated, out of contact or
//! have just refused a start are never used.
//!
//! Batch tasks come first on a worker once its probation ends. The last room there is therefore left to
//! them as far as it is their reserve.

use std::{cmp::Reverse, time::Instant};

use crate::{
    cell::{
        Cell, WorkerKey,
        feasibility::{Occupancy, fitting_count, has_sum_of},
        job::Stage,
        planning::Candidate,
        worker::{HeldRoom, TaskKey, Worker, reserved_resources},
    },
    placement::Resources,
};

/// Workers of a planning round; each list contains the one before.
#[derive(Debug)]
pub(super) struct RoundWorkers {
    /// Those that any task may use.
    pub(super) open: Vec<WorkerKey>,
    /// Open workers, quarantined ones and those that run a suspect.
    pub(super) eligible: Vec<WorkerKey>,
    /// Eligible workers and those on probation.
    pub(super) usable: Vec<WorkerKey>,
}

/// What keeps serving tasks from a worker, whatever its room; the last variant is the strongest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Restriction {
    /// It is quarantined or runs a suspect.
    Isolation,
    /// Several runs in a row have failed there.
    Probation,
}

impl Cell {
    /// Workers that may run tasks, whether they are on probation or not.
    pub(super) fn usable_workers(&self, now: Instant) -> Vec<WorkerKey> {
        if !self.knows_evacuations(now) {
            return Vec::new();
        }
        let is_usable = |worker: &Worker| {
            worker.is_reconciled
                && worker.is_reachable
                && worker.status.as_ref().is_some_and(|status| !status.is_draining)
                && now.duration_since(worker.last_report_at) < self.settings.agent_timeout
                && worker.refused_at.is_none_or(|refused_at| {
                    now.duration_since(refused_at) >= self.settings.refusal_backoff
                })
        };
        self.workers
            .iter()
            .filter(|(key, worker)| is_usable(worker) && !self.is_evacuated(*key))
            .map(|(key, _)| key)
            .collect()
    }

    pub(super) fn eligible_workers(&self, now: Instant) -> Vec<WorkerKey> {
        let is_excluded = |key: &WorkerKey| self.workers[*key].active_exclusion(now).is_some();
        self.usable_workers(now).into_iter().filter(|key| !is_excluded(key)).collect()
    }

    /// Worker for a serving task that has waited too long; `None` for other tasks, and if no worker has
    /// the capacity.
    pub(super) fn choose_restricted_worker(
        &self,
        key: TaskKey,
        stage: &Stage,
        workers: &[WorkerKey],
        now: Instant,
    ) -> Option<WorkerKey> {
        let settings = self.settings.planning;
        if !stage.is_long_running || !self.has_waited(key, settings.max_serving_wait, now) {
            return None;
        }
        let rooms = workers.iter().map(|worker| (*worker, self.room_after_wait(*worker, key, now)));
        let rooms: Vec<(WorkerKey, u32)> = rooms.filter(|(_, room)| *room > 0).collect();
        let is_last_room =
            rooms.iter().fold(0, |sum: u32, (_, room)| sum.saturating_add(*room)) < 2;
        let scores = rooms.into_iter().filter_map(|(worker, _)| {
            let restriction = self.restriction(worker, now);
            let leaves_reserve = is_last_room && restriction == Some(Restriction::Probation);
            let batch_reserve = if leaves_reserve { settings.batch_reserve } else { 0.0 };
            let is_avoided = self.avoids(key, &self.workers[worker]);
            let score = self.placement_score(&self.workers[worker], (key, stage), batch_reserve)?;
            Some(((!is_avoided, Reverse(restriction), score), worker))
        });
        scores.max_by_key(|(score, _)| *score).map(|(_, worker)| worker)
    }

    /// Workers for the members of a gang: for serving tasks that have waited too long, also restricted
    /// ones, if there is room for all members only then, and at last those on which there is room for
    /// them beside the rooms that they must leave to others.
    pub(super) fn gang_workers<'a>(
        &self,
        candidate: &Candidate,
        round: &'a RoundWorkers,
        now: Instant,
    ) -> Option<&'a [WorkerKey]> {
        let first_task = candidate.first_task;
        let is_serving = self.stage(first_task).is_long_running;
        let has_waited =
            is_serving && self.has_waited(first_task, self.settings.planning.max_serving_wait, now);
        let lists = [&round.open, &round.eligible, &round.usable];
        let allowed = if has_waited { lists.len() } else { 1 };
        let is_enough =
            |workers: &&&Vec<WorkerKey>| self.is_feasible(first_task, workers, Occupancy::Present);
        let is_enough_after_wait = |workers: &&&Vec<WorkerKey>| {
            let rooms = workers.iter().map(|worker| self.room_after_wait(*worker, first_task, now));
            has_sum_of(rooms, self.stage(first_task).task_count)
        };
        let chosen = lists[..allowed].iter().find(is_enough);
        let mut restricted = lists.iter().filter(|_| has_waited);
        let chosen = chosen.or_else(|| restricted.find(is_enough_after_wait));
        chosen.map(|workers| workers.as_slice())
    }

    /// Number of tasks like a serving task that has waited too long for which a worker has the capacity.
    pub(super) fn room_after_wait(&self, worker: WorkerKey, key: TaskKey, now: Instant) -> u32 {
        let worker = &self.workers[worker];
        let stage = self.stage(key);
        let service = &self.jobs[key.job].queue.service;
        let required = reserved_resources(stage);
        // Most workers of a busy service are ruled out by the first, cheapest condition.
        let can_fit = worker.can_fit(&required)
            && self.meets_stage_constraints(worker, service, (key, stage));
        let kept = if can_fit { self.rooms_to_leave(worker, key, now) } else { return 0 };
        if !worker.can_fit(&required.plus(&kept)) {
            return 0;
        }
        let max_count = stage.max_per_worker.unwrap_or(u32::MAX);
        let max_count = max_count.saturating_sub(worker.stage_task_count(key));
        fitting_count(&worker.available().minus(&kept), &required).min(max_count)
    }

    /// Rooms that a serving task which has waited too long must leave to other tasks.
    fn rooms_to_leave(&self, worker: &Worker, key: TaskKey, now: Instant) -> Resources {
        let (stage, priority) = (self.stage(key), self.jobs[key.job].queue.priority);
        let rooms = worker.rooms_for_others(key, priority, stage);
        let kept = rooms.filter(|held| !self.yields(held, key, now));
        kept.fold(Resources::default(), |sum, held| sum.plus(&held.required))
    }

    /// Whether a serving task which has waited too long may use a room that is held for another one: the
    /// room is large enough, and the queue of the task is as urgent, or it has waited for as long as such a
    /// room is held. Room for which runs were stopped is kept.
    fn yields(&self, held: &HeldRoom, key: TaskKey, now: Instant) -> bool {
        let settings = self.settings.planning;
        let is_more_urgent = held.priority < self.jobs[key.job].queue.priority;
        let max_wait =
            if is_more_urgent { settings.max_held_time } else { settings.max_serving_wait };
        !held.is_preempted
            && held.required.can_fit(&reserved_resources(self.stage(key)))
            && self.has_waited(key, max_wait, now)
    }

    /// Releases the room that a serving task takes from another one on its worker, if it takes any. The
    /// other one would be left with more room than serving tasks may have beside batch tasks.
    pub(super) fn release_taken_room(&mut self, key: TaskKey, worker_key: WorkerKey, now: Instant) {
        let worker = &self.workers[worker_key];
        let (stage, priority) = (self.stage(key), self.jobs[key.job].queue.priority);
        if worker.can_fit_beside_held_rooms(key, priority, stage) {
            return;
        }
        let rooms = worker.rooms_for_others(key, priority, stage);
        let yielding = rooms.filter(|held| self.yields(held, key, now));
        let taken = yielding.max_by_key(|held| (held.priority, Reverse(held.required.cpu_milli)));
        let Some(taken) = taken.map(|held| held.task) else { return };
        self.workers[worker_key].held_rooms.retain(|held| held.task != taken);
    }

    /// Strongest restriction of a worker.
    pub(super) fn restriction(&self, worker: WorkerKey, now: Instant) -> Option<Restriction> {
        let worker = &self.workers[worker];
        if worker.active_exclusion(now).is_some() {
            Some(Restriction::Probation)
        } else if worker.is_quarantined || self.has_suspect(worker) {
            Some(Restriction::Isolation)
        } else {
            None
        }
    }
}
