//! Admission: whether a new job can be finished in time.
//!
//! The finish of a new job is predicted from the work ahead of it and from the rate at which work of
//! its kind has been completed while more of it was waiting. Work is measured in expected run times
//! on both sides, so that an error that all of them share cancels out.
//!
//! A job is rejected if it would be of no use, at the cost of jobs that can still be on time.
//! Anything that makes the prediction doubtful leads to acceptance, and a share of each kind of
//! request is accepted in any case. `docs/design/admission.md` describes the protocol between
//! entries, store and owner.

use std::{
    cmp::Ordering,
    collections::{HashMap, VecDeque},
    f64::consts::LN_2,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    cell::{
        Cell, JobKey,
        job::{JobId, JobSpec, Queue, QueueName, Stage},
        planning::{Lateness, Rank, TaskKind, is_ready},
        progress::TaskPhase,
    },
    ids::{ServiceName, ZoneName},
};

/// Number of recent requests of a queue from which the limits of the size classes follow.
const SIZE_SAMPLE: usize = 100;
/// Number of sampled requests without which all sizes count as one class.
const MIN_SIZE_SAMPLE: usize = 20;
/// Share of a queue's requests that are smaller than the largest tenth.
const LARGEST_QUANTILE: f64 = 0.9;
/// Share of a queue's requests that are smaller than the largest tenth and the fifth below it.
const LARGE_QUANTILE: f64 = 0.7;
/// Time in which a job starts if nothing is ahead of it.
const START_TIME: Duration = Duration::from_millis(250);
/// Age of the oldest jobs that show whether new jobs wait.
const NEW_JOB_TIME: Duration = Duration::from_secs(4);
/// Number of new jobs without which they don't show it.
const MIN_NEW_JOBS: usize = 3;
/// Time after its expected return for which a rejected job is remembered.
const RETURN_TIMEOUT: Duration = Duration::from_secs(10);
/// Minimum time that a retry needs for its response.
const RETRY_RESPONSE_TIME: Duration = Duration::from_millis(500);

/// Settings of admission.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionSettings {
    /// Time for which work must have been waiting before the rate of completions is trusted.
    pub min_backlog_time: Duration,
    /// Time without waiting work after which the rate is no longer trusted. Rejections make such pauses.
    pub max_pause: Duration,
    /// Half-life of completions in that rate.
    pub rate_half_life: Duration,
    /// Waiting work that counts as a backlog, as the time in which as much has been completed of late.
    pub min_backlog: Duration,
    /// Share of a service's workers that must have reported recently.
    pub min_reporting_share: f64,
    /// Share of a service's CPU; nothing is rejected while more than this is free.
    pub max_free_share: f64,
    /// Multiple of its objective within which a job must be expected to finish.
    pub max_finish: f64,
    /// Share of the first requests for jobs of each class that is accepted in any case.
    pub min_accepted_share: f64,
    /// Minimum ratio of a class's accepted share to that of its queue.
    pub min_relative_share: f64,
    /// Half-life of requests in these shares.
    pub share_half_life: Duration,
}

/// What admission needs to know about a job. Leaves out no field when serialized, as formats
/// without field names need.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobOutline {
    /// Identifier of the job.
    pub job: JobId,
    /// Queue to which it is submitted.
    pub queue: QueueName,
    /// Availability zone of the caller.
    pub zone: ZoneName,
    /// Work of its batch stages, in core-milliseconds.
    pub batch_core_ms: u64,
    /// Work of its best-effort stages, in core-milliseconds.
    pub best_effort_core_ms: u64,
    /// Expected run time of the critical path, in milliseconds.
    pub critical_path_ms: u64,
    /// Remaining time for which the caller waits for a response, in milliseconds.
    pub timeout_ms: u64,
    /// Whether the entry waits for the decision; otherwise it asks for the backlog only.
    pub is_binding: bool,
}

impl JobOutline {
    /// Outline of a job; `None` if such a job is never rejected: its queue has no objective, it has a
    /// schedule, or it doesn't just wait for the work ahead of it.
    pub fn of(
        job: &JobId,
        spec: &JobSpec,
        queue: &Queue,
        zone: &ZoneName,
        timeout: Duration,
    ) -> Option<Self> {
        let is_constrained = spec.stages.iter().any(is_constrained);
        if !queue.has_objective() || spec.schedule.is_some() || is_constrained {
            return None;
        }
        let core_ms = |is_best_effort: bool| {
            let stages = spec.stages.iter().filter(|stage| stage.is_best_effort == is_best_effort);
            let core_ms = stages.map(|stage| {
                let each = stage.estimate_ms.saturating_mul(stage.resources.cpu_milli) / 1_000;
                each.saturating_mul(u64::from(stage.task_count))
            });
            core_ms.fold(0, u64::saturating_add)
        };
        Some(Self {
            job: job.clone(),
            queue: queue.name.clone(),
            zone: zone.clone(),
            batch_core_ms: core_ms(false),
            best_effort_core_ms: core_ms(true),
            critical_path_ms: spec.critical_path_ms(),
            timeout_ms: timeout.as_millis() as u64,
            is_binding: true,
        })
    }

    fn core_ms(&self) -> u64 {
        self.batch_core_ms.saturating_add(self.best_effort_core_ms)
    }

    fn core_ms_of(&self, kind: TaskKind) -> u64 {
        match kind {
            TaskKind::Batch => self.batch_core_ms,
            TaskKind::BestEffort => self.best_effort_core_ms,
            TaskKind::Serving => 0,
        }
    }
}

/// Why a job was accepted or rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdmissionReason {
    /// The entry doesn't wait for the decision.
    NotBinding,
    /// The job is known to the owner.
    Known,
    /// The queue is unknown, has no objective, or all queues of its service have the same priority.
    NotConfigured,
    /// No work of the job's kind has been waiting for long enough.
    NoBacklog,
    /// The service's workers have CPU to spare; work waits for something else.
    FreeCapacity,
    /// Too few workers of the service report.
    StaleReports,
    /// The job is expected to finish early enough.
    InTime,
    /// No other job of the kind can be on time.
    NoContention,
    /// The class of the request has been rejected often enough.
    ClassShare,
    /// The job would be too late, at the cost of jobs that can still be on time.
    TooLate,
}

impl AdmissionReason {
    /// Name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotBinding => "not_binding",
            Self::Known => "known",
            Self::NotConfigured => "not_configured",
            Self::NoBacklog => "no_backlog",
            Self::FreeCapacity => "free_capacity",
            Self::StaleReports => "stale_reports",
            Self::InTime => "in_time",
            Self::NoContention => "no_contention",
            Self::ClassShare => "class_share",
            Self::TooLate => "too_late",
        }
    }
}

/// Decision of a cell's owner on a new job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionDecision {
    /// Why the job was accepted or rejected.
    pub reason: AdmissionReason,
    /// Time in seconds after which a rejected caller may return; `None` if the job is accepted.
    pub retry_after_s: Option<u64>,
    /// Whether work of the service is waiting, so that entries should ask before they store a job.
    pub is_backlogged: bool,
    /// Predicted time until the job would be finished, in milliseconds; 0 without a prediction.
    pub predicted_finish_ms: u64,
    /// Time in which the work ahead of the job is completed, in milliseconds; 0 without a prediction.
    pub predicted_wait_ms: u64,
    /// Time after its first request by which the job must be expected to finish, in milliseconds.
    pub latest_finish_ms: u64,
}

impl AdmissionDecision {
    fn accepted(reason: AdmissionReason) -> Self {
        Self {
            reason,
            retry_after_s: None,
            is_backlogged: false,
            predicted_finish_ms: 0,
            predicted_wait_ms: 0,
            latest_finish_ms: 0,
        }
    }
}

/// Open work of one job, of one kind.
#[derive(Clone, Copy, Debug)]
struct OpenWork {
    rank: Rank,
    accepted_at: Instant,
    /// Work of tasks that wait to be assigned.
    waiting_core_ms: u64,
    /// Work of stages that others must precede.
    later_core_ms: u64,
    /// Work that remains of what is running, which no other job can get ahead of.
    running_core_ms: u64,
}

/// Open work of a kind for a service, and the rate at which it is completed.
#[derive(Clone, Debug, Default)]
struct Backlog {
    work: Vec<OpenWork>,
    waiting_since: Option<Instant>,
    /// Last time at which work was waiting.
    waited_at: Option<Instant>,
    /// Work completed of late, whether or not more was waiting.
    recently_completed: DecayingSum,
    /// Work completed since `waiting_since`, while more was waiting.
    completed: DecayingSum,
    elapsed_s: DecayingSum,
    /// Last addition to `elapsed_s`, the time in which `completed` was; `None` while no work is waiting.
    measured_at: Option<Instant>,
}

impl Backlog {
    /// Whether work is waiting for other work to be completed. Some jobs may wait for something else,
    /// such as a worker with which they don't interfere; then most new jobs start at once, and the
    /// rate of completions is that of arrivals.
    fn is_waiting(&self, settings: &AdmissionSettings, now: Instant) -> bool {
        let useful = self.work.iter().filter(|work| work.rank.1 != Lateness::LongOverdue);
        let waiting_core_ms: u64 = useful.map(|work| work.waiting_core_ms).sum();
        let half_life = settings.rate_half_life;
        let mean_life_s = half_life.as_secs_f64() / LN_2;
        let recent_rate = self.recently_completed.at(half_life, now) / mean_life_s;
        let is_new = |work: &&OpenWork| {
            let age = now.saturating_duration_since(work.accepted_at);
            age >= START_TIME && age < NEW_JOB_TIME
        };
        let new_count = self.work.iter().filter(is_new).count();
        let is_delayed = |work: &&OpenWork| work.waiting_core_ms > 0;
        let delayed_count = self.work.iter().filter(is_new).filter(is_delayed).count();
        // If most jobs are rejected, there are few new ones; a backlog then goes on but doesn't begin.
        let are_new_delayed = if new_count < MIN_NEW_JOBS {
            self.waiting_since.is_some()
        } else {
            3 * delayed_count >= new_count
        };
        are_new_delayed && waiting_core_ms as f64 > settings.min_backlog.as_secs_f64() * recent_rate
    }

    /// Core-milliseconds completed in a second; `None` if work hasn't been waiting for long enough.
    fn rate(&self, settings: &AdmissionSettings, now: Instant) -> Option<f64> {
        let has_waited = self
            .waiting_since
            .is_some_and(|since| now.duration_since(since) >= settings.min_backlog_time);
        let elapsed_s = self.elapsed_s.at(settings.rate_half_life, now);
        let completed = self.completed.at(settings.rate_half_life, now);
        (has_waited && elapsed_s > 0.0 && completed > 0.0).then(|| completed / elapsed_s)
    }

    /// Work that is completed before a job of the given rank.
    fn core_ms_ahead_of(&self, rank: &Rank) -> u64 {
        self.work.iter().map(|work| work.core_ms_ahead_of(rank)).sum()
    }
}

/// Sum of samples that decay with a half-life.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingSum {
    sum: f64,
    updated_at: Option<Instant>,
}

impl DecayingSum {
    fn at(&self, half_life: Duration, now: Instant) -> f64 {
        let age = self.updated_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.sum * 0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
    }

    fn add(&mut self, value: f64, half_life: Duration, now: Instant) {
        self.sum = self.at(half_life, now) + value;
        self.updated_at = Some(now);
    }
}

/// Size class of a request among the recent requests of its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum SizeClass {
    Usual,
    Large,
    Largest,
}

/// Recent requests of a class, and how many of them were accepted.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    requested: DecayingSum,
    accepted: DecayingSum,
}

impl Share {
    fn add(&mut self, is_accepted: bool, half_life: Duration, now: Instant) {
        self.requested.add(1.0, half_life, now);
        self.accepted.add(f64::from(is_accepted), half_life, now);
    }

    /// Accepted share, if the next request is rejected as well.
    fn after_rejection(&self, half_life: Duration, now: Instant) -> f64 {
        self.accepted.at(half_life, now) / (self.requested.at(half_life, now) + 1.0)
    }

    /// Accepted share; 1 without requests.
    fn value(&self, half_life: Duration, now: Instant) -> f64 {
        let requested = self.requested.at(half_life, now);
        if requested > 0.0 { self.accepted.at(half_life, now) / requested } else { 1.0 }
    }
}

/// Rejected caller that is expected to return.
#[derive(Clone, Debug)]
struct ExpectedReturn {
    service: ServiceName,
    first_requested_at: Instant,
    at: Instant,
    order: (u32, u64),
    core_ms: u64,
}

/// State of admission in the owner's memory.
#[derive(Clone, Debug, Default)]
pub(super) struct Admission {
    backlogs: HashMap<(ServiceName, TaskKind), Backlog>,
    sizes: HashMap<QueueName, VecDeque<u64>>,
    queues: HashMap<QueueName, Share>,
    classes: HashMap<(QueueName, ZoneName, SizeClass), Share>,
    returns: HashMap<JobId, ExpectedReturn>,
    predicted_waits: HashMap<QueueName, Duration>,
}

impl Admission {
    fn record_size(&mut self, queue: &str, core_ms: u64) {
        let sizes = self.sizes.entry(queue.to_owned()).or_default();
        sizes.push_back(core_ms);
        if sizes.len() > SIZE_SAMPLE {
            sizes.pop_front();
        }
    }

    fn size_class(&self, queue: &str, core_ms: u64) -> SizeClass {
        let Some(sizes) = self.sizes.get(queue).filter(|sizes| sizes.len() >= MIN_SIZE_SAMPLE)
        else {
            return SizeClass::Usual;
        };
        let smaller_count = sizes.iter().filter(|size| **size < core_ms).count();
        let quantile = smaller_count as f64 / sizes.len() as f64;
        if quantile >= LARGEST_QUANTILE {
            SizeClass::Largest
        } else if quantile >= LARGE_QUANTILE {
            SizeClass::Large
        } else {
            SizeClass::Usual
        }
    }
}

impl Cell {
    /// Decides on a new job.
    pub fn decide_admission(&mut self, job: &JobOutline, now: Instant) -> AdmissionDecision {
        if self.by_id.contains_key(&job.job) {
            return AdmissionDecision::accepted(AdmissionReason::Known);
        }
        let queue = self.configuration.queue(&job.queue).cloned();
        let Some(queue) = queue.filter(|queue| self.may_reject(queue)) else {
            return AdmissionDecision::accepted(AdmissionReason::NotConfigured);
        };
        self.admission.record_size(&queue.name, job.core_ms());
        let is_backlogged = [TaskKind::Batch, TaskKind::BestEffort]
            .into_iter()
            .filter_map(|kind| self.admission.backlogs.get(&(queue.service.clone(), kind)))
            .any(|backlog| backlog.waiting_since.is_some());
        let accepted = AdmissionDecision::accepted(AdmissionReason::NotBinding);
        if !job.is_binding {
            return AdmissionDecision { is_backlogged, ..accepted };
        }
        let mut decision = AdmissionDecision { is_backlogged, ..self.predict(job, &queue, now) };
        let class = self.admission.size_class(&queue.name, job.core_ms());
        let class_key = (queue.name.clone(), job.zone.clone(), class);
        // A rejected job that returns has less to gain than a new one of its class.
        let is_first_request = self.first_requested_at(&job.job).is_none();
        if decision.reason == AdmissionReason::TooLate
            && is_first_request
            && self.is_owed(&queue, &class_key, now)
        {
            decision.reason = AdmissionReason::ClassShare;
        }
        let is_rejected = decision.reason == AdmissionReason::TooLate;
        if is_rejected {
            decision.retry_after_s = Some(self.retry_after_s(job, &queue, &decision, now));
        }
        if !is_first_request {
            return decision;
        }
        let half_life = self.settings.admission.share_half_life;
        let Admission { queues, classes, .. } = &mut self.admission;
        queues.entry(queue.name.clone()).or_default().add(!is_rejected, half_life, now);
        classes.entry(class_key).or_default().add(!is_rejected, half_life, now);
        decision
    }

    /// Predicted time until the work ahead of a new job is completed, by queue with a backlog.
    pub fn predicted_waits(&self) -> impl Iterator<Item = (&QueueName, Duration)> {
        self.admission.predicted_waits.iter().map(|(queue, wait)| (queue, *wait))
    }

    /// Whether the configuration asks for admission: the queue has an objective, and the operator has
    /// ranked the queues of its service.
    fn may_reject(&self, queue: &Queue) -> bool {
        let others = self.configuration.queues.iter();
        queue.has_objective()
            && others
                .filter(|other| other.service == queue.service)
                .any(|other| other.priority != queue.priority)
    }

    fn is_admission_configured(&self) -> bool {
        self.configuration.queues.iter().any(|queue| self.may_reject(queue))
    }

    fn predict(&mut self, job: &JobOutline, queue: &Queue, now: Instant) -> AdmissionDecision {
        let settings = self.settings.admission;
        let requested_at = self.first_requested_at(&job.job).unwrap_or(now);
        let age = now.duration_since(requested_at);
        let objective = queue.objective(job.critical_path_ms);
        let latest_finish = objective.mul_f64(settings.max_finish);
        let critical_path = Duration::from_millis(job.critical_path_ms);
        let mut is_predicted = false;
        let mut has_free_capacity = false;
        let mut is_contended = false;
        let (mut wait, mut finish) = (Duration::ZERO, critical_path);
        for kind in [TaskKind::Batch, TaskKind::BestEffort] {
            let core_ms = job.core_ms_of(kind);
            let Some(backlog) = self.admission.backlogs.get(&(queue.service.clone(), kind)) else {
                continue;
            };
            let Some(rate) = backlog.rate(&settings, now).filter(|_| core_ms > 0) else { continue };
            let drain = |core_ms: u64| seconds(core_ms as f64 / rate);
            let finish_behind = |ahead: u64| {
                (drain(ahead) + critical_path).max(drain(ahead.saturating_add(core_ms)))
            };
            let mut rank = self.rank_of_new(kind, queue, objective, core_ms, requested_at);
            let mut ahead = backlog.core_ms_ahead_of(&rank);
            // A job that misses its objective is then scheduled among the late ones.
            if age + finish_behind(ahead) > objective {
                rank.1 = Lateness::Late;
                ahead = backlog.core_ms_ahead_of(&rank);
            }
            is_predicted = true;
            has_free_capacity |= self.free_share(&queue.service, kind) > settings.max_free_share;
            is_contended |= backlog.work.iter().any(|work| work.rank.1 == Lateness::OnTime);
            wait = wait.max(drain(ahead));
            finish = finish.max(finish_behind(ahead));
        }
        let reason = if !is_predicted {
            AdmissionReason::NoBacklog
        } else if has_free_capacity {
            AdmissionReason::FreeCapacity
        } else if !self.are_reports_recent(&queue.service, now) {
            AdmissionReason::StaleReports
        } else if age + finish <= latest_finish {
            AdmissionReason::InTime
        } else if !is_contended {
            AdmissionReason::NoContention
        } else {
            AdmissionReason::TooLate
        };
        if is_predicted {
            self.admission.predicted_waits.insert(queue.name.clone(), wait);
            AdmissionDecision {
                predicted_finish_ms: finish.as_millis() as u64,
                predicted_wait_ms: wait.as_millis() as u64,
                latest_finish_ms: latest_finish.as_millis() as u64,
                ..AdmissionDecision::accepted(reason)
            }
        } else {
            self.admission.predicted_waits.remove(&queue.name);
            AdmissionDecision::accepted(reason)
        }
    }

    /// Whether enough of a service's workers have reported recently and can be called.
    fn are_reports_recent(&self, service: &str, now: Instant) -> bool {
        let (mut known_count, mut reporting_count) = (0_usize, 0_usize);
        for worker in self.workers.values() {
            // Without a status, the worker is one that an earlier owner has assigned tasks to.
            if worker.status.as_ref().is_some_and(|status| status.service != service) {
                continue;
            }
            known_count += 1;
            let is_reporting = worker.is_reconciled
                && worker.is_reachable
                && now.duration_since(worker.last_report_at) < self.settings.agent_timeout;
            reporting_count += usize::from(is_reporting);
        }
        let min_count = known_count as f64 * self.settings.admission.min_reporting_share;
        reporting_count > 0 && reporting_count as f64 >= min_count
    }

    /// Share of a service's CPU that is free for tasks of a kind.
    fn free_share(&self, service: &str, kind: TaskKind) -> f64 {
        let utilization = self.settings.planning.serving_utilization;
        let (mut free_milli, mut capacity_milli) = (0.0, 0.0);
        for worker in self.workers.values() {
            let status = worker.status.as_ref().filter(|status| status.service == service);
            let Some(status) = status else { continue };
            let demand = worker.demand;
            let used_milli = match kind {
                TaskKind::BestEffort => {
                    let serving_milli = demand.serving_milli as f64 * utilization;
                    (demand.batch_milli + demand.best_effort_milli) as f64 + serving_milli
                }
                TaskKind::Batch | TaskKind::Serving => worker.reserved.cpu_milli as f64,
            };
            let worker_milli = status.capacity.cpu_milli as f64;
            capacity_milli += worker_milli;
            free_milli += (worker_milli - used_milli).max(0.0);
        }
        free_milli / f64::max(capacity_milli, 1.0)
    }

    /// Whether a class would fall behind if its next request were rejected.
    fn is_owed(
        &self,
        queue: &Queue,
        class: &(QueueName, ZoneName, SizeClass),
        now: Instant,
    ) -> bool {
        let settings = self.settings.admission;
        let half_life = settings.share_half_life;
        let Admission { queues, classes, .. } = &self.admission;
        let class_share = classes.get(class).copied().unwrap_or_default();
        let queue_share = queues.get(&queue.name).copied().unwrap_or_default();
        let class_after = class_share.after_rejection(half_life, now);
        let min_class = settings.min_relative_share * queue_share.value(half_life, now);
        class_after < settings.min_accepted_share.max(min_class)
    }

    /// Seconds after which a rejected caller may return: once the excess of the prediction and the
    /// callers with more to lose are done with, but early enough for a response in time.
    fn retry_after_s(
        &mut self,
        job: &JobOutline,
        queue: &Queue,
        decision: &AdmissionDecision,
        now: Instant,
    ) -> u64 {
        let kind = if job.best_effort_core_ms > 0 { TaskKind::BestEffort } else { TaskKind::Batch };
        let backlog = self.admission.backlogs.get(&(queue.service.clone(), kind));
        let rate = backlog.and_then(|backlog| backlog.rate(&self.settings.admission, now));
        let order = (queue.priority, job.core_ms());
        let is_awaited =
            |expected: &&ExpectedReturn| expected.service == queue.service && expected.at > now;
        let (mut first_core_ms, mut equal_core_ms, mut total_core_ms) = (0, job.core_ms(), 0);
        for expected in self.admission.returns.values().filter(is_awaited) {
            total_core_ms += expected.core_ms;
            match expected.order.cmp(&order) {
                Ordering::Less => first_core_ms += expected.core_ms,
                Ordering::Equal => equal_core_ms += expected.core_ms,
                Ordering::Greater => {}
            }
        }
        total_core_ms += job.core_ms();
        // Callers with equally much to lose return in any order, but not together.
        let spread = xxh3_64(job.job.as_bytes()) as f64 / u64::MAX as f64;
        let position_core_ms = first_core_ms as f64 + spread * equal_core_ms as f64;
        let drain_s = |core_ms: f64| rate.map_or(0.0, |rate| core_ms / rate);
        let excess_ms = decision.predicted_finish_ms.saturating_sub(decision.latest_finish_ms);
        let excess_s = excess_ms as f64 / 1_000.0;
        let delay_s = excess_s + drain_s(position_core_ms);
        let last_s = excess_s + drain_s(total_core_ms as f64);
        let timeout = Duration::from_millis(job.timeout_ms);
        let max_s = timeout.saturating_sub(RETRY_RESPONSE_TIME).as_secs().max(1);
        // If some would return too late, all return earlier, in the same order.
        let scale = (max_s as f64 / last_s.max(f64::MIN_POSITIVE)).min(1.0);
        let retry_after_s = ((delay_s * scale).ceil() as u64).clamp(1, max_s);
        let expected = ExpectedReturn {
            service: queue.service.clone(),
            first_requested_at: self.first_requested_at(&job.job).unwrap_or(now),
            at: now + Duration::from_secs(retry_after_s),
            order,
            core_ms: job.core_ms(),
        };
        self.admission.returns.insert(job.job.clone(), expected);
        retry_after_s
    }

    /// Time at which a job that was rejected since was requested first.
    pub(super) fn first_requested_at(&self, job: &JobId) -> Option<Instant> {
        self.admission.returns.get(job).map(|expected| expected.first_requested_at)
    }

    /// Rank that a new job's stages of a kind will have.
    fn rank_of_new(
        &self,
        kind: TaskKind,
        queue: &Queue,
        objective: Duration,
        core_ms: u64,
        requested_at: Instant,
    ) -> Rank {
        let ordering_time = match kind {
            TaskKind::BestEffort => requested_at + self.work_delay(core_ms),
            TaskKind::Batch | TaskKind::Serving => requested_at + objective,
        };
        (kind, Lateness::OnTime, queue.priority, ordering_time)
    }

    /// Records the completion of a task, which shows at what rate a backlog is worked off.
    pub(super) fn record_completion(&mut self, job: JobKey, stage: usize, now: Instant) {
        let (spec, queue) = (&self.jobs[job].spec, &self.jobs[job].queue);
        let key = (queue.service.clone(), TaskKind::of(&spec.stages[stage]));
        let core_ms = self.expected_core_ms(job, stage);
        let half_life = self.settings.admission.rate_half_life;
        if let Some(backlog) = self.admission.backlogs.get_mut(&key) {
            backlog.recently_completed.add(core_ms, half_life, now);
            if backlog.measured_at.is_some() {
                backlog.completed.add(core_ms, half_life, now);
            }
        }
    }

    /// Updates the backlogs, if the configuration asks for admission.
    pub(super) fn update_backlogs(&mut self, now: Instant) {
        if !self.is_admission_configured() {
            self.admission = Admission::default();
            return;
        }
        for backlog in self.admission.backlogs.values_mut() {
            backlog.work.clear();
        }
        for index in 0..self.open_jobs.len() {
            self.add_open_work(self.open_jobs[index], now);
        }
        let settings = self.settings.admission;
        for backlog in self.admission.backlogs.values_mut() {
            if !backlog.is_waiting(&settings, now) {
                backlog.measured_at = None;
                let waited_at = backlog.waited_at;
                if waited_at.is_none_or(|at| now.duration_since(at) >= settings.max_pause) {
                    backlog.waiting_since = None;
                    backlog.completed = DecayingSum::default();
                    backlog.elapsed_s = DecayingSum::default();
                }
                continue;
            }
            backlog.waited_at = Some(now);
            backlog.waiting_since.get_or_insert(now);
            let measured_at = backlog.measured_at.replace(now);
            let elapsed = measured_at.map_or(Duration::ZERO, |at| now.duration_since(at));
            backlog.elapsed_s.add(elapsed.as_secs_f64(), settings.rate_half_life, now);
        }
        let half_life = settings.share_half_life;
        let is_recent = |share: &Share| share.requested.at(half_life, now) > 0.01;
        let Admission { queues, classes, backlogs, predicted_waits, returns, .. } =
            &mut self.admission;
        returns.retain(|_, expected| now < expected.at + RETURN_TIMEOUT);
        queues.retain(|_, share| is_recent(share));
        classes.retain(|_, share| is_recent(share));
        if backlogs.values().all(|backlog| backlog.waiting_since.is_none()) {
            predicted_waits.clear();
        }
    }

    /// Adds a job's open work to the backlogs.
    pub(super) fn add_open_work(&mut self, key: JobKey, now: Instant) {
        let Some(job) = self.jobs.get(key).filter(|job| !job.state.is_final()) else { return };
        let service = job.queue.service.clone();
        for kind in [TaskKind::Batch, TaskKind::BestEffort] {
            if let Some(open) = self.open_work(key, kind, now) {
                let backlog = self.admission.backlogs.entry((service.clone(), kind)).or_default();
                backlog.work.push(open);
            }
        }
    }

    fn open_work(&self, key: JobKey, kind: TaskKind, now: Instant) -> Option<OpenWork> {
        let job = &self.jobs[key];
        let stages = job.spec.stages.iter().enumerate();
        let mut open: Option<OpenWork> = None;
        let is_counted = |stage: &Stage| TaskKind::of(stage) == kind && !is_constrained(stage);
        for (index, stage) in stages.filter(|(_, stage)| is_counted(stage)) {
            let each = self.expected_core_ms(key, index);
            let open = open.get_or_insert_with(|| OpenWork {
                rank: self.rank(key, stage, now),
                accepted_at: job.accepted_at,
                waiting_core_ms: 0,
                later_core_ms: 0,
                running_core_ms: 0,
            });
            // Planning hasn't begun the job yet.
            if job.occurrences.is_empty() && job.spec.schedule.is_none() {
                open.later_core_ms += (each * f64::from(stage.task_count)) as u64;
            }
            for occurrence in &job.occurrences {
                let is_ready = is_ready(occurrence, stage);
                for task in &occurrence.stages[index] {
                    if let Some(run) = &task.run {
                        let left = 100_u32.saturating_sub(run.percent);
                        open.running_core_ms += (each * f64::from(left) / 100.0) as u64;
                    } else if is_ready && task.is_waiting() {
                        open.waiting_core_ms += each as u64;
                    } else if task.progress.phase == TaskPhase::Waiting {
                        open.later_core_ms += each as u64;
                    }
                }
            }
        }
        open
    }

    fn expected_core_ms(&self, job: JobKey, stage: usize) -> f64 {
        let run_time_ms = self.expected_run_time(job, stage).as_secs_f64() * 1_000.0;
        let cpu_milli = self.jobs[job].spec.stages[stage].resources.cpu_milli;
        run_time_ms * cpu_milli as f64 / 1_000.0
    }
}

impl OpenWork {
    fn core_ms_ahead_of(&self, rank: &Rank) -> u64 {
        let is_first = self.rank < *rank;
        let not_running = self.waiting_core_ms + self.later_core_ms;
        self.running_core_ms + if is_first { not_running } else { 0 }
    }
}

/// Whether tasks of a stage wait for more than the work ahead of them: for some of the workers, for
/// several at once, or, if they are long-running, for room.
fn is_constrained(stage: &Stage) -> bool {
    stage.is_long_running
        || stage.is_gang
        || stage.required_label.is_some()
        || stage.max_per_worker.is_some()
        || stage.resources.accelerators > 0
}

fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or(Duration::MAX / 4)
}
