//! Workers judged by what they run: failing, slow and hanging ones.
//!
//! A worker that fails what it starts, while nothing there gets done, gets no new tasks for a while.
//! Run times are compared with those of the same stage elsewhere. A run that stands still is
//! stopped, and its next attempt goes elsewhere.

use std::time::{Duration, Instant};

use crate::cell::{
    Cell, CellEvent, Run, Task, WorkerKey,
    protocol::{EndCause, RunningTask},
    worker::TaskKey,
};

/// How workers are judged.
#[derive(Clone, Copy, Debug)]
pub struct HealthSettings {
    /// Failures in a row after which a worker gets no new tasks.
    pub max_consecutive_failures: u32,
    /// How long it then gets none; one more failure repeats it.
    pub probation: Duration,
    /// Time without progress after which a run is stopped.
    pub stall_timeout: Duration,
    /// Weight of the newest run in a worker's slowness.
    pub slowdown_weight: f64,
    /// Time after which slowness counts half, in seconds.
    pub slowdown_half_life_s: f64,
    /// Slowness beyond which other workers are preferred.
    pub slowdown_threshold: f64,
}

impl Run {
    /// Takes in what the worker lists of the run.
    pub(super) fn note_progress(&mut self, listed: &RunningTask, now: Instant) {
        if self.percent != listed.percent || self.moved_at.is_none() || listed.gauge == 0 {
            self.moved_at = Some(now);
        }
        self.listed_at.get_or_insert(now);
        self.percent = listed.percent;
        self.gauge = listed.gauge;
    }

    fn is_stalled(&self, timeout: Duration, now: Instant) -> bool {
        let stands = self.moved_at.is_some_and(|moved_at| now.duration_since(moved_at) >= timeout);
        stands && self.is_listed && !self.is_stopping
    }
}

impl Cell {
    /// Judges the worker by a run that ended on it.
    pub(super) fn judge_worker(
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
                    task.avoided = Some(key);
                }
                let worker = &mut self.workers[key];
                worker.consecutive_failures += 1;
                if worker.consecutive_failures >= settings.max_consecutive_failures {
                    worker.refused_until = Some(now + settings.probation);
                }
            }
            EndCause::Done => {
                self.workers[key].consecutive_failures = 0;
                self.compare_run_time(key, task_key, now);
            }
            EndCause::Stopped | EndCause::Lapsed | EndCause::Broken | EndCause::Alone => {}
        }
    }

    fn compare_run_time(&mut self, key: WorkerKey, task_key: TaskKey, now: Instant) {
        if self.stage(task_key).is_best_effort {
            return;
        }
        let weight = self.settings.health.slowdown_weight;
        let Some(task) = self.task_mut(task_key) else { return };
        let listed_at = task.run.as_ref().and_then(|run| run.listed_at);
        let Some(run_time) = listed_at.map(|listed_at| now.duration_since(listed_at)) else {
            return;
        };
        task.run_time = Some(run_time);
        let Some(usual) = self.usual_run_time(task_key) else { return };
        let ratio = run_time.as_secs_f64() / usual.as_secs_f64().max(0.05);
        let worker = &mut self.workers[key];
        worker.slowness += weight * (ratio - worker.slowness);
    }

    /// Median run time of the other tasks of the stage that are done.
    fn usual_run_time(&self, key: TaskKey) -> Option<Duration> {
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

    /// Stops runs that stand still although nothing holds them back.
    pub(super) fn stop_stalled_runs(&mut self, now: Instant) {
        let stall = self.settings.health.stall_timeout;
        let stalled: Vec<TaskKey> = self
            .workers
            .values()
            .filter(|worker| worker.is_reachable)
            .flat_map(|worker| worker.tasks.iter().copied())
            .filter(|key| {
                let stage = self.stage(*key);
                let run = self.task(*key).and_then(|task| task.run.as_ref());
                !stage.is_long_running
                    && !stage.is_gang
                    && run.is_some_and(|run| run.is_stalled(stall, now))
            })
            .collect();
        for key in stalled {
            let Some(name) = self.name_of(key) else { continue };
            let Some(task) = self.task_mut(key) else { continue };
            let attempt = task.progress.attempt;
            let Some(worker) = task.run.as_ref().map(|run| run.worker) else { continue };
            task.avoided = Some(worker);
            let worker = self.workers[worker].life.clone();
            self.events.push(CellEvent::Stalled { task: name, attempt, worker });
            self.stop_run(key);
        }
    }

    /// Lets slowness fade, so that a worker that has recovered gets tasks again.
    pub(super) fn forget_slowness(&mut self, elapsed: Duration) {
        let half_life_s = self.settings.health.slowdown_half_life_s;
        let factor = 0.5_f64.powf(elapsed.as_secs_f64() / half_life_s);
        for worker in self.workers.values_mut() {
            worker.slowness = 1.0 + (worker.slowness - 1.0) * factor;
        }
    }
}
