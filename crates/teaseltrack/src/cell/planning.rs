//! Which waiting task goes first.
//!
//! Tasks that hold processors come first, by their queue's priority and by the time left until
//! their job is late; then tasks that last, which leave a reserve free; then best-effort tasks, on
//! workers whose processors aren't spoken for yet. Where each goes is up to [`scoring`].
//!
//! [`scoring`]: crate::cell::scoring

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::{
    cell::{
        Cell, CellEvent, JobKey, Occurrence, Run, Task, WorkerKey,
        interference::ImageName,
        job::Stage,
        progress::{JobState, TaskPhase},
        worker::{Arrival, TaskKey, Worker},
    },
    ids::{AttemptNumber, ServiceName},
    placement::Resources,
};

/// How planning shares workers.
#[derive(Clone, Copy, Debug)]
pub struct PlanningSettings {
    /// Share of a worker's processors that long-running tasks leave to batch tasks.
    pub batch_reserve: f64,
    /// Wait after which a long-running task takes the reserve as well.
    pub reserve_wait: Duration,
    /// Share of their declared processors that long-running tasks are taken to use.
    pub serving_load: f64,
    /// Share of its declared processors that a best-effort task must find before it starts.
    pub best_effort_floor: f64,
    /// Share of its target that no tail is to pass when a best-effort task arrives.
    pub tail_aim: f64,
    /// Tasks on one worker of an image that may disturb what serves there.
    pub tasks_on_trial: u32,
    /// Wait after which a best-effort job with nothing running gets a task in spite of tails.
    pub starvation_wait: Duration,
    /// Share of a service's processors held by tasks above which it doesn't.
    pub starvation_load: f64,
    /// Time between two moves of serving tasks.
    pub regroup_interval: Duration,
    /// Time before a serving task is moved again.
    pub rest_after_move: Duration,
    /// Time after which an assigned best-effort task shows in its worker's reports.
    pub arrival_time: Duration,
    /// Head start of best-effort jobs with little left, in times of what the whole fleet needs for
    /// what is left.
    pub size_handicap: f64,
    /// Factor on a job's objective after which it is served last.
    pub hopeless_factor: f64,
}

/// Order of kinds of task; lower goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Kind {
    Batch,
    Serving,
    BestEffort,
}

impl Kind {
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

/// How far a job is past its objective; lower goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Lateness {
    InTime,
    Late,
    Hopeless,
}

/// A stage with waiting tasks.
#[derive(Clone, Debug)]
struct Candidate {
    rank: (Kind, Lateness, u32, Instant),
    stage: TaskKey,
    waiting: Vec<u32>,
}

/// Sizes of tasks that no worker had room for in the present round; larger ones needn't be tried.
#[derive(Debug, Default)]
struct RefusedSizes {
    sizes: HashMap<(ServiceName, Option<ImageName>), Vec<Resources>>,
}

impl RefusedSizes {
    fn key(service: &str, stage: &Stage) -> (ServiceName, Option<ImageName>) {
        let image = stage.is_best_effort.then(|| stage.image.clone().unwrap_or_default());
        (service.to_owned(), image)
    }

    fn covers(&self, service: &str, stage: &Stage) -> bool {
        let sizes = self.sizes.get(&Self::key(service, stage));
        !stage.is_long_running
            && sizes.is_some_and(|sizes| sizes.iter().any(|size| stage.resources.can_fit(size)))
    }

    /// Takes in a refusal, unless the stage asked for more than room.
    fn note(&mut self, service: &str, stage: &Stage) {
        let is_about_room = !stage.is_long_running
            && stage.required_label.is_none()
            && stage.max_per_worker.is_none();
        if is_about_room {
            self.sizes.entry(Self::key(service, stage)).or_default().push(stage.resources);
        }
    }
}

impl Cell {
    /// Assigns waiting tasks; the starts go out after the next commit.
    pub fn plan(&mut self, unix_now_ms: u64, now: Instant) {
        self.needs_plan = false;
        self.begin_due_occurrences(unix_now_ms);
        self.leave_draining_workers();
        self.forget_arrivals(now);
        let workers = self.open_workers(now);
        if workers.is_empty() {
            return;
        }
        let mut candidates = self.candidates(now);
        candidates.sort_by_key(|candidate| candidate.rank);
        let is_serving_waiting =
            candidates.iter().any(|candidate| candidate.rank.0 == Kind::Serving);
        for &worker in &workers {
            self.update_headrooms(worker);
        }
        let mut refused = RefusedSizes::default();
        for candidate in &candidates {
            self.place_stage(candidate, &workers, &mut refused, now);
        }
        for candidate in &candidates {
            self.start_starving(candidate, &workers, now);
        }
        if !is_serving_waiting {
            self.regroup(&workers, now);
        }
    }

    fn forget_arrivals(&mut self, now: Instant) {
        let arrival_time = self.settings.planning.arrival_time;
        for worker in self.workers.values_mut() {
            worker.arriving.retain(|arrival| now.duration_since(arrival.at) < arrival_time);
        }
    }

    fn note_arrival(&mut self, worker: WorkerKey, stage: &Stage, now: Instant) {
        if stage.is_best_effort {
            let cpu_milli = stage.resources.cpu_milli;
            self.workers[worker].arriving.push(Arrival { at: now, cpu_milli });
        }
    }

    fn begin_due_occurrences(&mut self, unix_now_ms: u64) {
        for key in self.active.clone() {
            let job = &self.jobs[key];
            if job.state.is_final() {
                continue;
            }
            let begun = job.occurrences.len() as u64;
            let due = match job.spec.schedule {
                None => 1,
                Some(schedule) if unix_now_ms < schedule.first_unix_ms => 0,
                Some(schedule) => {
                    let passed_ms = unix_now_ms - schedule.first_unix_ms;
                    let due = passed_ms / schedule.interval_ms.max(1) + 1;
                    due.min(u64::from(schedule.occurrence_count))
                }
            };
            for _ in begun..due {
                self.begin_occurrence(key);
            }
        }
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

    /// Stops tasks that last on workers that are about to leave.
    fn leave_draining_workers(&mut self) {
        let leaving: Vec<TaskKey> = self
            .workers
            .values()
            .filter(|worker| worker.status.as_ref().is_some_and(|status| status.is_draining))
            .flat_map(|worker| worker.tasks.iter().copied())
            .filter(|task| self.stage(*task).is_long_running)
            .collect();
        for task in leaving {
            self.stop_run(task);
        }
    }

    fn open_workers(&self, now: Instant) -> Vec<WorkerKey> {
        let is_open = |worker: &Worker| {
            worker.is_confirmed
                && worker.is_reachable
                && worker.status.as_ref().is_some_and(|status| !status.is_draining)
                && now.duration_since(worker.last_heard) < self.settings.agent_silence
                && worker.refused_until.is_none_or(|until| until <= now)
        };
        self.workers.iter().filter(|(_, worker)| is_open(worker)).map(|(key, _)| key).collect()
    }

    fn candidates(&self, now: Instant) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        for &key in &self.active {
            let Some(job) = self.jobs.get(key).filter(|job| !job.state.is_final()) else {
                continue;
            };
            for (occurrence, state) in job.occurrences.iter().enumerate() {
                for (number, stage) in job.spec.stages.iter().enumerate() {
                    let tasks = &state.stages[number];
                    if !is_ready(state, stage) {
                        continue;
                    }
                    let waiting: Vec<u32> = (0..tasks.len() as u32)
                        .filter(|index| tasks[*index as usize].is_waiting())
                        .collect();
                    if waiting.is_empty() || (stage.is_gang && waiting.len() < tasks.len()) {
                        continue;
                    }
                    let stage_key = TaskKey {
                        job: key,
                        occurrence: occurrence as u32,
                        stage: number as u32,
                        index: 0,
                    };
                    let rank = self.rank(key, stage, now);
                    candidates.push(Candidate { rank, stage: stage_key, waiting });
                }
            }
        }
        candidates
    }

    fn rank(&self, key: JobKey, stage: &Stage, now: Instant) -> (Kind, Lateness, u32, Instant) {
        let job = &self.jobs[key];
        let chain_ms = job.queue.stretch.max(1.0) * job.spec.critical_path_ms() as f64;
        let objective = Duration::from_millis(chain_ms as u64 + job.queue.objective_ms);
        let deadline = job.accepted_at + objective;
        let hopeless = job.accepted_at + objective.mul_f64(self.settings.planning.hopeless_factor);
        let lateness = if stage.is_long_running || now <= deadline {
            Lateness::InTime
        } else if now <= hopeless {
            Lateness::Late
        } else {
            Lateness::Hopeless
        };
        let order =
            if stage.is_best_effort { job.accepted_at + self.handicap(key) } else { deadline };
        (Kind::of(stage), lateness, job.queue.priority, order)
    }

    /// Wait after which a best-effort job goes before one of no work that has just come: jobs with
    /// little left first, but a large one isn't put off for ever.
    fn handicap(&self, key: JobKey) -> Duration {
        let job = &self.jobs[key];
        let left_core_ms = |number: usize, stage: &Stage| {
            let is_done = |task: &&Task| task.progress.phase == TaskPhase::Done;
            let done: usize = job
                .occurrences
                .iter()
                .map(|occurrence| occurrence.stages[number].iter().filter(is_done).count())
                .sum();
            let begun = job.occurrences.len().max(1) as u64;
            let left = (begun * u64::from(stage.task_count)).saturating_sub(done as u64);
            left * stage.estimate_ms * stage.resources.cpu_milli / 1_000
        };
        let stages = job.spec.stages.iter().enumerate();
        let core_ms: u64 = stages.map(|(number, stage)| left_core_ms(number, stage)).sum();
        let fleet_milli: u64 = self
            .workers
            .values()
            .filter_map(|worker| worker.status.as_ref())
            .map(|status| status.capacity.cpu_milli)
            .sum();
        let fleet_ms = core_ms as f64 * 1_000.0 / fleet_milli.max(1) as f64;
        Duration::from_millis((fleet_ms * self.settings.planning.size_handicap) as u64)
    }

    fn place_stage(
        &mut self,
        candidate: &Candidate,
        workers: &[WorkerKey],
        refused: &mut RefusedSizes,
        now: Instant,
    ) {
        let stage = self.stage(candidate.stage).clone();
        let service = self.jobs[candidate.stage.job].queue.service.clone();
        if refused.covers(&service, &stage) {
            return;
        }
        let attempt = self.next_gang_attempt(candidate, &stage);
        let mut placed = Vec::new();
        for &index in &candidate.waiting {
            let key = TaskKey { index, ..candidate.stage };
            let reserve = self.reserve_before(key, now);
            let chosen = self.choose_worker(key, &stage, workers, reserve);
            let Some(worker) = chosen else {
                refused.note(&service, &stage);
                // Each serving task waits for the reserve by itself; the others are all alike.
                if stage.is_long_running {
                    continue;
                }
                break;
            };
            self.assign(key, &stage, worker, attempt);
            self.note_arrival(worker, &stage, now);
            if stage.is_best_effort {
                self.update_headrooms(worker);
            }
            placed.push(key);
        }
        if stage.is_gang && placed.len() < candidate.waiting.len() {
            for key in placed {
                self.withdraw(key);
            }
            return;
        }
        for key in placed {
            self.announce(key);
        }
    }

    /// Starts one task of a best-effort job that has waited with nothing running, although much of
    /// the fleet is free: whatever it disturbs, agents pace it.
    fn start_starving(&mut self, candidate: &Candidate, workers: &[WorkerKey], now: Instant) {
        let settings = self.settings.planning;
        let stage = self.stage(candidate.stage).clone();
        let job = candidate.stage.job;
        let Some(&index) = candidate.waiting.first() else { return };
        let key = TaskKey { index, ..candidate.stage };
        if !stage.is_best_effort || stage.is_gang || self.has_runs(job) {
            return;
        }
        let Some(task) = self.task_mut(key) else { return };
        let waiting_since = *task.waiting_since.get_or_insert(now);
        let has_waited = now.duration_since(waiting_since) >= settings.starvation_wait;
        let service = self.jobs[job].queue.service.clone();
        if !has_waited || self.reserved_share(&service) >= settings.starvation_load {
            return;
        }
        let Some(worker) = self.roomiest_worker(key, &stage, workers) else { return };
        self.assign(key, &stage, worker, None);
        self.note_arrival(worker, &stage, now);
        self.update_headrooms(worker);
        self.announce(key);
    }

    /// Share of a service's processors that tasks hold.
    fn reserved_share(&self, service: &str) -> f64 {
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

    /// Share of a worker that a task must leave free, by how long it has waited.
    fn reserve_before(&mut self, key: TaskKey, now: Instant) -> f64 {
        let settings = self.settings.planning;
        let Some(task) = self.task_mut(key) else { return settings.batch_reserve };
        let waiting_since = *task.waiting_since.get_or_insert(now);
        let has_waited = now.duration_since(waiting_since) >= settings.reserve_wait;
        if has_waited { 0.0 } else { settings.batch_reserve }
    }

    /// One number for all members of a gang; `None` where each task counts for itself.
    fn next_gang_attempt(&self, candidate: &Candidate, stage: &Stage) -> Option<AttemptNumber> {
        if !stage.is_gang {
            return None;
        }
        let members = &self.jobs[candidate.stage.job].occurrences
            [candidate.stage.occurrence as usize]
            .stages[candidate.stage.stage as usize];
        let last = members.iter().map(|task| task.progress.attempt).max().unwrap_or(0);
        Some(self.attempt_after(last))
    }

    fn attempt_after(&self, last: AttemptNumber) -> AttemptNumber {
        let base = (self.epoch.saturating_sub(1) as u32).saturating_mul(super::ATTEMPTS_PER_EPOCH);
        last.max(base) + 1
    }

    fn assign(
        &mut self,
        key: TaskKey,
        stage: &Stage,
        worker: WorkerKey,
        attempt: Option<AttemptNumber>,
    ) {
        let held_by = &mut self.workers[worker];
        held_by.hold(key, stage);
        let run = Run::new(worker, held_by.session);
        let last = self.task(key).map_or(0, |task| task.progress.attempt);
        let attempt = attempt.unwrap_or_else(|| self.attempt_after(last));
        if let Some(task) = self.task_mut(key) {
            task.run = Some(run);
            task.progress.attempt = attempt;
        }
    }

    fn withdraw(&mut self, key: TaskKey) {
        self.free_run(key);
    }

    /// Marks an assignment for the next commit.
    fn announce(&mut self, key: TaskKey) {
        let Some(name) = self.name_of(key) else { return };
        let Some(task) = self.task(key) else { return };
        let attempt = task.progress.attempt;
        let Some(worker) = task.run.as_ref().map(|run| run.worker) else { return };
        self.events.push(CellEvent::Assigned {
            task: name,
            attempt,
            worker: self.workers[worker].life.clone(),
        });
        let job = &mut self.jobs[key.job];
        job.held_starts.push((worker, key));
        job.is_dirty = true;
        if job.state == JobState::Queued {
            job.state = JobState::Active;
        }
    }
}

fn is_ready(occurrence: &Occurrence, stage: &Stage) -> bool {
    let is_done = |earlier: &usize| {
        occurrence.stages[*earlier].iter().all(|task| task.progress.phase == TaskPhase::Done)
    };
    stage.after.iter().all(is_done)
}
