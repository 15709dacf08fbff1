//! Speed and reliability of workers, from what becomes of their runs.
//!
//! Placement prefers workers on which work is expected to be done sooner. The expected slowdown of a
//! worker combines the speed of its runs, the share of them that fail, and how recently it has been
//! lost. What a worker says about its health has no part in it. All evidence decays, so that a worker
//! that has recovered is tried again, and a doubtful worker still gets what no other has room for.
//!
//! Failures that a task causes itself are no evidence against a worker: when a task fails on a second
//! worker, the first is relieved of a part of the blame.

use std::time::{Duration, Instant};

use crate::{
    cell::{
        Cell, CellEvent, Run, WorkerKey,
        durations::half_life_factor,
        health::HealthSettings,
        worker::{TaskKey, Worker},
    },
    ids::InstanceId,
};

/// Share of the blame for a failure that a later failure of the same task elsewhere shifts.
const SHARED_BLAME: f64 = 0.5;
/// Maximum failure probability that counts.
const MAX_FAILURE_PROBABILITY: f64 = 0.9;
/// Maximum number of losses that count.
const MAX_LOSSES: f64 = 4.0;
/// Slowdown for each recent loss of a worker.
const SLOWDOWN_PER_LOSS: f64 = 0.5;
/// Time for which a run must have been listed to show the speed of its worker.
const MIN_LISTED_TIME: Duration = Duration::from_millis(400);
/// Maximum ratio of expected to observed progress.
const MAX_SLOWDOWN: f64 = 16.0;
/// Slowdown from which others are preferred to a worker for its speed.
const MIN_DOUBTED_SLOWDOWN: f64 = 2.0;
/// Half-lives after which losses are forgotten.
const LOSS_HALF_LIVES: u32 = 8;
/// Run times below this count as this, so that short runs yield no extreme ratios.
const MIN_RUN_TIME: Duration = Duration::from_millis(50);

/// Decayed numbers of a worker's ended runs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outcomes {
    /// Runs that have failed or stalled, without those for which the task is to blame.
    pub failed: f64,
    /// Runs that were done.
    pub done: f64,
}

impl Outcomes {
    /// Probability that a run fails.
    pub fn failure_probability(&self, settings: &HealthSettings) -> f64 {
        let HealthSettings { failure_prior, failure_prior_weight, .. } = *settings;
        let failed = self.failed + failure_prior * failure_prior_weight;
        (failed / (self.failed + self.done + failure_prior_weight)).min(MAX_FAILURE_PROBABILITY)
    }
}

impl Worker {
    /// Expected time until work is done on this worker, failed runs included, in relation to a sound
    /// worker; at least 1.
    pub fn expected_slowdown(&self, settings: &HealthSettings) -> f64 {
        let failure_probability = self.outcomes.failure_probability(settings);
        let retries = (1.0 - settings.failure_prior) / (1.0 - failure_probability);
        let distrust = 1.0 + self.recent_losses * SLOWDOWN_PER_LOSS;
        self.slowdown.max(1.0) * retries.max(1.0) * distrust
    }

    /// How far others are preferred to the worker: its expected slowdown in steps of half a doubling; 0
    /// for a worker that is about sound. A small difference in speed doesn't count, since the run times
    /// of a stage's tasks differ by as much.
    pub(super) fn doubt(&self, settings: &HealthSettings) -> i64 {
        let speed = if self.is_slow() { 1.0 } else { self.slowdown.max(1.0) };
        (2.0 * (self.expected_slowdown(settings) / speed).log2()) as i64
    }

    /// Whether its runs take much longer than on other workers.
    pub(super) fn is_slow(&self) -> bool {
        self.slowdown > MIN_DOUBTED_SLOWDOWN
    }
}

impl Cell {
    /// Expected time until work is done on a worker, failed runs included, in relation to a sound
    /// worker; at least 1.
    pub fn expected_slowdown(&self, worker: WorkerKey) -> f64 {
        let worker = self.workers.get(worker);
        worker.map_or(1.0, |worker| worker.expected_slowdown(&self.settings.health))
    }

    /// Number of workers that others are preferred to.
    pub fn doubted_worker_count(&self) -> usize {
        self.workers.values().filter(|worker| worker.is_doubted).count()
    }

    /// Counts a run that failed or stalled. `previous` is the worker on which an earlier run of the
    /// task failed, if any.
    pub(super) fn note_failure(&mut self, key: WorkerKey, previous: Option<WorkerKey>) {
        let previous = previous.filter(|previous| *previous != key);
        let blamed = previous.and_then(|previous| self.workers.get_mut(previous));
        let blame = match blamed {
            Some(blamed) => {
                blamed.outcomes.failed = (blamed.outcomes.failed - SHARED_BLAME).max(0.0);
                SHARED_BLAME
            }
            None => 1.0,
        };
        self.workers[key].outcomes.failed += blame;
    }

    /// Counts a run that is done, and learns the run time and the worker's speed from it. The speed of
    /// best-effort runs follows from the CPU time that they used.
    pub(super) fn note_completion(&mut self, key: WorkerKey, task_key: TaskKey, now: Instant) {
        self.workers[key].outcomes.done += 1.0;
        let Some(run_time) = self.measured_run_time(key, task_key) else { return };
        if let Some(task) = self.task_mut(task_key) {
            task.run_time = Some(run_time);
        }
        if let Some(expected) = self.sibling_run_time(task_key) {
            let ratio = slowdown_ratio(run_time, expected);
            let worker = &mut self.workers[key];
            worker.slowdown += self.settings.health.slowdown_weight * (ratio - worker.slowdown);
        }
        let slowdown = self.workers[key].slowdown.max(1.0);
        self.observe_run_time(task_key, run_time, slowdown, now);
    }

    /// Counts the loss of a worker: it has restarted without draining before, or its lease has
    /// expired.
    pub(super) fn note_loss(&mut self, key: WorkerKey, now: Instant) {
        let worker = &mut self.workers[key];
        worker.recent_losses += 1.0;
        let Some(agent) = worker.agent.clone() else { return };
        let count = (self.loss_count(&agent, now) + 1.0).min(MAX_LOSSES);
        self.losses.insert(agent, (count, now));
    }

    /// Decayed number of losses of an agent's worker.
    pub(super) fn loss_count(&self, agent: &InstanceId, now: Instant) -> f64 {
        let half_life = self.settings.health.loss_half_life;
        self.losses.get(agent).map_or(0.0, |(count, counted_at)| {
            count * half_life_factor(now.duration_since(*counted_at), half_life)
        })
    }

    /// Raises the slowdown of workers whose unfinished runs make less progress than expected: a slow
    /// worker shows late in runs that are done.
    pub(super) fn observe_progress(&mut self) {
        let weight = self.settings.health.slowdown_weight;
        let slow: Vec<(WorkerKey, f64)> = self
            .workers
            .iter()
            .filter_map(|(key, worker)| {
                let ratios: Vec<f64> =
                    worker.tasks.iter().filter_map(|task| self.progress_ratio(*task)).collect();
                let mean = ratios.iter().sum::<f64>() / ratios.len().max(1) as f64;
                (mean > worker.slowdown).then_some((key, mean))
            })
            .collect();
        for (key, ratio) in slow {
            let worker = &mut self.workers[key];
            worker.slowdown += weight * (ratio - worker.slowdown);
        }
    }

    /// Expected progress of an unfinished run in relation to the observed one.
    fn progress_ratio(&self, key: TaskKey) -> Option<f64> {
        let stage = self.stage(key);
        let run = self.task(key)?.run.as_ref()?;
        if stage.is_long_running || run.is_stopping {
            return None;
        }
        let expected = self.sibling_run_time(key)?.max(MIN_RUN_TIME);
        let worked = run.worked_time(stage.is_best_effort, stage.resources.cpu_milli)?;
        if worked < MIN_LISTED_TIME || run.percent >= 100 {
            return None;
        }
        let expected_share = worked.as_secs_f64() / expected.as_secs_f64();
        // Progress is listed in whole percents.
        let progressed = f64::from(run.percent.saturating_sub(run.first_percent)) + 1.0;
        Some((expected_share * 100.0 / progressed).min(MAX_SLOWDOWN))
    }

    /// Decays what is known about the workers' reliability, and notes those that have become or are no
    /// longer doubtful.
    pub(super) fn decay_reliability(&mut self, elapsed: Duration, now: Instant) {
        let settings = self.settings.health;
        let forget_after = settings.loss_half_life * LOSS_HALF_LIVES;
        self.losses.retain(|_, (_, counted_at)| now.duration_since(*counted_at) < forget_after);
        let outcomes_factor = half_life_factor(elapsed, settings.failure_half_life);
        let trust_factor = half_life_factor(elapsed, settings.trust_half_life);
        for worker in self.workers.values_mut() {
            worker.outcomes.failed *= outcomes_factor;
            worker.outcomes.done *= outcomes_factor;
            worker.recent_losses *= trust_factor;
            let is_doubted = worker.doubt(&settings) > 0;
            if is_doubted != worker.is_doubted {
                worker.is_doubted = is_doubted;
                self.events.push(CellEvent::Doubt {
                    worker: worker.incarnation.clone(),
                    is_doubted,
                    expected_slowdown: worker.expected_slowdown(&settings),
                });
            }
        }
    }
}

impl Run {
    /// Time for which the run has worked between its listings; for a best-effort run, the time in
    /// which it would have used the same CPU time at full pace.
    fn worked_time(&self, is_best_effort: bool, cpu_milli: u64) -> Option<Duration> {
        let (first_ms, last_ms) = self.listed_clock_ms?;
        if is_best_effort {
            let worked_s = self.used_core_ms / cpu_milli.max(1) as f64;
            Duration::try_from_secs_f64(worked_s).ok()
        } else {
            Some(Duration::from_millis(last_ms.saturating_sub(first_ms)))
        }
    }
}

fn slowdown_ratio(run_time: Duration, expected: Duration) -> f64 {
    (run_time.as_secs_f64() / expected.max(MIN_RUN_TIME).as_secs_f64()).min(MAX_SLOWDOWN)
}
