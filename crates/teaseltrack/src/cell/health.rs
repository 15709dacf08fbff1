//! Detection of failing and slow workers and of stalled runs.
//!
//! A worker on which several runs in a row fail is put on probation and gets no new tasks. A
//! worker's slowdown follows from run times relative to other tasks of the same stage. A stalled
//! run is stopped, and its next attempt avoids the worker.

use std::time::{Duration, Instant};

use crate::cell::{
    Cell, CellEvent, Run, Task, WorkerKey,
    protocol::{EndCause, RunningTask},
    worker::TaskKey,
};

/// Settings of health detection.
#[derive(Clone, Copy, Debug)]
pub struct HealthSettings {
    /// Consecutive failures after which a worker is put on probation.
    pub failure_threshold: u32,
    /// Duration of probation, during which the worker gets no new tasks. Each further failure
    /// before a run is done restarts it.
    pub probation: Duration,
    /// Time without progress after which a run counts as stalled and is stopped.
    pub stall_timeout: Duration,
    /// Weight of the latest run in the moving average of a worker's slowdown.
    pub slowdown_weight: f64,
    /// Half-life of a worker's slowdown, in seconds.
    pub slowdown_half_life_s: f64,
    /// Slowdown above which other workers are preferred.
    pub slowdown_threshold: f64,
}

impl Run {
    /// Updates the run from the worker's listing. A gauge of 0 restarts the stall timeout, because a
    /// run that gets no CPU can make no progress.
    pub(super) fn update_progress(&mut self, listed: &RunningTask, clock_ms: u64, now: Instant) {
        if self.percent != listed.percent || self.progressed_at.is_none() || listed.gauge == 0 {
            self.progressed_at = Some(now);
        }
        if listed.gauge == 0 {
            self.idle_since.get_or_insert(now);
        } else {
            self.idle_since = None;
        }
        self.first_listed_at.get_or_insert(now);
        if self.listed_clock_ms.is_none() {
            self.first_percent = listed.percent;
        }
        if self.listed_clock_ms.is_none() || self.percent != listed.percent {
            self.progressed_clock_ms = clock_ms;
        }
        let (first_ms, _) = *self.listed_clock_ms.get_or_insert((clock_ms, clock_ms));
        self.listed_clock_ms = Some((first_ms, clock_ms));
        self.percent = listed.percent;
        self.gauge = listed.gauge;
    }

    fn is_stalled(&self, timeout: Duration, now: Instant) -> bool {
        let has_no_progress = self
            .progressed_at
            .is_some_and(|progressed_at| now.duration_since(progressed_at) >= timeout);
        has_no_progress && self.is_listed && !self.is_stopping
    }
}

impl Cell {
    /// Updates the worker's failure count and slowdown after the end of a run.
    pub(super) fn update_worker_health(
        &mut self,
        key: WorkerKey,
        task_key: TaskKey,
        cause: EndCause,
        now: Instant,
    ) {
        let settings = self.settings.health;
        match cause {
            EndCause::Failed => {
                if let Some(task) = self.task_mut(task_key) {
                    task.avoided_worker = Some(key);
                }
                let worker = &mut self.workers[key];
                worker.consecutive_failures += 1;
                if worker.consecutive_failures >= settings.failure_threshold {
                    worker.ineligible_until = Some(now + settings.probation);
                }
            }
            EndCause::Done => {
                self.workers[key].consecutive_failures = 0;
                self.update_slowdown(key, task_key, now);
            }
            EndCause::Stopped | EndCause::Lapsed | EndCause::Broken | EndCause::Alone => {}
        }
    }

    fn update_slowdown(&mut self, key: WorkerKey, task_key: TaskKey, now: Instant) {
        if self.stage(task_key).is_best_effort {
            return;
        }
        let weight = self.settings.health.slowdown_weight;
        let Some(task) = self.task_mut(task_key) else { return };
        let first_listed_at = task.run.as_ref().and_then(|run| run.first_listed_at);
        let Some(run_time) =
            first_listed_at.map(|first_listed_at| now.duration_since(first_listed_at))
        else {
            return;
        };
        task.run_time = Some(run_time);
        let Some(median) = self.median_run_time(task_key) else { return };
        // Medians below 50 ms count as 50 ms, so that short runs yield no extreme ratios.
        let ratio = run_time.as_secs_f64() / median.as_secs_f64().max(0.05);
        let worker = &mut self.workers[key];
        worker.slowdown += weight * (ratio - worker.slowdown);
    }

    /// Median run time of the stage's other tasks that are done.
    fn median_run_time(&self, key: TaskKey) -> Option<Duration> {
        let occurrence = self.jobs[key.job].occurrences.get(key.occurrence as usize)?;
        let tasks: &[Task] = occurrence.stages.get(key.stage as usize)?;
        let mut times: Vec<Duration> = (0_u32..)
            .zip(tasks)
            .filter(|(index, _)| *index != key.index)
            .filter_map(|(_, task)| task.run_time)
            .collect();
        times.sort();
        times.get(times.len() / 2).copied()
    }

    /// Stops stalled runs of batch and best-effort tasks on reachable workers. Gang members are
    /// exempt.
    pub(super) fn stop_stalled_runs(&mut self, now: Instant) {
        let timeout = self.settings.health.stall_timeout;
        let stalled: Vec<(WorkerKey, TaskKey)> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.is_reachable)
            .flat_map(|(key, worker)| worker.tasks.iter().map(move |task| (key, *task)))
            .filter(|(worker, key)| {
                let stage = self.stage(*key);
                let run = self.task(*key).and_then(|task| task.run_on(*worker));
                !stage.is_long_running
                    && !stage.is_gang
                    && run.is_some_and(|run| run.is_stalled(timeout, now))
            })
            .collect();
        for (worker, key) in stalled {
            self.select_run(key, worker);
            let Some(name) = self.name_of(key) else { continue };
            let Some(task) = self.task_mut(key) else { continue };
            let attempt = task.progress.attempt;
            task.avoided_worker = Some(worker);
            let worker = self.workers[worker].incarnation.clone();
            self.events.push(CellEvent::Stalled { task: name, attempt, worker });
            self.stop_run(key);
        }
    }

    /// Decays all slowdowns towards 1, so that a worker that has recovered gets tasks again.
    pub(super) fn decay_slowdowns(&mut self, elapsed: Duration) {
        let half_life_s = self.settings.health.slowdown_half_life_s;
        let factor = 0.5_f64.powf(elapsed.as_secs_f64() / half_life_s);
        for worker in self.workers.values_mut() {
            worker.slowdown = 1.0 + (worker.slowdown - 1.0) * factor;
        }
    }
}
