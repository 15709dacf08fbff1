//! Jobs of dependent stages on the workers of one cell, as decided by the cell's owner.
//!
//! The owner holds everything in memory and commits what must last ([`progress`]) in batches. The
//! order of steps is what keeps a task from running twice: a start is sent after its assignment is
//! committed, and a worker forgets an end after the end is committed. What an owner's death leaves
//! open, the workers' own lists answer under a higher session token. A worker that can't be asked
//! keeps its tasks until its lease has run out.
//!
//! [`Cell`] takes submissions, cancellations and reports, plans ([`planning`]), and hands out what
//! is to be committed and ordered. It does no input or output, and the time is an argument.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::{Duration, Instant},
};

use slotmap::{SlotMap, new_key_type};

use crate::{
    cell::{
        interference::{ImageUsage, InterferenceModel, InterferenceSettings},
        job::{JobId, JobSpec, Queue, QueueConfiguration, Stage},
        progress::{
            JobProgress, JobState, OccurrenceProgress, TaskPhase, TaskProgress, WorkerIncarnation,
        },
        protocol::{
            EndCause, EndedTask, Order, RefusedStart, Report, ReportResponse, RunningTask,
            SessionToken, SharingTraits, StartOrder, TaskName, WorkerListing, WorkerStatus,
        },
        tail_model::Tail,
        worker::{TaskKey, Worker},
    },
    ids::{AttemptNumber, Epoch, InstanceId},
};

pub mod health;
pub mod interference;
pub mod job;
pub mod ownership;
pub mod pacing;
pub mod planning;
pub mod progress;
pub mod protocol;
pub mod regrouping;
pub mod scoring;
pub mod tail_model;
pub mod worker;

new_key_type! {
    /// Key of a job within the owner.
    pub struct JobKey;
    /// Key of a worker's life within the owner.
    pub struct WorkerKey;
}

/// Attempts of one task that an epoch may number.
const ATTEMPTS_PER_EPOCH: u32 = 1_000;
/// Sessions that an epoch may number.
const SESSIONS_PER_EPOCH: u64 = 1 << 20;
/// Time between two fits of what disturbs what; tails are reported about as often.
const SETTLE_INTERVAL: Duration = Duration::from_millis(500);
/// Orders in one answer; keeps an answer within one message.
const MAX_ORDERS_PER_ANSWER: usize = 64;

/// Bounds under which an owner decides.
#[derive(Clone, Copy, Debug)]
pub struct CellSettings {
    /// Lease granted to a worker with each report.
    pub lease: Duration,
    /// How much slower than true time a worker's clock may run, as a share.
    pub clock_drift: f64,
    /// Added to every wait for the end of a lease.
    pub lease_margin: Duration,
    /// Silence of an agent after which its worker gets no new tasks.
    pub agent_silence: Duration,
    /// Pause of placement on a worker after it refused a start.
    pub refusal_pause: Duration,
    /// How workers are judged by what they run.
    pub health: health::HealthSettings,
    /// How planning shares workers.
    pub planning: planning::PlanningSettings,
    /// How disturbing images are told from noise.
    pub interference: InterferenceSettings,
}

impl CellSettings {
    /// A granted lease by true time, on the slowest clock.
    pub fn slowest_lease(&self) -> Duration {
        self.lease.mul_f64(1.0 + self.clock_drift) + self.lease_margin
    }
}

/// A task under an attempt on a worker.
#[derive(Clone, Debug)]
pub struct Run {
    worker: WorkerKey,
    session: SessionToken,
    is_listed: bool,
    is_stopping: bool,
    percent: u32,
    gauge: u64,
    listed_at: Option<Instant>,
    moved_at: Option<Instant>,
}

/// A task.
#[derive(Clone, Debug, Default)]
pub struct Task {
    progress: TaskProgress,
    run: Option<Run>,
    waiting_since: Option<Instant>,
    avoided: Option<WorkerKey>,
    moved_at: Option<Instant>,
    run_time: Option<Duration>,
}

impl Task {
    fn is_waiting(&self) -> bool {
        self.run.is_none() && self.progress.phase != TaskPhase::Done
    }
}

#[derive(Clone, Debug, Default)]
struct Occurrence {
    stages: Vec<Vec<Task>>,
}

/// A job.
#[derive(Clone, Debug)]
pub struct Job {
    id: JobId,
    spec: Arc<JobSpec>,
    queue: Queue,
    accepted_at: Instant,
    state: JobState,
    committed_state: JobState,
    occurrences: Vec<Occurrence>,
    is_dirty: bool,
    held_starts: Vec<(WorkerKey, TaskKey)>,
}

/// Progress to be committed in one transaction.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CommitBatch {
    /// Rows to write.
    pub rows: Vec<(JobId, JobProgress)>,
}

/// Effects that wait for the commit in flight.
#[derive(Clone, Debug, Default)]
struct PendingEffects {
    starts: Vec<(WorkerKey, TaskKey)>,
    states: Vec<(JobKey, JobState)>,
    ends: Vec<(WorkerKey, u64)>,
}

/// A job as read from the store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredJob {
    /// Its identifier.
    pub id: JobId,
    /// As submitted.
    pub spec: JobSpec,
    /// Its queue when it was submitted.
    pub queue: Queue,
    /// What was committed of it.
    pub progress: Option<JobProgress>,
    /// Whether its caller cancelled it.
    pub is_cancelled: bool,
    /// How long ago it was accepted.
    pub age: Duration,
}

/// Something that an operator would want to read about.
#[derive(Clone, Debug, PartialEq)]
pub enum CellEvent {
    /// A task was assigned.
    Assigned {
        /// The task.
        task: TaskName,
        /// Its attempt.
        attempt: AttemptNumber,
        /// Where.
        worker: WorkerIncarnation,
    },
    /// A run ended.
    Ended {
        /// The task.
        task: TaskName,
        /// Its attempt.
        attempt: AttemptNumber,
        /// Where.
        worker: WorkerIncarnation,
        /// How.
        cause: EndCause,
    },
    /// A run that makes no progress is stopped.
    Stalled {
        /// The task.
        task: TaskName,
        /// Its attempt.
        attempt: AttemptNumber,
        /// Where.
        worker: WorkerIncarnation,
    },
    /// A serving task is stopped to be placed elsewhere.
    Moved {
        /// The task.
        task: TaskName,
        /// Its attempt.
        attempt: AttemptNumber,
        /// From where.
        worker: WorkerIncarnation,
    },
    /// A task was taken back from a worker without an end.
    TakenBack {
        /// The task.
        task: TaskName,
        /// Its attempt.
        attempt: AttemptNumber,
        /// From where.
        worker: WorkerIncarnation,
        /// Why.
        reason: String,
    },
    /// A job reached a state.
    State {
        /// The job.
        job: JobId,
        /// The state.
        state: JobState,
    },
    /// A worker's life began a session.
    Session {
        /// The worker.
        worker: WorkerIncarnation,
        /// Its agent.
        agent: InstanceId,
        /// The session.
        session: SessionToken,
    },
}

impl CellEvent {
    /// Name in metrics; the ends of runs by their cause.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Assigned { .. } => "assigned",
            Self::Ended { cause, .. } => cause.name(),
            Self::Stalled { .. } => "stalled",
            Self::Moved { .. } => "moved",
            Self::TakenBack { .. } => "taken_back",
            Self::State { state, .. } => state.name(),
            Self::Session { .. } => "session",
        }
    }
}

/// State of a cell in its owner's memory.
#[derive(Debug)]
pub struct Cell {
    settings: CellSettings,
    epoch: Epoch,
    session_count: u64,
    configuration: QueueConfiguration,
    jobs: SlotMap<JobKey, Job>,
    by_id: HashMap<JobId, JobKey>,
    active: Vec<JobKey>,
    workers: SlotMap<WorkerKey, Worker>,
    by_life: HashMap<WorkerIncarnation, WorkerKey>,
    by_agent: BTreeMap<InstanceId, WorkerKey>,
    pending: Option<PendingEffects>,
    needs_plan: bool,
    events: Vec<CellEvent>,
    foreign_leases_end: Instant,
    interference: InterferenceModel,
    settled_at: Option<Instant>,
    regrouped_at: Option<Instant>,
}

impl Cell {
    /// A cell whose owner has just begun `epoch`, with nothing in it yet.
    ///
    /// `foreign_grants_end` is when the owner before can have granted its last lease.
    pub fn new(
        settings: CellSettings,
        epoch: Epoch,
        configuration: QueueConfiguration,
        foreign_grants_end: Instant,
    ) -> Self {
        Self {
            foreign_leases_end: foreign_grants_end + settings.slowest_lease(),
            interference: InterferenceModel::new(settings.interference),
            settled_at: None,
            regrouped_at: None,
            settings,
            epoch,
            session_count: 0,
            configuration,
            jobs: SlotMap::with_key(),
            by_id: HashMap::new(),
            active: Vec::new(),
            workers: SlotMap::with_key(),
            by_life: HashMap::new(),
            by_agent: BTreeMap::new(),
            pending: None,
            needs_plan: true,
            events: Vec::new(),
        }
    }

    /// The ownership period.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Version of the configuration in force.
    pub fn configuration_version(&self) -> u64 {
        self.configuration.version
    }

    /// Takes what happened since the last call.
    pub fn take_events(&mut self) -> Vec<CellEvent> {
        std::mem::take(&mut self.events)
    }

    /// Puts a newer configuration in force; an older one is ignored.
    pub fn configure(&mut self, configuration: QueueConfiguration) {
        if configuration.version <= self.configuration.version {
            return;
        }
        self.configuration = configuration;
        for job in self.jobs.values_mut() {
            if let Some(queue) = self.configuration.queue(&job.spec.queue) {
                job.queue = queue.clone();
            }
        }
        self.needs_plan = true;
    }

    /// Takes in a stored job; one that is known already only takes in its cancellation.
    pub fn admit(&mut self, stored: StoredJob, now: Instant) {
        if let Some(&key) = self.by_id.get(&stored.id) {
            if stored.is_cancelled {
                self.cancel_job(key);
            }
            return;
        }
        let queue = self.configuration.queue(&stored.spec.queue).cloned().unwrap_or(stored.queue);
        let progress = stored.progress.unwrap_or_default();
        let accepted_at = now.checked_sub(stored.age).unwrap_or(now);
        let key = self.jobs.insert(Job {
            id: stored.id.clone(),
            spec: Arc::new(stored.spec),
            queue,
            accepted_at,
            state: progress.state,
            committed_state: progress.state,
            occurrences: Vec::new(),
            is_dirty: false,
            held_starts: Vec::new(),
        });
        self.by_id.insert(stored.id, key);
        self.restore_occurrences(key, progress.occurrences, now);
        if !self.jobs[key].state.is_final() || self.has_runs(key) {
            self.active.push(key);
        }
        if stored.is_cancelled {
            self.cancel_job(key);
        }
        self.needs_plan = true;
    }

    /// Cancels a job whose cancellation is stored; `false` if it isn't known.
    pub fn cancel(&mut self, id: &str) -> bool {
        let Some(&key) = self.by_id.get(id) else { return false };
        self.cancel_job(key);
        true
    }

    /// State of a job towards its caller; final only once it is committed.
    pub fn state(&self, id: &str) -> Option<JobState> {
        let job = &self.jobs[*self.by_id.get(id)?];
        let is_settled = !job.state.is_final() || job.committed_state == job.state;
        Some(match job.state {
            JobState::Cancelled => JobState::Cancelled,
            state if is_settled => state,
            _ => JobState::Active,
        })
    }

    /// Jobs of a queue of which no task has started.
    pub fn pending_count(&self, queue: &str) -> usize {
        self.active
            .iter()
            .filter_map(|key| self.jobs.get(*key))
            .filter(|job| job.state == JobState::Queued && job.spec.queue == queue)
            .count()
    }

    /// Jobs that aren't in a final state.
    pub fn open_count(&self) -> usize {
        self.active.len()
    }

    /// Takes in an agent's report and answers it.
    ///
    /// `may_grant` is whether the owner may still grant leases.
    pub fn report(&mut self, report: Report, may_grant: bool, now: Instant) -> ReportResponse {
        let mut answer = ReportResponse { epoch: self.epoch, ..ReportResponse::default() };
        let Some(status) = report.status else { return answer };
        let Some(key) = self.attach(&report.agent, status, now) else { return answer };
        if !self.check_session(key, report.session, report.started_unix_ms, &report.agent) {
            answer.session = self.workers[key].session;
            answer.first_order = 1;
            self.grant(key, report.worker_clock_ms, may_grant, now, &mut answer);
            return answer;
        }
        let worker = &mut self.workers[key];
        worker.last_heard = now;
        if worker.is_reachable != report.is_worker_reachable {
            worker.is_reachable = report.is_worker_reachable;
            self.needs_plan = true;
        }
        worker.take_orders(report.accepted_order);
        for refused in report.refused {
            self.take_refusal(key, &refused, now);
        }
        if let Some(listing) = report.listing {
            if let Some(running) = &listing.running {
                self.observe_sharing(key, running, now);
            }
            self.take_listing(key, listing, now);
        }
        if let Some(known) = report.interference {
            self.interference.adopt_estimates(known);
        }
        if report.interference_version != self.interference.estimates().version {
            answer.interference = Some(self.interference.estimates().clone());
        }
        self.grant(key, report.worker_clock_ms, may_grant, now, &mut answer);
        let worker = &self.workers[key];
        answer.session = worker.session;
        answer.forget_until = worker.committed_end;
        answer.first_order = worker.first_order;
        answer.orders = worker.orders.iter().take(MAX_ORDERS_PER_ANSWER).cloned().collect();
        answer
    }

    /// Whether the agent's worker has orders that weren't taken, or ends to be forgotten.
    pub fn has_news(&self, agent: &str, taken_order: u64, forgot_until: u64) -> bool {
        self.by_agent.get(agent).is_some_and(|key| {
            let worker = &self.workers[*key];
            let next_order = worker.first_order + worker.orders.len() as u64;
            next_order > taken_order + 1 || worker.committed_end > forgot_until
        })
    }

    /// An answer to a report that was answered before, with what has come since.
    pub fn news(&self, agent: &str) -> ReportResponse {
        let mut answer = ReportResponse { epoch: self.epoch, ..ReportResponse::default() };
        let Some(worker) = self.by_agent.get(agent).map(|key| &self.workers[*key]) else {
            return answer;
        };
        answer.session = worker.session;
        answer.forget_until = worker.committed_end;
        answer.first_order = worker.first_order;
        answer.orders = worker.orders.iter().take(MAX_ORDERS_PER_ANSWER).cloned().collect();
        answer
    }

    /// Takes back the tasks of workers whose lease has run out, and moves tasks off workers that
    /// are about to leave.
    pub fn tick(&mut self, now: Instant) {
        let lapsed: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.lease_end.is_some_and(|end| end <= now))
            .map(|(key, _)| key)
            .collect();
        for key in lapsed {
            self.end_life(key, "lease ran out");
        }
        let settled_at = *self.settled_at.get_or_insert(now);
        if now.duration_since(settled_at) >= SETTLE_INTERVAL {
            self.interference.update_estimates(now.duration_since(settled_at), now);
            self.stop_stalled_runs(now);
            self.forget_slowness(now.duration_since(settled_at));
            self.settled_at = Some(now);
        }
    }

    /// Learns from the tails of serving tasks beside what best-effort tasks use.
    fn observe_sharing(&mut self, key: WorkerKey, running: &[RunningTask], now: Instant) {
        let Some(status) = self.workers[key].status.as_ref() else { return };
        let capacity_milli = status.capacity.cpu_milli.max(1) as f64;
        let mut usage = ImageUsage::new();
        let mut tails = Vec::new();
        for run in running {
            let Some(task) = self.key_of(&run.task) else { continue };
            let stage = self.stage(task);
            let image = stage.image.clone().unwrap_or_default();
            if stage.is_best_effort {
                *usage.entry(image).or_insert(0.0) += run.gauge as f64 / capacity_milli;
            } else if let Some(target_ms) = stage.target_tail_ms.filter(|_| run.gauge > 0) {
                tails.push((task, image, run.gauge, target_ms));
            }
        }
        let known = self.interference.estimates();
        let aim = self.settings.planning.tail_aim;
        let mut headrooms = BTreeMap::new();
        for (_, image, tail_ms, target_ms) in &tails {
            let tail_ms = *tail_ms as f64;
            let idle_tail_ms = known.idle_tail_ms(image, tail_ms);
            let tail = Tail { tail_ms, idle_tail_ms, target_ms: *target_ms as f64 };
            let undisturbed = tail.utilization() / (1.0 + known.total_growth(image, &usage));
            let headroom = tail.utilization_at(aim) / undisturbed - 1.0;
            let least = headrooms.entry(image.clone()).or_insert(headroom);
            *least = headroom.min(*least);
        }
        let worker = &mut self.workers[key];
        worker.headrooms = headrooms;
        worker.best_effort_used_milli = (usage.values().sum::<f64>() * capacity_milli) as u64;
        let usage = Arc::new(usage);
        for (task, image, tail_ms, _) in tails {
            self.interference.observe(task, &image, tail_ms, &usage, now);
        }
    }

    /// Progress to commit next, at most `max_rows`; `None` if there is nothing to commit or a
    /// commit is in flight.
    pub fn next_commit(&mut self, max_rows: usize) -> Option<CommitBatch> {
        if self.pending.is_some() {
            return None;
        }
        let dirty: Vec<JobKey> = self
            .active
            .iter()
            .copied()
            .filter(|key| self.jobs.get(*key).is_some_and(|job| job.is_dirty))
            .collect();
        let has_ends = self.workers.values().any(|worker| worker.seen_end > worker.committed_end);
        if dirty.is_empty() && !has_ends {
            return None;
        }
        let mut batch = CommitBatch::default();
        let mut effects = PendingEffects::default();
        if dirty.len() <= max_rows {
            effects.ends =
                self.workers.iter().map(|(key, worker)| (key, worker.seen_end)).collect();
        }
        for key in dirty.into_iter().take(max_rows) {
            let progress = self.progress_of(key);
            let job = &mut self.jobs[key];
            job.is_dirty = false;
            effects.starts.append(&mut job.held_starts);
            effects.states.push((key, job.state));
            batch.rows.push((job.id.clone(), progress));
        }
        self.pending = Some(effects);
        Some(batch)
    }

    /// Releases what waited for the commit in flight, which took effect.
    pub fn committed(&mut self) {
        let Some(effects) = self.pending.take() else { return };
        for (key, state) in effects.states {
            self.jobs[key].committed_state = state;
        }
        for (worker, end) in effects.ends {
            if let Some(worker) = self.workers.get_mut(worker) {
                worker.committed_end = worker.committed_end.max(end.min(worker.seen_end));
            }
        }
        for (worker, task) in effects.starts {
            self.send_start(worker, task);
        }
        self.active.retain(|key| {
            let job = &self.jobs[*key];
            !(job.committed_state.is_final() && !job.is_dirty && job.occurrences.is_empty())
        });
    }

    /// Whether something changed that calls for planning.
    pub fn needs_plan(&self) -> bool {
        self.needs_plan
    }

    fn restore_occurrences(
        &mut self,
        key: JobKey,
        occurrences: Vec<OccurrenceProgress>,
        now: Instant,
    ) {
        let spec = self.jobs[key].spec.clone();
        let bound = self.foreign_leases_end;
        for (occurrence, stages) in occurrences.into_iter().enumerate() {
            let mut restored = Occurrence::default();
            for (stage, tasks) in stages.into_iter().enumerate() {
                let mut restored_tasks = Vec::with_capacity(tasks.len());
                for (index, progress) in tasks.into_iter().enumerate() {
                    let run = match &progress.phase {
                        TaskPhase::Assigned(life) => {
                            let worker = self.worker_of_life(life, bound, now);
                            let task = TaskKey {
                                job: key,
                                occurrence: occurrence as u32,
                                stage: stage as u32,
                                index: index as u32,
                            };
                            self.workers[worker].hold(task, &spec.stages[stage]);
                            Some(Run::new(worker, 0))
                        }
                        TaskPhase::Waiting | TaskPhase::Done => None,
                    };
                    restored_tasks.push(Task { progress, run, ..Task::default() });
                }
                restored.stages.push(restored_tasks);
            }
            self.jobs[key].occurrences.push(restored);
        }
    }

    fn worker_of_life(&mut self, life: &str, lease_end: Instant, now: Instant) -> WorkerKey {
        if let Some(&key) = self.by_life.get(life) {
            return key;
        }
        let mut worker = Worker::new(life.to_owned(), now);
        worker.lease_end = Some(lease_end);
        let key = self.workers.insert(worker);
        self.by_life.insert(life.to_owned(), key);
        key
    }

    /// The worker that the agent reports; `None` if an earlier life is reported late.
    fn attach(
        &mut self,
        agent: &InstanceId,
        status: WorkerStatus,
        now: Instant,
    ) -> Option<WorkerKey> {
        let life = status.incarnation();
        if let Some(&current) = self.by_agent.get(agent) {
            let known = &self.workers[current];
            let born = known.status.as_ref().map_or(0, |status| status.started_unix_ms);
            if known.life != life {
                if born > status.started_unix_ms {
                    return None;
                }
                self.end_life(current, "the worker began a new life");
                self.forget_worker(current);
            }
        }
        let key = match self.by_life.get(&life) {
            Some(&key) => key,
            None => {
                let key = self.workers.insert(Worker::new(life.clone(), now));
                self.by_life.insert(life, key);
                key
            }
        };
        self.by_agent.insert(agent.clone(), key);
        let worker = &mut self.workers[key];
        worker.agent = Some(agent.clone());
        worker.last_heard = now;
        if worker.status.as_ref() != Some(&status) {
            worker.status = Some(status);
            self.needs_plan = true;
        }
        Some(key)
    }

    /// Whether the report belongs to the session in force; begins one if there is none.
    fn check_session(
        &mut self,
        key: WorkerKey,
        reported: SessionToken,
        agent_started_unix_ms: u64,
        agent: &InstanceId,
    ) -> bool {
        let worker = &self.workers[key];
        if worker.session != 0 && worker.agent_started_unix_ms == agent_started_unix_ms {
            return reported == worker.session;
        }
        self.session_count += 1;
        let session = self.epoch * SESSIONS_PER_EPOCH + self.session_count;
        let worker = &mut self.workers[key];
        worker.begin_session(session, agent_started_unix_ms);
        self.events.push(CellEvent::Session {
            worker: worker.life.clone(),
            agent: agent.clone(),
            session,
        });
        false
    }

    fn grant(
        &mut self,
        key: WorkerKey,
        worker_clock_ms: u64,
        may_grant: bool,
        now: Instant,
        answer: &mut ReportResponse,
    ) {
        let slowest_lease = self.settings.slowest_lease();
        let worker = &mut self.workers[key];
        if !may_grant || worker_clock_ms == 0 {
            return;
        }
        answer.lease_until_ms = Some(worker_clock_ms + self.settings.lease.as_millis() as u64);
        if worker_clock_ms > worker.clock_ms {
            worker.clock_ms = worker_clock_ms;
            let end = now + slowest_lease;
            worker.lease_end = Some(worker.lease_end.map_or(end, |known| known.max(end)));
        }
    }

    fn take_listing(&mut self, key: WorkerKey, listing: WorkerListing, now: Instant) {
        for end in listing.ended {
            self.take_end(key, &end, now);
        }
        let Some(running) = listing.running else { return };
        for run in &running {
            self.take_run(key, run, now);
        }
        let worker = &mut self.workers[key];
        if worker.is_confirmed {
            return;
        }
        worker.is_confirmed = true;
        worker.refused_until = None;
        let session = worker.session;
        let unlisted: Vec<TaskKey> = worker.tasks.iter().copied().collect();
        for task in unlisted {
            let is_listed = self
                .task(task)
                .and_then(|task| task.run.as_ref())
                .is_some_and(|run| run.is_listed && run.session == session);
            if !is_listed {
                self.take_back(task, "its start was never carried out");
            }
        }
        self.needs_plan = true;
    }

    fn take_run(&mut self, key: WorkerKey, listed: &RunningTask, now: Instant) {
        let session = self.workers[key].session;
        let task_key = self.key_of(&listed.task);
        let wanted = task_key.is_some_and(|task_key| {
            let is_final = self.jobs[task_key.job].state.is_final();
            let Some(task) = self.task_mut(task_key) else { return false };
            let attempt = task.progress.attempt;
            let Some(run) = task.run.as_mut() else { return false };
            if run.worker != key || attempt != listed.attempt {
                return false;
            }
            if !listed.checkpoint.is_empty() {
                task.progress.checkpoint.clone_from(&listed.checkpoint);
            }
            run.note_progress(listed, now);
            run.is_listed = true;
            run.session = session;
            !run.is_stopping && !is_final
        });
        if wanted {
            if !self.workers[key].is_confirmed {
                self.send_traits(key, &listed.task, task_key);
            }
            return;
        }
        let stop = Order::Stop(listed.task.clone(), listed.attempt);
        let worker = &mut self.workers[key];
        if !worker.orders.contains(&stop) {
            worker.order(stop);
        }
        if let Some(run) =
            task_key.and_then(|key| self.task_mut(key)).and_then(|task| task.run.as_mut())
            && run.worker == key
        {
            run.is_stopping = true;
        }
    }

    fn take_end(&mut self, key: WorkerKey, end: &EndedTask, now: Instant) {
        let worker = &mut self.workers[key];
        if end.number <= worker.seen_end {
            return;
        }
        worker.seen_end = end.number;
        let life = worker.life.clone();
        let Some(task_key) = self.key_of(&end.task) else { return };
        self.events.push(CellEvent::Ended {
            task: end.task.clone(),
            attempt: end.attempt,
            worker: life,
            cause: end.cause,
        });
        let is_current = self.task(task_key).is_some_and(|task| {
            task.progress.attempt == end.attempt
                && task.run.as_ref().is_some_and(|run| run.worker == key)
        });
        if is_current {
            self.judge_worker(key, task_key, end.cause, now);
            self.free_run(task_key);
        }
        let Some(task) = self.task_mut(task_key) else { return };
        if end.attempt <= task.progress.ended_attempt && !is_current {
            return;
        }
        if !end.checkpoint.is_empty() {
            task.progress.checkpoint.clone_from(&end.checkpoint);
        }
        let is_new = end.attempt > task.progress.ended_attempt;
        task.progress.ended_attempt = task.progress.ended_attempt.max(end.attempt);
        self.jobs[task_key.job].is_dirty = true;
        self.needs_plan = true;
        match end.cause {
            EndCause::Done => self.task_done(task_key),
            EndCause::Failed if is_new => self.task_failed(task_key),
            EndCause::Failed
            | EndCause::Stopped
            | EndCause::Lapsed
            | EndCause::Broken
            | EndCause::Alone => {}
        }
        self.settle(task_key.job);
    }

    fn task_done(&mut self, key: TaskKey) {
        let stage = &self.jobs[key.job].spec.stages[key.stage as usize];
        if stage.is_long_running {
            return;
        }
        let members = if stage.is_gang { 0..stage.task_count } else { key.index..key.index + 1 };
        for index in members {
            let member = TaskKey { index, ..key };
            self.stop_run(member);
            if let Some(task) = self.task_mut(member) {
                task.progress.phase = TaskPhase::Done;
                task.progress.checkpoint.clear();
            }
        }
    }

    fn task_failed(&mut self, key: TaskKey) {
        let job = &self.jobs[key.job];
        let stage = &job.spec.stages[key.stage as usize];
        if stage.is_long_running {
            return;
        }
        let max_attempts = job.queue.max_attempts.max(1);
        let members = if stage.is_gang { 0..stage.task_count } else { key.index..key.index + 1 };
        let mut failure_count = 0;
        for index in members {
            if let Some(task) = self.task_mut(TaskKey { index, ..key }) {
                task.progress.failure_count += 1;
                failure_count = failure_count.max(task.progress.failure_count);
            }
        }
        if failure_count >= max_attempts {
            self.finish(key.job, JobState::Failed);
        }
    }

    fn take_refusal(&mut self, key: WorkerKey, refused: &RefusedStart, now: Instant) {
        let Some(task_key) = self.key_of(&refused.task) else { return };
        let is_current = self.task(task_key).is_some_and(|task| {
            task.progress.attempt == refused.attempt
                && task.run.as_ref().is_some_and(|run| run.worker == key && !run.is_listed)
        });
        if !is_current {
            return;
        }
        self.workers[key].refused_until = Some(now + self.settings.refusal_pause);
        self.take_back(task_key, &refused.reason);
        self.settle(task_key.job);
    }

    /// Ends a worker's life: its tasks run nowhere any more.
    fn end_life(&mut self, key: WorkerKey, reason: &str) {
        let tasks: Vec<TaskKey> = self.workers[key].tasks.iter().copied().collect();
        for task in tasks {
            self.take_back(task, reason);
            self.settle(task.job);
        }
        let worker = &mut self.workers[key];
        worker.lease_end = None;
        worker.is_confirmed = false;
        worker.session = 0;
        worker.orders.clear();
        self.needs_plan = true;
    }

    fn forget_worker(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.remove(key) {
            self.by_life.remove(&worker.life);
        }
    }

    fn take_back(&mut self, key: TaskKey, reason: &str) {
        let Some(name) = self.name_of(key) else { return };
        let Some(task) = self.task(key) else { return };
        let attempt = task.progress.attempt;
        let Some(run) = task.run.as_ref() else { return };
        let worker = self.workers.get(run.worker).map(|worker| worker.life.clone());
        self.events.push(CellEvent::TakenBack {
            task: name,
            attempt,
            worker: worker.unwrap_or_default(),
            reason: reason.to_owned(),
        });
        self.free_run(key);
        self.jobs[key.job].is_dirty = true;
        self.needs_plan = true;
    }

    fn free_run(&mut self, key: TaskKey) {
        let job = &mut self.jobs[key.job];
        let stage = &job.spec.stages[key.stage as usize];
        let task = &mut job.occurrences[key.occurrence as usize].stages[key.stage as usize]
            [key.index as usize];
        task.waiting_since = None;
        if let Some(run) = task.run.take()
            && let Some(worker) = self.workers.get_mut(run.worker)
        {
            worker.free(key, stage);
        }
        if task.progress.phase != TaskPhase::Done {
            task.progress.phase = TaskPhase::Waiting;
        }
    }

    /// Asks for the stop of a run; its end frees the room.
    fn stop_run(&mut self, key: TaskKey) {
        let Some(name) = self.name_of(key) else { return };
        let Some(task) = self.task_mut(key) else { return };
        let attempt = task.progress.attempt;
        let Some(run) = task.run.as_mut() else { return };
        if run.is_stopping {
            return;
        }
        run.is_stopping = true;
        let worker = run.worker;
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.order(Order::Stop(name, attempt));
        }
    }

    fn cancel_job(&mut self, key: JobKey) {
        if !self.jobs[key].state.is_final() {
            self.finish(key, JobState::Cancelled);
            self.settle(key);
        }
    }

    fn finish(&mut self, key: JobKey, state: JobState) {
        let job = &mut self.jobs[key];
        if job.state.is_final() {
            return;
        }
        job.state = state;
        job.is_dirty = true;
        let id = job.id.clone();
        self.events.push(CellEvent::State { job: id, state });
        for task in self.task_keys(key) {
            self.stop_run(task);
        }
        self.needs_plan = true;
    }

    /// Completes a job whose tasks are all done, and drops the tasks of one that has ended.
    fn settle(&mut self, key: JobKey) {
        let job = &self.jobs[key];
        let occurrence_count = job.spec.schedule.map_or(1, |schedule| schedule.occurrence_count);
        let all_begun = job.occurrences.len() as u32 >= occurrence_count;
        let mut tasks = job.occurrences.iter().flat_map(|o| o.stages.iter().flatten());
        let all_done = all_begun && tasks.all(|task| task.progress.phase == TaskPhase::Done);
        if all_done && !job.state.is_final() {
            self.finish(key, JobState::Completed);
        }
        if self.jobs[key].state.is_final() && !self.has_runs(key) {
            let job = &mut self.jobs[key];
            job.is_dirty |= !job.occurrences.is_empty();
            job.occurrences.clear();
            job.held_starts.clear();
        }
    }

    fn has_runs(&self, key: JobKey) -> bool {
        let occurrences = &self.jobs[key].occurrences;
        occurrences.iter().flat_map(|o| o.stages.iter().flatten()).any(|task| task.run.is_some())
    }

    fn progress_of(&self, key: JobKey) -> JobProgress {
        let job = &self.jobs[key];
        let occurrences = job
            .occurrences
            .iter()
            .map(|occurrence| {
                let stages = occurrence.stages.iter();
                stages
                    .map(|tasks| tasks.iter().map(|task| self.committed_form(task)).collect())
                    .collect()
            })
            .collect();
        JobProgress { state: job.state, occurrences }
    }

    fn committed_form(&self, task: &Task) -> TaskProgress {
        let mut progress = task.progress.clone();
        if let Some(worker) = task.run.as_ref().and_then(|run| self.workers.get(run.worker))
            && progress.phase != TaskPhase::Done
        {
            progress.phase = TaskPhase::Assigned(worker.life.clone());
        }
        progress
    }

    fn send_start(&mut self, worker_key: WorkerKey, key: TaskKey) {
        let Some(name) = self.name_of(key) else { return };
        let Some(worker) = self.workers.get(worker_key) else { return };
        let session = worker.session;
        let job = &self.jobs[key.job];
        let Some(task) = self.task(key) else { return };
        let is_current =
            task.run.as_ref().is_some_and(|run| run.worker == worker_key && run.session == session);
        if !is_current {
            return;
        }
        if task.run.as_ref().is_some_and(|run| run.is_stopping) {
            return self.take_back(key, "no longer wanted before its start was sent");
        }
        let start = StartOrder {
            task: name.clone(),
            attempt: task.progress.attempt,
            payload: job.spec.payload.clone(),
            checkpoint: task.progress.checkpoint.clone(),
        };
        self.send_traits(worker_key, &name, Some(key));
        if let Some(worker) = self.workers.get_mut(worker_key) {
            worker.order(Order::Start(start));
        }
    }

    fn send_traits(&mut self, worker: WorkerKey, name: &TaskName, key: Option<TaskKey>) {
        let Some(key) = key else { return };
        let stage = self.stage(key);
        if !stage.is_best_effort && stage.target_tail_ms.is_none() {
            return;
        }
        let traits = SharingTraits {
            task: name.clone(),
            image: stage.image.clone(),
            is_best_effort: stage.is_best_effort,
            target_tail_ms: stage.target_tail_ms,
        };
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.order(Order::Traits(traits));
        }
    }

    fn stage(&self, key: TaskKey) -> &Stage {
        &self.jobs[key.job].spec.stages[key.stage as usize]
    }

    fn task(&self, key: TaskKey) -> Option<&Task> {
        let occurrence = self.jobs.get(key.job)?.occurrences.get(key.occurrence as usize)?;
        occurrence.stages.get(key.stage as usize)?.get(key.index as usize)
    }

    fn task_mut(&mut self, key: TaskKey) -> Option<&mut Task> {
        let job = self.jobs.get_mut(key.job)?;
        let occurrence = job.occurrences.get_mut(key.occurrence as usize)?;
        occurrence.stages.get_mut(key.stage as usize)?.get_mut(key.index as usize)
    }

    fn task_keys(&self, job: JobKey) -> Vec<TaskKey> {
        let mut keys = Vec::new();
        for (occurrence, stages) in self.jobs[job].occurrences.iter().enumerate() {
            for (stage, tasks) in stages.stages.iter().enumerate() {
                keys.extend((0..tasks.len()).map(|index| TaskKey {
                    job,
                    occurrence: occurrence as u32,
                    stage: stage as u32,
                    index: index as u32,
                }));
            }
        }
        keys
    }

    fn key_of(&self, name: &TaskName) -> Option<TaskKey> {
        let job = *self.by_id.get(&name.job)?;
        let key =
            TaskKey { job, occurrence: name.occurrence, stage: name.stage, index: name.index };
        self.task(key).map(|_| key)
    }

    fn name_of(&self, key: TaskKey) -> Option<TaskName> {
        Some(TaskName {
            job: self.jobs.get(key.job)?.id.clone(),
            occurrence: key.occurrence,
            stage: key.stage,
            index: key.index,
        })
    }
}

impl Run {
    fn new(worker: WorkerKey, session: SessionToken) -> Self {
        Self {
            worker,
            session,
            is_listed: false,
            is_stopping: false,
            percent: 0,
            gauge: 0,
            listed_at: None,
            moved_at: None,
        }
    }
}
