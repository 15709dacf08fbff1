//! Simulated workers and agents of a cell's owner.
//!
//! [`Fleet`] executes orders and lists running and ended tasks. At each start it asserts that the
//! attempt is committed, that the task runs nowhere else, that the stages
//! it depends on are done, that the worker has enough free capacity, that the task hasn't failed too
//! often, and that it isn't done. A task of a speculative stage may run on one other worker, and may
//! start within a second after it is done. Workers' capacities may change; their agents learn of a
//! change with the next heartbeat.

use std::{
    collections::{BTreeMap, BTreeSet},
    mem::{replace, take},
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use teaseltrack::{
    cell::{
        Cell, CellSettings, CommitBatch, StoredJob,
        evacuation::{EvacuationNotice, EvacuationSettings, Evacuations},
        job::{JobSpec, Queue, QueueConfiguration, Stage},
        ownership::SilentWorkerRecord,
        partition::CellId,
        progress::{JobProgress, WorkerRecord},
        protocol::{
            EndCause, EndedTask, KnownLeases, Order, RefusedStart, Report, ReportResponse,
            RunningTask, StartOrder, TaskName, WorkerListing, WorkerStatus,
        },
        silence::SilentWorker,
        succession::{Predecessor, Superseded},
        worker::reserved_resources,
    },
    placement::Resources,
};

use crate::util::CELL_SETTINGS;

pub const STEP: Duration = Duration::from_millis(50);

pub const SESSIONS_PER_EPOCH: u64 = 1 << 20;

pub const GRANT_PERIOD: Duration = Duration::from_millis(2_500);

pub const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(1_500);

pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(400);

pub const CAPACITY: Resources = Resources { cpu_milli: 8_000, memory_mib: 16_000, accelerators: 0 };

pub const SMALL_CAPACITY: Resources =
    Resources { cpu_milli: 5_000, memory_mib: 16_000, accelerators: 0 };

/// Maximum number of ends that a worker lists at once.
pub const MAX_LISTED_ENDS: usize = 500;

pub const HEARTBEAT_INTERVAL_MS: u64 = 1_100;

/// Time after the end of a speculative task within which an order may still start another run.
pub const SPECULATIVE_GRACE: Duration = Duration::from_secs(1);

/// Time after which a smaller capacity must not be exceeded by a start.
pub const SHRINK_GRACE_MS: u64 = 3_000 + HEARTBEAT_INTERVAL_MS;

pub fn queue() -> Queue {
    Queue {
        name: "queue".to_owned(),
        service: "service".to_owned(),
        priority: 0,
        max_attempts: 3,
        stretch: 1.5,
        objective_ms: 250,
    }
}

pub fn configuration() -> QueueConfiguration {
    QueueConfiguration { version: 1, queues: vec![queue()], guarded_services: Vec::new() }
}

pub fn stage(task_count: u32) -> Stage {
    Stage {
        task_count,
        resources: Resources { cpu_milli: 2_000, memory_mib: 1_000, accelerators: 0 },
        estimate_ms: 500,
        ..Stage::default()
    }
}

/// Stage of which several runs of a task may exist at the same time.
pub fn speculative(task_count: u32) -> Stage {
    Stage { is_speculative: true, ..stage(task_count) }
}

/// Stage of tasks that run until their job is cancelled.
pub fn long_running(task_count: u32) -> Stage {
    Stage { is_long_running: true, ..stage(task_count) }
}

pub fn stored_job(id: &str, stages: Vec<Stage>) -> StoredJob {
    StoredJob {
        id: id.to_owned(),
        spec: JobSpec { queue: "queue".to_owned(), stages, ..JobSpec::default() },
        queue: queue(),
        progress: None,
        is_cancelled: false,
        is_partial: false,
        age: Duration::ZERO,
    }
}

/// Simulated worker with its agent.
#[derive(Debug, Default)]
pub struct Instance {
    pub name: String,
    pub cell: CellId,
    /// Identifier of the worker.
    pub worker: String,
    pub incarnation: u64,
    pub agent_incarnation: u64,
    pub session: u64,
    pub fence: u64,
    pub clock_ms: u64,
    pub lease_until_ms: u64,
    pub running: BTreeMap<TaskName, (u32, u64)>,
    /// Starts of the last runs of speculative tasks; the progress of others isn't simulated.
    pub started_ms: BTreeMap<TaskName, u64>,
    /// Factor on the run times of speculative tasks, if not 0.
    pub slowdown: u64,
    pub ended: Vec<EndedTask>,
    pub end_count: u64,
    pub accepted_order: u64,
    pub has_listing: bool,
    pub refused: Vec<RefusedStart>,
    /// Number of the next start calls that are not answered.
    pub unanswered_starts: u32,
    pub stopped: BTreeSet<(TaskName, u32)>,
    pub delayed_starts: Vec<(u64, u64, StartOrder)>,
    /// Stops in progress, with the time at which each is complete.
    pub stopping: Vec<(u64, TaskName, u32)>,
    /// Number of the last end that was listed when the lease lapsed.
    pub lapsed_end: u64,
    /// Whether the agent doesn't know yet that the owner was replaced.
    pub follows_previous: bool,
    /// Last reading of the clock of a worker that doesn't respond to its agent any more.
    pub last_clock_ms: Option<u64>,
    /// Time on the agent's clock.
    pub agent_clock_ms: u64,
    /// Highest reading of the worker's clock that the agent has, and when it received it.
    pub reading: (u64, u64),
    /// Latest end of a lease that the agent knows of; `None` until the worker has responded to it.
    pub known_until_ms: Option<u64>,
    pub is_disconnected: bool,
    /// Time at which the worker crashes.
    pub crash_at_ms: Option<u64>,
    /// Number of steps until the crashed worker restarts; 0 if it is up.
    pub down_steps: u32,
    /// Runs that the agent listed last; it repeats them while its worker is down.
    pub listed: BTreeMap<TaskName, (u32, u64)>,
    /// Capacity in the last heartbeat.
    pub announced_capacity: Resources,
    /// Present capacity.
    pub capacity: Resources,
    /// Earlier capacities, with the time at which each was replaced.
    pub earlier_capacities: Vec<(u64, Resources)>,
    pub next_heartbeat_ms: u64,
    pub zone: String,
    pub labels: Vec<String>,
    pub is_draining: bool,
    pub is_cold: bool,
    /// Completed share of all runs as listed, if it doesn't follow from the time that they have run.
    pub percent: Option<u32>,
    pub evacuation: EvacuationNotice,
    /// Whether the worker refuses all starts.
    pub refuses_starts: bool,
    /// Whether calls get no response and are carried out late or never.
    pub is_unanswering: bool,
    /// Stops that the agent sends because a start got no response, with the time at which the worker
    /// accepts each.
    pub invalidations: Vec<(u64, TaskName, u32)>,
}

impl Instance {
    pub fn new(index: usize) -> Self {
        Self {
            name: format!("instance-{index}"),
            worker: format!("instance-{index}"),
            incarnation: 1,
            agent_incarnation: 1,
            clock_ms: 1_000,
            announced_capacity: CAPACITY,
            capacity: CAPACITY,
            ..Self::default()
        }
    }

    pub fn end(&mut self, task: &TaskName, cause: EndCause) {
        let Some((attempt, _)) = self.running.remove(task) else { return };
        self.stopped.insert((task.clone(), attempt));
        self.end_count += 1;
        self.ended.push(EndedTask {
            number: self.end_count,
            task: task.clone(),
            attempt,
            cause,
            checkpoint: String::new(),
        });
    }

    /// Completed share of the work of a running task.
    pub fn percent_of(&self, task: &TaskName) -> u32 {
        let (Some((_, end_ms)), Some(started_ms)) =
            (self.running.get(task), self.started_ms.get(task))
        else {
            return 10;
        };
        let elapsed_ms = self.clock_ms.saturating_sub(*started_ms);
        (elapsed_ms * 100 / end_ms.saturating_sub(*started_ms).max(1)).min(100) as u32
    }

    /// Changes the capacity; the agent learns of it with the next heartbeat.
    pub fn change_capacity(&mut self, capacity: Resources) {
        let earlier = replace(&mut self.capacity, capacity);
        self.earlier_capacities.push((self.clock_ms, earlier));
    }

    /// Changes the capacity as if all heartbeats since then had been sent and all grace was over.
    pub fn settle_capacity(&mut self, capacity: Resources) {
        (self.capacity, self.announced_capacity) = (capacity, capacity);
        self.earlier_capacities.clear();
    }

    pub fn report(&self) -> Report {
        let is_up = self.down_steps == 0;
        let listed = if is_up { &self.running } else { &self.listed };
        let running = listed.iter().map(|(task, (attempt, _))| RunningTask {
            task: task.clone(),
            attempt: *attempt,
            checkpoint: String::new(),
            percent: self.percent.unwrap_or_else(|| self.percent_of(task)),
            gauge: 0,
        });
        Report {
            cell: self.cell,
            agent: self.name.clone(),
            started_unix_ms: self.agent_incarnation,
            session: self.session,
            status: Some(WorkerStatus {
                worker: self.worker.clone(),
                started_unix_ms: self.incarnation,
                service: "service".to_owned(),
                capacity: self.announced_capacity,
                zone: self.zone.clone(),
                labels: self.labels.clone(),
                is_draining: self.is_draining,
                is_cold: self.is_cold,
                ..WorkerStatus::default()
            }),
            worker_clock_ms: self.last_clock_ms.unwrap_or(self.clock_ms),
            is_worker_reachable: is_up && self.last_clock_ms.is_none(),
            listing: (self.has_listing && self.last_clock_ms.is_none()).then(|| WorkerListing {
                running: Some(running.collect()),
                ended: self.ended.iter().take(MAX_LISTED_ENDS).cloned().collect(),
            }),
            refused: self.refused.clone(),
            accepted_order: self.accepted_order,
            known_leases: self.known_until_ms.map(|lease_until_ms| KnownLeases {
                lease_until_ms,
                reading_age_ms: self.agent_clock_ms - self.reading.1,
            }),
            ..Report::default()
        }
    }

    /// Lets the agent receive a reading of the clock: that of a response or a heartbeat, or the last
    /// one again.
    fn read_clock(&mut self) {
        let clock_ms = self.last_clock_ms.unwrap_or(self.clock_ms);
        if clock_ms > self.reading.0 {
            self.reading = (clock_ms, self.agent_clock_ms);
        }
    }

    /// Lets the worker accept the stops of starts without a response; a start that hasn't arrived by then
    /// never runs.
    fn accept_invalidations(&mut self) {
        let clock_ms = self.clock_ms;
        let due = self.invalidations.extract_if(.., |(due_ms, ..)| *due_ms <= clock_ms);
        for (_, task, attempt) in due.collect::<Vec<_>>() {
            self.stopped.insert((task.clone(), attempt));
            if self.running.get(&task).is_some_and(|(running, _)| *running == attempt) {
                self.end(&task, EndCause::Stopped);
            } else {
                let reason = "no answer, then stopped".to_owned();
                self.refused.push(RefusedStart { task, attempt, reason });
            }
        }
    }

    /// Ends a hang; the agent gets a listing with its next call.
    pub fn answer_again(&mut self) {
        if self.last_clock_ms.take().is_some() {
            self.has_listing = self.session != 0;
        }
    }

    /// Lets the agent know of a lease.
    fn know_lease(&mut self, until_ms: u64) {
        self.known_until_ms = self.known_until_ms.map(|known_ms| known_ms.max(until_ms));
    }
}

/// Commit of a slow store.
pub struct InFlight {
    pub batch: CommitBatch,
    pub sent_at: Instant,
    pub applies_at: Instant,
    pub responds_at: Instant,
    pub is_applied: bool,
}

/// State of a slow store, and of an owner that doesn't know yet that it was replaced.
pub struct SlowStore {
    pub max_delay_ms: u64,
    pub in_flight: Option<InFlight>,
    pub renewed_at: Instant,
    /// Time of the last change of the owner's row.
    pub changed_at: Instant,
    pub recorded: Vec<SilentWorkerRecord>,
    pub is_cut: bool,
    /// Latest time at which a predecessor of the owner grants a lease.
    pub previous_grants_end: Instant,
    /// Whether the owner has granted no lease, as its row has it and as far as it knows.
    pub has_no_grants: bool,
    pub has_committed: bool,
    pub previous: Option<(Cell, Instant)>,
    /// Call to that owner's process.
    pub call: Option<PredecessorCall>,
}

/// Call of a new owner to its predecessor's process.
pub struct PredecessorCall {
    pub predecessor: Predecessor,
    pub successor_epoch: u64,
    /// Whether the process has restarted, so that it knows no leases.
    pub has_restarted: bool,
    /// Time at which the predecessor ends, and at which its answer is received.
    pub answers_at: Instant,
    pub received_at: Instant,
    pub answer: Option<Superseded>,
}

/// Response in transit to an agent.
pub struct LateResponse {
    pub arrives_at: Instant,
    pub index: usize,
    /// Incarnations of the worker and of the agent's process that have reported.
    pub reporter: (u64, u64),
    pub response: ReportResponse,
}

/// Network on which responses may be lost, or late and then overtaken by others. A worker that doesn't
/// respond may still execute calls.
pub struct SlowNetwork {
    pub rng: ChaCha8Rng,
    pub in_transit: Vec<LateResponse>,
    /// Whether all responses arrive at once.
    pub is_calm: bool,
}

/// Time from the acknowledgement of an evacuation until nothing starts any more.
pub const EVACUATION_BOUND: Duration = Duration::from_secs(5);

pub const EVACUATION_SETTINGS: EvacuationSettings = EvacuationSettings {
    max_age: Some(Duration::from_secs(4)),
    move_interval: Duration::from_millis(300),
    unknown_zone_wait: Duration::from_secs(2),
    max_cold_starts: 2,
};

/// Stored evacuation requests, with the time at which each was acknowledged.
#[derive(Default)]
pub struct Requests {
    pub version: u64,
    pub zones: BTreeMap<String, Instant>,
    /// Whether the owner can't read the requests.
    pub is_cut: bool,
}

/// Simulated workers and agents, the owner and its committed progress.
pub struct Fleet {
    pub cell_id: CellId,
    pub settings: CellSettings,
    pub requests: Option<Requests>,
    pub rng: ChaCha8Rng,
    pub now: Instant,
    pub unix_now_ms: u64,
    pub instances: Vec<Instance>,
    pub cell: Cell,
    pub epoch: u64,
    pub jobs: BTreeMap<String, StoredJob>,
    pub progress: BTreeMap<String, JobProgress>,
    pub workers: BTreeMap<String, WorkerRecord>,
    pub silent_workers: Vec<SilentWorker>,
    pub may_grant: bool,
    /// Tasks that are done and whose end was confirmed, with the time of the confirmation.
    pub committed_done: BTreeMap<TaskName, Instant>,
    pub done: BTreeSet<TaskName>,
    pub start_count: usize,
    /// Confirmed failures of each task.
    pub failures: BTreeMap<TaskName, Vec<Instant>>,
    /// Started attempts of speculative tasks.
    pub started_attempts: BTreeSet<(TaskName, u32)>,
    /// Maximum time that a worker takes to stop a run.
    pub max_stop_ms: u64,
    /// Share of the steps in which an agent reports, with a slow store.
    pub report_share: f64,
    /// Maximum number of rows in a commit to the slow store.
    pub max_commit_rows: usize,
    /// Time that a commit takes.
    pub commit_time: Duration,
    /// Commit in flight, with the time at which it succeeds.
    pub in_flight: Option<(Instant, CommitBatch)>,
    /// Number of starts of the tasks that crash their workers.
    pub crashing: BTreeMap<TaskName, u32>,
    /// Number of steps until a crashed worker restarts.
    pub down_step_count: u32,
    pub max_run_ms: u64,
    pub slow_store: Option<SlowStore>,
    pub slow_network: Option<SlowNetwork>,
    /// Source of how replaced owners are called: early, late or never, and some after a restart of
    /// their process. Without it, all answer early.
    pub call_rng: Option<ChaCha8Rng>,
    /// Whether start calls are answered in time, but for those that a test names.
    pub is_every_start_answered: bool,
}

impl Fleet {
    pub fn new(instance_count: usize, seed: u64) -> Self {
        let now = Instant::now();
        let instances = (0..instance_count).map(Instance::new).collect();
        Self {
            cell_id: 0,
            settings: CELL_SETTINGS,
            requests: None,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now,
            unix_now_ms: 0,
            instances,
            cell: Cell::new(0, CELL_SETTINGS, 1, configuration(), now),
            epoch: 1,
            jobs: BTreeMap::new(),
            progress: BTreeMap::new(),
            workers: BTreeMap::new(),
            silent_workers: Vec::new(),
            may_grant: true,
            committed_done: BTreeMap::new(),
            done: BTreeSet::new(),
            start_count: 0,
            failures: BTreeMap::new(),
            started_attempts: BTreeSet::new(),
            crashing: BTreeMap::new(),
            down_step_count: 65,
            max_stop_ms: 0,
            report_share: 0.25,
            max_commit_rows: 6,
            commit_time: Duration::ZERO,
            in_flight: None,
            max_run_ms: 1_500,
            slow_store: None,
            slow_network: None,
            call_rng: Some(ChaCha8Rng::seed_from_u64(seed + 4_000)),
            is_every_start_answered: false,
        }
    }

    /// Responses to agents may be lost, or late by up to 3 s.
    pub fn with_slow_network(self, seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed + 2_000);
        Self {
            slow_network: Some(SlowNetwork { rng, in_transit: Vec::new(), is_calm: false }),
            ..self
        }
    }

    /// Commits take up to `max_delay_ms` until they are applied, and as long until the response.
    pub fn with_slow_store(self, max_delay_ms: u64) -> Self {
        let slow_store = SlowStore {
            max_delay_ms,
            in_flight: None,
            renewed_at: self.now,
            changed_at: self.now,
            recorded: Vec::new(),
            is_cut: false,
            previous_grants_end: self.now,
            has_no_grants: true,
            has_committed: false,
            previous: None,
            call: None,
        };
        Self { slow_store: Some(slow_store), max_run_ms: 8_000, ..self }
    }

    /// Divides the workers among zones, whose evacuations the owner follows.
    pub fn with_zones(mut self, zones: &[&str]) -> Self {
        for (index, instance) in self.instances.iter_mut().enumerate() {
            instance.zone = zones[index % zones.len()].to_owned();
        }
        self.settings.evacuation = Some(EVACUATION_SETTINGS);
        self.cell = Cell::new(0, self.settings, 1, configuration(), self.now);
        self.requests = Some(Requests::default());
        self
    }

    /// Stores a request to evacuate a zone.
    pub fn evacuate(&mut self, zone: &str) {
        if let Some(requests) = &mut self.requests {
            requests.version += 1;
            requests.zones.entry(zone.to_owned()).or_insert(self.now);
        }
    }

    /// Takes the evacuation of a zone back.
    pub fn reopen(&mut self, zone: &str) {
        if let Some(requests) = &mut self.requests {
            requests.version += 1;
            requests.zones.remove(zone);
        }
    }

    pub fn set_requests_cut(&mut self, is_cut: bool) {
        if let Some(requests) = &mut self.requests {
            requests.is_cut = is_cut;
        }
    }

    /// Lets the owner read the evacuation requests, if it can.
    pub fn read_requests(&mut self) {
        let Some(requests) = self.requests.as_ref().filter(|requests| !requests.is_cut) else {
            return;
        };
        let zones = requests.zones.keys().cloned().collect();
        let evacuations = Evacuations { version: requests.version, zones, current_at: self.now };
        self.cell.apply_evacuations(evacuations, self.now);
    }

    /// Names of the tasks that run in a zone.
    pub fn running_in(&self, zone: &str) -> BTreeSet<TaskName> {
        let instances = self.instances.iter().filter(|instance| instance.zone == zone);
        instances.flat_map(|instance| instance.running.keys().cloned()).collect()
    }

    fn check_evacuation(&self, index: usize, start: &StartOrder) {
        let zone = &self.instances[index].zone;
        let acknowledged_at = self.requests.as_ref().and_then(|requests| requests.zones.get(zone));
        let is_late = acknowledged_at.is_some_and(|at| self.now > *at + EVACUATION_BOUND);
        assert!(!is_late, "{} started in an evacuated zone", start.task);
    }

    pub fn submit(&mut self, job: StoredJob) {
        self.jobs.insert(job.id.clone(), job.clone());
        self.cell.admit(job, self.now);
    }

    pub fn cancel(&mut self, id: &str) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.is_cancelled = true;
        }
        self.cell.cancel(id);
    }

    /// Replaces the owner by one that has only what is stored.
    pub fn replace_owner(&mut self) {
        self.start_owner(self.now + GRANT_PERIOD);
    }

    pub fn start_owner(&mut self, grants_end: Instant) {
        self.epoch += 1;
        self.in_flight = None;
        self.cell = Cell::new(self.cell_id, self.settings, self.epoch, configuration(), grants_end);
        self.cell.adopt_silent_workers(self.silent_workers.clone());
        self.cell.adopt_workers(self.workers.clone().into_iter().collect());
        for job in self.jobs.values() {
            let progress = self.progress.get(&job.id).cloned();
            self.cell.admit(StoredJob { progress, ..job.clone() }, self.now);
        }
    }

    /// Commits all pending progress of the owner, as far as `commit_time` allows.
    pub fn commit(&mut self) {
        loop {
            if let Some((due, _)) = &self.in_flight
                && *due > self.now
            {
                return;
            }
            if let Some((_, batch)) = self.in_flight.take() {
                self.progress.extend(batch.rows);
                self.workers.extend(batch.workers);
                self.silent_workers = batch.silent_workers;
                self.cell.commit_succeeded();
            }
            let Some(batch) = self.cell.next_commit(50) else { return };
            self.in_flight = Some((self.now + self.commit_time, batch));
        }
    }

    /// Continues the commit in flight, or sends the next one.
    pub fn commit_slowly(&mut self) {
        let Some(mut store) = self.slow_store.take() else { return self.commit() };
        if let Some(mut commit) = store.in_flight.take() {
            if !commit.is_applied && !store.is_cut && commit.applies_at <= self.now {
                self.apply(&mut store, &mut commit);
            }
            if commit.is_applied && !store.is_cut && commit.responds_at <= self.now {
                store.renewed_at = commit.sent_at;
                store.has_committed = true;
                self.cell.commit_succeeded();
            } else {
                store.in_flight = Some(commit);
            }
        }
        if store.in_flight.is_none() {
            let max_rows = self.max_commit_rows;
            let is_renewal_due =
                !store.has_committed || self.now - store.renewed_at >= RENEWAL_INTERVAL;
            let batch = if is_renewal_due {
                self.cell.renewal(max_rows)
            } else {
                self.cell.next_commit(max_rows)
            };
            store.in_flight = batch.map(|batch| {
                let applies_at = self.now + self.random_delay(store.max_delay_ms);
                let responds_at = applies_at + self.random_delay(store.max_delay_ms);
                let sent_at = self.now;
                InFlight { batch, sent_at, applies_at, responds_at, is_applied: false }
            });
        }
        self.slow_store = Some(store);
    }

    pub fn random_delay(&mut self, max_ms: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(0..=max_ms))
    }

    pub fn apply(&mut self, store: &mut SlowStore, commit: &mut InFlight) {
        commit.is_applied = true;
        store.changed_at = self.now;
        store.has_no_grants = false;
        let batch = &commit.batch;
        let silent = batch.silent_workers.iter();
        store.recorded =
            silent.map(|silent| SilentWorkerRecord::new(silent, commit.sent_at)).collect();
        self.progress.extend(batch.rows.iter().cloned());
        self.workers.extend(batch.workers.iter().cloned());
    }

    /// Starts an owner process in place of one that has just ended.
    pub fn restart_owner(&mut self) {
        let now = self.now;
        self.take_over(now, now);
    }

    /// Lets a candidate take over from an owner whose commits have failed for the timeout, and that
    /// may still serve some agents.
    pub fn replace_cut_owner(&mut self) {
        let Some(store) = self.slow_store.as_ref().filter(|store| store.is_cut) else { return };
        let since = store.changed_at;
        let grants_end =
            if store.has_committed { store.renewed_at + GRANT_PERIOD } else { self.now };
        let earlier_grants_end = store.previous_grants_end;
        if self.now < since + TAKEOVER_TIMEOUT {
            return;
        }
        let placeholder = Cell::new(0, CELL_SETTINGS, 0, configuration(), self.now);
        let previous = replace(&mut self.cell, placeholder);
        self.take_over(since, since + GRANT_PERIOD);
        let call = self.call_predecessor(earlier_grants_end);
        if let Some(store) = &mut self.slow_store {
            store.previous = Some((previous, grants_end));
            store.call = call;
        }
        for instance in &mut self.instances {
            instance.follows_previous = self.rng.random_bool(0.5);
        }
    }

    fn call_predecessor(&mut self, earlier_grants_end: Instant) -> Option<PredecessorCall> {
        let (answer_ms, transit_ms, has_restarted) = match &mut self.call_rng {
            None => (150, 50, false),
            Some(rng) => {
                if rng.random_bool(0.3) {
                    return None;
                }
                let max_transit_ms = if rng.random_bool(0.2) { 3_000 } else { 200 };
                (
                    rng.random_range(0..4_000),
                    rng.random_range(0..=max_transit_ms),
                    rng.random_bool(0.2),
                )
            }
        };
        let answers_at = self.now + Duration::from_millis(answer_ms);
        Some(PredecessorCall {
            predecessor: Predecessor {
                instance: format!("owner-{}", self.epoch - 1),
                address: String::new(),
                epoch: self.epoch - 1,
                earlier_grants_end,
            },
            successor_epoch: self.epoch,
            has_restarted,
            answers_at,
            received_at: answers_at + Duration::from_millis(transit_ms),
            answer: None,
        })
    }

    /// Ends the previous owner once it is called, and lets the present one receive the answer.
    fn receive_predecessor(&mut self) {
        let Some(store) = &mut self.slow_store else { return };
        let Some(call) = &mut store.call else { return };
        if call.answer.is_none() && self.now >= call.answers_at {
            let previous = store.previous.take().filter(|_| !call.has_restarted);
            let leases = previous.map(|(previous, _)| previous.into_leases());
            let instance = call.predecessor.instance.clone();
            let epoch = call.successor_epoch;
            call.answer = Some(Superseded::new(instance, epoch, leases.as_ref(), self.now));
        }
        if self.now < call.received_at {
            return;
        }
        if let Some(PredecessorCall { predecessor, answer: Some(answer), .. }) = store.call.take() {
            self.cell.shorten_inherited_leases(&predecessor, &answer, self.now);
        }
    }

    pub fn take_over(&mut self, committed_by: Instant, grants_end: Instant) {
        let Some(mut store) = self.slow_store.take() else { return };
        // A commit in flight may take effect before the takeover, but not after it.
        if let Some(mut commit) = store.in_flight.take()
            && committed_by == self.now
            && !commit.is_applied
            && self.rng.random_bool(0.5)
        {
            self.apply(&mut store, &mut commit);
        }
        let restore = |silent: SilentWorkerRecord| silent.restore(committed_by);
        self.silent_workers = store.recorded.iter().cloned().map(restore).collect();
        let silent = self.silent_workers.iter();
        store.recorded = silent.map(|silent| SilentWorkerRecord::new(silent, self.now)).collect();
        store.changed_at = self.now;
        store.is_cut = false;
        // With a lost response of the takeover, no lease is granted before the next commit.
        let is_response_lost = self.rng.random_bool(0.3);
        store.renewed_at = if is_response_lost { self.now - GRANT_PERIOD } else { self.now };
        if !store.has_no_grants {
            store.previous_grants_end = store.previous_grants_end.max(grants_end);
        }
        (store.has_no_grants, store.has_committed) = (true, false);
        let grants_end = store.previous_grants_end;
        self.slow_store = Some(store);
        self.start_owner(grants_end);
    }

    /// Reports to the previous owner, as far as it still serves. Returns whether it was reached.
    pub fn report_to_previous_owner(&mut self, index: usize) -> bool {
        let now = self.now;
        let Some(store) = &mut self.slow_store else { return false };
        let Some((previous, granted_until)) = &mut store.previous else { return false };
        if self.instances[index].session > self.epoch * SESSIONS_PER_EPOCH {
            return false;
        }
        let instance = &mut self.instances[index];
        instance.follows_previous &= !self.rng.random_bool(0.05);
        if !instance.follows_previous {
            return false;
        }
        let report = self.instances[index].report();
        let response = previous.handle_report(report, now < *granted_until, now);
        self.send_response(index, response);
        true
    }

    pub fn step(&mut self) {
        self.now += STEP;
        self.unix_now_ms += STEP.as_millis() as u64;
        self.read_requests();
        self.receive_late_responses();
        self.receive_predecessor();
        for index in 0..self.instances.len() {
            self.run_worker(index);
            let is_due = self.slow_store.is_none() || self.rng.random_bool(self.report_share);
            if is_due
                && !self.instances[index].is_disconnected
                && !self.report_to_previous_owner(index)
            {
                self.exchange_report(index);
            }
        }
        if let Some(store) = &self.slow_store {
            self.may_grant = store.has_committed && self.now < store.renewed_at + GRANT_PERIOD;
        }
        self.cell.tick(self.now);
        if self.cell.needs_plan() {
            self.cell.plan(self.unix_now_ms, self.now);
        }
        self.commit_slowly();
    }

    pub fn run_worker(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        instance.agent_clock_ms += STEP.as_millis() as u64;
        if instance.down_steps > 0 {
            instance.down_steps -= 1;
            if instance.down_steps == 0 {
                self.restart_worker(index);
            }
            return;
        }
        let clock_ms = instance.clock_ms;
        if instance.crash_at_ms.take_if(|at_ms| *at_ms <= clock_ms).is_some() {
            return self.crash_worker(index);
        }
        // With a slow store, clocks are slow by the maximum drift.
        let drift_ms = if self.slow_store.is_some() { 1 } else { 0 };
        instance.clock_ms += STEP.as_millis() as u64 - drift_ms;
        instance.read_clock();
        let clock_ms = instance.clock_ms;
        if clock_ms >= instance.next_heartbeat_ms {
            instance.announced_capacity = instance.capacity;
            instance.next_heartbeat_ms = clock_ms + HEARTBEAT_INTERVAL_MS;
        }
        let (stopped, stopping) =
            instance.stopping.drain(..).partition(|(due_ms, ..)| *due_ms <= clock_ms);
        instance.stopping = stopping;
        let stopped: Vec<(u64, TaskName, u32)> = stopped;
        for (_, task, attempt) in stopped {
            if instance.running.get(&task).is_some_and(|(running, _)| *running == attempt) {
                instance.end(&task, EndCause::Stopped);
            }
        }
        instance.accept_invalidations();
        let (due, later) =
            instance.delayed_starts.drain(..).partition(|(due_ms, ..)| *due_ms <= clock_ms);
        instance.delayed_starts = later;
        let due: Vec<(u64, u64, StartOrder)> = due;
        if clock_ms >= instance.lease_until_ms {
            let running: Vec<TaskName> = instance.running.keys().cloned().collect();
            for task in running {
                self.instances[index].end(&task, EndCause::Lapsed);
            }
            self.instances[index].lapsed_end = self.instances[index].end_count;
        }
        let finished: Vec<TaskName> = self.instances[index]
            .running
            .iter()
            .filter(|(_, (_, end_ms))| *end_ms <= clock_ms)
            .map(|(task, _)| task.clone())
            .collect();
        for task in finished {
            let has_failed = self.rng.random_range(0..20) == 0;
            let cause = if has_failed { EndCause::Failed } else { EndCause::Done };
            self.instances[index].end(&task, cause);
            if cause == EndCause::Done {
                self.note_done(task);
            }
        }
        for (_, fence, start) in due {
            self.start(index, fence, start);
        }
    }

    /// Notes that a task is done; the end of a gang's member represents all members.
    fn note_done(&mut self, task: TaskName) {
        let stage = &self.jobs[&task.job].spec.stages[task.stage as usize];
        if stage.is_gang {
            let members = (0..stage.task_count).map(|index| TaskName { index, ..task.clone() });
            self.done.extend(members);
        } else {
            self.done.insert(task);
        }
    }

    pub fn exchange_report(&mut self, index: usize) {
        if self.instances[index].down_steps == 0 {
            self.instances[index].listed = self.instances[index].running.clone();
        }
        let report = self.instances[index].report();
        let response = self.cell.handle_report(report, self.may_grant, self.now);
        self.send_response(index, response);
    }

    fn send_response(&mut self, index: usize, response: ReportResponse) {
        let Some(network) = self.slow_network.as_mut().filter(|network| !network.is_calm) else {
            return self.handle_response(index, response);
        };
        let delay = match network.rng.random_range(0..20) {
            0 => return,
            1..=3 => Duration::from_millis(network.rng.random_range(0..3_000)),
            _ => return self.handle_response(index, response),
        };
        let instance = &self.instances[index];
        network.in_transit.push(LateResponse {
            arrives_at: self.now + delay,
            index,
            reporter: (instance.incarnation, instance.agent_incarnation),
            response,
        });
    }

    fn receive_late_responses(&mut self) {
        let Some(network) = &mut self.slow_network else { return };
        let now = self.now;
        let (due, later) =
            network.in_transit.drain(..).partition(|late: &LateResponse| late.arrives_at <= now);
        network.in_transit = later;
        let due: Vec<LateResponse> = due;
        for LateResponse { index, reporter, response, .. } in due {
            let instance = &mut self.instances[index];
            if reporter != (instance.incarnation, instance.agent_incarnation) {
                continue;
            }
            // The refusals since the report are still to be reported.
            let (session, refused) = (instance.session, take(&mut instance.refused));
            self.handle_response(index, response);
            let instance = &mut self.instances[index];
            if instance.session == session {
                instance.refused.splice(0..0, refused);
            }
        }
    }

    pub fn handle_response(&mut self, index: usize, response: ReportResponse) {
        let instance = &mut self.instances[index];
        let is_responsive = instance.last_clock_ms.is_none() && instance.down_steps == 0;
        instance.refused.clear();
        if response.evacuation.version >= instance.evacuation.version {
            instance.evacuation = response.evacuation;
        }
        let valid_for_ms = response.evacuation.valid_for_ms;
        if response.session > instance.session {
            instance.session = response.session;
            instance.fence = instance.fence.max(response.session);
            instance.accepted_order = 0;
            instance.has_listing = is_responsive;
            // The first response shows that earlier processes of the agent have had no later lease.
            if is_responsive && instance.known_until_ms.is_none() {
                let lease_ms = self.settings.lease.as_millis() as u64;
                instance.known_until_ms = Some(instance.clock_ms + lease_ms);
            }
            return;
        }
        if response.session != instance.session {
            return;
        }
        if let Some(until_ms) = response.lease_until_ms {
            instance.know_lease(until_ms);
        }
        // A call without a response may have been executed.
        let is_executed = instance.down_steps == 0
            && self
                .slow_network
                .as_mut()
                .is_some_and(|network| !network.is_calm && network.rng.random_bool(0.5));
        let is_passed_on = is_responsive || is_executed;
        if let Some(until_ms) = response.lease_until_ms.filter(|_| is_passed_on) {
            instance.lease_until_ms = instance.lease_until_ms.max(until_ms);
        }
        for end in instance.ended.iter().filter(|end| end.number <= response.forget_until) {
            // The platform doesn't count an end that is confirmed after the worker's lease has lapsed.
            let is_lapsed = self.slow_store.is_some() && end.number <= instance.lapsed_end;
            if end.cause == EndCause::Done && !is_lapsed {
                self.committed_done.entry(end.task.clone()).or_insert(self.now);
            }
            if end.cause == EndCause::Failed && end.number > instance.lapsed_end {
                self.failures.entry(end.task.clone()).or_default().push(self.now);
            }
        }
        instance.ended.retain(|end| end.number > response.forget_until);
        let orders = response.orders;
        for (number, order) in (response.first_order..).zip(&orders) {
            if number != self.instances[index].accepted_order + 1 {
                continue;
            }
            self.instances[index].accepted_order = number;
            let is_stop = |order: &Order, start: &StartOrder| {
                order.stopped_attempt() == Some((&start.task, start.attempt))
            };
            match order {
                Order::Start(start) if orders.iter().any(|order| is_stop(order, start)) => {
                    self.instances[index].refused.push(RefusedStart {
                        task: start.task.clone(),
                        attempt: start.attempt,
                        reason: "stopped before its start".to_owned(),
                    });
                }
                order => self.execute(index, order.clone(), valid_for_ms),
            }
        }
    }

    pub fn execute(&mut self, index: usize, order: Order, valid_for_ms: Option<u64>) {
        match order {
            Order::Start(start) => {
                let instance = &mut self.instances[index];
                let fence = instance.session;
                if !instance.announced_capacity.can_fit(&start.planned_capacity) {
                    instance.refused.push(RefusedStart {
                        task: start.task,
                        attempt: start.attempt,
                        reason: "planned against a larger capacity".to_owned(),
                    });
                    return;
                }
                if instance.evacuation.is_evacuated || valid_for_ms == Some(0) {
                    instance.refused.push(RefusedStart {
                        task: start.task,
                        attempt: start.attempt,
                        reason: "zone may be evacuated".to_owned(),
                    });
                    return;
                }
                if instance.clock_ms >= instance.lease_until_ms {
                    instance.refused.push(RefusedStart {
                        task: start.task,
                        attempt: start.attempt,
                        reason: "no lease".to_owned(),
                    });
                } else if instance.refuses_starts {
                    instance.refused.push(RefusedStart {
                        task: start.task,
                        attempt: start.attempt,
                        reason: "refused".to_owned(),
                    });
                } else if instance.is_unanswering {
                    self.start_without_response(index, fence, start);
                } else if self.is_start_unanswered(index) {
                    // The call times out: the agent invalidates the attempt, and the worker gets
                    // the start late.
                    let instance = &mut self.instances[index];
                    let due_ms = instance.clock_ms + 2_000;
                    instance.stopped.insert((start.task.clone(), start.attempt));
                    instance.refused.push(RefusedStart {
                        task: start.task.clone(),
                        attempt: start.attempt,
                        reason: "no answer, then stopped".to_owned(),
                    });
                    instance.delayed_starts.push((due_ms, fence, start));
                } else {
                    self.check_evacuation(index, &start);
                    self.start(index, fence, start);
                }
            }
            Order::Stop(task, attempt) => {
                let stop_ms = self.rng.random_range(0..=self.max_stop_ms);
                let instance = &mut self.instances[index];
                if instance.is_unanswering && self.rng.random_bool(0.2) {
                    return;
                }
                let late_ms =
                    if instance.is_unanswering { self.rng.random_range(0..3_000) } else { 0 };
                let stop_ms = stop_ms + late_ms;
                instance.stopped.insert((task.clone(), attempt));
                let is_running =
                    instance.running.get(&task).is_some_and(|(running, _)| *running == attempt);
                if is_running && stop_ms == 0 {
                    instance.end(&task, EndCause::Stopped);
                } else if is_running {
                    instance.stopping.push((instance.clock_ms + stop_ms, task, attempt));
                }
            }
            Order::Traits(_) => {}
        }
    }

    fn is_start_unanswered(&mut self, index: usize) -> bool {
        let is_lost = self.rng.random_range(0..15) == 0 && !self.is_every_start_answered;
        let unanswered = &mut self.instances[index].unanswered_starts;
        let is_unanswered = *unanswered > 0;
        *unanswered = unanswered.saturating_sub(1);
        is_lost || is_unanswered
    }

    /// The call times out: the worker gets the start late or never, and the agent invalidates the
    /// attempt.
    fn start_without_response(&mut self, index: usize, fence: u64, start: StartOrder) {
        let clock_ms = self.instances[index].clock_ms;
        let stop_ms = clock_ms + self.rng.random_range(300..3_000);
        let start_ms = clock_ms + self.rng.random_range(0..6_000);
        let instance = &mut self.instances[index];
        instance.invalidations.push((stop_ms, start.task.clone(), start.attempt));
        if start_ms < clock_ms + 3_000 {
            instance.delayed_starts.push((start_ms, fence, start));
        }
    }

    pub fn start(&mut self, index: usize, fence: u64, start: StartOrder) {
        let instance = &self.instances[index];
        let is_rejected = fence < instance.fence
            || instance.down_steps > 0
            || instance.clock_ms >= instance.lease_until_ms
            || instance
                .stopped
                .iter()
                .any(|(task, attempt)| *task == start.task && *attempt >= start.attempt);
        let is_repeated =
            instance.running.get(&start.task).is_some_and(|(attempt, _)| *attempt == start.attempt);
        if is_rejected || is_repeated {
            return;
        }
        self.check_start(index, &start);
        self.start_count += 1;
        if let Some(crash_count) = self.crashing.get_mut(&start.task) {
            *crash_count += 1;
            // The run may be listed once or twice before.
            let delay_ms = self.rng.random_range(0..3) * STEP.as_millis() as u64;
            let instance = &mut self.instances[index];
            instance.crash_at_ms.get_or_insert(instance.clock_ms + delay_ms);
        }
        let stage = &self.jobs[&start.task.job].spec.stages[start.task.stage as usize];
        let run_ms = self.rng.random_range(100..self.max_run_ms);
        let run_ms = if stage.is_long_running { u64::MAX / 2 } else { run_ms };
        let is_speculative = stage.is_speculative;
        let instance = &mut self.instances[index];
        let slowdown = if is_speculative { instance.slowdown.max(1) } else { 1 };
        let end_ms = instance.clock_ms + run_ms.saturating_mul(slowdown).min(u64::MAX / 2);
        if is_speculative {
            instance.started_ms.insert(start.task.clone(), instance.clock_ms);
            self.started_attempts.insert((start.task.clone(), start.attempt));
        }
        self.instances[index].running.insert(start.task, (start.attempt, end_ms));
    }

    pub fn check_start(&self, index: usize, start: &StartOrder) {
        let job = &self.jobs[&start.task.job];
        let is_speculative = job.spec.stages[start.task.stage as usize].is_speculative;
        let is_running = |instance: &&Instance| instance.running.contains_key(&start.task);
        let running_count = self.instances.iter().filter(is_running).count();
        assert!(running_count <= usize::from(is_speculative), "{} is already running", start.task);
        assert!(
            !self.instances[index].running.contains_key(&start.task),
            "{} is already running on the worker",
            start.task
        );
        let grace = if is_speculative { SPECULATIVE_GRACE } else { Duration::ZERO };
        let is_done = |confirmed_at: &Instant| self.now >= *confirmed_at + grace;
        assert!(
            !self.committed_done.get(&start.task).is_some_and(is_done),
            "{} is already done",
            start.task
        );
        if is_speculative {
            let number = (start.task.clone(), start.attempt);
            assert!(!self.started_attempts.contains(&number), "{number:?} has started before");
        }
        if !job.spec.stages[start.task.stage as usize].is_long_running {
            let failures = self.failures.get(&start.task).into_iter().flatten();
            let is_past = |failed_at: &&Instant| self.now >= **failed_at + grace;
            let failure_count = failures.filter(is_past).count() as u32;
            assert!(failure_count < job.queue.max_attempts, "{} has failed", start.task);
        }
        let progress = &self.progress[&start.task.job];
        let occurrence = (start.task.occurrence - progress.first_occurrence) as usize;
        let committed =
            &progress.occurrences[occurrence][start.task.stage as usize][start.task.index as usize];
        assert!(
            committed.attempt >= start.attempt
                || committed.other_runs.iter().any(|run| run.attempt >= start.attempt),
            "attempt {} of {} started before its commit",
            start.attempt,
            start.task
        );
        for &dependency_stage in &job.spec.stages[start.task.stage as usize].after {
            for task_index in 0..job.spec.stages[dependency_stage].task_count {
                let dependency = TaskName {
                    stage: dependency_stage as u32,
                    index: task_index,
                    ..start.task.clone()
                };
                assert!(
                    self.done.contains(&dependency),
                    "{} started before its dependency {dependency} was done",
                    start.task
                );
            }
        }
        let instance = &self.instances[index];
        let used = instance
            .running
            .keys()
            .chain([&start.task])
            .map(|task| reserved_resources(&self.jobs[&task.job].spec.stages[task.stage as usize]))
            .fold(Resources::default(), |used, each| used.plus(&each));
        let is_within_grace = |(replaced_ms, capacity): &(u64, Resources)| {
            capacity.can_fit(&used) && instance.clock_ms < replaced_ms + SHRINK_GRACE_MS
        };
        assert!(
            instance.capacity.can_fit(&used)
                || instance.earlier_capacities.iter().any(is_within_grace),
            "{} exceeds the worker's capacity: {used:?} of {:?}",
            start.task,
            instance.capacity
        );
    }

    /// Crashes a worker, whose agent keeps running.
    pub fn crash_worker(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        instance.running.clear();
        instance.stopping.clear();
        instance.delayed_starts.clear();
        instance.invalidations.clear();
        instance.down_steps = self.down_step_count;
    }

    pub fn restart_worker(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        (instance.down_steps, instance.crash_at_ms) = (0, None);
        instance.incarnation += 1;
        instance.running.clear();
        instance.ended.clear();
        instance.end_count = 0;
        instance.lapsed_end = 0;
        instance.stopped.clear();
        instance.delayed_starts.clear();
        instance.invalidations.clear();
        instance.stopping.clear();
        instance.settle_capacity(instance.capacity);
        (instance.session, instance.fence, instance.accepted_order) = (0, 0, 0);
        (instance.clock_ms, instance.lease_until_ms) = (1_000, 0);
        (instance.reading, instance.known_until_ms) = ((0, 0), None);
        instance.last_clock_ms = None;
        instance.next_heartbeat_ms = 0;
        instance.has_listing = false;
        instance.refused.clear();
    }

    pub fn restart_agent(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        instance.agent_incarnation += 1;
        (instance.session, instance.accepted_order) = (0, 0);
        instance.known_until_ms = None;
        instance.has_listing = false;
        instance.refused.clear();
        instance.invalidations.clear();
    }

    /// Changes the capacity of a worker, or the time of a commit, at random.
    pub fn change_conditions(&mut self, changes: &mut ChaCha8Rng) {
        let index = changes.random_range(0..self.instances.len());
        match changes.random_range(0..60) {
            0..=5 => {
                let eighths = changes.random_range(1..=8);
                let capacity = Resources {
                    cpu_milli: CAPACITY.cpu_milli * eighths / 8,
                    memory_mib: CAPACITY.memory_mib * changes.random_range(1..=8) / 8,
                    accelerators: 0,
                };
                self.instances[index].change_capacity(capacity);
            }
            6 => self.commit_time = Duration::from_millis(changes.random_range(100..6_000)),
            7..=9 => self.commit_time = Duration::ZERO,
            _ => {}
        }
    }

    pub fn run_steps(&mut self, count: usize) {
        for _ in 0..count {
            self.step();
        }
    }
}
