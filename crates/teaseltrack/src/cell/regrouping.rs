//! Moves of serving tasks that prevent best-effort tasks from running on a worker.
//!
//! A single serving task near its peak load limits all best-effort tasks of its worker. A serving
//! task whose interfering images differ from those of the worker's other serving tasks leaves no
//! best-effort image that may run there. Such tasks are moved, one at a time, once a worker with a
//! better colocation has enough free capacity.

use std::time::Instant;

use crate::cell::{
    Cell, CellEvent, Run, WorkerKey,
    interference::ImageName,
    progress::TaskPhase,
    scoring::Colocation,
    worker::{TaskKey, Worker},
};

/// Maximum number of tasks to move off a worker; moving more isn't worth the interruptions.
const MAX_MOVED_TASKS: usize = 2;

impl Cell {
    /// Stops a serving task that has a better worker; planning then places it again.
    pub(super) fn regroup(&mut self, workers: &[WorkerKey], now: Instant) {
        let interval = self.settings.planning.regroup_interval;
        if self.regrouped_at.is_some_and(|at| now.duration_since(at) < interval) {
            return;
        }
        self.regrouped_at = Some(now);
        let Some((task, from)) = self.next_move(workers, now) else { return };
        self.move_task(task, from, now);
    }

    /// Stops a serving task so that it can be placed on another worker.
    pub(super) fn move_task(&mut self, task: TaskKey, from: WorkerKey, now: Instant) {
        let Some(name) = self.name_of(task) else { return };
        let Some(stopped) = self.task_mut(task) else { return };
        stopped.avoided_worker = Some(from);
        stopped.moved_at = Some(now);
        let attempt = stopped.progress.attempt;
        let worker = self.workers[from].incarnation.clone();
        self.events.push(CellEvent::Moved { task: name, attempt, worker });
        self.stop_run(task);
    }

    /// Next task to move, and the worker that it leaves; workers with few misplaced tasks come
    /// first.
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
                self.may_move(*task, now) && self.has_better_worker(*task, source, workers)
            };
            tasks.into_iter().find(is_better).map(|task| (task, source))
        })
    }

    /// All serving tasks of a worker if they are few; otherwise those that differ from the worker's
    /// most frequent image in their interfering images, if these are few.
    fn misplaced_tasks(&self, worker: &Worker) -> Vec<TaskKey> {
        let serving: Vec<(TaskKey, ImageName)> = worker
            .tasks
            .iter()
            .filter(|task| self.stage(**task).is_long_running)
            .map(|task| (*task, self.stage(*task).image.clone().unwrap_or_default()))
            .collect();
        if serving.len() <= MAX_MOVED_TASKS {
            return serving.into_iter().map(|(task, _)| task).collect();
        }
        let Some((majority, _)) = worker.serving_images.iter().max_by_key(|(_, count)| **count)
        else {
            return Vec::new();
        };
        let estimates = self.interference.estimates();
        let outliers: Vec<TaskKey> = serving
            .iter()
            .filter(|(_, image)| {
                image != majority && !estimates.have_same_interferers(image, majority)
            })
            .map(|(task, _)| *task)
            .collect();
        if outliers.len() <= MAX_MOVED_TASKS { outliers } else { Vec::new() }
    }

    /// Whether the task wasn't moved recently, and its stage tolerates an unavailable task and has
    /// none now.
    fn may_move(&self, key: TaskKey, now: Instant) -> bool {
        let cooldown = self.settings.planning.move_cooldown;
        let moved_at = self.task(key).and_then(|task| task.moved_at);
        moved_at.is_none_or(|at| now.duration_since(at) >= cooldown) && self.tolerates_move(key)
    }

    /// Whether the task's stage tolerates an unavailable task and has none now.
    pub(super) fn tolerates_move(&self, key: TaskKey) -> bool {
        let is_serving = |run: &Run| run.is_listed && !run.is_stopping && run.percent >= 100;
        let occurrence = self.jobs[key.job].occurrences.get(key.occurrence);
        let mut tasks = occurrence.iter().flat_map(|o| &o.stages[key.stage as usize]);
        self.stage(key).max_unavailable != Some(0)
            && tasks.all(|task| {
                matches!(task.progress.phase, TaskPhase::Delegated(_))
                    || task.run.as_ref().is_some_and(is_serving)
            })
    }

    /// Whether another worker with similar and at least as many serving tasks can run the task.
    fn has_better_worker(&self, key: TaskKey, source: WorkerKey, workers: &[WorkerKey]) -> bool {
        let stage = self.stage(key);
        let service = &self.jobs[key.job].queue.service;
        let count = |worker: &Worker| worker.serving_images.values().sum::<u32>();
        let source_count = count(&self.workers[source]);
        workers.iter().filter(|candidate| **candidate != source).any(|candidate| {
            let candidate = &self.workers[*candidate];
            let score = self.score(candidate, service, (key, stage), 0.0);
            count(candidate) >= source_count
                && score.is_some_and(|score| score.colocation == Colocation::Similar)
        })
    }
}
