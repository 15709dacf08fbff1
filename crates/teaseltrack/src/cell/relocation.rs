//! Moves of paused best-effort tasks.
//!
//! An agent pauses best-effort tasks while they would push a serving task's tail over its target. A
//! pause lasts as long as the serving load is high, and meanwhile another worker may have spare CPU
//! on which the task interferes with nothing. Such a task is stopped, which saves a checkpoint, and
//! is then placed again. At most one task moves to each worker per round, so that the reports show
//! the effect of a move before the next one.

use std::{collections::BTreeSet, time::Instant};

use crate::cell::{
    Cell, CellEvent, WorkerKey,
    planning::TaskKind,
    worker::{TaskKey, Worker},
};

/// Completed share of a run, in percent, up to which a task without checkpoints is moved; its work
/// is lost.
const MAX_LOST_PERCENT: u32 = 10;

impl Cell {
    /// Stops paused best-effort tasks that could use their requested CPU on another worker.
    pub(super) fn relocate_idle_tasks(&mut self, workers: &[WorkerKey], now: Instant) {
        let interval = self.settings.planning.relocation_interval;
        if self.relocated_at.is_some_and(|at| now.duration_since(at) < interval) {
            return;
        }
        self.relocated_at = Some(now);
        let mut targets: BTreeSet<WorkerKey> = BTreeSet::new();
        let sources = workers.iter().copied().chain(self.evacuated_workers());
        for source in sources.collect::<Vec<WorkerKey>>() {
            for task in self.idle_tasks(&self.workers[source], now) {
                let candidates: Vec<WorkerKey> = workers
                    .iter()
                    .copied()
                    .filter(|target| *target != source && !targets.contains(target))
                    .collect();
                let Some(target) = self.relocation_target(task, &candidates) else { continue };
                targets.insert(target);
                self.relocate(task, source);
            }
        }
    }

    /// Best-effort tasks of a worker that have used no CPU for `relocation_wait` and lose little
    /// work by a stop.
    fn idle_tasks(&self, worker: &Worker, now: Instant) -> Vec<TaskKey> {
        let wait = self.settings.planning.relocation_wait;
        let is_movable = |key: &TaskKey| {
            let stage = self.stage(*key);
            let Some(run) = self.task(*key).and_then(|task| task.run.as_ref()) else {
                return false;
            };
            let is_idle = run.idle_since.is_some_and(|since| now.duration_since(since) >= wait);
            let is_saved = stage.is_checkpointing || run.percent <= MAX_LOST_PERCENT;
            TaskKind::of(stage) == TaskKind::BestEffort
                && !stage.is_gang
                && run.is_listed
                && !run.is_stopping
                && is_idle
                && is_saved
        };
        worker.tasks.iter().copied().filter(is_movable).collect()
    }

    /// Worker on which the task could use all of its requested CPU.
    fn relocation_target(&self, key: TaskKey, workers: &[WorkerKey]) -> Option<WorkerKey> {
        let stage = self.stage(key);
        let service = &self.jobs[key.job].queue.service;
        let target = self.choose_worker(key, stage, workers, 0.0)?;
        let score = self.score(&self.workers[target], service, (key, stage), 0.0)?;
        (score.cpu_milli >= stage.resources.cpu_milli as i64).then_some(target)
    }

    fn relocate(&mut self, key: TaskKey, source: WorkerKey) {
        let Some(name) = self.name_of(key) else { return };
        let Some(task) = self.task_mut(key) else { return };
        task.avoided_worker = Some(source);
        let attempt = task.progress.attempt;
        let worker = self.workers[source].incarnation.clone();
        self.events.push(CellEvent::Moved { task: name, attempt, worker });
        self.stop_run(key);
    }
}
