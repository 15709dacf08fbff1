//! Room that is held for a gang that has been overdue for too long.
//!
//! All members of a gang start at once, while smaller stages take each core as soon as it is free, so that
//! a steady stream of them would keep a gang waiting for good. Once its job comes first among its kind
//! ([`Cell::promote_starved_job`]), the gang's room is held on workers whose batch tasks are expected to
//! end soon.
//!
//! Meanwhile capacity is idle that others wait for. A hold therefore ends with `max_gang_held_time`,
//! or once less than half of the service has been reserved for `max_idle_held_time`, and the next one
//! begins no sooner than `max_gang_held_time` later. Serving tasks may use the room.

use std::time::Instant;

use crate::{
    cell::{
        Cell, Task, WorkerKey,
        feasibility::{Occupancy, fitting_count},
        job::Stage,
        planning::{Candidate, TaskKind},
        worker::{HeldRoom, TaskKey, reserved_resources},
    },
    placement::Resources,
};

/// Share of a service's CPU; a hold of room ends soon if less is reserved.
const MIN_RESERVED_SHARE: f64 = 0.5;

/// Room that is or was last held for a gang.
#[derive(Clone, Copy, Debug)]
pub(super) struct GangHold {
    /// Member with index 0.
    first_task: TaskKey,
    until: Instant,
    /// Time from which less than [`MIN_RESERVED_SHARE`] has been reserved.
    idle_since: Option<Instant>,
    is_over: bool,
}

impl Cell {
    /// Holds room for the gang of the job that comes first, if it is still waiting.
    pub(super) fn hold_gang_room(
        &mut self,
        candidates: &[Candidate],
        workers: &[WorkerKey],
        now: Instant,
    ) {
        let max_held_time = self.settings.planning.max_gang_held_time;
        let is_unchanged = |hold: &GangHold| !hold.is_over || now < hold.until + max_held_time;
        if self.gang_hold.as_ref().is_some_and(is_unchanged) {
            return;
        }
        let starved = candidates.iter().filter(|candidate| candidate.is_starved());
        let gang = starved.map(|candidate| candidate.first_task).find(|first_task| {
            let stage = self.stage(*first_task);
            stage.is_gang
                && TaskKind::of(stage) != TaskKind::Serving
                && self.waiting_tasks(*first_task, false, now).next().is_some()
        });
        let Some(first_task) = gang else { return };
        let stage = self.stage(first_task).clone();
        let Some(rooms) = self.gang_rooms(first_task, &stage, workers) else { return };
        let until = now + max_held_time;
        for (worker, count) in rooms {
            self.workers[worker].held_rooms.push(HeldRoom {
                task: first_task,
                required: times(&reserved_resources(&stage), count),
                priority: 0,
                until,
                is_open_to_serving: true,
                is_preempted: false,
            });
        }
        self.gang_hold = Some(GangHold { first_task, until, idle_since: None, is_over: false });
    }

    /// Ends the hold for a gang that has started, that has waited for its room for too long, or whose
    /// room is on a worker that can't be used any more.
    pub(super) fn review_gang_hold(&mut self, eligible_workers: &[WorkerKey], now: Instant) {
        let Some(mut hold) = self.gang_hold.filter(|hold| !hold.is_over) else { return };
        let max_idle_time = self.settings.planning.max_idle_held_time;
        let is_held = |worker: WorkerKey| {
            self.workers[worker].held_rooms.iter().any(|held| held.task == hold.first_task)
        };
        let is_waiting = self.task(hold.first_task).is_some_and(Task::is_waiting);
        let is_usable = self
            .workers
            .keys()
            .filter(|key| is_held(*key))
            .all(|key| eligible_workers.contains(&key));
        let is_idle = self
            .jobs
            .get(hold.first_task.job)
            .is_none_or(|job| self.reserved_share(&job.queue.service) < MIN_RESERVED_SHARE);
        hold.idle_since = if is_idle { hold.idle_since.or(Some(now)) } else { None };
        let is_idle_for_long =
            hold.idle_since.is_some_and(|since| now.duration_since(since) >= max_idle_time);
        if !is_waiting || !is_usable || is_idle_for_long || now >= hold.until {
            hold.is_over = true;
            hold.until = now;
            for worker in self.workers.values_mut() {
                worker.held_rooms.retain(|held| held.task != hold.first_task);
            }
        }
        self.gang_hold = Some(hold);
    }

    /// Number of members for each of the workers that have the most room now; `None` unless there will
    /// be room for all members once the batch tasks have ended that are expected to do so within
    /// `max_gang_held_time`.
    fn gang_rooms(
        &self,
        first_task: TaskKey,
        stage: &Stage,
        workers: &[WorkerKey],
    ) -> Option<Vec<(WorkerKey, u32)>> {
        let mut rooms: Vec<(u32, WorkerKey, u32)> = workers
            .iter()
            .map(|&worker| {
                let present =
                    self.worker_room_count(worker, (first_task, stage), Occupancy::Present);
                (present, worker, self.room_after_ends(worker, first_task, stage))
            })
            .filter(|(_, _, room)| *room > 0)
            .collect();
        rooms.sort_by_key(|(present, worker, _)| (std::cmp::Reverse(*present), *worker));
        let mut missing = stage.task_count;
        let mut chosen = Vec::new();
        for (_, worker, room) in rooms {
            let count = room.min(missing);
            missing -= count;
            chosen.push((worker, count));
            if missing == 0 {
                return Some(chosen);
            }
        }
        None
    }

    /// Number of members that fit on a worker once the batch tasks have ended that are expected to do so
    /// within `max_gang_held_time`.
    fn room_after_ends(&self, worker: WorkerKey, first_task: TaskKey, stage: &Stage) -> u32 {
        let max_wait = self.settings.planning.max_gang_held_time;
        let empty = self.worker_room_count(worker, (first_task, stage), Occupancy::Serving);
        let worker = &self.workers[worker];
        let Some(status) = worker.status.as_ref() else { return 0 };
        let ends_soon = |task: &&TaskKey| {
            let remaining = self.expected_remaining(**task);
            remaining.is_some_and(|remaining| remaining <= max_wait)
        };
        let ending = worker.tasks.iter().filter(ends_soon);
        let released = ending
            .map(|task| reserved_resources(self.stage(*task)))
            .fold(Resources::default(), |sum, each| sum.plus(&each));
        let held = worker.held_for_others(first_task, 0, stage);
        let taken = worker.reserved.minus(&released).plus(&held);
        if !status.capacity.can_fit(&taken) {
            return 0;
        }
        fitting_count(&status.capacity.minus(&taken), &reserved_resources(stage)).min(empty)
    }
}

/// Resources for `count` tasks, saturating at the highest number.
fn times(resources: &Resources, count: u32) -> Resources {
    let count = u64::from(count);
    Resources {
        cpu_milli: resources.cpu_milli.saturating_mul(count),
        memory_mib: resources.memory_mib.saturating_mul(count),
        accelerators: resources.accelerators.saturating_mul(count),
    }
}
