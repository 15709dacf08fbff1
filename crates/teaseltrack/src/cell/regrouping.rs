//! Moves of serving tasks that keep a worker from best-effort work.
//!
//! One serving task near its load's peak holds a whole worker's best-effort tasks back, and one that
//! other images disturb than its neighbours leaves no image that may run there. Such a task is
//! stopped, one at a time, when a worker with better company has room for it.

use std::time::Instant;

use crate::cell::{
    Cell, CellEvent, Run, WorkerKey,
    interference::ImageName,
    scoring::Company,
    worker::{TaskKey, Worker},
};

/// Serving tasks on a worker up to which moving them is worth the pause.
const MOST_MOVES: usize = 2;

impl Cell {
    /// Stops a serving task that would stand better elsewhere; planning then places it anew.
    pub(super) fn regroup(&mut self, workers: &[WorkerKey], now: Instant) {
        let interval = self.settings.planning.regroup_interval;
        if self.regrouped_at.is_some_and(|at| now.duration_since(at) < interval) {
            return;
        }
        self.regrouped_at = Some(now);
        let Some((task, from)) = self.next_move(workers, now) else { return };
        let Some(name) = self.name_of(task) else { return };
        let Some(stopped) = self.task_mut(task) else { return };
        stopped.avoided = Some(from);
        stopped.moved_at = Some(now);
        let attempt = stopped.progress.attempt;
        let worker = self.workers[from].life.clone();
        self.events.push(CellEvent::Moved { task: name, attempt, worker });
        self.stop_run(task);
    }

    /// The next task to move, and the worker that it leaves.
    fn next_move(&self, workers: &[WorkerKey], now: Instant) -> Option<(TaskKey, WorkerKey)> {
        let mut sources: Vec<(usize, WorkerKey, Vec<TaskKey>)> = workers
            .iter()
            .map(|&key| {
                let misplaced = self.misplaced_tasks(&self.workers[key]);
                (misplaced.len(), key, misplaced)
            })
            .collect();
        sources.sort_by_key(|(count, key, _)| (*count, *key));
        sources.into_iter().find_map(|(_, source, tasks)| {
            let is_better = |task: &TaskKey| {
                self.may_move(*task, now) && self.has_better_place(*task, source, workers)
            };
            tasks.into_iter().find(is_better).map(|task| (task, source))
        })
    }

    /// The serving tasks of a worker if they are few, else those of the image with the fewest.
    fn misplaced_tasks(&self, worker: &Worker) -> Vec<TaskKey> {
        let serving: Vec<(TaskKey, ImageName)> = worker
            .tasks
            .iter()
            .filter(|task| self.stage(**task).is_long_running)
            .map(|task| (*task, self.stage(*task).image.clone().unwrap_or_default()))
            .collect();
        if serving.len() <= MOST_MOVES {
            return serving.into_iter().map(|(task, _)| task).collect();
        }
        let Some((main, _)) = worker.serving_images.iter().max_by_key(|(_, count)| **count) else {
            return Vec::new();
        };
        let known = self.interference.estimates();
        let odd: Vec<TaskKey> = serving
            .iter()
            .filter(|(_, image)| image != main && !known.have_same_interferers(image, main))
            .map(|(task, _)| *task)
            .collect();
        if odd.len() <= MOST_MOVES { odd } else { Vec::new() }
    }

    /// Whether the task is at work, hasn't been moved lately, and no other of its stage is away.
    fn may_move(&self, key: TaskKey, now: Instant) -> bool {
        let rest = self.settings.planning.rest_after_move;
        let is_at_work = |run: &Run| run.is_listed && !run.is_stopping && run.percent >= 100;
        let Some(task) = self.task(key) else { return false };
        let tasks =
            &self.jobs[key.job].occurrences[key.occurrence as usize].stages[key.stage as usize];
        task.moved_at.is_none_or(|at| now.duration_since(at) >= rest)
            && self.stage(key).max_unavailable != Some(0)
            && tasks.iter().all(|task| task.run.as_ref().is_some_and(is_at_work))
    }

    /// Whether a worker that serves more, in suitable company, has room for the task.
    fn has_better_place(&self, key: TaskKey, source: WorkerKey, workers: &[WorkerKey]) -> bool {
        let stage = self.stage(key);
        let service = &self.jobs[key.job].queue.service;
        let count = |worker: &Worker| worker.serving_images.values().sum::<u32>();
        let source_count = count(&self.workers[source]);
        workers.iter().filter(|target| **target != source).any(|target| {
            let target = &self.workers[*target];
            let suits = self.suitability(target, service, (key, stage), 0.0);
            count(target) >= source_count
                && suits.is_some_and(|suits| suits.company == Company::Alike)
        })
    }
}
