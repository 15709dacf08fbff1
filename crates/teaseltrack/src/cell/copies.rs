//! Copies of slow runs (speculative execution).
//!
//! A task of a speculative stage may run twice at the same time, and the first run that is done
//! counts. A copy starts if it is expected to be done before the task's run: because the run makes
//! little or no progress, or because its worker is silent. Copies use only CPU that no batch or
//! serving task waits for.
//!
//! A task's two runs are equal. One of them is [`Task::run`], which the rest of the state machine
//! handles; [`Cell::select_run`] exchanges them where a report or order is about the other one. When
//! one ends without a result, the other one is the task's only run.

use std::{
    collections::HashMap,
    mem::swap,
    time::{Duration, Instant},
};

use crate::{
    cell::{
        Cell, CellEvent, Run, Task, UncommittedStart, WorkerKey,
        job::Stage,
        planning::{Candidate, TaskKind},
        progress::{RunRecord, TaskPhase, TaskProgress, WorkerIncarnation},
        worker::{TaskKey, Worker, reserved_resources},
    },
    ids::{AttemptNumber, ServiceName},
};

/// Settings of copies.
#[derive(Clone, Copy, Debug)]
pub struct CopySettings {
    /// Minimum time between two searches for slow runs.
    pub search_interval: Duration,
    /// Minimum time between the listings that a run's speed follows from.
    pub min_observation: Duration,
    /// Factor by which a run's expected remaining time must exceed that of a copy.
    pub min_gain: f64,
    /// Expected time from the decision to the start of a copy.
    pub start_delay: Duration,
    /// Maximum share of a service's CPU that copies reserve; one copy is always allowed.
    pub max_cpu_share: f64,
    /// Share of a worker's CPU that copies leave free.
    pub free_cpu_share: f64,
}

/// Second run of a task, beside [`Task::run`].
#[derive(Clone, Debug)]
pub struct TaskCopy {
    pub(super) attempt: AttemptNumber,
    pub(super) run: Run,
}

/// Progress of a run between two listings by its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservedProgress {
    /// Time between the listings.
    pub elapsed: Duration,
    /// Completed share of the work in the first listing.
    pub first_percent: u32,
    /// Completed share of the work in the last listing.
    pub last_percent: u32,
}

impl ObservedProgress {
    /// Time from the last listing until the run is done at its observed speed. Percentages are
    /// rounded down, so the speed is taken to be up to one percent higher than listed.
    pub fn remaining_time(&self) -> Duration {
        let gained = self.last_percent.saturating_sub(self.first_percent) + 1;
        self.elapsed * 100_u32.saturating_sub(self.last_percent) / gained
    }

    /// Time of a whole run at the observed speed.
    pub fn total_time(&self) -> Duration {
        let gained = self.last_percent.saturating_sub(self.first_percent).max(1);
        self.elapsed * 100 / gained
    }
}

/// Time in which a copy is expected to be done: the longer of the expected run time and the median of
/// the task's siblings, after `start_delay`.
pub fn expected_copy_time(
    expected_run_time: Duration,
    mut sibling_times: Vec<Duration>,
    start_delay: Duration,
) -> Duration {
    sibling_times.sort();
    let median = sibling_times.get(sibling_times.len() / 2).copied().unwrap_or_default();
    expected_run_time.max(median) + start_delay
}

impl Run {
    /// Progress between the first listing and the last one that showed progress, since an agent may
    /// repeat a listing with a later reading of the clock. A run without progress for
    /// `expected_run_time` stands still; its progress lasts until the last listing. `None` if there is
    /// none yet.
    fn observed_progress(&self, expected_run_time: Duration) -> Option<ObservedProgress> {
        let (first_ms, last_ms) = self.listed_clock_ms?;
        let standing_ms = last_ms.saturating_sub(self.progressed_clock_ms);
        let is_standing = u128::from(standing_ms) >= expected_run_time.as_millis();
        let until_ms = if is_standing { last_ms } else { self.progressed_clock_ms };
        let elapsed = Duration::from_millis(until_ms.saturating_sub(first_ms));
        let progress = ObservedProgress {
            elapsed,
            first_percent: self.first_percent,
            last_percent: self.percent,
        };
        (!elapsed.is_zero()).then_some(progress)
    }
}

impl Task {
    /// The task's run on a worker.
    pub(super) fn run_on(&self, worker: WorkerKey) -> Option<&Run> {
        let copy = self.copy.as_ref().map(|copy| &copy.run);
        self.run.iter().chain(copy).find(|run| run.worker == worker)
    }

    /// The run of an attempt on a worker, unless it has ended or never was.
    pub(super) fn run_mut(
        &mut self,
        worker: WorkerKey,
        attempt: AttemptNumber,
    ) -> Option<&mut Run> {
        let run = self.run.as_mut().filter(|_| self.progress.attempt == attempt);
        let copy = self.copy.as_mut().filter(|copy| copy.attempt == attempt);
        run.or(copy.map(|copy| &mut copy.run)).filter(|run| run.worker == worker)
    }

    /// Number of the last attempt, including copies that have ended.
    pub(super) fn last_attempt(&self) -> AttemptNumber {
        self.progress.attempt.max(self.last_copy_attempt)
    }

    /// Whether the run of an attempt is ahead of the task's other run, if there is one.
    pub(super) fn is_ahead(&self, attempt: AttemptNumber, percent: u32) -> bool {
        let is_behind = |other: AttemptNumber, run: &Run| other != attempt && run.percent > percent;
        let copy = self.copy.as_ref();
        !copy.is_some_and(|copy| {
            is_behind(copy.attempt, &copy.run)
                || self.run.as_ref().is_some_and(|run| is_behind(self.progress.attempt, run))
        })
    }

    /// Whether the task has no second run, or one that has completed no more of the work.
    pub(super) fn is_first_run_ahead(&self) -> bool {
        let percent = self.run.as_ref().map_or(0, |run| run.percent);
        self.is_ahead(self.progress.attempt, percent)
    }

    /// Makes the copy, if there is one, the task's only run after the other one has ended.
    pub(super) fn promote_copy(&mut self) {
        if let Some(copy) = self.copy.take() {
            self.progress.attempt = copy.attempt;
            self.run = Some(copy.run);
        }
    }

    /// The worker incarnations of the runs that `phase` doesn't show: a second run, and a run of a
    /// completed task whose attempt isn't above the last one that has ended.
    pub(super) fn other_runs(
        &self,
        incarnation_of: impl Fn(WorkerKey) -> Option<WorkerIncarnation>,
    ) -> Vec<RunRecord> {
        let progress = &self.progress;
        let is_done = progress.phase == TaskPhase::Done;
        let is_hidden =
            is_done && (self.copy.is_some() || progress.attempt <= progress.ended_attempt);
        let run = self.run.iter().filter(|_| is_hidden).map(|run| (progress.attempt, run));
        let copy = self.copy.iter().map(|copy| (copy.attempt, &copy.run));
        run.chain(copy)
            .filter_map(|(attempt, run)| {
                Some(RunRecord { attempt, worker: incarnation_of(run.worker)? })
            })
            .collect()
    }
}

impl Cell {
    /// Makes the run on the worker the one that [`Task::run`] holds, if the task has one there.
    pub(super) fn select_run(&mut self, key: TaskKey, worker: WorkerKey) {
        let Some(task) = self.task_mut(key) else { return };
        let Task { run: Some(run), copy: Some(copy), progress, .. } = task else { return };
        if copy.run.worker == worker {
            swap(run, &mut copy.run);
            swap(&mut progress.attempt, &mut copy.attempt);
        }
    }

    /// Orders the second run of a task, if there is one, to stop as well.
    pub(super) fn stop_copy(&mut self, key: TaskKey) {
        let Some(Task { run: Some(run), copy: Some(copy), .. }) = self.task(key) else { return };
        let (worker, copy_worker) = (run.worker, copy.run.worker);
        self.select_run(key, copy_worker);
        self.stop_run(key);
        self.select_run(key, worker);
    }

    /// Adds the restored runs that the phase of the task doesn't show.
    pub(super) fn restore_other_runs(
        &mut self,
        key: TaskKey,
        stage: &Stage,
        progress: &mut TaskProgress,
        run: &mut Option<Run>,
        (lease_end, now): (Instant, Instant),
    ) -> Option<TaskCopy> {
        let is_stopping = progress.phase == TaskPhase::Done;
        let mut copy = None;
        for record in std::mem::take(&mut progress.other_runs) {
            let worker = self.get_or_insert_worker(&record.worker, lease_end, now);
            self.workers[worker].reserve(key, stage);
            let restored = Run { is_ordered: true, is_stopping, ..Run::new(worker, 0) };
            if run.is_none() {
                progress.attempt = record.attempt;
                *run = Some(restored);
            } else {
                copy = Some(TaskCopy { attempt: record.attempt, run: restored });
            }
        }
        copy
    }

    /// Records which of a task's two runs was done first; to be called before the run that was done
    /// is released.
    pub(super) fn settle_copy(&mut self, key: TaskKey, now: Instant) {
        let Some(name) = self.name_of(key) else { return };
        let Some(task) = self.task(key) else { return };
        let Task { run: Some(winner), copy: Some(loser), progress, .. } = task else { return };
        if progress.phase == TaskPhase::Done {
            return;
        }
        let (attempt, worker) = (progress.attempt, winner.worker);
        let elapsed = |run: &Run| run.first_listed_at.map(|since| now.duration_since(since));
        let lost_in = elapsed(&loser.run);
        let (loser_attempt, loser_worker) = (loser.attempt, loser.run.worker);
        let is_copy_first = attempt > loser_attempt;
        let sound_run_time = elapsed(winner)
            .unwrap_or_default()
            .max(self.expected_run_time(key.job, key.stage as usize));
        let cpu_milli = self.stage(key).resources.cpu_milli;
        let lost_core_ms = lost_in.unwrap_or_default().as_millis() as u64 * cpu_milli / 1_000;
        let worker = self.workers[worker].incarnation.clone();
        self.events.push(CellEvent::CopySettled {
            task: name,
            attempt,
            worker,
            is_copy_first,
            lost_core_ms,
        });
        // The overtaken run would have taken at least that long; without it, only runs that are done
        // would show how slow a worker is.
        if let Some(lost_in) = lost_in.filter(|_| is_copy_first) {
            let weight = self.settings.health.slowdown_weight;
            let ratio = lost_in.as_secs_f64() / sound_run_time.as_secs_f64().max(0.05);
            if let Some(worker) = self.workers.get_mut(loser_worker)
                && ratio > worker.slowdown
            {
                worker.slowdown += weight * (ratio - worker.slowdown);
            }
        }
    }

    /// Starts copies of the runs with the longest remaining time that a copy is expected to overtake.
    pub(super) fn copy_slow_runs(
        &mut self,
        candidates: &[Candidate],
        workers: &[WorkerKey],
        now: Instant,
    ) {
        let settings = self.settings.copies;
        if self
            .copies_searched_at
            .is_some_and(|at| now.duration_since(at) < settings.search_interval)
        {
            return;
        }
        self.copies_searched_at = Some(now);
        let (mut slow_runs, mut copied_milli) = self.slow_runs(now);
        if slow_runs.is_empty() {
            return;
        }
        let waiting_stages = self.waiting_stages(candidates, now);
        let is_awaited = |worker: &WorkerKey| {
            let worker = &self.workers[*worker];
            waiting_stages.iter().any(|first_task| self.can_ever_place(worker, *first_task))
        };
        let workers: Vec<WorkerKey> =
            workers.iter().copied().filter(|worker| !is_awaited(worker)).collect();
        slow_runs.sort_by_key(|slow| std::cmp::Reverse(slow.remaining));
        for slow in slow_runs {
            let service = self.jobs[slow.task.job].queue.service.clone();
            let cpu_milli = self.stage(slow.task).resources.cpu_milli;
            let max_milli = self.capacity_milli(&service) as f64 * settings.max_cpu_share;
            let copied_milli = copied_milli.entry(service).or_insert(0);
            if *copied_milli > 0 && (*copied_milli + cpu_milli) as f64 > max_milli {
                continue;
            }
            let Some(worker) = self.choose_copy_worker(slow.task, &workers) else { continue };
            *copied_milli += cpu_milli;
            self.assign_copy(&slow, worker);
        }
    }

    /// Runs that a copy is expected to overtake, and the CPU that copies reserve, by service.
    fn slow_runs(&self, now: Instant) -> (Vec<SlowRun>, HashMap<ServiceName, u64>) {
        let mut slow_runs = Vec::new();
        let mut copied_milli = HashMap::new();
        for &job_key in &self.open_jobs {
            let Some(job) = self.jobs.get(job_key).filter(|job| !job.state.is_final()) else {
                continue;
            };
            if !job.spec.stages.iter().any(is_copyable) {
                continue;
            }
            for (first_task, stage) in self.stages_of(job_key) {
                if !is_copyable(stage) {
                    continue;
                }
                for index in 0..stage.task_count {
                    let key = TaskKey { index, ..first_task };
                    let Some(task) = self.task(key) else { continue };
                    if task.copy.is_some() {
                        *copied_milli.entry(job.queue.service.clone()).or_insert(0) +=
                            stage.resources.cpu_milli;
                    } else {
                        slow_runs.extend(self.slow_run(key, task, now));
                    }
                }
            }
        }
        (slow_runs, copied_milli)
    }

    /// The task's run, if a copy is expected to overtake it.
    fn slow_run(&self, key: TaskKey, task: &Task, now: Instant) -> Option<SlowRun> {
        let settings = self.settings.copies;
        let job = &self.jobs[key.job];
        // A failed copy must not fail a job whose other run may still be done.
        let may_fail = task.progress.failure_count + 1 < job.queue.max_attempts.max(1);
        let run = task.run.as_ref().filter(|run| run.is_ordered && !run.is_stopping)?;
        if task.progress.phase == TaskPhase::Done || task.is_suspect() || !may_fail {
            return None;
        }
        let expected_run_time = self.expected_run_time(key.job, key.stage as usize);
        let worker = self.workers.get(run.worker)?;
        if worker.is_silent {
            // A run that isn't cleared may be what the worker crashed under.
            let clearing_time = self.settings.quarantine.clearing_time;
            if !self.is_silence_local() || !run.is_cleared(clearing_time) {
                return None;
            }
            let copy_time = expected_copy_time(expected_run_time, Vec::new(), settings.start_delay);
            let lease_remaining =
                worker.lease_end.map_or(Duration::ZERO, |end| end.saturating_duration_since(now));
            let remaining = lease_remaining + copy_time;
            return Some(SlowRun { task: key, remaining, copy_time });
        }
        let progress = run
            .observed_progress(expected_run_time)
            .filter(|seen| seen.elapsed >= settings.min_observation)?;
        let listed_at = run.first_listed_at? + progress.elapsed;
        let remaining =
            progress.remaining_time().saturating_sub(now.saturating_duration_since(listed_at));
        if remaining <= expected_run_time + settings.start_delay {
            return None;
        }
        let sibling_times = self.sibling_times(key, run.worker);
        let copy_time = expected_copy_time(expected_run_time, sibling_times, settings.start_delay);
        (remaining > copy_time.mul_f64(settings.min_gain)).then_some(SlowRun {
            task: key,
            remaining,
            copy_time,
        })
    }

    /// Whether only some workers are silent. If most of them seem to be, the owner itself was out of
    /// contact.
    fn is_silence_local(&self) -> bool {
        let leased = self.workers.values().filter(|worker| worker.lease_end.is_some());
        let (count, silent_count) = leased.fold((0, 0), |(count, silent_count), worker| {
            (count + 1, silent_count + usize::from(worker.is_silent))
        });
        silent_count * 2 < count
    }

    /// Run times of the other tasks of the stage: of those that are done, and of those on other
    /// workers at their observed speed.
    fn sibling_times(&self, key: TaskKey, worker: WorkerKey) -> Vec<Duration> {
        let min_observation = self.settings.copies.min_observation;
        let expected_run_time = self.expected_run_time(key.job, key.stage as usize);
        let expected_time = |sibling: TaskKey| {
            let task = self.task(sibling).filter(|_| sibling.index != key.index)?;
            task.run_time.or_else(|| {
                let run = task.run.as_ref().filter(|run| run.worker != worker)?;
                let progress = run.observed_progress(expected_run_time)?;
                (progress.elapsed >= min_observation).then(|| progress.total_time())
            })
        };
        let siblings = (0..self.stage(key).task_count).map(|index| TaskKey { index, ..key });
        siblings.filter_map(expected_time).collect()
    }

    /// CPU of a service's workers, in millicores.
    fn capacity_milli(&self, service: &str) -> u64 {
        let statuses = self.workers.values().filter_map(|worker| worker.status.as_ref());
        statuses
            .filter(|status| status.service == service)
            .map(|status| status.capacity.cpu_milli)
            .sum()
    }

    /// Batch and serving stages with tasks that wait for a worker.
    fn waiting_stages(&self, candidates: &[Candidate], now: Instant) -> Vec<TaskKey> {
        candidates
            .iter()
            .map(|candidate| candidate.first_task)
            .filter(|first_task| TaskKind::of(self.stage(*first_task)) != TaskKind::BestEffort)
            .filter(|first_task| self.waiting_tasks(*first_task, false, now).next().is_some())
            .collect()
    }

    /// Whether a task of the stage can run on the worker once there is room.
    fn can_ever_place(&self, worker: &Worker, first_task: TaskKey) -> bool {
        let stage = self.stage(first_task);
        worker.status.as_ref().is_some_and(|status| {
            status.service == self.jobs[first_task.job].queue.service
                && stage.required_label.as_ref().is_none_or(|label| status.labels.contains(label))
                && status.capacity.can_fit(&reserved_resources(stage))
        })
    }

    /// Worker for a copy, in another availability zone than the run if possible.
    fn choose_copy_worker(&self, key: TaskKey, workers: &[WorkerKey]) -> Option<WorkerKey> {
        let stage = self.stage(key);
        let run_worker = self.task(key)?.run.as_ref()?.worker;
        let run_zone = self.workers[run_worker].status.as_ref().map(|status| &status.zone);
        let allowed: Vec<WorkerKey> = workers
            .iter()
            .copied()
            .filter(|worker| {
                *worker != run_worker && self.is_fit_for_copy(&self.workers[*worker], stage)
            })
            .collect();
        let is_elsewhere = |worker: &WorkerKey| {
            self.workers[*worker].status.as_ref().map(|status| &status.zone) != run_zone
        };
        let elsewhere: Vec<WorkerKey> = allowed.iter().copied().filter(is_elsewhere).collect();
        self.choose_worker(key, stage, &elsewhere, 0.0)
            .or_else(|| self.choose_worker(key, stage, &allowed, 0.0))
    }

    /// Whether the worker is sound, near the stage's data, and has CPU to spare.
    fn is_fit_for_copy(&self, worker: &Worker, stage: &Stage) -> bool {
        let Some(status) = worker.status.as_ref() else { return false };
        let free_milli = status.capacity.cpu_milli as f64 * self.settings.copies.free_cpu_share;
        let available_milli = worker.available().cpu_milli as f64;
        worker.doubt(&self.settings.health) == 0
            && worker.failed_tasks.is_empty()
            && stage.data_rack.as_ref().is_none_or(|rack| status.labels.contains(rack))
            && available_milli >= stage.resources.cpu_milli as f64 + free_milli
    }

    /// Assigns a copy to a worker; its start order is sent once the assignment is committed.
    fn assign_copy(&mut self, slow: &SlowRun, worker_key: WorkerKey) {
        let key = slow.task;
        let Some(name) = self.name_of(key) else { return };
        let stage = self.stage(key).clone();
        let last = self.task(key).map_or(0, Task::last_attempt);
        let attempt = self.attempt_after(last);
        let worker = &mut self.workers[worker_key];
        worker.reserve(key, &stage);
        let run = Run::new(worker_key, worker.session);
        let incarnation = worker.incarnation.clone();
        if let Some(task) = self.task_mut(key) {
            task.copy = Some(TaskCopy { attempt, run });
            task.last_copy_attempt = attempt;
        }
        self.events.push(CellEvent::CopyStarted {
            task: name,
            attempt,
            worker: incarnation,
            remaining: slow.remaining,
            copy_time: slow.copy_time,
        });
        let job = &mut self.jobs[key.job];
        job.uncommitted_starts.push(UncommittedStart { worker: worker_key, task: key, attempt });
        job.is_dirty = true;
    }
}

/// Run that a copy is expected to overtake.
#[derive(Clone, Copy, Debug)]
struct SlowRun {
    task: TaskKey,
    /// Expected time until the run is done.
    remaining: Duration,
    /// Expected time until a copy is done.
    copy_time: Duration,
}

/// Whether runs of the stage may be copied.
fn is_copyable(stage: &Stage) -> bool {
    stage.is_speculative && !stage.is_gang && TaskKind::of(stage) == TaskKind::Batch
}
