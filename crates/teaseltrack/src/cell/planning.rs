//! Order in which waiting tasks are assigned.
//!
//! Serving tasks are the tasks of long-running stages; those with a `target_tail_ms` are protected
//! from interference. Best-effort tasks are the tasks of other stages with `is_best_effort`, and
//! all remaining tasks are batch tasks.
//!
//! Batch tasks come first, then serving tasks, which leave a reserve of each worker to batch tasks,
//! then best-effort tasks, which use CPU that no other task needs. Within a kind, stages are
//! ordered by the lateness of their job, the priority of its queue and the job's deadline. In place
//! of the deadline, best-effort stages have the time at which their job was accepted plus a delay
//! in proportion to its remaining work. [`scoring`] chooses the worker.
//!
//! [`scoring`]: crate::cell::scoring

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::{
    cell::{
        Cell, CellEvent, JobKey, Occurrence, Run, Task, UncommittedStart, WorkerKey,
        interference::ImageName,
        job::Stage,
        progress::{JobState, TaskPhase},
        worker::{RecentAssignment, TaskKey, Worker},
    },
    ids::{AttemptNumber, ServiceName},
    placement::Resources,
};

/// Settings of planning.
#[derive(Clone, Copy, Debug)]
pub struct PlanningSettings {
    /// Share of a worker's CPU that serving tasks leave to batch tasks.
    pub batch_reserve: f64,
    /// Waiting time after which a serving task may use the reserve as well.
    pub reserve_wait: Duration,
    /// Share of their requested CPU that serving tasks are assumed to use.
    pub serving_utilization: f64,
    /// Share of its requested CPU that must be spare on a worker for a best-effort task to start
    /// there.
    pub best_effort_min_share: f64,
    /// Share of its target that no serving task's tail may exceed after a best-effort task starts.
    pub tail_limit: f64,
    /// Maximum number of tasks of a best-effort image on one worker while the estimates don't show
    /// whether it interferes with the worker's serving images.
    pub trial_tasks_per_worker: u32,
    /// Waiting time after which a best-effort job without runs gets a task regardless of
    /// interference.
    pub starvation_wait: Duration,
    /// Share of a service's CPU; `starvation_wait` has no effect while at least this much is
    /// reserved.
    pub starvation_max_load: f64,
    /// Minimum time between two moves of serving tasks.
    pub regroup_interval: Duration,
    /// Minimum time between two moves of the same serving task.
    pub move_cooldown: Duration,
    /// Time without CPU use after which a best-effort task is moved to a worker where it can run.
    pub relocation_wait: Duration,
    /// Minimum time between two rounds of such moves.
    pub relocation_interval: Duration,
    /// Time until the CPU use of an assigned best-effort task appears in its worker's reports.
    pub usage_report_delay: Duration,
    /// Weight of the remaining work in the order of best-effort jobs: a job is delayed by this
    /// factor times the time that all workers of the cell together need for its remaining work.
    pub remaining_work_weight: f64,
    /// Multiple of its completion-time objective after which a job is scheduled last among its
    /// kind.
    pub long_overdue_factor: f64,
}

/// Kind of a stage's tasks, in scheduling order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) enum TaskKind {
    Batch,
    Serving,
    BestEffort,
}

impl TaskKind {
    pub(super) fn of(stage: &Stage) -> Self {
        if stage.is_long_running {
            Self::Serving
        } else if stage.is_best_effort {
            Self::BestEffort
        } else {
            Self::Batch
        }
    }
}

/// How far a job is past its completion-time objective, in scheduling order: late jobs must not
/// delay jobs that can still meet their objective. Serving stages always count as on time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Lateness {
    OnTime,
    Late,
    LongOverdue,
}

/// Scheduling order of a stage: kind, lateness, queue priority, and deadline or, for best-effort
/// stages, time of acceptance plus the delay for remaining work; the lowest comes first.
pub(super) type Rank = (TaskKind, Lateness, u32, Instant);

/// Stage with tasks that wait to be assigned.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    rank: Rank,
    /// Key of the task with index 0, which identifies the stage.
    pub(super) first_task: TaskKey,
    /// Indexes of the waiting tasks that needn't be isolated.
    waiting: Vec<u32>,
    /// Indexes of the waiting tasks that must be isolated.
    pub(super) suspects: Vec<u32>,
}

/// Task sizes that fitted on no worker in the current planning round; tasks of the same or a larger
/// size are skipped.
#[derive(Debug, Default)]
struct UnplaceableSizes {
    sizes: HashMap<(ServiceName, Option<ImageName>), Vec<Resources>>,
}

impl UnplaceableSizes {
    fn key(service: &str, stage: &Stage) -> (ServiceName, Option<ImageName>) {
        let image = stage.is_best_effort.then(|| stage.image.clone().unwrap_or_default());
        (service.to_owned(), image)
    }

    /// Whether a size that the stage's tasks equal or exceed could not be placed.
    fn covers(&self, service: &str, stage: &Stage) -> bool {
        let sizes = self.sizes.get(&Self::key(service, stage));
        !stage.is_long_running
            && sizes.is_some_and(|sizes| sizes.iter().any(|size| stage.resources.can_fit(size)))
    }

    /// Records a size that could not be placed, unless the stage has constraints other than its
    /// size.
    fn record(&mut self, service: &str, stage: &Stage) {
        let is_limited_by_size = !stage.is_long_running
            && stage.required_label.is_none()
            && stage.max_per_worker.is_none();
        if is_limited_by_size {
            self.sizes.entry(Self::key(service, stage)).or_default().push(stage.resources);
        }
    }
}

impl Cell {
    /// Runs a planning round: begins due occurrences, stops serving tasks on draining workers,
    /// isolates tasks that may have crashed a worker, assigns the other waiting tasks, gives a task to
    /// each starved best-effort job, and, unless serving tasks were waiting, regroups them. Start
    /// orders are sent after the next commit.
    pub fn plan(&mut self, unix_now_ms: u64, now: Instant) {
        self.needs_plan = false;
        let next_due = self.begin_due_occurrences(unix_now_ms);
        // Callers choose the time, and it may be too late to be an `Instant`.
        self.next_due_at = next_due.and_then(|wait| now.checked_add(wait));
        self.evacuate_draining_workers();
        self.expire_recent_assignments(now);
        let eligible_workers = self.eligible_workers(now);
        if eligible_workers.is_empty() {
            return;
        }
        let mut candidates = self.candidates(now);
        candidates.sort_by_key(|candidate| candidate.rank);
        let is_serving_waiting =
            candidates.iter().any(|candidate| candidate.rank.0 == TaskKind::Serving);
        for &worker in &eligible_workers {
            self.update_remaining_headrooms(worker);
        }
        let workers = self.place_suspects(&candidates, &eligible_workers, now);
        let mut unplaceable = UnplaceableSizes::default();
        for candidate in &candidates {
            self.place_stage(candidate, &workers, &eligible_workers, &mut unplaceable, now);
        }
        for candidate in &candidates {
            self.relieve_starvation(candidate, &workers, now);
        }
        self.relocate_idle_tasks(&workers, now);
        if !is_serving_waiting {
            self.regroup(&workers, now);
        }
    }

    fn expire_recent_assignments(&mut self, now: Instant) {
        let usage_report_delay = self.settings.planning.usage_report_delay;
        for worker in self.workers.values_mut() {
            worker
                .recent_assignments
                .retain(|assignment| now.duration_since(assignment.at) < usage_report_delay);
        }
    }

    pub(super) fn track_recent_assignment(
        &mut self,
        worker: WorkerKey,
        stage: &Stage,
        now: Instant,
    ) {
        if stage.is_best_effort {
            let cpu_milli = stage.resources.cpu_milli;
            self.workers[worker].recent_assignments.push(RecentAssignment { at: now, cpu_milli });
        }
    }

    /// Begins due occurrences; returns the time until the next one is due.
    fn begin_due_occurrences(&mut self, unix_now_ms: u64) -> Option<Duration> {
        let mut next_due: Option<Duration> = None;
        for key in self.open_jobs.clone() {
            let job = &self.jobs[key];
            if job.state.is_final() {
                continue;
            }
            if job.is_partial {
                continue;
            }
            let started_count = job.occurrences.len() as u64;
            let due = match job.spec.schedule {
                None => 1,
                Some(schedule) if unix_now_ms < schedule.first_unix_ms => 0,
                Some(schedule) => {
                    let elapsed_ms = unix_now_ms - schedule.first_unix_ms;
                    let due = elapsed_ms / schedule.interval_ms.max(1) + 1;
                    due.min(u64::from(schedule.occurrence_count))
                }
            };
            if let Some(schedule) = job.spec.schedule
                && due < u64::from(schedule.occurrence_count)
            {
                let elapsed_ms = due.saturating_mul(schedule.interval_ms.max(1));
                let due_unix_ms = schedule.first_unix_ms.saturating_add(elapsed_ms);
                let wait = Duration::from_millis(due_unix_ms.saturating_sub(unix_now_ms));
                next_due = Some(next_due.map_or(wait, |earlier| earlier.min(wait)));
            }
            for _ in started_count..due {
                self.begin_occurrence(key);
            }
        }
        next_due
    }

    fn begin_occurrence(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        let stages = job
            .spec
            .stages
            .iter()
            .map(|stage| vec![Task::default(); stage.task_count as usize])
            .collect();
        job.occurrences.push(Occurrence { stages });
    }

    /// Stops serving tasks on draining workers.
    fn evacuate_draining_workers(&mut self) {
        let affected: Vec<TaskKey> = self
            .workers
            .values()
            .filter(|worker| worker.status.as_ref().is_some_and(|status| status.is_draining))
            .flat_map(|worker| worker.tasks.iter().copied())
            .filter(|task| self.stage(*task).is_long_running)
            .collect();
        for task in affected {
            self.stop_run(task);
        }
    }

    fn eligible_workers(&self, now: Instant) -> Vec<WorkerKey> {
        let is_eligible = |worker: &Worker| {
            worker.is_reconciled
                && worker.is_reachable
                && worker.status.as_ref().is_some_and(|status| !status.is_draining)
                && now.duration_since(worker.last_report_at) < self.settings.agent_timeout
                && worker.ineligible_until.is_none_or(|until| until <= now)
        };
        self.workers.iter().filter(|(_, worker)| is_eligible(worker)).map(|(key, _)| key).collect()
    }

    fn candidates(&self, now: Instant) -> Vec<Candidate> {
        let max_wait = self.settings.quarantine.max_wait;
        let mut candidates = Vec::new();
        for &key in &self.open_jobs {
            let Some(job) = self.jobs.get(key).filter(|job| !job.state.is_final()) else {
                continue;
            };
            for (occurrence_index, occurrence) in job.occurrences.iter().enumerate() {
                for (stage_index, stage) in job.spec.stages.iter().enumerate() {
                    let tasks = &occurrence.stages[stage_index];
                    if !is_ready(occurrence, stage) {
                        continue;
                    }
                    // The members of a gang run on several workers at once and aren't isolated.
                    let (suspects, waiting): (Vec<u32>, Vec<u32>) = (0..tasks.len() as u32)
                        .filter(|index| tasks[*index as usize].is_waiting())
                        .partition(|index| {
                            !stage.is_gang && tasks[*index as usize].must_be_isolated(max_wait, now)
                        });
                    let is_incomplete = stage.is_gang && waiting.len() < tasks.len();
                    if waiting.is_empty() && suspects.is_empty() || is_incomplete {
                        continue;
                    }
                    let first_task = TaskKey {
                        job: key,
                        occurrence: occurrence_index as u32,
                        stage: stage_index as u32,
                        index: 0,
                    };
                    let rank = self.rank(key, stage, now);
                    candidates.push(Candidate { rank, first_task, waiting, suspects });
                }
            }
        }
        candidates
    }

    pub(super) fn rank(&self, key: JobKey, stage: &Stage, now: Instant) -> Rank {
        let job = &self.jobs[key];
        let objective = job.queue.objective(job.spec.critical_path_ms());
        let deadline = job.accepted_at + objective;
        let long_overdue_at =
            job.accepted_at + objective.mul_f64(self.settings.planning.long_overdue_factor);
        let lateness = if stage.is_long_running || now <= deadline {
            Lateness::OnTime
        } else if now <= long_overdue_at {
            Lateness::Late
        } else {
            Lateness::LongOverdue
        };
        let ordering_time = if stage.is_best_effort {
            job.accepted_at + self.remaining_work_delay(key)
        } else {
            deadline
        };
        (TaskKind::of(stage), lateness, job.queue.priority, ordering_time)
    }

    /// Delay of a best-effort job in the scheduling order, in proportion to its remaining work.
    /// Jobs with little remaining work come first, and jobs with much do not starve, because the
    /// delay is added to the time of acceptance.
    fn remaining_work_delay(&self, key: JobKey) -> Duration {
        let job = &self.jobs[key];
        let remaining_core_ms = |stage_index: usize, stage: &Stage| {
            let is_done = |task: &&Task| task.progress.phase == TaskPhase::Done;
            let done: usize = job
                .occurrences
                .iter()
                .map(|occurrence| occurrence.stages[stage_index].iter().filter(is_done).count())
                .sum();
            let started_count = job.occurrences.len().max(1) as u64;
            let remaining =
                (started_count * u64::from(stage.task_count)).saturating_sub(done as u64);
            let run_time_ms = self.expected_run_time(key, stage_index).as_millis() as u64;
            remaining * run_time_ms * stage.resources.cpu_milli / 1_000
        };
        let stages = job.spec.stages.iter().enumerate();
        let core_ms: u64 =
            stages.map(|(stage_index, stage)| remaining_core_ms(stage_index, stage)).sum();
        self.work_delay(core_ms)
    }

    /// Delay of a best-effort job with the given remaining work.
    pub(super) fn work_delay(&self, core_ms: u64) -> Duration {
        let cell_milli: u64 = self
            .workers
            .values()
            .filter_map(|worker| worker.status.as_ref())
            .map(|status| status.capacity.cpu_milli)
            .sum();
        let cell_ms = core_ms as f64 * 1_000.0 / cell_milli.max(1) as f64;
        Duration::from_millis((cell_ms * self.settings.planning.remaining_work_weight) as u64)
    }

    fn place_stage(
        &mut self,
        candidate: &Candidate,
        workers: &[WorkerKey],
        eligible_workers: &[WorkerKey],
        unplaceable: &mut UnplaceableSizes,
        now: Instant,
    ) {
        let max_serving_wait = self.settings.quarantine.max_serving_wait;
        let stage = self.stage(candidate.first_task).clone();
        let service = self.jobs[candidate.first_task.job].queue.service.clone();
        if unplaceable.covers(&service, &stage) {
            return;
        }
        let attempt = self.next_gang_attempt(candidate, &stage);
        let mut placed = Vec::new();
        for &index in &candidate.waiting {
            let key = TaskKey { index, ..candidate.first_task };
            let batch_reserve = self.batch_reserve_for(key, now);
            let has_waited = self
                .task(key)
                .and_then(|task| task.waiting_since)
                .is_some_and(|since| now.duration_since(since) >= max_serving_wait);
            let workers =
                if stage.is_long_running && has_waited { eligible_workers } else { workers };
            let chosen = self.choose_worker(key, &stage, workers, batch_reserve);
            let Some(worker) = chosen else {
                unplaceable.record(&service, &stage);
                // Another serving task of the stage may have waited long enough to use the reserve.
                // All other tasks of a stage are interchangeable: if one doesn't fit, none does.
                if stage.is_long_running {
                    continue;
                }
                break;
            };
            self.assign(key, &stage, worker, attempt);
            self.track_recent_assignment(worker, &stage, now);
            if stage.is_best_effort {
                self.update_remaining_headrooms(worker);
            }
            placed.push(key);
        }
        if stage.is_gang && placed.len() < candidate.waiting.len() {
            for key in placed {
                self.revert_assignment(key);
            }
            return;
        }
        for key in placed {
            self.record_assignment(key);
        }
    }

    /// Assigns one task of a best-effort job that has waited without runs for `starvation_wait`, if
    /// less than `starvation_max_load` of its service's CPU is reserved. Its interference with
    /// serving tasks is ignored, because agents pace the task.
    fn relieve_starvation(&mut self, candidate: &Candidate, workers: &[WorkerKey], now: Instant) {
        let settings = self.settings.planning;
        let stage = self.stage(candidate.first_task).clone();
        let job = candidate.first_task.job;
        let Some(&index) = candidate.waiting.first() else { return };
        let key = TaskKey { index, ..candidate.first_task };
        if !stage.is_best_effort || stage.is_gang || self.has_runs(job) {
            return;
        }
        let Some(task) = self.task_mut(key) else { return };
        let waiting_since = *task.waiting_since.get_or_insert(now);
        let has_waited = now.duration_since(waiting_since) >= settings.starvation_wait;
        let service = self.jobs[job].queue.service.clone();
        if !has_waited || self.reserved_share(&service) >= settings.starvation_max_load {
            return;
        }
        let Some(worker) = self.least_loaded_worker(key, &stage, workers) else { return };
        self.assign(key, &stage, worker, None);
        self.track_recent_assignment(worker, &stage, now);
        self.update_remaining_headrooms(worker);
        self.record_assignment(key);
    }

    /// Share of a service's CPU that is reserved by tasks.
    pub(super) fn reserved_share(&self, service: &str) -> f64 {
        let (mut reserved_milli, mut capacity_milli) = (0, 0);
        for worker in self.workers.values() {
            let Some(status) = worker.status.as_ref() else { continue };
            if status.service == service {
                reserved_milli += worker.reserved.cpu_milli;
                capacity_milli += status.capacity.cpu_milli;
            }
        }
        reserved_milli as f64 / capacity_milli.max(1) as f64
    }

    /// Share of a worker's CPU that a serving task must leave free; 0 once it has waited for
    /// `reserve_wait`. The first call starts the waiting time. [`scoring`] ignores the share for
    /// other tasks.
    ///
    /// [`scoring`]: crate::cell::scoring
    fn batch_reserve_for(&mut self, key: TaskKey, now: Instant) -> f64 {
        let settings = self.settings.planning;
        let Some(task) = self.task_mut(key) else { return settings.batch_reserve };
        let waiting_since = *task.waiting_since.get_or_insert(now);
        let has_waited = now.duration_since(waiting_since) >= settings.reserve_wait;
        if has_waited { 0.0 } else { settings.batch_reserve }
    }

    /// Common attempt number of a gang's members; `None` if the stage is not a gang.
    fn next_gang_attempt(&self, candidate: &Candidate, stage: &Stage) -> Option<AttemptNumber> {
        if !stage.is_gang {
            return None;
        }
        let members = &self.jobs[candidate.first_task.job].occurrences
            [candidate.first_task.occurrence as usize]
            .stages[candidate.first_task.stage as usize];
        let last = members.iter().map(|task| task.progress.attempt).max().unwrap_or(0);
        Some(self.attempt_after(last))
    }

    fn attempt_after(&self, last: AttemptNumber) -> AttemptNumber {
        let base = (self.epoch.saturating_sub(1) as u32).saturating_mul(super::ATTEMPTS_PER_EPOCH);
        last.max(base) + 1
    }

    pub(super) fn assign(
        &mut self,
        key: TaskKey,
        stage: &Stage,
        worker_key: WorkerKey,
        attempt: Option<AttemptNumber>,
    ) {
        let worker = &mut self.workers[worker_key];
        worker.reserve(key, stage);
        let run = Run::new(worker_key, worker.session);
        let last = self.task(key).map_or(0, |task| task.progress.attempt);
        let attempt = attempt.unwrap_or_else(|| self.attempt_after(last));
        if let Some(task) = self.task_mut(key) {
            task.run = Some(run);
            task.progress.attempt = attempt;
        }
    }

    fn revert_assignment(&mut self, key: TaskKey) {
        self.release_run(key);
    }

    /// Adds an assignment to the next commit.
    pub(super) fn record_assignment(&mut self, key: TaskKey) {
        let Some(name) = self.name_of(key) else { return };
        let Some(task) = self.task(key) else { return };
        let attempt = task.progress.attempt;
        let Some(worker) = task.run.as_ref().map(|run| run.worker) else { return };
        self.events.push(CellEvent::Assigned {
            task: name,
            attempt,
            worker: self.workers[worker].incarnation.clone(),
        });
        let job = &mut self.jobs[key.job];
        job.uncommitted_starts.push(UncommittedStart { worker, task: key, attempt });
        job.is_dirty = true;
        if job.state == JobState::Queued {
            job.state = JobState::Active;
        }
    }
}

pub(super) fn is_ready(occurrence: &Occurrence, stage: &Stage) -> bool {
    let is_done = |dependency: &usize| {
        occurrence.stages[*dependency].iter().all(|task| task.progress.phase == TaskPhase::Done)
    };
    stage.after.iter().all(is_done)
}
