//! Whether waiting tasks can be placed on the present workers at all.
//!
//! A stage may wait for its turn, or for workers that don't exist: its tasks are too large, no worker has
//! the required label, or its gang has more members than the workers have room for. The latter kind must
//! not keep others waiting. It stays queued, since workers may be added or come back, and is reported.

use std::time::{Duration, Instant};

use crate::{
    cell::{
        Cell, CellEvent, WorkerKey,
        job::Stage,
        planning::{Candidate, TaskKind},
        worker::{TaskKey, Worker, reserved_resources},
    },
    placement::Resources,
};

/// Waiting time from which infeasible stages are reported; agents of a new owner's cell have reported by
/// then.
const MIN_REPORTED_WAIT: Duration = Duration::from_secs(3);
/// Time between two checks for infeasible stages.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// Tasks that take up room on a worker when it is compared with the tasks that wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Occupancy {
    /// None; tells whether the tasks could ever be placed.
    Empty,
    /// Those that don't end by themselves; tells whether the tasks can be placed without a cancellation.
    Serving,
    /// All present ones; tells how much room there is.
    Assigned,
    /// All present ones, and rooms held for others; tells whether the tasks can be placed now.
    Present,
}

/// Stages that no state of the present workers can run.
#[derive(Clone, Debug, Default)]
pub(super) struct InfeasibleStages {
    checked_at: Option<Instant>,
    /// Time from which every check has found some.
    since: Option<Instant>,
    count: usize,
    /// Number at the time of the last report.
    reported_count: usize,
}

impl Cell {
    /// Number of the cell's stages that wait and can't be placed on its present workers.
    pub fn infeasible_stage_count(&self) -> usize {
        self.infeasible_stages.count
    }

    /// Whether the workers could run another task of the stage, or all members of a gang, beside the tasks
    /// of the given kind. Interference and health don't count.
    pub(super) fn is_feasible(
        &self,
        first_task: TaskKey,
        workers: &[WorkerKey],
        occupancy: Occupancy,
    ) -> bool {
        let stage = self.stage(first_task);
        let rooms = workers.iter().map(|worker| {
            (*worker, self.worker_room_count(*worker, (first_task, stage), occupancy))
        });
        if stage.is_gang {
            return has_sum_of(rooms.map(|(_, room)| room), stage.task_count);
        }
        // Long-running tasks that run already don't end to make room for the others.
        let own_count = |worker: WorkerKey| {
            let counts = stage.is_long_running && occupancy != Occupancy::Present;
            if counts { self.workers[worker].stage_task_count(first_task) } else { 0 }
        };
        rooms.into_iter().any(|(worker, room)| room > own_count(worker))
    }

    /// Whether the stage may get its room without the cancellation of a serving task. Waiting serving tasks
    /// count as if they might.
    pub(super) fn may_get_room(&self, candidate: &Candidate, workers: &[WorkerKey]) -> bool {
        candidate.kind() == TaskKind::Serving
            || self.is_feasible(candidate.first_task, workers, Occupancy::Serving)
    }

    /// Number of tasks of the stage that fit on one worker. Its own tasks take up room only in
    /// [`Occupancy::Assigned`] and [`Occupancy::Present`].
    pub(super) fn worker_room_count(
        &self,
        worker: WorkerKey,
        (key, stage): (TaskKey, &Stage),
        occupancy: Occupancy,
    ) -> u32 {
        let worker = &self.workers[worker];
        let queue = &self.jobs[key.job].queue;
        let Some(status) = worker.status.as_ref().filter(|status| status.service == queue.service)
        else {
            return 0;
        };
        let has_label =
            stage.required_label.as_ref().is_none_or(|label| status.labels.contains(label));
        if !has_label {
            return 0;
        }
        let (taken, present_count) = match occupancy {
            Occupancy::Empty => (Resources::default(), 0),
            Occupancy::Serving => (self.serving_resources(worker, key), 0),
            Occupancy::Assigned => (worker.reserved, worker.stage_task_count(key)),
            Occupancy::Present => {
                let held = worker.held_for_others(key, queue.priority, stage);
                (worker.reserved.plus(&held), worker.stage_task_count(key))
            }
        };
        if !status.capacity.can_fit(&taken) {
            return 0;
        }
        let max_count = stage.max_per_worker.unwrap_or(u32::MAX).saturating_sub(present_count);
        fitting_count(&status.capacity.minus(&taken), &reserved_resources(stage)).min(max_count)
    }

    /// What the worker's serving tasks of other stages reserve.
    fn serving_resources(&self, worker: &Worker, key: TaskKey) -> Resources {
        let is_of_stage = |task: &TaskKey| TaskKey { index: 0, ..*task } == key;
        let serving = worker.tasks.iter().filter(|task| !is_of_stage(task));
        serving
            .map(|task| self.stage(*task))
            .filter(|stage| TaskKind::of(stage) == TaskKind::Serving)
            .fold(Resources::default(), |sum, stage| sum.plus(&reserved_resources(stage)))
    }

    /// Counts the waiting stages that can't be placed on the present workers, and reports the one that
    /// was accepted first whenever the number has changed.
    pub(super) fn review_infeasible_stages(
        &mut self,
        candidates: &[Candidate],
        workers: &[WorkerKey],
        now: Instant,
    ) {
        let checked_at = self.infeasible_stages.checked_at;
        if checked_at.is_some_and(|at| now.duration_since(at) < REPORT_INTERVAL) {
            return;
        }
        let infeasible: Vec<TaskKey> = candidates
            .iter()
            .map(|candidate| candidate.first_task)
            .filter(|first_task| !self.is_feasible(*first_task, workers, Occupancy::Empty))
            .collect();
        let first = infeasible.iter().copied().min_by_key(|key| self.jobs[key.job].accepted_at);
        let state = &mut self.infeasible_stages;
        state.checked_at = Some(now);
        state.count = infeasible.len();
        let Some(first) = first else {
            *state = InfeasibleStages { checked_at: state.checked_at, ..Default::default() };
            return;
        };
        let since = *state.since.get_or_insert(now);
        let is_due = now.duration_since(since) >= MIN_REPORTED_WAIT;
        if !is_due || state.count == state.reported_count {
            return;
        }
        state.reported_count = state.count;
        let Some(task) = self.name_of(first) else { return };
        let stage = self.stage(first);
        self.events.push(CellEvent::Infeasible {
            task,
            task_count: stage.task_count,
            required: stage.resources,
            room_count: self.room_count(first, workers),
            stage_count: infeasible.len(),
        });
    }

    /// Number of tasks of the stage for which the empty workers have room.
    fn room_count(&self, first_task: TaskKey, workers: &[WorkerKey]) -> u32 {
        let stage = self.stage(first_task);
        let rooms = workers
            .iter()
            .map(|worker| self.worker_room_count(*worker, (first_task, stage), Occupancy::Empty));
        rooms.fold(0, u32::saturating_add)
    }
}

/// Whether the numbers add up to `wanted` or more; stops as soon as they do.
pub(super) fn has_sum_of(numbers: impl Iterator<Item = u32>, wanted: u32) -> bool {
    let mut sum: u32 = 0;
    numbers.into_iter().any(|number| {
        sum = sum.saturating_add(number);
        sum >= wanted
    })
}

/// Number of tasks that each reserve `required` and fit into the free resources.
pub(super) fn fitting_count(free: &Resources, required: &Resources) -> u32 {
    let fits = |free: u64, each: u64| free.checked_div(each).unwrap_or(u64::MAX);
    let count = fits(free.cpu_milli, required.cpu_milli)
        .min(fits(free.memory_mib, required.memory_mib))
        .min(fits(free.accelerators, required.accelerators));
    u32::try_from(count).unwrap_or(u32::MAX)
}
