//! Tasks that crash the workers on which they start.
//!
//! A crash ends all runs of a worker, and the owner can't see which of them caused it. It suspects
//! the runs that haven't been listed for long enough to be cleared. A suspect is tried again on a
//! quarantined worker, which gets no other new tasks and on which all other runs are cleared, so that
//! a second crash has one suspect only.
//!
//! A worker may also crash by itself, time and again. A crash therefore convicts nobody if the worker
//! has crashed under the task before, or has lately crashed without it. Suspects are tried on workers
//! of which neither is known, as long as there are any, or else on ones that they haven't crashed. A
//! task that was the only suspect of `max_sole_crashes` other crashes is given up, and its job fails; so
//! does one that was among the suspects of `max_crashes`, if these were of several workers or no other
//! one is left to try.
//!
//! A long-running task is never given up. It stays isolated, on workers without other long-running
//! tasks once it is convicted, and starts again after a delay that grows with its crashes.
//!
//! Only a part of the workers is quarantined. A serving task that has waited too long for one of them is
//! tried on another worker, where it can do the least harm.
//!
//! Quarantined workers are those with the least to lose: few serving tasks, then few tasks. Counts are
//! part of the committed progress, so that they survive the owner.

use std::{
    cmp::Reverse,
    time::{Duration, Instant},
};

use crate::{
    cell::{
        Cell, CellEvent, Run, Task, WorkerKey,
        feasibility::Occupancy,
        planning::{Candidate, TaskKind},
        progress::{JobState, TaskPhase},
        worker::{TaskKey, Worker},
    },
    ids::InstanceId,
};

/// Number of workers that are remembered of a task, and from which on they can't all be at fault.
const MAX_CRASHED_WORKERS: usize = 3;

/// Settings of the isolation of tasks that may crash their workers.
#[derive(Clone, Copy, Debug)]
pub struct QuarantineSettings {
    /// Time for which a run must have been listed to be cleared of later crashes of its worker.
    pub clearing_time: Duration,
    /// Crashes of different workers with the task as the only suspect after which it is convicted.
    pub max_sole_crashes: u32,
    /// Crashes after which a task is convicted although others were suspects as well.
    pub max_crashes: u32,
    /// Time for which a worker that has crashed may crash again by the same cause.
    pub flapping_time: Duration,
    /// Delay of the next start of a long-running task after its second crash; doubles with each crash.
    pub min_start_delay: Duration,
    /// Longest such delay.
    pub max_start_delay: Duration,
    /// Share of a service's workers that may be quarantined; at least one.
    pub max_share: f64,
    /// Waiting time after which a task that was suspected only once is placed like any other.
    pub max_wait: Duration,
}

/// Crash of a worker.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    at: Instant,
    suspects: Vec<TaskKey>,
}

/// Suspect that waits for a trial.
#[derive(Clone, Copy, Debug)]
struct Trial {
    task: TaskKey,
    /// Whether it is a long-running task that must be the cause of the crashes.
    is_convicted: bool,
    /// Least suitable worker that will do.
    min_suitability: Suitability,
}

/// How much the crash of a worker would say about a suspect; the last variant is the best. A convicted
/// task is rather tried where no other long-running task is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Suitability {
    /// It has crashed under the task before.
    Tried,
    /// It has lately crashed without the task.
    Doubtful,
    /// The crash would have no other explanation.
    Trusted,
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
        self.progress.crashed_workers.clear();
        was_suspect
    }
}

impl Cell {
    /// Suspects the runs of an agent's crashed worker, and gives up tasks that have caused too many
    /// crashes.
    pub(super) fn attribute_crash(&mut self, key: WorkerKey, agent: &InstanceId, now: Instant) {
        let mut suspects = self.uncleared_tasks(key);
        suspects.append(&mut self.workers[key].expired_suspects);
        suspects.retain(|suspect| {
            self.task(*suspect).is_some_and(|task| task.progress.phase != TaskPhase::Done)
        });
        if suspects.iter().any(|suspect| self.is_convicted(*suspect, now)) {
            suspects.retain(|suspect| self.is_convicted(*suspect, now));
        }
        let is_sole = suspects.len() == 1;
        for suspect in &suspects {
            let is_worker_trusted = self.suitability(agent, *suspect, now) == Suitability::Trusted;
            let Some(task) = self.task_mut(*suspect) else { continue };
            task.has_crashed_unlisted =
                task.run_on(key).is_some_and(|run| run.listed_clock_ms.is_none());
            task.crashed_at = Some(now);
            let progress = &mut task.progress;
            progress.crash_count = progress.crash_count.saturating_add(1);
            if is_sole && is_worker_trusted {
                progress.sole_crash_count = progress.sole_crash_count.saturating_add(1);
            }
            if !progress.crashed_workers.contains(agent) {
                progress.crashed_workers.truncate(MAX_CRASHED_WORKERS - 1);
                progress.crashed_workers.insert(0, agent.clone());
            }
        }
        let status = self.workers[key].status.as_ref();
        if status.is_none_or(|status| !status.is_draining) {
            let crash = Crash { at: now, suspects: suspects.clone() };
            self.crashes.entry(agent.clone()).or_default().push(crash);
        }
        for suspect in suspects {
            self.judge(suspect, key, now);
        }
    }

    /// Gives up a suspect of a crash that is convicted, unless it is long-running.
    fn judge(&mut self, key: TaskKey, worker: WorkerKey, now: Instant) {
        let (Some(name), Some(task)) = (self.name_of(key), self.task(key)) else { return };
        let (crash_count, sole_crash_count) =
            (task.progress.crash_count, task.progress.sole_crash_count);
        let is_convicted = self.is_convicted(key, now);
        let is_given_up = is_convicted && !self.stage(key).is_long_running;
        self.may_have_suspects = true;
        self.jobs[key.job].is_dirty = true;
        if is_convicted {
            // These crashes say nothing about the workers any more.
            for crashes in self.crashes.values_mut() {
                crashes.retain(|crash| !crash.suspects.contains(&key));
            }
        }
        self.events.push(CellEvent::Suspected {
            task: name,
            worker: self.workers[worker].incarnation.clone(),
            crash_count,
            sole_crash_count,
            is_given_up,
        });
        if is_given_up {
            self.finish(key.job, JobState::Failed);
        }
    }

    /// Whether the task, and not the workers, must be the cause of the crashes for which it was a suspect.
    fn is_convicted(&self, key: TaskKey, now: Instant) -> bool {
        let settings = self.settings.quarantine;
        let Some(progress) = self.task(key).map(|task| &task.progress) else { return false };
        if progress.sole_crash_count >= settings.max_sole_crashes {
            return true;
        }
        progress.crash_count >= settings.max_crashes
            && (progress.crashed_workers.len() >= MAX_CRASHED_WORKERS
                || !self.can_be_had(key, &self.usable_workers(now), |worker| {
                    self.worker_suitability(worker, (key, false), now) > Suitability::Tried
                }))
    }

    /// What the crash of an agent's worker under a task may be due to.
    fn suitability(&self, agent: &InstanceId, key: TaskKey, now: Instant) -> Suitability {
        if self.task(key).is_some_and(|task| task.progress.crashed_workers.contains(agent)) {
            return Suitability::Tried;
        }
        let flapping_time = self.settings.quarantine.flapping_time;
        let mut crashes = self.crashes.get(agent).into_iter().flatten();
        let is_doubtful = crashes.any(|crash| {
            now.duration_since(crash.at) < flapping_time && !crash.suspects.contains(&key)
        });
        if is_doubtful { Suitability::Doubtful } else { Suitability::Trusted }
    }

    fn worker_suitability(
        &self,
        worker: WorkerKey,
        (key, is_convicted): (TaskKey, bool),
        now: Instant,
    ) -> Suitability {
        let worker = &self.workers[worker];
        match &worker.agent {
            _ if is_convicted && !worker.serving_images.is_empty() => Suitability::Tried,
            Some(agent) if !is_convicted => self.suitability(agent, key, now),
            _ => Suitability::Trusted,
        }
    }

    /// Whether any of the workers that the predicate holds for has room for the task, at the latest once
    /// the batch tasks there end.
    fn can_be_had(
        &self,
        key: TaskKey,
        workers: &[WorkerKey],
        is_wanted: impl Fn(WorkerKey) -> bool,
    ) -> bool {
        let first_task = TaskKey { index: 0, ..key };
        let stage = self.stage(key);
        workers.iter().any(|worker| {
            is_wanted(*worker)
                && self.worker_room_count(*worker, (first_task, stage), Occupancy::Serving) > 0
        })
    }

    /// How a waiting suspect is tried.
    fn trial(&self, task: TaskKey, workers: &[WorkerKey], now: Instant) -> Trial {
        let is_convicted = self.stage(task).is_long_running && self.is_convicted(task, now);
        let can_be_had = |suitability: &Suitability| {
            self.can_be_had(task, workers, |worker| {
                self.worker_suitability(worker, (task, false), now) == *suitability
            })
        };
        let min_suitability = if is_convicted {
            Suitability::Trusted
        } else {
            let present = [Suitability::Trusted, Suitability::Doubtful];
            present.into_iter().find(can_be_had).unwrap_or(Suitability::Tried)
        };
        Trial { task, is_convicted, min_suitability }
    }

    /// Whether a long-running suspect isn't to start yet.
    fn is_delayed(&self, key: TaskKey, now: Instant) -> bool {
        let settings = self.settings.quarantine;
        let Some(task) = self.task(key).filter(|_| self.stage(key).is_long_running) else {
            return false;
        };
        let Some(doublings) = task.progress.crash_count.checked_sub(2) else { return false };
        let delay = settings.min_start_delay.saturating_mul(1 << doublings.min(16));
        let delay = delay.min(settings.max_start_delay);
        task.crashed_at.is_some_and(|crashed_at| now.duration_since(crashed_at) < delay)
    }

    /// Forgets crashes that can't have the same cause as a present one.
    pub(super) fn forget_crashes(&mut self, now: Instant) {
        let flapping_time = self.settings.quarantine.flapping_time;
        self.crashes.retain(|_, crashes| {
            crashes.retain(|crash| now.duration_since(crash.at) < flapping_time);
            !crashes.is_empty()
        });
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
        let trials: Vec<Trial> =
            suspects.into_iter().map(|task| self.trial(task, workers, now)).collect();
        self.release_quarantined_workers(&trials, now);
        for trial in trials {
            let key = trial.task;
            self.begin_wait(key, now);
            let quarantined = self.quarantined_worker_for(trial, workers, now);
            if self.is_delayed(key, now) {
                continue;
            }
            let worker = quarantined
                .filter(|worker| !self.has_uncleared_run(*worker))
                .or_else(|| self.least_harmful_worker(trial, usable_workers, now));
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
        trial: Trial,
        workers: &[WorkerKey],
        now: Instant,
    ) -> Option<WorkerKey> {
        let key = trial.task;
        let max_wait = self.settings.planning.max_serving_wait;
        if !self.stage(key).is_long_running || !self.has_waited(key, max_wait, now) {
            return None;
        }
        let is_any_allowed = self.has_waited(key, self.settings.quarantine.max_wait, now);
        let harms = workers.iter().copied().filter_map(|worker| {
            let has_uncleared_run = self.has_uncleared_run(worker);
            let is_allowed = is_any_allowed || trial.is_convicted || !has_uncleared_run;
            (is_allowed && self.room_after_wait(worker, key, now) > 0).then(|| {
                let Worker { serving_images, tasks, .. } = &self.workers[worker];
                let serving_count: u32 = serving_images.values().sum();
                let is_on_probation = self.workers[worker].active_exclusion(now).is_some();
                let suitability = self.worker_suitability(worker, (key, trial.is_convicted), now);
                let harm = (is_on_probation, Reverse(suitability), serving_count, tasks.len());
                // What a convicted task crashes makes no other task a suspect.
                (has_uncleared_run && !trial.is_convicted, harm, worker)
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
            (!is_serving, Reverse(likelihood))
        });
        suspects
    }

    /// Ends the quarantine of workers that can run no waiting suspect.
    fn release_quarantined_workers(&mut self, trials: &[Trial], now: Instant) {
        let quarantined: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.is_quarantined)
            .map(|(key, _)| key)
            .collect();
        for key in quarantined {
            let is_needed = trials.iter().any(|trial| self.fits_trial(key, *trial, now));
            self.workers[key].is_quarantined = is_needed;
        }
    }

    fn fits_trial(&self, worker: WorkerKey, trial: Trial, now: Instant) -> bool {
        let key = trial.task;
        let service = &self.jobs[key.job].queue.service;
        self.can_place(&self.workers[worker], service, (key, self.stage(key)))
            && self.worker_suitability(worker, (key, trial.is_convicted), now)
                >= trial.min_suitability
    }

    /// Quarantined worker that can run the suspect, preferably at once; quarantines another worker
    /// if all are in use and the service's share allows it.
    fn quarantined_worker_for(
        &mut self,
        trial: Trial,
        workers: &[WorkerKey],
        now: Instant,
    ) -> Option<WorkerKey> {
        let key = trial.task;
        let fits = |worker: &WorkerKey| self.fits_trial(*worker, trial, now);
        let fitting: Vec<WorkerKey> = workers.iter().copied().filter(fits).collect();
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
