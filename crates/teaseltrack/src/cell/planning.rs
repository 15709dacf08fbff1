//! Order in which waiting tasks are assigned.
//!
//! Serving tasks are the tasks of long-running stages; those with a `target_tail_ms` are protected
//! from interference. Best-effort tasks are the tasks of other stages with `is_best_effort`, and
//! all remaining tasks are batch tasks.
//!
//! Batch tasks come first, then serving tasks, which leave a reserve of each worker to batch tasks,
//! then best-effort tasks, which use CPU that no other task needs. Within a kind, stages are ordered
//! by what their callers lose by waiting ([`loss`]), serving stages by priority and age.
//! [`scoring`] chooses the worker.
//!
//! [`loss`]: crate::cell::loss
//! [`scoring`]: crate::cell::scoring

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::{
    cell::{
        Cell, CellEvent, Job, JobKey, Occurrence, Run, Task, UncommittedStart, WorkerKey,
        feasibility::Occupancy,
        interference::ImageName,
        job::{MAX_TASKS_PER_JOB, Queue, Stage},
        loss::{Precedence, WaitingJob},
        progress::{JobState, TaskPhase},
        restrictions::RoundWorkers,
        scoring::StageScores,
        worker::{HeldRoom, RecentAssignment, TaskKey},
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
    /// Waiting time after which a serving task may use restricted workers, and room that is held for a
    /// larger one.
    pub max_serving_wait: Duration,
    /// Longest time for which room is held for a waiting serving task, and within which batch tasks
    /// are expected to make it.
    pub max_held_time: Duration,
    /// Share of the workers on which room is held at the same time.
    pub max_held_share: f64,
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
    /// Longest time for which room is held for a gang, and within which batch tasks are expected to make
    /// it; also the minimum time between two holds.
    pub max_gang_held_time: Duration,
    /// Longest time for which room is held for a gang while less than half of the service is reserved.
    pub max_idle_held_time: Duration,
    /// Time after which a long overdue job is scheduled first among its kind.
    pub max_overdue_wait: Duration,
    /// Multiple of its completion-time objective after which a job is scheduled last among its
    /// kind.
    pub long_overdue_factor: f64,
}

/// Kind of a stage's tasks, in scheduling order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
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

/// Place of a stage in the order in which stages get their workers; the lowest comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    kind: TaskKind,
    /// `false` for the job of its kind that has been overdue for too long.
    is_not_starved: bool,
    precedence: Precedence,
}

/// Stage with tasks that wait to be assigned.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    rank: Rank,
    /// Key of the task with index 0, which identifies the stage.
    pub(super) first_task: TaskKey,
}

impl Candidate {
    /// Kind of the stage's tasks.
    pub(super) fn kind(&self) -> TaskKind {
        self.rank.kind
    }

    /// Whether its job comes first among its kind, because it has been overdue for too long.
    pub(super) fn is_starved(&self) -> bool {
        !self.rank.is_not_starved
    }
}

/// Task sizes that fitted on no worker in the current planning round; tasks of the same or a larger
/// size are skipped.
#[derive(Debug, Default)]
struct UnplaceableSizes {
    services: HashMap<ServiceName, ServiceSizes>,
}

#[derive(Debug, Default)]
struct ServiceSizes {
    batch: Vec<UnplaceableSize>,
    /// Sizes of best-effort tasks, by image.
    best_effort: HashMap<ImageName, Vec<UnplaceableSize>>,
}

#[derive(Clone, Copy, Debug)]
struct UnplaceableSize {
    size: Resources,
    /// Priority of the queue. Rooms may be held that only more urgent tasks can use.
    priority: u32,
}

/// Job that comes first among its kind because it has been overdue for too long.
#[derive(Clone, Copy, Debug)]
pub(super) struct Promotion {
    job: JobKey,
    since: Instant,
}

/// Assignment of a gang's member that is taken back unless all members are placed.
#[derive(Debug)]
struct TentativeAssignment {
    task: TaskKey,
    worker: WorkerKey,
    /// The task before the assignment.
    previous: Task,
    /// Rooms that were held on the worker before the assignment.
    held_rooms: Vec<HeldRoom>,
}

impl UnplaceableSizes {
    /// Whether a size that the stage's tasks equal or exceed could not be placed.
    fn covers(&self, queue: &Queue, stage: &Stage) -> bool {
        let Some(sizes) = self.services.get(&queue.service).filter(|_| !stage.is_long_running)
        else {
            return false;
        };
        let sizes = if stage.is_best_effort {
            sizes.best_effort.get(stage.image.as_deref().unwrap_or_default())
        } else {
            Some(&sizes.batch)
        };
        let is_covered = |unplaceable: &UnplaceableSize| {
            stage.resources.can_fit(&unplaceable.size) && queue.priority >= unplaceable.priority
        };
        sizes.is_some_and(|sizes| sizes.iter().any(is_covered))
    }

    /// Records a size that could not be placed, unless the stage has constraints other than its
    /// size.
    fn record(&mut self, queue: &Queue, stage: &Stage) {
        let is_limited_by_size = !stage.is_long_running
            && stage.required_label.is_none()
            && stage.max_per_worker.is_none();
        if !is_limited_by_size {
            return;
        }
        let sizes = self.services.entry(queue.service.clone()).or_default();
        let sizes = if stage.is_best_effort {
            sizes.best_effort.entry(stage.image.clone().unwrap_or_default()).or_default()
        } else {
            &mut sizes.batch
        };
        sizes.push(UnplaceableSize { size: stage.resources, priority: queue.priority });
    }
}

impl Cell {
    /// Runs a planning round: begins due occurrences, stops serving tasks on draining workers,
    /// isolates tasks that may have crashed a worker, assigns the other waiting tasks, gives a task to
    /// each starved best-effort job, holds room for serving tasks, stops runs for waiting jobs of higher
    /// priority, starts copies of slow runs, and, unless serving tasks were waiting, moves one out of an
    /// evacuated zone or regroups them. Start orders are sent after the next commit. Assigns nothing while the requested
    /// evacuations aren't known.
    pub fn plan(&mut self, unix_now_ms: u64, now: Instant) {
        self.needs_plan = false;
        let next_due = self.begin_due_occurrences(unix_now_ms);
        // Callers choose the time, and it may be too late to be an `Instant`.
        self.next_due_at = next_due.and_then(|wait| now.checked_add(wait));
        self.vacate_draining_workers();
        self.expire_recent_assignments(now);
        self.release_held_rooms(now);
        let mut candidates = self.candidates(now);
        self.note_unplaced(&candidates, now);
        let usable_workers = self.usable_workers(now);
        if usable_workers.is_empty() {
            return;
        }
        let eligible_workers = self.eligible_workers(now);
        self.release_vain_rooms(&eligible_workers);
        // What no state of the present workers can run must not keep anything else waiting.
        let is_feasible = |cell: &Self, candidate: &Candidate| {
            let is_serving = candidate.rank.kind == TaskKind::Serving;
            let workers = if is_serving { &usable_workers } else { &eligible_workers };
            cell.is_feasible(candidate.first_task, workers, Occupancy::Empty)
        };
        if eligible_workers.is_empty() {
            candidates.retain(|candidate| candidate.rank.kind == TaskKind::Serving);
            candidates.retain(|candidate| is_feasible(self, candidate));
        } else {
            self.review_infeasible_stages(&candidates, &eligible_workers, now);
            candidates.retain(|candidate| is_feasible(self, candidate));
            self.review_gang_hold(&eligible_workers, now);
            self.promote_starved_job(&mut candidates, &eligible_workers, now);
        }
        candidates.sort_by_key(|candidate| candidate.rank);
        let is_serving_waiting =
            candidates.iter().any(|candidate| candidate.rank.kind == TaskKind::Serving);
        self.update_stale_headrooms(&eligible_workers);
        let open_workers =
            self.place_suspects(&candidates, &eligible_workers, &usable_workers, now);
        let round =
            RoundWorkers { open: open_workers, eligible: eligible_workers, usable: usable_workers };
        let mut unplaceable = UnplaceableSizes::default();
        for candidate in &candidates {
            self.place_stage(candidate, &round, &mut unplaceable, now);
        }
        let RoundWorkers { open: workers, eligible: eligible_workers, .. } = round;
        for candidate in &candidates {
            self.relieve_starvation(candidate, &workers, now);
        }
        self.hold_gang_room(&candidates, &workers, now);
        self.hold_serving_rooms(&candidates, &workers, now);
        self.preempt(&candidates, &workers, now);
        self.report_obstacles(&candidates, &workers, &eligible_workers, now);
        self.copy_slow_runs(&candidates, &workers, now);
        self.relocate_idle_tasks(&workers, now);
        if self.evacuated_zone_count() > 0 && !self.has_unplaced_tasks(&candidates, &workers, now) {
            self.move_evacuated_task(&workers, now);
        }
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
            let started_count = u64::from(job.occurrences.begun_count());
            let due = match job.spec.schedule {
                None => 1,
                Some(schedule) if unix_now_ms < schedule.first_unix_ms => 0,
                Some(schedule) => {
                    let elapsed_ms = unix_now_ms - schedule.first_unix_ms;
                    let due = (elapsed_ms / schedule.interval_ms.max(1)).saturating_add(1);
                    due.min(u64::from(job.spec.occurrence_count()))
                }
            };
            if let Some(schedule) = job.spec.schedule
                && due < u64::from(job.spec.occurrence_count())
            {
                let elapsed_ms = due.saturating_mul(schedule.interval_ms.max(1));
                let due_unix_ms = schedule.first_unix_ms.saturating_add(elapsed_ms);
                let wait = Duration::from_millis(due_unix_ms.saturating_sub(unix_now_ms));
                next_due = Some(next_due.map_or(wait, |earlier| earlier.min(wait)));
            }
            for _ in started_count..due {
                if !self.jobs[key].can_begin_occurrence() {
                    break;
                }
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
        job.may_have_waiting = true;
    }

    /// Stops serving tasks on draining workers.
    fn vacate_draining_workers(&mut self) {
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

    /// Whether batch or serving tasks wait for room that they may get.
    fn has_unplaced_tasks(
        &self,
        candidates: &[Candidate],
        workers: &[WorkerKey],
        now: Instant,
    ) -> bool {
        let is_waiting = |candidate: &Candidate| {
            self.waiting_tasks(candidate.first_task, false, now).next().is_some()
        };
        candidates
            .iter()
            .filter(|candidate| candidate.rank.kind != TaskKind::BestEffort)
            .any(|candidate| is_waiting(candidate) && self.may_get_room(candidate, workers))
    }

    /// Notes since when serving tasks have no worker, also while none is eligible, so that the tasks are
    /// handed over to other cells.
    fn note_unplaced(&mut self, candidates: &[Candidate], now: Instant) {
        let serving = candidates.iter().filter(|candidate| candidate.kind() == TaskKind::Serving);
        for candidate in serving {
            let TaskKey { job, occurrence, stage, .. } = candidate.first_task;
            let Some(occurrence) = self.jobs[job].occurrences.get_mut(occurrence) else { continue };
            let tasks = &mut occurrence.stages[stage as usize];
            for task in tasks.iter_mut().filter(|task| task.is_waiting()) {
                task.unplaced_since.get_or_insert(now);
            }
        }
    }

    /// Stages with tasks that wait, in the order of acceptance. Jobs without any are skipped until
    /// one of their runs ends.
    fn candidates(&mut self, now: Instant) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        for index in 0..self.open_jobs.len() {
            let key = self.open_jobs[index];
            let is_open =
                |job: &&mut Job| job.may_have_waiting && !job.is_rejected && !job.state.is_final();
            let Some(job) = self.jobs.get_mut(key).filter(is_open) else { continue };
            job.may_have_waiting = job.has_waiting_task();
            if job.may_have_waiting {
                self.push_candidates(key, now, &mut candidates);
            }
        }
        candidates
    }

    fn push_candidates(&self, key: JobKey, now: Instant, candidates: &mut Vec<Candidate>) {
        let job = &self.jobs[key];
        for (occurrence_number, occurrence) in job.occurrences.iter() {
            for (stage_index, stage) in job.spec.stages.iter().enumerate() {
                let tasks = &occurrence.stages[stage_index];
                if !tasks.iter().any(Task::is_waiting) || !job.is_ready(occurrence, stage) {
                    continue;
                }
                if stage.is_gang && !tasks.iter().all(Task::is_waiting) {
                    continue;
                }
                let first_task = TaskKey {
                    job: key,
                    occurrence: occurrence_number,
                    stage: stage_index as u32,
                    index: 0,
                };
                let rank = self.rank(first_task, stage, now);
                candidates.push(Candidate { rank, first_task });
            }
        }
    }

    /// Waiting tasks of a stage that must, or needn't, be isolated.
    pub(super) fn waiting_tasks(
        &self,
        first_task: TaskKey,
        is_isolated: bool,
        now: Instant,
    ) -> impl Iterator<Item = TaskKey> + '_ {
        let max_wait = self.settings.quarantine.max_wait;
        let job = &self.jobs[first_task.job];
        let TaskKey { occurrence, stage, .. } = first_task;
        let occurrence_tasks = job.occurrences.get(occurrence);
        let tasks = occurrence_tasks.into_iter().flat_map(move |o| &o.stages[stage as usize]);
        // The members of a gang run on several workers at once and aren't isolated.
        let is_gang = job.spec.stages[stage as usize].is_gang;
        let is_wanted = move |task: &Task| {
            task.is_waiting() && (!is_gang && task.must_be_isolated(max_wait, now)) == is_isolated
        };
        (0..)
            .zip(tasks)
            .filter(move |(_, task)| is_wanted(task))
            .map(move |(index, _)| TaskKey { index, ..first_task })
    }

    fn rank(&self, first_task: TaskKey, stage: &Stage, now: Instant) -> Rank {
        let job = self.waiting_job(first_task);
        // A serving task has no end, so it is never late and isn't compared by its work.
        let precedence = if stage.is_long_running {
            Precedence::by_objective(&job)
        } else {
            job.precedence(now)
        };
        Rank { kind: TaskKind::of(stage), is_not_starved: true, precedence }
    }

    /// Puts one job first among its kind that has been long overdue for `max_overdue_wait`: one that
    /// runs in part, otherwise the oldest. Further ones wait for it, so that jobs whose callers gain
    /// nothing any more don't take the capacity of all others. A job is left out while serving tasks
    /// take the room that it needs, and comes after the others once it has been first in vain for
    /// `max_overdue_wait`.
    pub(super) fn promote_starved_job(
        &mut self,
        candidates: &mut [Candidate],
        workers: &[WorkerKey],
        now: Instant,
    ) {
        let max_wait = self.settings.planning.max_overdue_wait;
        let is_starved = |key: &JobKey| {
            let job = &self.jobs[*key];
            let is_open = !job.state.is_final() && !job.spec.is_long_running();
            let overdue_at = self.loss_curve(*key).worthless_after;
            is_open && now.saturating_duration_since(overdue_at) >= max_wait
        };
        let can_go_on = |key: &JobKey| {
            let mut stages = candidates.iter().filter(|candidate| candidate.first_task.job == *key);
            stages.any(|candidate| {
                self.is_feasible(candidate.first_task, workers, Occupancy::Serving)
            })
        };
        let mut starved: Vec<JobKey> = self.open_jobs.iter().copied().filter(is_starved).collect();
        let running = starved.iter().copied().find(|key| self.has_runs(*key));
        let first = running.or_else(|| {
            starved.sort_by_cached_key(|key| {
                (self.jobs[*key].promoted_in_vain_at, self.loss_curve(*key).on_time_until)
            });
            starved.iter().copied().find(can_go_on)
        });
        let Some(first) = first else { return };
        let promotion = self.promotion.filter(|promotion| promotion.job == first);
        let promotion =
            *self.promotion.insert(promotion.unwrap_or(Promotion { job: first, since: now }));
        if running.is_none() && now.duration_since(promotion.since) >= max_wait {
            self.jobs[first].promoted_in_vain_at = Some(now);
            self.promotion = None;
        }
        for candidate in candidates {
            candidate.rank.is_not_starved &= candidate.first_task.job != first;
        }
    }

    pub(super) fn waiting_job(&self, task: TaskKey) -> WaitingJob {
        let occurrence = task.occurrence;
        WaitingJob {
            priority: self.jobs[task.job].queue.priority,
            curve: self.occurrence_loss_curve(task.job, occurrence),
            remaining: self.remaining_work(task.job, occurrence),
        }
    }

    fn place_stage(
        &mut self,
        candidate: &Candidate,
        round: &RoundWorkers,
        unplaceable: &mut UnplaceableSizes,
        now: Instant,
    ) {
        let job = &self.jobs[candidate.first_task.job];
        let spec = job.spec.clone();
        let stage = &spec.stages[candidate.first_task.stage as usize];
        let queue = job.queue.clone();
        // A smaller task may have been kept out of the room that is held for this job.
        if unplaceable.covers(&queue, stage) && !self.has_held_room(candidate.first_task.job) {
            return;
        }
        let waiting: Vec<TaskKey> = self.waiting_tasks(candidate.first_task, false, now).collect();
        let workers = if stage.is_gang {
            self.gang_workers(candidate, round, now)
        } else {
            Some(round.open.as_slice())
        };
        let Some(workers) = workers else {
            for key in waiting {
                self.begin_wait(key, now);
            }
            return;
        };
        let attempt = self.next_gang_attempt(candidate, stage);
        let mut scores = StageScores::default();
        let mut placed = Vec::new();
        let mut tentative = Vec::new();
        for &key in &waiting {
            let batch_reserve = self.batch_reserve_for(key, now);
            let mut chosen = self.choose_worker_by(&mut scores, key, stage, workers, batch_reserve);
            let is_restricted = chosen.is_none();
            if is_restricted {
                let usable = if stage.is_gang { workers } else { round.usable.as_slice() };
                chosen = self.choose_restricted_worker(key, stage, usable, now);
            }
            let Some(worker) = chosen else {
                // The members of a gang leave the room again that they have taken.
                if !stage.is_gang {
                    unplaceable.record(&queue, stage);
                }
                // Another serving task of the stage may have waited long enough to use the reserve.
                // All other tasks of a stage are interchangeable: if one doesn't fit, none does.
                if stage.is_long_running {
                    continue;
                }
                break;
            };
            if stage.is_gang {
                let previous = self.task(key).cloned().unwrap_or_default();
                let held_rooms = self.workers[worker].held_rooms.clone();
                tentative.push(TentativeAssignment { task: key, worker, previous, held_rooms });
            }
            if is_restricted {
                self.release_taken_room(key, worker, now);
            }
            self.assign(key, stage, worker, attempt);
            if stage.is_long_running && !stage.is_gang {
                self.use_room(key, worker);
            }
            self.track_recent_assignment(worker, stage, now);
            if stage.is_best_effort {
                self.update_remaining_headrooms(worker);
            }
            self.update_score(&mut scores, key, stage, worker);
            placed.push(key);
        }
        if stage.is_gang && placed.len() < waiting.len() {
            for assignment in tentative.into_iter().rev() {
                self.revert_assignment(assignment, stage);
            }
            self.update_stale_headrooms(&round.eligible);
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
        let spec = self.jobs[candidate.first_task.job].spec.clone();
        let stage = &spec.stages[candidate.first_task.stage as usize];
        let job = candidate.first_task.job;
        if !stage.is_best_effort || stage.is_gang || self.has_runs(job) {
            return;
        }
        let first_waiting = self.waiting_tasks(candidate.first_task, false, now).next();
        let Some(key) = first_waiting else { return };
        let Some(task) = self.task_mut(key) else { return };
        let waiting_since = *task.waiting_since.get_or_insert(now);
        let has_waited = now.duration_since(waiting_since) >= settings.starvation_wait;
        let service = &self.jobs[job].queue.service;
        if !has_waited || self.reserved_share(service) >= settings.starvation_max_load {
            return;
        }
        let Some(worker) = self.least_loaded_worker(key, stage, workers) else { return };
        self.assign(key, stage, worker, None);
        self.track_recent_assignment(worker, stage, now);
        self.update_remaining_headrooms(worker);
        self.record_assignment(key);
    }

    /// Share of a service's CPU outside evacuated zones that is reserved by tasks.
    pub(super) fn reserved_share(&self, service: &str) -> f64 {
        let (mut reserved_milli, mut capacity_milli) = (0, 0);
        for (key, worker) in &self.workers {
            let Some(status) = worker.status.as_ref() else { continue };
            if status.service == service && !self.is_evacuated(key) {
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
        let has_waited = now.duration_since(self.begin_wait(key, now)) >= settings.reserve_wait;
        if has_waited { 0.0 } else { settings.batch_reserve }
    }

    /// Starts the task's waiting time unless it has begun; returns its start. A serving task also waits
    /// while there is no worker that it may use.
    pub(super) fn begin_wait(&mut self, key: TaskKey, now: Instant) -> Instant {
        let Some(task) = self.task_mut(key) else { return now };
        let since = task.unplaced_since.unwrap_or(now);
        *task.waiting_since.get_or_insert(since)
    }

    /// Common attempt number of a gang's members; `None` if the stage is not a gang.
    fn next_gang_attempt(&self, candidate: &Candidate, stage: &Stage) -> Option<AttemptNumber> {
        if !stage.is_gang {
            return None;
        }
        let TaskKey { job, occurrence, stage, .. } = candidate.first_task;
        let occurrence = self.jobs[job].occurrences.get(occurrence);
        let members = occurrence.iter().flat_map(|o| &o.stages[stage as usize]);
        let last = members.map(|task| task.progress.attempt).max().unwrap_or(0);
        Some(self.attempt_after(last))
    }

    pub(super) fn attempt_after(&self, last: AttemptNumber) -> AttemptNumber {
        let base = (self.epoch.saturating_sub(1) as u32).saturating_mul(super::ATTEMPTS_PER_EPOCH);
        last.max(base).saturating_add(1)
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
        let last = self.task(key).map_or(0, Task::last_attempt);
        let attempt = attempt.unwrap_or_else(|| self.attempt_after(last));
        if let Some(task) = self.task_mut(key) {
            task.run = Some(run);
            task.progress.attempt = attempt;
        }
    }

    /// Takes back the last assignment of this planning round to its worker, so that it leaves no trace but
    /// stale headrooms: the task has been without a worker all along.
    fn revert_assignment(&mut self, assignment: TentativeAssignment, stage: &Stage) {
        let TentativeAssignment { task: key, worker, previous, held_rooms } = assignment;
        let worker = &mut self.workers[worker];
        worker.release(key, stage);
        worker.held_rooms = held_rooms;
        if stage.is_best_effort {
            worker.recent_assignments.pop();
        }
        if let Some(task) = self.task_mut(key) {
            *task = previous;
        }
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

impl Job {
    /// Whether the progress row has room for another occurrence. A job falls behind its schedule
    /// otherwise, until an occurrence is finished.
    fn can_begin_occurrence(&self) -> bool {
        let open_count = self.occurrences.tasks().count() as u64;
        open_count == 0 || open_count + self.spec.task_count() <= MAX_TASKS_PER_JOB
    }

    /// Whether a task waits in a stage that is ready.
    fn has_waiting_task(&self) -> bool {
        self.occurrences.iter().any(|(_, occurrence)| {
            let mut stages = occurrence.stages.iter().zip(&self.spec.stages);
            stages.any(|(tasks, stage)| {
                tasks.iter().any(Task::is_waiting) && self.is_ready(occurrence, stage)
            })
        })
    }

    /// Whether the stages that a stage depends on are done. Only tasks of stages that are ready are
    /// handed over, and the other cell doesn't know the tasks of earlier stages.
    pub(super) fn is_ready(&self, occurrence: &Occurrence, stage: &Stage) -> bool {
        let is_done = |dependency: &usize| {
            occurrence.stages[*dependency].iter().all(|task| task.progress.phase == TaskPhase::Done)
        };
        self.is_partial || stage.after.iter().all(is_done)
    }
}
