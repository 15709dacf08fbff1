//! Expected run times of tasks.
//!
//! A stage's declared estimate is the prior. What runs took in relation to it is a factor, learned on
//! three levels, each the prior of the next: earlier jobs of the queue with the same image and position
//! of the stage, the other stages of the job, and the tasks of the stage that are done. Factors are
//! averaged as logarithms, since an estimate is as likely to be half as twice of the run time.
//!
//! A run is measured by the worker's clock, from its first listing and from the share of the work that
//! was done by then, so that delays of reports don't count. Best-effort tasks are measured by the CPU
//! time that they used, as if they had run at full pace, and other tasks at the speed of a sound worker.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use slotmap::{SlotMap, new_key_type};

use crate::cell::{
    Cell, JobKey, Run, WorkerKey,
    interference::ImageName,
    job::{JobSpec, QueueName, Stage},
    protocol::TaskName,
    worker::TaskKey,
};

new_key_type! {
    /// Key of what earlier jobs have shown about a stage.
    pub(super) struct HistoryKey;
}

/// Time after which an earlier job counts half.
const HISTORY_HALF_LIFE: Duration = Duration::from_secs(60);
/// Maximum number of histories; all are dropped beyond it.
const MAX_HISTORIES: usize = 4_096;
/// Weight of the prior of a queue's history and of a job's bias, in stages.
const PRIOR_WEIGHT: f64 = 1.0;
/// Weight of the prior of a stage, in tasks.
const STAGE_PRIOR_WEIGHT: f64 = 0.5;
/// Minimum number of done tasks whose mean run time tells how fast a worker is.
const MIN_SIBLINGS: f64 = 2.0;
/// Largest factor, and inverse of the smallest one, on a declared estimate.
const MAX_FACTOR: f64 = 16.0;
/// Share of a task's work that a listed run must have done for a sample.
const MIN_MEASURED_SHARE: f64 = 0.3;
/// Share of a task's work at which its rate of progress and the expected run time count the same.
const PROGRESS_PRIOR_SHARE: f64 = 0.1;

/// Weighted mean of the logarithms of factors.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FactorEstimate {
    log_sum: f64,
    weight: f64,
}

impl FactorEstimate {
    fn observe(&mut self, log_factor: f64, weight: f64) {
        self.log_sum += log_factor * weight;
        self.weight += weight;
    }

    /// Mean, given the mean that is expected without samples.
    fn log_mean(&self, prior_log: f64, prior_weight: f64) -> f64 {
        (self.log_sum + prior_log * prior_weight) / (self.weight + prior_weight)
    }

    fn decay(&mut self, factor: f64) {
        self.log_sum *= factor;
        self.weight *= factor;
    }
}

#[derive(Clone, Copy, Debug)]
struct History {
    estimate: FactorEstimate,
    updated_at: Instant,
}

/// What earlier jobs have shown, by queue, image and position of the stage.
#[derive(Clone, Debug, Default)]
pub(super) struct Histories {
    histories: SlotMap<HistoryKey, History>,
    keys: HashMap<(QueueName, ImageName, usize), HistoryKey>,
}

impl Histories {
    /// Keys of the histories of a job's stages.
    pub(super) fn keys_of(&mut self, spec: &JobSpec, now: Instant) -> Vec<HistoryKey> {
        if self.keys.len() > MAX_HISTORIES {
            self.keys.clear();
            self.histories.clear();
        }
        let empty = History { estimate: FactorEstimate::default(), updated_at: now };
        let histories = &mut self.histories;
        let mut key_of = |(position, stage): (usize, &Stage)| {
            let name = (spec.queue.clone(), stage.image.clone().unwrap_or_default(), position);
            *self.keys.entry(name).or_insert_with(|| histories.insert(empty))
        };
        spec.stages.iter().enumerate().map(&mut key_of).collect()
    }

    fn observe(&mut self, key: HistoryKey, log_factor: f64, weight: f64, now: Instant) {
        let Some(history) = self.histories.get_mut(key) else { return };
        let elapsed = now.duration_since(history.updated_at);
        history.estimate.decay(half_life_factor(elapsed, HISTORY_HALF_LIFE));
        history.estimate.observe(log_factor, weight);
        history.updated_at = now;
    }

    fn log_mean(&self, key: HistoryKey) -> f64 {
        self.histories.get(key).map_or(0.0, |history| history.estimate.log_mean(0.0, PRIOR_WEIGHT))
    }
}

/// Share that remains of a weight after some time.
pub(super) fn half_life_factor(elapsed: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(elapsed.as_secs_f64() / half_life.as_secs_f64())
}

impl Run {
    /// CPU time that the run has used between its listings, in core-milliseconds, at most that of
    /// `cpu_milli`.
    pub(super) fn used_core_ms(&self, cpu_milli: u64, until_clock_ms: u64) -> f64 {
        let last_ms = self.listed_clock_ms.map_or(until_clock_ms, |(_, last_ms)| last_ms);
        let rest_ms = until_clock_ms.saturating_sub(last_ms);
        self.used_core_ms + self.gauge.min(cpu_milli).saturating_mul(rest_ms) as f64 / 1_000.0
    }
}

impl Cell {
    /// Expected run time of a task of the stage from its beginning, at full pace on a sound worker.
    pub(super) fn expected_run_time(&self, job: JobKey, stage: usize) -> Duration {
        let job = &self.jobs[job];
        let declared = Duration::from_millis(job.spec.stages[stage].estimate_ms);
        if job.spec.stages[stage].is_long_running {
            return declared;
        }
        let history_log = |stage: usize| {
            job.histories.get(stage).map_or(0.0, |key| self.histories.log_mean(*key))
        };
        // How much the job's other stages differ from those of earlier jobs.
        let mut job_bias = FactorEstimate::default();
        for (other, samples) in job.stage_factors.iter().enumerate() {
            if other != stage && samples.weight > 0.0 {
                job_bias.observe(samples.log_sum / samples.weight - history_log(other), 1.0);
            }
        }
        let prior_log = history_log(stage) + job_bias.log_mean(0.0, PRIOR_WEIGHT);
        let samples = job.stage_factors.get(stage).copied().unwrap_or_default();
        let max_log = MAX_FACTOR.ln();
        declared
            .mul_f64(samples.log_mean(prior_log, STAGE_PRIOR_WEIGHT).clamp(-max_log, max_log).exp())
    }

    /// Expected run time of a task of a job's stage at full pace on a sound worker; `None` for an
    /// unknown job or stage.
    pub fn run_time_estimate(&self, job: &str, stage: usize) -> Option<Duration> {
        let key = *self.by_id.get(job)?;
        (stage < self.jobs[key].spec.stages.len()).then(|| self.expected_run_time(key, stage))
    }

    /// Expected time until a run ends, from its progress so far and from the expected run time on its
    /// worker; `None` if the task doesn't run or runs until its job is cancelled.
    pub fn remaining_estimate(&self, task: &TaskName) -> Option<Duration> {
        self.expected_remaining(self.key_of(task)?)
    }

    pub(super) fn expected_remaining(&self, key: TaskKey) -> Option<Duration> {
        let run = self.task(key)?.run.as_ref().filter(|_| !self.stage(key).is_long_running)?;
        let left = 1.0 - f64::from(run.percent.min(100)) / 100.0;
        let expected = self.expected_run_time(key.job, key.stage as usize);
        let expected_s = expected.as_secs_f64() * self.expected_slowdown(run.worker) * left;
        let progressed = f64::from(run.percent.saturating_sub(run.first_percent)) / 100.0;
        let (first_ms, last_ms) = run.listed_clock_ms.unwrap_or_default();
        let remaining_s = if progressed > 0.0 && last_ms > first_ms {
            let rate_s = (last_ms - first_ms) as f64 / 1_000.0 * left / progressed;
            let weight = progressed / (progressed + PROGRESS_PRIOR_SHARE);
            weight * rate_s + (1.0 - weight) * expected_s
        } else {
            expected_s
        };
        Duration::try_from_secs_f64(remaining_s).ok()
    }

    /// Run time of a task that is done, as if its worker had done all of its work at full pace; `None`
    /// if its run was listed too late for an estimate.
    pub(super) fn measured_run_time(&self, worker: WorkerKey, key: TaskKey) -> Option<Duration> {
        let stage = self.stage(key);
        let run = self.task(key)?.run.as_ref()?;
        let (first_ms, _) = run.listed_clock_ms?;
        let end_ms = self.workers[worker].status_clock_ms;
        let measured_share = 1.0 - f64::from(run.first_percent.min(100)) / 100.0;
        if measured_share < MIN_MEASURED_SHARE || end_ms <= first_ms {
            return None;
        }
        let measured_ms = if stage.is_best_effort {
            let cpu_milli = stage.resources.cpu_milli.max(1);
            run.used_core_ms(cpu_milli, end_ms) * 1_000.0 / cpu_milli as f64
        } else {
            (end_ms - first_ms) as f64
        };
        (measured_ms > 0.0).then(|| Duration::from_secs_f64(measured_ms / 1_000.0 / measured_share))
    }

    /// Learns from a task that is done and took `run_time` on a worker with the given slowdown.
    pub(super) fn observe_run_time(
        &mut self,
        key: TaskKey,
        run_time: Duration,
        slowdown: f64,
        now: Instant,
    ) {
        let job = &mut self.jobs[key.job];
        let stage = &job.spec.stages[key.stage as usize];
        if stage.estimate_ms == 0 || stage.is_long_running {
            return;
        }
        let sound_ms = run_time.as_secs_f64() * 1_000.0 / slowdown;
        let factor = (sound_ms / stage.estimate_ms as f64).clamp(1.0 / MAX_FACTOR, MAX_FACTOR);
        // The tasks of a stage together count as one sample of the history.
        let weight = 1.0 / f64::from(stage.task_count.max(1));
        if let Some(samples) = job.stage_factors.get_mut(key.stage as usize) {
            samples.observe(factor.ln(), 1.0);
        }
        if let Some(&history) = job.histories.get(key.stage as usize) {
            self.histories.observe(history, factor.ln(), weight, now);
        }
    }

    /// Mean run time of the stage's tasks that are done, on a sound worker; `None` if they are few.
    pub(super) fn sibling_run_time(&self, key: TaskKey) -> Option<Duration> {
        let job = &self.jobs[key.job];
        let samples = job.stage_factors.get(key.stage as usize)?;
        let declared = Duration::from_millis(job.spec.stages[key.stage as usize].estimate_ms);
        (samples.weight >= MIN_SIBLINGS)
            .then(|| declared.mul_f64((samples.log_sum / samples.weight).exp()))
    }
}
