//! Detection of failing and slow workers and of stalled runs.
//!
//! A worker on which the runs of several tasks in a row fail is put on probation and gets no new tasks
//! until a run is done there, or for some time. A long-running task is never done; its run counts as a
//! success once it has lasted. A stalled run is stopped, and its next attempt avoids the worker. Between
//! sound workers and those on probation, [`reliability`] decides.
//!
//! [`reliability`]: crate::cell::reliability

use std::time::{Duration, Instant};

use crate::cell::{
    Cell, CellEvent, Run, WorkerKey,
    protocol::{EndCause, RunningTask},
    worker::{Exclusion, ExclusionCause, TaskKey},
};

/// Settings of health detection.
#[derive(Clone, Copy, Debug)]
pub struct HealthSettings {
    /// Number of tasks whose runs fail in a row after which their worker is put on probation.
    pub failure_threshold: u32,
    /// Duration of probation, during which the worker gets no new tasks. The failure of each further
    /// task restarts it, and a run that is done ends it; so does a long-running one that has lasted for
    /// as long.
    pub probation: Duration,
    /// Time without progress after which a run counts as stalled and is stopped.
    pub stall_timeout: Duration,
    /// Weight of the latest run in the moving average of a worker's slowdown.
    pub slowdown_weight: f64,
    /// Half-life of a worker's slowdown, in seconds.
    pub slowdown_half_life_s: f64,
    /// Failure probability of a run on a sound worker.
    pub failure_prior: f64,
    /// Weight of `failure_prior`, in runs.
    pub failure_prior_weight: f64,
    /// Time after which an ended run counts half in a worker's failure probability.
    pub failure_half_life: Duration,
    /// Time after which a worker that was lost is distrusted half as much.
    pub trust_half_life: Duration,
    /// Time after which an earlier loss counts half when a worker comes back.
    pub loss_half_life: Duration,
}

impl Run {
    /// Updates the run from the worker's listing. A gauge of 0 restarts the stall timeout, because a
    /// run that gets no CPU can make no progress.
    pub(super) fn update_progress(
        &mut self,
        listed: &RunningTask,
        clock_ms: u64,
        cpu_milli: u64,
        now: Instant,
    ) {
        if self.listed_clock_ms.is_none() {
            self.first_percent = listed.percent;
        }
        let last_ms = self.listed_clock_ms.map_or(clock_ms, |(_, last_ms)| last_ms);
        let elapsed_ms = clock_ms.saturating_sub(last_ms);
        self.used_core_ms +=
            listed.gauge.min(cpu_milli).saturating_mul(elapsed_ms) as f64 / 1_000.0;
        if self.percent != listed.percent || self.progressed_at.is_none() || listed.gauge == 0 {
            self.progressed_at = Some(now);
        }
        if listed.gauge == 0 {
            self.idle_since.get_or_insert(now);
        } else {
            self.idle_since = None;
        }
        self.first_listed_at.get_or_insert(now);
        self.last_listed_at = Some(now);
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
    /// Counts a long-running run as a success of its worker, once, after it has lasted for as long as a
    /// probation.
    pub(super) fn note_lasting_run(&mut self, key: WorkerKey, task_key: TaskKey) {
        let min_time = self.settings.health.probation;
        let is_long_running = self.stage(task_key).is_long_running;
        let run = self.task_mut(task_key).and_then(|task| task.run.as_mut());
        let lasting = run.filter(|run| {
            is_long_running && run.worker == key && !run.has_lasted && run.is_cleared(min_time)
        });
        if let Some(run) = lasting {
            run.has_lasted = true;
            self.note_success(key);
        }
    }

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
                let previous = self.task_mut(task_key).and_then(|task| {
                    let has_failed = task.progress.failure_count > 0;
                    task.avoided_worker.replace(key).filter(|_| has_failed)
                });
                self.note_failure(key, previous);
                let worker = &mut self.workers[key];
                let threshold = settings.failure_threshold as usize;
                if worker.note_failed_task(task_key, threshold) >= threshold {
                    self.begin_probation(key, now);
                }
            }
            EndCause::Done => {
                self.note_success(key);
                self.note_completion(key, task_key, now);
            }
            EndCause::Stopped | EndCause::Lapsed | EndCause::Broken | EndCause::Alone => {}
        }
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
            self.note_failure(worker, None);
            let worker = self.workers[worker].incarnation.clone();
            self.events.push(CellEvent::Stalled { task: name, attempt, worker });
            self.stop_run(key);
        }
    }

    fn begin_probation(&mut self, key: WorkerKey, now: Instant) {
        let until = now + self.settings.health.probation;
        let worker = &mut self.workers[key];
        worker.exclude(Exclusion { cause: ExclusionCause::Probation, until });
        self.events.push(CellEvent::ProbationBegun {
            worker: worker.incarnation.clone(),
            failed_task_count: worker.failed_tasks.len(),
            task_count: worker.tasks.len(),
        });
    }

    /// Counts a run as a success of its worker, which ends a probation.
    fn note_success(&mut self, key: WorkerKey) {
        let worker = &mut self.workers[key];
        if worker.note_success() {
            self.events.push(CellEvent::ProbationEnded { worker: worker.incarnation.clone() });
            self.needs_plan = true;
        }
    }

    /// Ends the exclusions whose time is over.
    pub(super) fn end_exclusions(&mut self, now: Instant) {
        for worker in self.workers.values_mut() {
            let Some(exclusion) = worker.exclusion.take_if(|exclusion| exclusion.until <= now)
            else {
                continue;
            };
            if exclusion.cause == ExclusionCause::Probation {
                let worker = worker.incarnation.clone();
                self.events.push(CellEvent::ProbationEnded { worker });
            }
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
