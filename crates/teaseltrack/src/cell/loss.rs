//! What callers lose by waiting.
//!
//! A job's caller loses nothing if the job is completed within its objective, most of the job's
//! value at the first moment after it, and the rest until the job is long overdue. The value grows
//! with the priority of the queue and less than proportionally with the work, so that neither many
//! small jobs nor a few large ones decide by themselves.
//!
//! Decisions under load compare the loss that can still be avoided with the work that avoiding it
//! takes: Smith's rule, applied to a loss that depends on the time of completion.

use std::{
    cmp::Ordering,
    time::{Duration, Instant},
};

use crate::cell::{
    Cell, JobKey, Task,
    job::{Queue, Stage},
    progress::TaskPhase,
};

/// Value of a job relative to one with the same work in a queue of the next lower priority.
const PRIORITY_FACTOR: f64 = 4.0;
/// Share of its value that a job loses as soon as it is late.
const LATE_SHARE: f64 = 0.75;
/// Slack relative to the remaining path at which a job is half as urgent as one without slack.
const SLACK_SCALE: f64 = 2.0;
/// Limit on run times and objectives, which callers and operators choose; keeps sums of times
/// representable.
const MAX_TIME: Duration = Duration::from_secs(365 * 24 * 3_600);
/// Minimum work of a job or task, in core-seconds; keeps ratios of loss and work finite.
const MIN_WORK_CORE_S: f64 = 0.001;

/// Value of a job with the given work to its caller.
pub fn job_value(priority: u32, work_core_s: f64) -> f64 {
    let weight = PRIORITY_FACTOR.powf(-f64::from(priority));
    weight * work_core_s.max(MIN_WORK_CORE_S).sqrt()
}

/// Time within which a job of the queue should be completed after its acceptance.
pub fn objective(queue: &Queue, critical_path: Duration) -> Duration {
    let stretched = multiply(critical_path, queue.stretch.max(1.0));
    (stretched + Duration::from_millis(queue.objective_ms)).min(MAX_TIME)
}

/// Product, at most [`MAX_TIME`].
fn multiply(time: Duration, factor: f64) -> Duration {
    let product = Duration::try_from_secs_f64(time.as_secs_f64() * factor);
    product.unwrap_or(MAX_TIME).min(MAX_TIME)
}

/// Whether a job can still be completed in time, in scheduling order: jobs that are late already
/// must not delay jobs that can still meet their objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outlook {
    /// Within its objective.
    OnTime,
    /// Late, while its caller still gains by it.
    Late,
    /// Not before it is long overdue.
    LongOverdue,
}

/// What a job's caller loses with the time of its completion.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LossCurve {
    /// Loss if the job is never completed.
    pub value: f64,
    /// Time of completion up to which nothing is lost.
    pub on_time_until: Instant,
    /// Time of completion after which everything is lost.
    pub worthless_after: Instant,
}

impl LossCurve {
    /// Loss if the job is completed at the given time, from 0 to `value`.
    pub fn loss_at(&self, completion: Instant) -> f64 {
        if completion <= self.on_time_until {
            return 0.0;
        }
        if completion >= self.worthless_after {
            return self.value;
        }
        let late = completion.duration_since(self.on_time_until).as_secs_f64();
        let max_late = self.worthless_after.duration_since(self.on_time_until).as_secs_f64();
        self.value * (LATE_SHARE + (1.0 - LATE_SHARE) * late / max_late)
    }

    /// Whether a completion at the given time is on time.
    pub fn outlook(&self, completion: Instant) -> Outlook {
        if completion <= self.on_time_until {
            Outlook::OnTime
        } else if completion < self.worthless_after {
            Outlook::Late
        } else {
            Outlook::LongOverdue
        }
    }

    /// Loss per core-second of remaining work that is avoided by letting the job run from `now` on,
    /// compared with never completing it.
    pub fn avoidable_loss_per_core_s(&self, remaining: RemainingWork, now: Instant) -> f64 {
        let completion = now + remaining.critical_path;
        (self.value - self.loss_at(completion)) / remaining.core_s.max(MIN_WORK_CORE_S)
    }

    /// Time for which the job may still wait without being late; zero if it is late.
    pub fn slack(&self, remaining: RemainingWork, now: Instant) -> Duration {
        self.on_time_until.saturating_duration_since(now + remaining.critical_path)
    }
}

/// Work that a job still needs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RemainingWork {
    /// Run time of the longest chain of stages that aren't completed.
    pub critical_path: Duration,
    /// CPU time of all tasks that aren't completed, in core-seconds.
    pub core_s: f64,
}

impl RemainingWork {
    /// The same work on workers that are slower by the given factor.
    pub fn slowed(self, slowdown: f64) -> Self {
        let factor = slowdown.max(1.0);
        Self { critical_path: multiply(self.critical_path, factor), core_s: self.core_s * factor }
    }
}

/// Job that waits for capacity, as far as its place in the order depends on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitingJob {
    /// Priority of its queue; 0 is the highest.
    pub priority: u32,
    /// What its caller loses with the time of its completion.
    pub curve: LossCurve,
    /// Work that it still needs.
    pub remaining: RemainingWork,
}

/// Place of a waiting job in the order; the lowest comes first.
#[derive(Clone, Copy, Debug)]
pub struct Precedence {
    is_long_overdue: bool,
    priority: u32,
    /// Loss per core-second that the job avoids by running now, discounted by the time for which it
    /// can still wait.
    urgency: f64,
    on_time_until: Instant,
}

impl Precedence {
    /// Place of a job that loses nothing by waiting: by priority and age alone.
    pub fn by_objective(job: &WaitingJob) -> Self {
        let WaitingJob { priority, curve, .. } = *job;
        let on_time_until = curve.on_time_until;
        Self { is_long_overdue: false, priority, urgency: 0.0, on_time_until }
    }
}

impl PartialEq for Precedence {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Precedence {}

impl Ord for Precedence {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.is_long_overdue, self.priority)
            .cmp(&(other.is_long_overdue, other.priority))
            .then(other.urgency.total_cmp(&self.urgency))
            .then(self.on_time_until.cmp(&other.on_time_until))
    }
}

impl PartialOrd for Precedence {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl WaitingJob {
    /// Place of the job in the order.
    ///
    /// Jobs that their callers still gain by come first, by priority, then by the loss per
    /// core-second that running now avoids. That loss is discounted by the job's slack, relative to
    /// its path, since a job that can wait loses nothing by it. Jobs that are long overdue follow by
    /// age.
    pub fn precedence(&self, now: Instant) -> Precedence {
        let Self { priority, curve, remaining } = *self;
        let is_long_overdue = curve.outlook(now + remaining.critical_path) == Outlook::LongOverdue;
        let scale_s = (SLACK_SCALE * remaining.critical_path.as_secs_f64()).max(f64::MIN_POSITIVE);
        let slack_s = curve.slack(remaining, now).as_secs_f64();
        let avoidable_loss = curve.avoidable_loss_per_core_s(remaining, now);
        Precedence {
            is_long_overdue,
            priority: if is_long_overdue { 0 } else { priority },
            urgency: avoidable_loss * scale_s / (scale_s + slack_s),
            on_time_until: curve.on_time_until,
        }
    }
}

impl Cell {
    /// Loss curve of a job; of its latest occurrence, if it is a recurring job.
    pub(super) fn loss_curve(&self, key: JobKey) -> LossCurve {
        self.occurrence_loss_curve(key, self.jobs[key].occurrences.begun_count().saturating_sub(1))
    }

    /// Loss curve of one occurrence of a job.
    pub(super) fn occurrence_loss_curve(&self, key: JobKey, occurrence: u32) -> LossCurve {
        let total = self.total_work(key);
        let job = &self.jobs[key];
        let objective = objective(&job.queue, total.critical_path);
        let max_time = multiply(objective, self.settings.planning.long_overdue_factor.max(1.0));
        let due_at = self.due_at(key, occurrence, max_time);
        LossCurve {
            value: job_value(job.queue.priority, total.core_s),
            on_time_until: due_at + objective,
            worthless_after: due_at + max_time,
        }
    }

    /// Time of acceptance of a job, or the time at which the occurrence is due.
    ///
    /// Callers choose that time. If it is so late that it, or `max_time` after it, is not an
    /// `Instant`, the time of acceptance is returned.
    fn due_at(&self, key: JobKey, occurrence: u32, max_time: Duration) -> Instant {
        let job = &self.jobs[key];
        let delay_ms = job.spec.schedule.map_or(0, |schedule| {
            let offset_ms = u64::from(occurrence).saturating_mul(schedule.interval_ms);
            let due_unix_ms = schedule.first_unix_ms.saturating_add(offset_ms);
            due_unix_ms.saturating_sub(job.spec.submitted_unix_ms)
        });
        let due_at = job.accepted_at.checked_add(Duration::from_millis(delay_ms));
        due_at.filter(|at| at.checked_add(max_time).is_some()).unwrap_or(job.accepted_at)
    }

    /// Work of one occurrence of a job from its beginning.
    fn total_work(&self, key: JobKey) -> RemainingWork {
        self.work(key, |stage_index, stage| {
            let run_time = self.expected_run_time(key, stage_index).min(MAX_TIME);
            (run_time, f64::from(stage.task_count) * run_time.as_secs_f64())
        })
    }

    /// Work that an occurrence of a job still needs.
    pub(super) fn remaining_work(&self, key: JobKey, occurrence: u32) -> RemainingWork {
        let Some(occurrence) = self.jobs[key].occurrences.get(occurrence) else {
            return self.total_work(key);
        };
        self.work(key, |stage_index, _| {
            let run_time = self.expected_run_time(key, stage_index).min(MAX_TIME);
            let tasks = occurrence.stages[stage_index].iter();
            tasks
                .map(|task| run_time.mul_f64(task.remaining_share()))
                .fold((Duration::ZERO, 0.0), |(longest, total_s), rest| {
                    (longest.max(rest), total_s + rest.as_secs_f64())
                })
        })
    }

    /// Sums up the stages of a job, given the run time of a stage's longest task, and of all its
    /// tasks in seconds.
    fn work(&self, key: JobKey, times: impl Fn(usize, &Stage) -> (Duration, f64)) -> RemainingWork {
        let stages = &self.jobs[key].spec.stages;
        let mut path_ends: Vec<Duration> = Vec::with_capacity(stages.len());
        let mut core_s = 0.0;
        for (stage_index, stage) in stages.iter().enumerate() {
            let (longest, total_s) = times(stage_index, stage);
            let before = stage.after.iter().map(|&dependency| path_ends[dependency]).max();
            path_ends.push(before.unwrap_or_default() + longest);
            core_s += total_s * stage.resources.cpu_milli as f64 / 1_000.0;
        }
        RemainingWork { critical_path: path_ends.into_iter().max().unwrap_or_default(), core_s }
    }
}

impl Task {
    /// Share of the task's work that isn't done, as last listed.
    fn remaining_share(&self) -> f64 {
        if self.progress.phase == TaskPhase::Done {
            return 0.0;
        }
        let percent = self.run.as_ref().map_or(0, |run| run.percent.min(100));
        1.0 - f64::from(percent) / 100.0
    }
}
