//! Tasks that crash the workers on which they start.
//!
//! A crash ends all runs of a worker, and the owner can't see which of them caused it. It suspects
//! the runs that haven't been listed for long enough to be cleared. A suspect is tried again on a
//! quarantined worker, which gets no other new tasks and on which all other runs are cleared, so that
//! a second crash has one suspect only. A task that was the only suspect of `max_sole_crashes`
//! crashes is given up, and its job fails.
//!
//! Only a part of the workers is quarantined. A serving task that has waited too long for one of them is
//! tried on another worker, where it can do the least harm.
//!
//! Quarantined workers are those with the least to lose: few serving tasks, then few tasks. A worker
//! that has just restarted is empty and comes first. Counts are part of the committed progress, so
//! that they survive the owner.

use std::time::{Duration, Instant};

use crate::cell::{
    Cell, CellEvent, Run, Task, WorkerKey,
    planning::{Candidate, TaskKind},
    progress::{JobState, TaskPhase},
    worker::{TaskKey, Worker},
};

/// Settings of the isolation of tasks that may crash their workers.
#[derive(Clone, Copy, Debug)]
pub struct QuarantineSettings {
    /// Time for which a run must have been listed to be cleared of later crashes of its worker.
    pub clearing_time: Duration,
    /// Crashes with the task as the only suspect after which it is given up.
    pub max_sole_crashes: u32,
    /// Crashes after which a task is given up although others were suspects as well.
    pub max_crashes: u32,
    /// Share of a service's workers that may be quarantined; at least one.
    pub max_share: f64,
    /// Waiting time after which a task that was suspected only once is placed like any other.
    pub max_wait: Duration,
}

impl Run {
    /// Whether a crash of the worker can't be attributed to the run any more. The worker's clock
    /// decides, since an agent repeats the last listing of a crashed worker.
    pub(super) fn is_cleared(&self, clearing_time: Duration) -> bool {
        self.listed_clock_ms.is_some_and(|(first_ms, last_ms)| {
            Duration::from_millis(last_ms.saturating_sub(first_ms)) >= clearing_time
        })
    }
}

impl Task {
    /// Whether a worker has crashed under the task and no later run has been cleared.
    pub(super) fn is_suspect(&self) -> bool {
        self.progress.crash_count > 0
    }

    /// Whether the task may only be placed on a quarantined worker.
    pub(super) fn must_be_isolated(&self, max_wait: Duration, now: Instant) -> bool {
        let has_waited =
            self.waiting_since.is_some_and(|since| now.duration_since(since) >= max_wait);
        self.is_suspect() && (self.progress.crash_count > 1 || !has_waited)
    }

    /// Ends the suspicion of the task if its run is cleared; returns whether it was a suspect.
    pub(super) fn clear_after_run(&mut self, clearing_time: Duration) -> bool {
        let is_cleared = self.run.as_ref().is_some_and(|run| run.is_cleared(clearing_time));
        is_cleared && self.clear_suspicion()
    }

    /// Ends the suspicion of the task; returns whether it was a suspect.
    pub(super) fn clear_suspicion(&mut self) -> bool {
        let was_suspect = self.is_suspect();
        self.progress.crash_count = 0;
        self.progress.sole_crash_count = 0;
        was_suspect
    }
}

impl Cell {
    /// Suspects the runs of a crashed worker, and gives up tasks that have caused too many crashes.
    pub(super) fn attribute_crash(&mut self, key: WorkerKey) {
        let settings = self.settings.quarantine;
        let mut suspects = self.uncleared_tasks(key);
        suspects.append(&mut self.workers[key].expired_suspects);
        let is_sole = suspects.len() == 1;
        let worker = self.workers[key].incarnation.clone();
        for suspect in suspects {
            let Some(name) = self.name_of(suspect) else { continue };
            let Some(task) =
                self.task_mut(suspect).filter(|task| task.progress.phase != TaskPhase::Done)
            else {
                continue;
            };
            task.has_crashed_unlisted =
                task.run_on(key).is_some_and(|run| run.listed_clock_ms.is_none());
            task.progress.crash_count += 1;
            task.progress.sole_crash_count += u32::from(is_sole);
            let (crash_count, sole_crash_count) =
                (task.progress.crash_count, task.progress.sole_crash_count);
            self.may_have_suspects = true;
            self.jobs[suspect.job].is_dirty = true;
            let is_given_up = sole_crash_count >= settings.max_sole_crashes
                || crash_count >= settings.max_crashes;
            self.events.push(CellEvent::Suspected {
                task: name,
                worker: worker.clone(),
                crash_count,
                sole_crash_count,
                is_given_up,
            });
            if is_given_up {
                self.finish(suspect.job, JobState::Failed);
            }
        }
    }

    /// Keeps the suspects of a worker whose lease expires: whether it has crashed or is merely
    /// unresponsive isn't known before it responds.
    pub(super) fn note_expired_suspects(&mut self, key: WorkerKey) {
        let suspects = self.uncleared_tasks(key);
        self.workers[key].expired_suspects.extend(suspects);
    }

    /// Tasks of a worker that were ordered to start there and haven't been cleared.
    fn uncleared_tasks(&self, worker: WorkerKey) -> Vec<TaskKey> {
        let clearing_time = self.settings.quarantine.clearing_time;
        let is_uncleared = |key: &TaskKey| {
            let run = self.task(*key).and_then(|task| task.run_on(worker));
            run.is_some_and(|run| run.is_ordered && !run.is_cleared(clearing_time))
        };
        self.workers[worker].tasks.iter().copied().filter(is_uncleared).collect()
    }

    /// Whether any run on a worker isn't cleared, or is about to start.
    fn has_uncleared_run(&self, worker: WorkerKey) -> bool {
        let clearing_time = self.settings.quarantine.clearing_time;
        self.workers[worker].tasks.iter().any(|key| {
            let run = self.task(*key).and_then(|task| task.run_on(worker));
            run.is_some_and(|run| !run.is_cleared(clearing_time))
        })
    }

    pub(super) fn has_suspect(&self, worker: &Worker) -> bool {
        worker.tasks.iter().any(|key| self.task(*key).is_some_and(Task::is_suspect))
    }

    /// Places waiting suspects on quarantined workers, one at a time on each; returns those of `workers`
    /// that remain for other tasks.
    pub(super) fn place_suspects(
        &mut self,
        candidates: &[Candidate],
        workers: &[WorkerKey],
        usable_workers: &[WorkerKey],
        now: Instant,
    ) -> Vec<WorkerKey> {
        if !self.may_have_suspects {
            return workers.to_vec();
        }
        let suspects = self.waiting_suspects(candidates, now);
        self.release_quarantined_workers(&suspects);
        for key in suspects {
            self.begin_wait(key, now);
            let quarantined = self.quarantined_worker_for(key, workers);
            let worker = quarantined
                .filter(|worker| !self.has_uncleared_run(*worker))
                .or_else(|| self.least_harmful_worker(key, usable_workers, now));
            let Some(worker) = worker else { continue };
            self.release_taken_room(key, worker, now);
            let stage = self.stage(key).clone();
            self.assign(key, &stage, worker, None);
            self.track_recent_assignment(worker, &stage, now);
            self.record_assignment(key);
        }
        let is_open = |key: &WorkerKey| {
            let worker = &self.workers[*key];
            !worker.is_quarantined && !self.has_suspect(worker)
        };
        let open_workers = workers.iter().copied().filter(is_open).collect();
        self.may_have_suspects = self.has_any_suspect();
        open_workers
    }

    /// Worker for a serving task that has waited too long for a quarantined one; `None` for other tasks.
    /// Preferably it runs nothing that isn't cleared, so that a crash has one suspect; after `max_wait` any
    /// worker will do.
    fn least_harmful_worker(
        &self,
        key: TaskKey,
        workers: &[WorkerKey],
        now: Instant,
    ) -> Option<WorkerKey> {
        let max_wait = self.settings.planning.max_serving_wait;
        if !self.stage(key).is_long_running || !self.has_waited(key, max_wait, now) {
            return None;
        }
        let is_any_allowed = self.has_waited(key, self.settings.quarantine.max_wait, now);
        let harms = workers.iter().copied().filter_map(|worker| {
            let has_uncleared_run = self.has_uncleared_run(worker);
            let is_allowed = is_any_allowed || !has_uncleared_run;
            (is_allowed && self.room_after_wait(worker, key, now) > 0).then(|| {
                let Worker { serving_images, tasks, .. } = &self.workers[worker];
                let serving_count: u32 = serving_images.values().sum();
                let is_on_probation = self.workers[worker].active_exclusion(now).is_some();
                (has_uncleared_run, is_on_probation, serving_count, tasks.len(), worker)
            })
        });
        harms.min().map(|(.., worker)| worker)
    }

    /// Whether any task is a suspect or any worker quarantined.
    fn has_any_suspect(&self) -> bool {
        let open_jobs = self.open_jobs.iter().filter_map(|key| self.jobs.get(*key));
        let tasks = open_jobs.flat_map(|job| job.occurrences.tasks());
        self.workers.values().any(|worker| worker.is_quarantined)
            || tasks.into_iter().any(Task::is_suspect)
    }

    /// Waiting tasks that must be isolated: serving tasks first, since their callers wait, then the
    /// most likely causes of crashes.
    fn waiting_suspects(&self, candidates: &[Candidate], now: Instant) -> Vec<TaskKey> {
        let mut suspects: Vec<TaskKey> = candidates
            .iter()
            .flat_map(|candidate| self.waiting_tasks(candidate.first_task, true, now))
            .collect();
        suspects.sort_by_key(|key| {
            let is_serving = TaskKind::of(self.stage(*key)) == TaskKind::Serving;
            let likelihood =
                self.task(*key).map(|task| (task.progress.crash_count, task.has_crashed_unlisted));
            (!is_serving, std::cmp::Reverse(likelihood))
        });
        suspects
    }

    /// Ends the quarantine of workers that can run no waiting suspect.
    fn release_quarantined_workers(&mut self, suspects: &[TaskKey]) {
        let quarantined: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.is_quarantined)
            .map(|(key, _)| key)
            .collect();
        for key in quarantined {
            let is_needed = suspects.iter().any(|suspect| self.fits_suspect(key, *suspect));
            self.workers[key].is_quarantined = is_needed;
        }
    }

    fn fits_suspect(&self, worker: WorkerKey, key: TaskKey) -> bool {
        let service = &self.jobs[key.job].queue.service;
        self.can_place(&self.workers[worker], service, (key, self.stage(key)))
    }

    /// Quarantined worker that can run the suspect, preferably at once; quarantines another worker
    /// if all are in use and the service's share allows it.
    fn quarantined_worker_for(&mut self, key: TaskKey, workers: &[WorkerKey]) -> Option<WorkerKey> {
        let fitting: Vec<WorkerKey> =
            workers.iter().copied().filter(|worker| self.fits_suspect(*worker, key)).collect();
        let is_free = |worker: &WorkerKey| {
            self.workers[*worker].is_quarantined && !self.has_uncleared_run(*worker)
        };
        if let Some(free) = fitting.iter().copied().find(is_free) {
            return Some(free);
        }
        let service = &self.jobs[key.job].queue.service;
        let of_service = workers.iter().filter(|worker| {
            self.workers[**worker].status.as_ref().is_some_and(|status| status.service == *service)
        });
        let is_quarantined = |worker: &WorkerKey| self.workers[*worker].is_quarantined;
        let (count, quarantined_count) = of_service.fold((0, 0), |(count, quarantined), worker| {
            (count + 1, quarantined + usize::from(is_quarantined(worker)))
        });
        let limit = (f64::from(count) * self.settings.quarantine.max_share).max(1.0) as usize;
        if quarantined_count >= limit {
            return None;
        }
        let chosen = fitting
            .into_iter()
            .filter(|worker| !is_quarantined(worker) && !self.has_suspect(&self.workers[*worker]))
            .min_by_key(|worker| {
                let worker = &self.workers[*worker];
                let serving_count: u32 = worker.serving_images.values().sum();
                (serving_count, worker.tasks.len())
            })?;
        self.workers[chosen].is_quarantined = true;
        Some(chosen)
    }
}
