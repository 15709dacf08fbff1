//! Tests of a cell's owner under failing, unresponsive, disconnected and restarted workers.
//!
//! [`Fleet`] simulates workers and agents: it executes orders and lists running and ended tasks. At
//! each start it asserts that the attempt is committed, that the task runs nowhere else, that the
//! stages it depends on are done, that the worker has enough free capacity, and that the task isn't
//! done. Workers' capacities may change; their agents learn of a change with the next heartbeat.

mod util;

use std::{
    collections::{BTreeMap, BTreeSet},
    mem::replace,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use teaseltrack::{
    cell::{
        Cell, CellEvent, CommitBatch, StoredJob,
        job::{JobSpec, Queue, QueueConfiguration, Schedule, Stage},
        ownership::SilentWorkerRecord,
        progress::{JobProgress, JobState, WorkerRecord},
        protocol::{
            EndCause, EndedTask, Order, RefusedStart, Report, ReportResponse, RunningTask,
            StartOrder, TaskName, WorkerListing, WorkerStatus,
        },
        silence::SilentWorker,
        worker::reserved_resources,
    },
    placement::Resources,
};
use util::CELL_SETTINGS;
use yare::parameterized;

const STEP: Duration = Duration::from_millis(50);
const SESSIONS_PER_EPOCH: u64 = 1 << 20;
const GRANT_PERIOD: Duration = Duration::from_secs(4);
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(1_500);
const RENEWAL_INTERVAL: Duration = Duration::from_millis(400);
const CAPACITY: Resources = Resources { cpu_milli: 8_000, memory_mib: 16_000, accelerators: 0 };
const SMALL_CAPACITY: Resources =
    Resources { cpu_milli: 5_000, memory_mib: 16_000, accelerators: 0 };
const HEARTBEAT_INTERVAL_MS: u64 = 1_100;
/// Time after which a smaller capacity must not be exceeded by a start.
const SHRINK_GRACE_MS: u64 = 3_000 + HEARTBEAT_INTERVAL_MS;

fn queue() -> Queue {
    Queue {
        name: "queue".to_owned(),
        service: "service".to_owned(),
        priority: 0,
        max_attempts: 3,
        stretch: 1.5,
        objective_ms: 250,
    }
}

fn configuration() -> QueueConfiguration {
    QueueConfiguration { version: 1, queues: vec![queue()], guarded_services: Vec::new() }
}

fn stage(task_count: u32) -> Stage {
    Stage {
        task_count,
        resources: Resources { cpu_milli: 2_000, memory_mib: 1_000, accelerators: 0 },
        estimate_ms: 500,
        ..Stage::default()
    }
}

/// Stage of tasks that run until their job is cancelled.
fn long_running(task_count: u32) -> Stage {
    Stage { is_long_running: true, ..stage(task_count) }
}

fn stored_job(id: &str, stages: Vec<Stage>) -> StoredJob {
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
struct Instance {
    name: String,
    incarnation: u64,
    agent_incarnation: u64,
    session: u64,
    fence: u64,
    clock_ms: u64,
    lease_until_ms: u64,
    running: BTreeMap<TaskName, (u32, u64)>,
    ended: Vec<EndedTask>,
    end_count: u64,
    accepted_order: u64,
    has_listing: bool,
    refused: Vec<RefusedStart>,
    stopped: BTreeSet<(TaskName, u32)>,
    delayed_starts: Vec<(u64, u64, StartOrder)>,
    /// Stops in progress, with the time at which each is complete.
    stopping: Vec<(u64, TaskName, u32)>,
    /// Number of the last end that was listed when the lease lapsed.
    lapsed_end: u64,
    /// Whether the agent doesn't know yet that the owner was replaced.
    follows_previous: bool,
    /// Last reading of the clock of a worker that doesn't respond to its agent any more.
    last_clock_ms: Option<u64>,
    is_disconnected: bool,
    /// Time at which the worker crashes.
    crash_at_ms: Option<u64>,
    /// Number of steps until the crashed worker restarts; 0 if it is up.
    down_steps: u32,
    /// Runs that the agent listed last; it repeats them while its worker is down.
    listed: BTreeMap<TaskName, (u32, u64)>,
    /// Capacity in the last heartbeat.
    announced_capacity: Resources,
    /// Present capacity.
    capacity: Resources,
    /// Earlier capacities, with the time at which each was replaced.
    earlier_capacities: Vec<(u64, Resources)>,
    next_heartbeat_ms: u64,
}

impl Instance {
    fn end(&mut self, task: &TaskName, cause: EndCause) {
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

    /// Changes the capacity; the agent learns of it with the next heartbeat.
    fn change_capacity(&mut self, capacity: Resources) {
        let earlier = replace(&mut self.capacity, capacity);
        self.earlier_capacities.push((self.clock_ms, earlier));
    }

    /// Changes the capacity as if all heartbeats since then had been sent and all grace was over.
    fn settle_capacity(&mut self, capacity: Resources) {
        (self.capacity, self.announced_capacity) = (capacity, capacity);
        self.earlier_capacities.clear();
    }

    fn report(&self) -> Report {
        let is_up = self.down_steps == 0;
        let listed = if is_up { &self.running } else { &self.listed };
        let running = listed.iter().map(|(task, (attempt, _))| RunningTask {
            task: task.clone(),
            attempt: *attempt,
            checkpoint: String::new(),
            percent: 10,
            gauge: 0,
        });
        Report {
            agent: self.name.clone(),
            started_unix_ms: self.agent_incarnation,
            session: self.session,
            status: Some(WorkerStatus {
                worker: self.name.clone(),
                started_unix_ms: self.incarnation,
                service: "service".to_owned(),
                capacity: self.announced_capacity,
                ..WorkerStatus::default()
            }),
            worker_clock_ms: self.last_clock_ms.unwrap_or(self.clock_ms),
            is_worker_reachable: is_up && self.last_clock_ms.is_none(),
            listing: (self.has_listing && self.last_clock_ms.is_none()).then(|| WorkerListing {
                running: Some(running.collect()),
                ended: self.ended.clone(),
            }),
            refused: self.refused.clone(),
            accepted_order: self.accepted_order,
            ..Report::default()
        }
    }
}

/// Commit of a slow store.
struct InFlight {
    batch: CommitBatch,
    sent_at: Instant,
    applies_at: Instant,
    responds_at: Instant,
    is_applied: bool,
}

/// State of a slow store, and of an owner that doesn't know yet that it was replaced.
struct SlowStore {
    max_delay_ms: u64,
    in_flight: Option<InFlight>,
    renewed_at: Instant,
    /// Time of the last change of the owner's row.
    changed_at: Instant,
    recorded: Vec<SilentWorkerRecord>,
    is_cut: bool,
    /// Latest time at which a predecessor of the owner grants a lease.
    previous_grants_end: Instant,
    previous: Option<(Cell, Instant)>,
}

/// Simulated workers and agents, the owner and its committed progress.
struct Fleet {
    rng: ChaCha8Rng,
    now: Instant,
    unix_now_ms: u64,
    instances: Vec<Instance>,
    cell: Cell,
    epoch: u64,
    jobs: BTreeMap<String, StoredJob>,
    progress: BTreeMap<String, JobProgress>,
    workers: BTreeMap<String, WorkerRecord>,
    silent_workers: Vec<SilentWorker>,
    may_grant: bool,
    committed_done: BTreeSet<TaskName>,
    done: BTreeSet<TaskName>,
    start_count: usize,
    /// Maximum time that a worker takes to stop a run.
    max_stop_ms: u64,
    /// Time that a commit takes.
    commit_time: Duration,
    /// Commit in flight, with the time at which it succeeds.
    in_flight: Option<(Instant, CommitBatch)>,
    /// Number of starts of the tasks that crash their workers.
    crashing: BTreeMap<TaskName, u32>,
    /// Number of steps until a crashed worker restarts.
    down_step_count: u32,
    max_run_ms: u64,
    slow_store: Option<SlowStore>,
}

impl Fleet {
    fn new(instance_count: usize, seed: u64) -> Self {
        let now = Instant::now();
        let instances = (0..instance_count)
            .map(|index| Instance {
                name: format!("instance-{index}"),
                incarnation: 1,
                agent_incarnation: 1,
                clock_ms: 1_000,
                announced_capacity: CAPACITY,
                capacity: CAPACITY,
                ..Instance::default()
            })
            .collect();
        Self {
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
            committed_done: BTreeSet::new(),
            done: BTreeSet::new(),
            start_count: 0,
            crashing: BTreeMap::new(),
            down_step_count: 65,
            max_stop_ms: 0,
            commit_time: Duration::ZERO,
            in_flight: None,
            max_run_ms: 1_500,
            slow_store: None,
        }
    }

    /// Commits take up to `max_delay_ms` until they are applied, and as long until the response.
    fn with_slow_store(self, max_delay_ms: u64) -> Self {
        let slow_store = SlowStore {
            max_delay_ms,
            in_flight: None,
            renewed_at: self.now,
            changed_at: self.now,
            recorded: Vec::new(),
            is_cut: false,
            previous_grants_end: self.now,
            previous: None,
        };
        Self { slow_store: Some(slow_store), max_run_ms: 8_000, ..self }
    }

    fn submit(&mut self, job: StoredJob) {
        self.jobs.insert(job.id.clone(), job.clone());
        self.cell.admit(job, self.now);
    }

    fn cancel(&mut self, id: &str) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.is_cancelled = true;
        }
        self.cell.cancel(id);
    }

    /// Replaces the owner by one that has only what is stored.
    fn replace_owner(&mut self) {
        self.start_owner(self.now + GRANT_PERIOD);
    }

    fn start_owner(&mut self, grants_end: Instant) {
        self.epoch += 1;
        self.in_flight = None;
        self.cell = Cell::new(0, CELL_SETTINGS, self.epoch, configuration(), grants_end);
        self.cell.adopt_silent_workers(self.silent_workers.clone());
        self.cell.adopt_workers(self.workers.clone().into_iter().collect());
        for job in self.jobs.values() {
            let progress = self.progress.get(&job.id).cloned();
            self.cell.admit(StoredJob { progress, ..job.clone() }, self.now);
        }
    }

    /// Commits all pending progress of the owner, as far as `commit_time` allows.
    fn commit(&mut self) {
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
    fn commit_slowly(&mut self) {
        let Some(mut store) = self.slow_store.take() else { return self.commit() };
        if let Some(mut commit) = store.in_flight.take() {
            if !commit.is_applied && !store.is_cut && commit.applies_at <= self.now {
                self.apply(&mut store, &mut commit);
            }
            if commit.is_applied && !store.is_cut && commit.responds_at <= self.now {
                store.renewed_at = commit.sent_at;
                self.cell.commit_succeeded();
            } else {
                store.in_flight = Some(commit);
            }
        }
        if store.in_flight.is_none() {
            let is_renewal_due = self.now - store.renewed_at >= RENEWAL_INTERVAL;
            let batch =
                if is_renewal_due { self.cell.renewal(6) } else { self.cell.next_commit(6) };
            store.in_flight = batch.map(|batch| {
                let applies_at = self.now + self.random_delay(store.max_delay_ms);
                let responds_at = applies_at + self.random_delay(store.max_delay_ms);
                let sent_at = self.now;
                InFlight { batch, sent_at, applies_at, responds_at, is_applied: false }
            });
        }
        self.slow_store = Some(store);
    }

    fn random_delay(&mut self, max_ms: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(0..=max_ms))
    }

    fn apply(&mut self, store: &mut SlowStore, commit: &mut InFlight) {
        commit.is_applied = true;
        store.changed_at = self.now;
        let batch = &commit.batch;
        let silent = batch.silent_workers.iter();
        store.recorded =
            silent.map(|silent| SilentWorkerRecord::new(silent, commit.sent_at)).collect();
        self.progress.extend(batch.rows.iter().cloned());
        self.workers.extend(batch.workers.iter().cloned());
    }

    /// Starts an owner process in place of one that has just ended.
    fn restart_owner(&mut self) {
        let now = self.now;
        self.take_over(now, now);
    }

    /// Lets a candidate take over from an owner whose commits have failed for the timeout, and that
    /// may still serve some agents.
    fn replace_cut_owner(&mut self) {
        let Some(store) = self.slow_store.as_ref().filter(|store| store.is_cut) else { return };
        let (since, renewed_at) = (store.changed_at, store.renewed_at);
        if self.now < since + TAKEOVER_TIMEOUT {
            return;
        }
        let placeholder = Cell::new(0, CELL_SETTINGS, 0, configuration(), self.now);
        let previous = replace(&mut self.cell, placeholder);
        self.take_over(since, since + GRANT_PERIOD);
        if let Some(store) = &mut self.slow_store {
            store.previous = Some((previous, renewed_at + GRANT_PERIOD));
        }
        for instance in &mut self.instances {
            instance.follows_previous = self.rng.random_bool(0.5);
        }
    }

    fn take_over(&mut self, committed_by: Instant, grants_end: Instant) {
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
        let own_grants_end = self.now + GRANT_PERIOD;
        let grants_end = if is_response_lost { own_grants_end } else { grants_end };
        store.previous_grants_end = store.previous_grants_end.max(grants_end);
        let grants_end = store.previous_grants_end;
        self.slow_store = Some(store);
        self.start_owner(grants_end);
    }

    /// Reports to the previous owner, as far as it still serves. Returns whether it was reached.
    fn report_to_previous_owner(&mut self, index: usize) -> bool {
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
        self.handle_response(index, response);
        true
    }

    fn step(&mut self) {
        self.now += STEP;
        self.unix_now_ms += STEP.as_millis() as u64;
        for index in 0..self.instances.len() {
            self.run_worker(index);
            let is_due = self.slow_store.is_none() || self.rng.random_bool(0.25);
            if is_due
                && !self.instances[index].is_disconnected
                && !self.report_to_previous_owner(index)
            {
                self.exchange_report(index);
            }
        }
        if let Some(store) = &self.slow_store {
            self.may_grant = self.now < store.renewed_at + GRANT_PERIOD;
        }
        self.cell.tick(self.now);
        if self.cell.needs_plan() {
            self.cell.plan(self.unix_now_ms, self.now);
        }
        self.commit_slowly();
    }

    fn run_worker(&mut self, index: usize) {
        let instance = &mut self.instances[index];
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
                self.done.insert(task);
            }
        }
        for (_, fence, start) in due {
            self.start(index, fence, start);
        }
    }

    fn exchange_report(&mut self, index: usize) {
        if self.instances[index].down_steps == 0 {
            self.instances[index].listed = self.instances[index].running.clone();
        }
        let report = self.instances[index].report();
        let response = self.cell.handle_report(report, self.may_grant, self.now);
        self.handle_response(index, response);
    }

    fn handle_response(&mut self, index: usize, response: ReportResponse) {
        let instance = &mut self.instances[index];
        let is_responsive = instance.last_clock_ms.is_none() && instance.down_steps == 0;
        instance.refused.clear();
        if response.session > instance.session {
            instance.session = response.session;
            instance.fence = instance.fence.max(response.session);
            instance.accepted_order = 0;
            instance.has_listing = is_responsive;
            return;
        }
        if response.session != instance.session {
            return;
        }
        if let Some(until_ms) = response.lease_until_ms.filter(|_| is_responsive) {
            instance.lease_until_ms = instance.lease_until_ms.max(until_ms);
        }
        for end in instance.ended.iter().filter(|end| end.number <= response.forget_until) {
            // The platform doesn't count an end that is confirmed after the worker's lease has lapsed.
            let is_lapsed = self.slow_store.is_some() && end.number <= instance.lapsed_end;
            if end.cause == EndCause::Done && !is_lapsed {
                self.committed_done.insert(end.task.clone());
            }
        }
        instance.ended.retain(|end| end.number > response.forget_until);
        for (number, order) in (response.first_order..).zip(response.orders) {
            if number != self.instances[index].accepted_order + 1 {
                continue;
            }
            self.instances[index].accepted_order = number;
            self.execute(index, order);
        }
    }

    fn execute(&mut self, index: usize, order: Order) {
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
                if instance.clock_ms >= instance.lease_until_ms {
                    instance.refused.push(RefusedStart {
                        task: start.task,
                        attempt: start.attempt,
                        reason: "no lease".to_owned(),
                    });
                } else if self.rng.random_range(0..15) == 0 {
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
                    self.start(index, fence, start);
                }
            }
            Order::Stop(task, attempt) => {
                let stop_ms = self.rng.random_range(0..=self.max_stop_ms);
                let instance = &mut self.instances[index];
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

    fn start(&mut self, index: usize, fence: u64, start: StartOrder) {
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
        let end_ms = self.instances[index].clock_ms + run_ms;
        self.instances[index].running.insert(start.task, (start.attempt, end_ms));
    }

    fn check_start(&self, index: usize, start: &StartOrder) {
        let job = &self.jobs[&start.task.job];
        for instance in &self.instances {
            assert!(
                !instance.running.contains_key(&start.task),
                "{} is already running",
                start.task
            );
        }
        assert!(!self.committed_done.contains(&start.task), "{} is already done", start.task);
        let committed = &self.progress[&start.task.job].occurrences[start.task.occurrence as usize]
            [start.task.stage as usize][start.task.index as usize];
        assert!(
            committed.attempt >= start.attempt,
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
    fn crash_worker(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        instance.running.clear();
        instance.stopping.clear();
        instance.delayed_starts.clear();
        instance.down_steps = self.down_step_count;
    }

    fn restart_worker(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        (instance.down_steps, instance.crash_at_ms) = (0, None);
        instance.incarnation += 1;
        instance.running.clear();
        instance.ended.clear();
        instance.end_count = 0;
        instance.lapsed_end = 0;
        instance.stopped.clear();
        instance.delayed_starts.clear();
        instance.stopping.clear();
        instance.settle_capacity(instance.capacity);
        (instance.session, instance.fence, instance.accepted_order) = (0, 0, 0);
        (instance.clock_ms, instance.lease_until_ms) = (1_000, 0);
        instance.next_heartbeat_ms = 0;
        instance.has_listing = false;
        instance.refused.clear();
    }

    fn restart_agent(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        instance.agent_incarnation += 1;
        (instance.session, instance.accepted_order) = (0, 0);
        instance.has_listing = false;
        instance.refused.clear();
    }

    /// Changes the capacity of a worker, or the time of a commit, at random.
    fn change_conditions(&mut self, changes: &mut ChaCha8Rng) {
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

    fn run_steps(&mut self, count: usize) {
        for _ in 0..count {
            self.step();
        }
    }
}

#[test]
fn plan_runs_stages_in_order() {
    let mut fleet = Fleet::new(2, 1);
    let second = Stage { after: vec![0], ..stage(3) };
    fleet.submit(stored_job("0000000000000001", vec![stage(4), second]));
    fleet.run_steps(200);
    assert_eq!(fleet.cell.state("0000000000000001"), Some(JobState::Completed));
}

/// Guards against a task that could start once some time has passed, in a cell without other events.
#[test]
fn tick_requests_a_plan_once_a_waiting_task_may_use_the_reserve() {
    let mut fleet = Fleet::new(1, 1);
    fleet.run_steps(4);
    // Leaves less than the reserve for batch tasks.
    let resources = Resources { cpu_milli: 7_800, ..CAPACITY };
    fleet.submit(stored_job(
        "0000000000000001",
        vec![Stage { is_long_running: true, resources, ..stage(1) }],
    ));
    fleet.run_steps(60);
    assert!(fleet.start_count > 0);
}

/// Guards against an occurrence that doesn't begin at its time, in a cell without other events.
#[test]
fn tick_requests_a_plan_for_a_due_occurrence() {
    let mut fleet = Fleet::new(1, 1);
    let mut job = stored_job("0000000000000001", vec![stage(1)]);
    job.spec.schedule =
        Some(Schedule { first_unix_ms: 1_000, interval_ms: 1_000, occurrence_count: 2 });
    fleet.submit(job);
    let mut never = stored_job("0000000000000002", vec![stage(1)]);
    never.spec.schedule = Some(Schedule {
        first_unix_ms: u64::MAX,
        interval_ms: u64::MAX,
        occurrence_count: u32::MAX,
    });
    fleet.submit(never);
    fleet.run_steps(100);
    assert_eq!(fleet.cell.state("0000000000000001"), Some(JobState::Completed));
}

/// Guards against an occurrence that begins late, in a cell without other events, since the wall clock
/// was set forward.
#[test]
fn tick_requests_a_plan_for_an_occurrence_that_is_due_after_a_clock_step() {
    let mut fleet = Fleet::new(1, 1);
    let mut job = stored_job("0000000000000001", vec![stage(1)]);
    job.spec.schedule =
        Some(Schedule { first_unix_ms: 60_000, interval_ms: 1_000, occurrence_count: 1 });
    fleet.submit(job);
    fleet.run_steps(10);
    fleet.unix_now_ms += 60_000;
    fleet.run_steps(60);
    assert!(fleet.start_count > 0, "nothing runs 3 s after the time");
}

#[test]
fn cancel_stops_running_tasks_and_starts_none() {
    let mut fleet = Fleet::new(1, 1);
    fleet.submit(stored_job("0000000000000001", vec![stage(12)]));
    fleet.run_steps(10);
    fleet.cancel("0000000000000001");
    fleet.run_steps(4);
    let started = fleet.start_count;
    assert!(fleet.instances[0].running.is_empty());
    fleet.run_steps(40);
    assert_eq!(fleet.start_count, started);
    assert_eq!(fleet.cell.state("0000000000000001"), Some(JobState::Cancelled));
}

#[test]
fn restore_adopts_running_tasks() {
    let mut fleet = Fleet::new(2, 1);
    fleet.submit(stored_job("0000000000000001", vec![stage(6)]));
    fleet.run_steps(6);
    let started = fleet.start_count;
    fleet.replace_owner();
    fleet.run_steps(3);
    assert!(started > 0);
    assert_eq!(fleet.start_count, started, "running tasks must not be started again");
}

#[test]
fn restore_waits_for_the_lease_of_a_disconnected_worker() {
    let mut fleet = Fleet::new(2, 1);
    fleet.submit(stored_job("0000000000000001", vec![stage(8)]));
    fleet.run_steps(6);
    fleet.instances[0].is_disconnected = true;
    fleet.replace_owner();
    fleet.run_steps(400);
    assert_eq!(fleet.cell.state("0000000000000001"), Some(JobState::Completed));
}

/// Guards against tasks of a lost worker that wait for its lease anew after each change of the owner.
#[test]
fn restore_does_not_extend_the_wait_for_a_lost_worker() {
    let mut fleet = Fleet::new(2, 1);
    fleet.submit(stored_job("0000000000000001", vec![stage(8)]));
    fleet.run_steps(6);
    assert!(!fleet.instances[0].running.is_empty());
    fleet.instances[0].is_disconnected = true;
    // The longest wait for one change of the owner is 9.4 s.
    for _ in 0..5 {
        fleet.replace_owner();
        fleet.run_steps(50);
    }
    assert_eq!(fleet.cell.state("0000000000000001"), Some(JobState::Completed));
}

/// Guards against tasks of an unresponsive worker that wait for its lease anew after each change of the
/// owner, since its agent repeats the last reading of its clock.
#[test]
fn restore_does_not_extend_the_wait_for_an_unresponsive_worker() {
    let mut fleet = Fleet::new(2, 1);
    fleet.submit(stored_job("0000000000000001", vec![stage(8)]));
    fleet.run_steps(6);
    assert!(!fleet.instances[0].running.is_empty());
    let clock_ms = fleet.instances[0].clock_ms;
    fleet.instances[0].last_clock_ms = Some(clock_ms);
    fleet.run_steps(30);
    assert_eq!(fleet.silent_workers.len(), 1);
    for _ in 0..3 {
        fleet.replace_owner();
        fleet.run_steps(50);
    }
    assert_eq!(fleet.cell.state("0000000000000001"), Some(JobState::Completed));
}

/// Guards against a new owner that waits for the lease of a worker whose agent reports a later one.
#[test]
fn restore_reclaims_tasks_of_a_worker_that_restarted_meanwhile() {
    let mut fleet = Fleet::new(2, 1);
    fleet.submit(stored_job("0000000000000001", vec![stage(8)]));
    fleet.run_steps(6);
    let lost = fleet.instances[0].running.len();
    let started = fleet.start_count;
    assert!(lost > 0);
    // The machine has lost power, so that its agent restarts as well.
    fleet.restart_worker(0);
    fleet.restart_agent(0);
    fleet.replace_owner();
    fleet.run_steps(10);
    assert!(fleet.start_count >= started + lost, "lost tasks run again within half a second");
}

/// Guards against tasks that are never reclaimed from a worker that is lost before its first lease.
#[test]
fn tick_reclaims_tasks_of_a_lost_worker_without_a_lease() {
    let mut fleet = Fleet::new(1, 1);
    fleet.may_grant = false;
    // Until then, the worker may have a lease from a previous owner.
    let previous_leases_end = fleet.now + CELL_SETTINGS.worst_case_lease();
    while fleet.now < previous_leases_end {
        fleet.step();
    }
    fleet.submit(stored_job("0000000000000001", vec![stage(2)]));
    fleet.run_steps(2);
    fleet.instances[0].is_disconnected = true;
    fleet.may_grant = true;
    fleet.cell.take_events();
    fleet.run_steps(40);
    let events = fleet.cell.take_events();
    let is_reclaimed = |event: &&CellEvent| matches!(event, CellEvent::Reclaimed { .. });
    assert_eq!(events.iter().filter(is_reclaimed).count(), 2);
}

/// Guards against a second run of a task whose worker still holds a lease of the previous owner.
#[test]
fn restore_does_not_reclaim_tasks_that_run_under_a_lease_of_the_previous_owner() {
    let mut fleet = Fleet::new(2, 1);
    fleet.run_steps(4);
    fleet.replace_owner();
    fleet.may_grant = false;
    fleet.run_steps(4);
    fleet.submit(stored_job("0000000000000001", vec![stage(8)]));
    fleet.run_steps(4);
    assert!(fleet.start_count > 0, "agents start tasks under the lease that they hold");
    fleet.instances.iter_mut().for_each(|instance| instance.is_disconnected = true);
    fleet.cell.take_events();
    fleet.run_steps(60);
    let events = fleet.cell.take_events();
    let is_reclaimed = |event: &&CellEvent| matches!(event, CellEvent::Reclaimed { .. });
    assert_eq!(events.iter().filter(is_reclaimed).count(), 0);
}

/// Guards against leases that lapse on a slow store: a worker that reports while its owner may not
/// grant leases is recorded as silent, and gets no lease until another commit has removed it.
#[test]
fn tick_does_not_count_a_reporting_worker_without_grants_as_silent() {
    let mut fleet = Fleet::new(2, 1);
    fleet.submit(stored_job("0000000000000001", vec![stage(40)]));
    fleet.run_steps(6);
    fleet.cell.take_events();
    fleet.may_grant = false;
    fleet.run_steps(60);
    let events = fleet.cell.take_events();
    assert!(!events.iter().any(|event| matches!(event, CellEvent::Silent { .. })));
}

/// Guards against a lease that a recorded worker gets while the next owner takes it for expired.
#[test]
fn grant_lease_of_a_silent_worker_follows_its_removal_from_the_record() {
    let mut fleet = Fleet::new(2, 1);
    fleet.submit(stored_job("0000000000000001", vec![stage(8)]));
    fleet.run_steps(6);
    fleet.instances[0].is_disconnected = true;
    fleet.run_steps(40);
    assert_eq!(fleet.silent_workers.len(), 1);
    let report = fleet.instances[0].report();
    let response = fleet.cell.handle_report(report.clone(), true, fleet.now);
    assert_eq!(response.lease_until_ms, None, "the row still lists the worker");
    fleet.commit();
    assert_eq!(fleet.silent_workers, Vec::new());
    let response = fleet.cell.handle_report(report, true, fleet.now);
    assert!(response.lease_until_ms.is_some());
}

/// Guards against a run that a new owner doesn't know of, because the start order of an assignment
/// was sent on the commit of an earlier one to the same worker.
#[test]
fn commit_succeeded_sends_no_start_order_of_a_later_assignment() {
    let mut fleet = Fleet::new(1, 1);
    fleet.run_steps(4);
    fleet.submit(stored_job("0000000000000001", vec![stage(1)]));
    fleet.cell.plan(0, fleet.now);
    // The new session reclaims the task, which is then assigned to the same worker while the commit
    // of its reclaim is in flight.
    fleet.restart_agent(0);
    fleet.exchange_report(0);
    fleet.exchange_report(0);
    let batch = fleet.cell.next_commit(50);
    assert!(batch.is_some_and(|batch| !batch.rows.is_empty()));
    fleet.cell.plan(0, fleet.now);
    fleet.cell.commit_succeeded();
    fleet.exchange_report(0);
    assert_eq!(fleet.start_count, 0, "the store has the task as waiting");
    fleet.commit();
    fleet.exchange_report(0);
    assert_eq!(fleet.start_count, 1);
}

#[test]
fn report_of_ends_is_processed_before_the_first_listing_of_runs() {
    let mut fleet = Fleet::new(2, 1);
    fleet.submit(stored_job("0000000000000001", vec![stage(1)]));
    fleet.run_steps(4);
    let index = usize::from(fleet.instances[0].running.is_empty());
    let task = fleet.instances[index].running.keys().next().expect("task is running").clone();
    fleet.instances[index].end(&task, EndCause::Done);
    // The owner fails before it commits the end, and the worker disconnects for good after it has
    // reported the end to the new owner.
    fleet.replace_owner();
    fleet.instances[index].has_listing = false;
    fleet.exchange_report(index);
    let instance = &fleet.instances[index];
    let listing = WorkerListing { running: None, ended: instance.ended.clone() };
    let report = Report { listing: Some(listing), ..instance.report() };
    fleet.cell.handle_report(report, true, fleet.now);
    fleet.instances[index].is_disconnected = true;
    fleet.commit();
    fleet.run_steps(300);
    assert_eq!(fleet.start_count, 1, "a completed task must not be started again");
    assert_eq!(fleet.cell.state("0000000000000001"), Some(JobState::Completed));
}

/// The address of an owner may be used again by an instance of another cell.
#[test]
fn report_of_another_cells_agent_is_ignored() {
    let mut fleet = Fleet::new(1, 1);
    fleet.run_steps(3);
    fleet.submit(stored_job("0000000000000001", vec![stage(2)]));
    let mut foreign =
        Report { cell: 1, agent: "foreign".to_owned(), ..fleet.instances[0].report() };
    if let Some(status) = foreign.status.as_mut() {
        status.worker = "foreign".to_owned();
    }
    for _ in 0..10 {
        let response = fleet.cell.handle_report(foreign.clone(), true, fleet.now);
        assert_eq!(response, ReportResponse::default());
        fleet.step();
    }
    assert_eq!(fleet.instances[0].running.len(), 2, "all tasks run in the cell");
    let events = fleet.cell.take_events();
    let is_foreign = |event: &CellEvent| matches!(event, CellEvent::ForeignReport { cell: 1, .. });
    assert_eq!(events.iter().filter(|event| is_foreign(event)).count(), 10);
}

#[test]
fn report_of_an_earlier_incarnation_is_ignored() {
    let mut fleet = Fleet::new(1, 1);
    fleet.submit(stored_job("0000000000000001", vec![stage(2)]));
    fleet.run_steps(6);
    let late = fleet.instances[0].report();
    fleet.restart_worker(0);
    fleet.run_steps(3);
    let response = fleet.cell.handle_report(late, true, fleet.now);
    assert_eq!(response.session, 0);
    fleet.run_steps(100);
    assert_eq!(fleet.cell.state("0000000000000001"), Some(JobState::Completed));
}

#[test]
fn plan_keeps_a_failing_worker_from_failing_a_job() {
    let mut fleet = Fleet::new(3, 1);
    fleet.submit(stored_job("0000000000000001", vec![stage(30)]));
    for _ in 0..400 {
        fleet.step();
        let failing: Vec<TaskName> = fleet.instances[0].running.keys().cloned().collect();
        for task in failing {
            fleet.instances[0].end(&task, EndCause::Failed);
        }
    }
    assert_eq!(fleet.cell.state("0000000000000001"), Some(JobState::Completed));
}

/// Guards against starts of tasks without a CPU reservation on a worker whose CPU is exceeded since
/// its capacity shrank.
#[test]
fn plan_starts_nothing_on_a_worker_over_its_capacity() {
    let mut fleet = Fleet::new(1, 1);
    fleet.submit(stored_job("0000000000000001", vec![long_running(3)]));
    fleet.run_steps(6);
    assert_eq!(fleet.instances[0].running.len(), 3);
    fleet.instances[0].settle_capacity(SMALL_CAPACITY);
    fleet.run_steps(1);
    fleet.submit(stored_job("0000000000000002", vec![stage(1)]));
    let best_effort = Stage { is_best_effort: true, ..stage(1) };
    fleet.submit(stored_job("0000000000000003", vec![best_effort]));
    fleet.cell.take_events();
    fleet.run_steps(60);
    let is_assigned = |event: &CellEvent| matches!(event, CellEvent::Assigned { .. });
    assert!(!fleet.cell.take_events().iter().any(is_assigned));
    let running: Vec<&str> =
        fleet.instances[0].running.keys().map(|task| task.job.as_str()).collect();
    assert_eq!(running, ["0000000000000001"; 3], "the runs continue, and nothing starts");
    fleet.instances[0].settle_capacity(CAPACITY);
    fleet.run_steps(3);
    assert_eq!(fleet.start_count, 5, "capacity that is back is used");
}

/// Guards against a larger capacity that a late report brings back: two reports of an agent may
/// overtake each other.
#[test]
fn report_older_than_the_last_changes_no_status() {
    let mut fleet = Fleet::new(1, 1);
    fleet.run_steps(3);
    let late = fleet.instances[0].report();
    fleet.instances[0].settle_capacity(SMALL_CAPACITY);
    fleet.run_steps(2);
    fleet.cell.handle_report(late, true, fleet.now);
    fleet.submit(stored_job("0000000000000001", vec![long_running(4)]));
    fleet.cell.plan(0, fleet.now);
    let assigned = fleet.cell.take_events().into_iter();
    let assigned = assigned.filter(|event| matches!(event, CellEvent::Assigned { .. }));
    assert_eq!(assigned.count(), 2);
}

/// Guards against starts that were planned before the capacity shrank and committed after it.
#[test]
fn commit_succeeded_sends_no_start_beyond_a_smaller_capacity() {
    let mut fleet = Fleet::new(1, 1);
    fleet.run_steps(3);
    fleet.commit_time = Duration::from_secs(5);
    fleet.submit(stored_job("0000000000000001", vec![long_running(3)]));
    fleet.run_steps(1);
    fleet.instances[0].settle_capacity(SMALL_CAPACITY);
    fleet.run_steps(120);
    fleet.commit_time = Duration::ZERO;
    fleet.run_steps(120);
    assert_eq!(fleet.instances[0].running.len(), 2, "the tasks that fit run");
    fleet.instances[0].settle_capacity(CAPACITY);
    fleet.run_steps(3);
    assert_eq!(fleet.instances[0].running.len(), 3);
}

/// Guards against a start that is sent with the commit of an earlier attempt: after a failure of the
/// owner, its successor doesn't know the run and starts the task a second time.
#[test]
fn commit_succeeded_sends_no_start_of_a_later_attempt() {
    let mut fleet = Fleet::new(1, 1);
    fleet.run_steps(3);
    fleet.commit_time = Duration::from_secs(1);
    fleet.submit(stored_job("0000000000000001", vec![long_running(1)]));
    fleet.run_steps(5);
    // The new session shows that the first attempt wasn't started, and the task is assigned again
    // while the commit of the first attempt is in flight.
    fleet.restart_agent(0);
    fleet.run_steps(20);
    assert_eq!(fleet.start_count, 0);
    fleet.run_steps(20);
    assert_eq!(fleet.start_count, 1);
}

/// Guards against start orders that reach the agent after it has learned of a smaller capacity.
#[test]
fn start_order_planned_against_a_larger_capacity_is_refused() {
    let mut fleet = Fleet::new(1, 1);
    fleet.run_steps(3);
    fleet.submit(stored_job("0000000000000001", vec![long_running(3)]));
    fleet.cell.plan(0, fleet.now);
    fleet.commit();
    fleet.instances[0].settle_capacity(SMALL_CAPACITY);
    fleet.run_steps(60);
    assert_eq!(fleet.instances[0].running.len(), 2, "the tasks that fit run");
    fleet.instances[0].settle_capacity(CAPACITY);
    fleet.run_steps(3);
    assert_eq!(fleet.instances[0].running.len(), 3, "capacity that is back is used");
}

/// Guards against members of a gang that wait for one whose start was withdrawn.
#[test]
fn commit_succeeded_withdraws_all_members_of_a_gang() {
    let mut fleet = Fleet::new(2, 1);
    fleet.run_steps(3);
    fleet.commit_time = Duration::from_secs(2);
    let gang = Stage { is_gang: true, max_per_worker: Some(2), ..long_running(4) };
    fleet.submit(stored_job("0000000000000001", vec![gang]));
    fleet.run_steps(1);
    fleet.instances[1].settle_capacity(Resources { cpu_milli: 3_000, ..CAPACITY });
    fleet.run_steps(45);
    fleet.commit_time = Duration::ZERO;
    fleet.run_steps(45);
    assert!(fleet.instances.iter().all(|instance| instance.running.is_empty()));
    fleet.instances[1].settle_capacity(CAPACITY);
    fleet.run_steps(60);
    assert!(fleet.instances.iter().all(|instance| instance.running.len() == 2));
}

/// Guards against members of a gang that wait for one whose start the agent refused.
#[test]
fn report_of_a_refused_gang_member_stops_the_others() {
    let mut fleet = Fleet::new(2, 1);
    fleet.run_steps(3);
    let gang = Stage { is_gang: true, max_per_worker: Some(2), ..long_running(4) };
    fleet.submit(stored_job("0000000000000001", vec![gang]));
    fleet.cell.plan(0, fleet.now);
    fleet.commit();
    fleet.instances[1].settle_capacity(SMALL_CAPACITY);
    fleet.run_steps(5);
    assert!(fleet.instances.iter().all(|instance| instance.running.is_empty()));
    fleet.run_steps(60);
    assert!(fleet.instances.iter().all(|instance| instance.running.len() == 2));
}

/// Guards against a task that waits beside free capacity because nothing but time has passed: the
/// worker's back-off after the refusal ends without a report of a change.
#[test]
fn tick_plans_again_after_the_back_off_of_a_refusal() {
    let mut fleet = Fleet::new(1, 1);
    fleet.run_steps(3);
    fleet.submit(stored_job("0000000000000001", vec![long_running(1)]));
    fleet.cell.plan(0, fleet.now);
    fleet.commit();
    fleet.instances[0].settle_capacity(SMALL_CAPACITY);
    fleet.run_steps(3);
    assert!(fleet.instances[0].running.is_empty(), "the start is refused");
    fleet.run_steps(30);
    assert_eq!(fleet.instances[0].running.len(), 1);
}

/// Guards against a new owner that plans against a capacity that its predecessor knew.
#[test]
fn restore_starts_nothing_before_the_capacity_is_reported() {
    let mut fleet = Fleet::new(1, 1);
    fleet.submit(stored_job("0000000000000001", vec![long_running(2)]));
    fleet.run_steps(6);
    assert_eq!(fleet.instances[0].running.len(), 2);
    fleet.replace_owner();
    fleet.instances[0].is_disconnected = true;
    fleet.instances[0].settle_capacity(SMALL_CAPACITY);
    fleet.submit(stored_job("0000000000000002", vec![long_running(1)]));
    fleet.cell.take_events();
    fleet.run_steps(40);
    fleet.instances[0].is_disconnected = false;
    fleet.run_steps(40);
    let is_assigned = |event: &CellEvent| matches!(event, CellEvent::Assigned { .. });
    assert!(!fleet.cell.take_events().iter().any(is_assigned));
    fleet.cancel("0000000000000001");
    fleet.run_steps(20);
    assert_eq!(fleet.instances[0].running.len(), 1, "the free capacity is used");
}

#[parameterized(
    seed_1 = { 1 },
    seed_2 = { 2 },
    seed_3 = { 3 },
    seed_4 = { 4 },
    seed_5 = { 5 },
    seed_6 = { 6 },
)]
fn cell_upholds_invariants_under_random_faults(seed: u64) {
    run_random_faults(seed, false);
}

#[parameterized(
    seed_1 = { 1 },
    seed_2 = { 2 },
    seed_3 = { 3 },
    seed_4 = { 4 },
    seed_5 = { 5 },
    seed_6 = { 6 },
    seed_7 = { 7 },
    seed_8 = { 8 },
)]
fn cell_upholds_invariants_while_capacities_change(seed: u64) {
    run_random_faults(seed, true);
}

fn run_random_faults(seed: u64, do_capacities_change: bool) {
    let mut fleet = Fleet::new(5, seed);
    let mut faults = ChaCha8Rng::seed_from_u64(seed + 1_000);
    let mut changes = ChaCha8Rng::seed_from_u64(seed + 2_000);
    let mut cancelled = BTreeSet::new();
    if do_capacities_change {
        fleet.max_stop_ms = 1_000;
    }
    for round in 0_u64..1_500 {
        if round % 25 == 0 && round < 1_000 {
            let second = Stage { after: vec![0], ..stage(faults.random_range(1..5)) };
            let first = stage(faults.random_range(1..6));
            let mut stages = vec![first, second];
            if do_capacities_change {
                stages.push(Stage { is_best_effort: true, ..stage(changes.random_range(1..4)) });
            }
            fleet.submit(stored_job(&format!("{round:016x}"), stages));
        }
        fleet.step();
        if round > 1_000 {
            for instance in &mut fleet.instances {
                instance.is_disconnected = false;
                instance.settle_capacity(CAPACITY);
            }
            fleet.commit_time = Duration::ZERO;
            continue;
        }
        if do_capacities_change {
            fleet.change_conditions(&mut changes);
        }
        let index = faults.random_range(0..5);
        match faults.random_range(0..120) {
            0 => fleet.replace_owner(),
            1 => fleet.restart_worker(index),
            2 | 3 => fleet.restart_agent(index),
            4 => fleet.instances[index].is_disconnected = true,
            5..=9 => fleet.instances[index].is_disconnected = false,
            10 => {
                let job = format!("{:016x}", (faults.random_range(0..=round) / 25) * 25);
                fleet.cancel(&job);
                cancelled.insert(job);
            }
            _ => {}
        }
    }
    for id in fleet.jobs.keys() {
        let state = fleet.cell.state(id);
        assert!(state.is_some_and(JobState::is_final), "{id}: {state:?}");
        let is_cancelled = state == Some(JobState::Cancelled);
        assert!(!is_cancelled || cancelled.contains(id), "{id} was cancelled without a request");
    }
}

/// Name of the first task of a job's first stage.
fn first_task(job: &str) -> TaskName {
    TaskName { job: job.to_owned(), occurrence: 0, stage: 0, index: 0 }
}

/// Tasks that the owner has given up, from its events.
fn given_up(events: &[CellEvent]) -> BTreeSet<TaskName> {
    let given_up = events.iter().filter_map(|event| match event {
        CellEvent::Suspected { task, is_given_up: true, .. } => Some(task.clone()),
        _ => None,
    });
    given_up.collect()
}

/// Guards against one task that crashes worker after worker, with all other runs there.
#[parameterized(
    seed_1 = { 1 },
    seed_2 = { 2 },
    seed_3 = { 3 },
    seed_4 = { 4 },
    seed_5 = { 5 },
    seed_6 = { 6 },
)]
fn task_that_crashes_its_workers_is_given_up(seed: u64) {
    let mut fleet = Fleet::new(8, seed);
    let mut events = Vec::new();
    let crashing: BTreeSet<TaskName> =
        (0..6).map(|number| first_task(&format!("{:016x}", 3 + number * 5))).collect();
    fleet.crashing = crashing.iter().map(|task| (task.clone(), 0)).collect();
    for job in 0..40 {
        fleet.submit(stored_job(&format!("{job:016x}"), vec![stage(6)]));
        fleet.run_steps(4);
        events.extend(fleet.cell.take_events());
    }
    fleet.run_steps(1_600);
    events.extend(fleet.cell.take_events());
    assert_eq!(given_up(&events), crashing);
    // The platform allows five starts.
    assert!(fleet.crashing.values().all(|start_count| *start_count <= 5), "{:?}", fleet.crashing);
    for id in fleet.jobs.keys() {
        let expected =
            if crashing.contains(&first_task(id)) { JobState::Failed } else { JobState::Completed };
        assert_eq!(fleet.cell.state(id), Some(expected), "{id}");
    }
}

/// Guards against crashes that count for nothing once the worker's lease has expired.
#[test]
fn task_that_crashes_its_workers_for_longer_than_a_lease_is_given_up() {
    let mut fleet = Fleet::new(6, 1);
    fleet.down_step_count = 160;
    let id = "0000000000000001";
    fleet.submit(stored_job(id, vec![stage(8)]));
    fleet.crashing.insert(first_task(id), 0);
    fleet.run_steps(2_000);
    assert!(fleet.crashing[&first_task(id)] <= 5, "{:?}", fleet.crashing);
    assert_eq!(fleet.cell.state(id), Some(JobState::Failed));
}

/// Guards against a count of crashes that begins anew with each owner.
#[parameterized(
    seed_1 = { 1 },
    seed_2 = { 2 },
    seed_3 = { 3 },
    seed_4 = { 4 },
)]
fn task_that_crashes_its_workers_is_given_up_by_later_owners(seed: u64) {
    let mut fleet = Fleet::new(6, seed);
    let id = "0000000000000001";
    fleet.submit(stored_job(id, vec![stage(8)]));
    fleet.crashing.insert(first_task(id), 0);
    let mut start_count = 0;
    for _ in 0..1_600 {
        fleet.step();
        let present_count = fleet.crashing[&first_task(id)];
        if present_count > start_count {
            start_count = present_count;
            fleet.run_steps(2);
            fleet.replace_owner();
        }
    }
    assert!(start_count <= 5, "started {start_count} times");
    assert_eq!(fleet.cell.state(id), Some(JobState::Failed));
}

/// Guards against innocent tasks that are given up because their workers crash for other reasons.
#[parameterized(
    seed_1 = { 1 },
    seed_2 = { 2 },
    seed_3 = { 3 },
    seed_4 = { 4 },
    seed_5 = { 5 },
    seed_6 = { 6 },
)]
fn crashes_by_other_causes_give_up_no_task(seed: u64) {
    let mut fleet = Fleet::new(8, seed);
    let mut faults = ChaCha8Rng::seed_from_u64(seed + 1_000);
    let mut events = Vec::new();
    for round in 0..1_500 {
        if round % 10 == 0 && round < 900 {
            fleet.submit(stored_job(&format!("{round:016x}"), vec![stage(5)]));
        }
        // A rack of three workers crashes, or a machine restarts, every five seconds.
        if round % 100 == 50 && round < 1_000 {
            let first = faults.random_range(0..6);
            if faults.random_range(0..2) == 0 {
                (first..first + 3).for_each(|index| fleet.crash_worker(index));
            } else {
                fleet.restart_worker(first);
                fleet.restart_agent(first);
            }
        }
        fleet.step();
        events.extend(fleet.cell.take_events());
    }
    assert_eq!(given_up(&events), BTreeSet::new());
    for id in fleet.jobs.keys() {
        assert_eq!(fleet.cell.state(id), Some(JobState::Completed), "{id}");
    }
}

/// Guards against tasks that are given up for crashes which another task may have caused.
#[test]
fn crashes_with_several_suspects_give_up_no_task_at_once() {
    let mut fleet = Fleet::new(1, 1);
    // The members of a gang can't be isolated.
    fleet.submit(stored_job("0000000000000001", vec![Stage { is_gang: true, ..stage(3) }]));
    let mut crash_count = 0;
    let mut start_count = 0;
    for _ in 0..1_000 {
        fleet.step();
        if crash_count < 3 && fleet.start_count >= start_count + 3 {
            start_count = fleet.start_count;
            crash_count += 1;
            fleet.crash_worker(0);
        }
    }
    assert_eq!(crash_count, 3);
    assert_eq!(given_up(&fleet.cell.take_events()), BTreeSet::new());
    assert_eq!(fleet.cell.state("0000000000000001"), Some(JobState::Completed));
}

/// Guards against jobs that count as begun although no start order reached a worker.
#[test]
fn pending_count_includes_jobs_whose_start_orders_were_lost() {
    let mut fleet = Fleet::new(1, 1);
    fleet.run_steps(4);
    fleet.submit(stored_job("0000000000000001", vec![stage(2)]));
    fleet.step();
    fleet.crash_worker(0);
    fleet.run_steps(4);
    let events = fleet.cell.take_events();
    assert!(events.iter().any(|event| matches!(event, CellEvent::Assigned { .. })));
    assert_eq!(fleet.cell.pending_count("queue"), 1);
    fleet.run_steps(200);
    assert_eq!(fleet.cell.state("0000000000000001"), Some(JobState::Completed));
    assert_eq!(fleet.cell.pending_count("queue"), 0);
}

/// Guards against suspicion of tasks on a lost machine by an owner that no agent of it has reached.
#[test]
fn restore_makes_no_task_of_a_lost_machine_a_suspect() {
    let mut fleet = Fleet::new(2, 1);
    fleet.submit(stored_job("0000000000000001", vec![long_running(4)]));
    fleet.run_steps(40);
    assert!(!fleet.instances[0].running.is_empty());
    fleet.instances[0].is_disconnected = true;
    // The owner's row says that the lease ends within a second.
    fleet.run_steps(95);
    assert_eq!(fleet.silent_workers.len(), 1);
    fleet.replace_owner();
    fleet.run_steps(40);
    let events = fleet.cell.take_events();
    assert!(events.iter().any(|event| matches!(event, CellEvent::Reclaimed { .. })));
    assert!(!events.iter().any(|event| matches!(event, CellEvent::Suspected { .. })));
}

/// Guards against a serving task that waits beside free capacity while suspects are being tried.
#[test]
fn quarantine_yields_to_a_waiting_serving_task() {
    let mut fleet = Fleet::new(1, 1);
    fleet.run_steps(4);
    fleet.submit(stored_job("0000000000000001", vec![Stage { task_count: 12, ..small_stage() }]));
    fleet.run_steps(3);
    fleet.crash_worker(0);
    fleet.run_steps(70);
    fleet.submit(stored_job(
        "0000000000000002",
        vec![Stage { is_long_running: true, ..small_stage() }],
    ));
    fleet.run_steps(50);
    let serving = first_task("0000000000000002");
    assert!(fleet.instances[0].running.contains_key(&serving), "no run within 2.5 s");
}

/// Stage of one task that leaves most of a worker free.
fn small_stage() -> Stage {
    Stage { resources: Resources { cpu_milli: 500, ..CAPACITY.minus(&CAPACITY) }, ..stage(1) }
}

/// Guards against suspicion of tasks on a machine that restarts as a whole.
#[test]
fn restart_of_a_machine_makes_no_task_a_suspect() {
    let mut fleet = Fleet::new(2, 1);
    fleet.submit(stored_job("0000000000000001", vec![stage(8)]));
    fleet.run_steps(6);
    fleet.restart_worker(0);
    fleet.restart_agent(0);
    fleet.run_steps(100);
    let events = fleet.cell.take_events();
    assert!(!events.iter().any(|event| matches!(event, CellEvent::Suspected { .. })));
    assert_eq!(fleet.cell.state("0000000000000001"), Some(JobState::Completed));
}

/// Guards against a second run of a task that a new owner reclaims although the lease of its worker
/// may have been extended: by an owner that doesn't know yet that it was replaced, while the commit
/// that lists or removes the worker is in flight, or by an owner that isn't sure of its takeover.
#[parameterized(
    seed_1 = { 1 },
    seed_2 = { 2 },
    seed_3 = { 3 },
    seed_4 = { 4 },
    seed_5 = { 5 },
    seed_6 = { 6 },
    seed_7 = { 7 },
    seed_8 = { 8 },
)]
fn take_over_upholds_invariants_with_a_slow_store(seed: u64) {
    // More seeds by hand: the number of them for each case.
    let seed_count = std::env::var("TAKEOVER_SEEDS").ok().and_then(|value| value.parse().ok());
    let seeds = seed_count.map_or(seed..seed + 1, |count: u64| seed * count..(seed + 1) * count);
    seeds.for_each(run_with_slow_store);
}

fn run_with_slow_store(seed: u64) {
    let mut faults = ChaCha8Rng::seed_from_u64(seed + 1_000);
    let max_delay_ms = [100, 600, 1_500, 2_500][faults.random_range(0..4)];
    println!("seed {seed}, commits are delayed by up to {max_delay_ms} ms");
    let mut fleet = Fleet::new(5, seed).with_slow_store(max_delay_ms);
    for round in 0_u64..2_500 {
        if round % 40 == 0 && round < 1_000 {
            let second = Stage { after: vec![0], ..stage(faults.random_range(1..5)) };
            let first = stage(faults.random_range(1..6));
            fleet.submit(stored_job(&format!("{round:016x}"), vec![first, second]));
        }
        fleet.step();
        fleet.replace_cut_owner();
        if round > 1_200 {
            if let Some(store) = &mut fleet.slow_store {
                store.max_delay_ms = 100;
            }
            fleet.instances.iter_mut().for_each(|instance| instance.is_disconnected = false);
            continue;
        }
        let index = faults.random_range(0..5);
        match faults.random_range(0..300) {
            0..=2 => fleet.restart_owner(),
            3..=5 => {
                if let Some(store) = &mut fleet.slow_store {
                    store.is_cut = true;
                }
            }
            6 => fleet.restart_worker(index),
            7 | 8 => fleet.restart_agent(index),
            9..=14 => fleet.instances[index].is_disconnected = true,
            15..=30 => fleet.instances[index].is_disconnected = false,
            _ => {}
        }
    }
    for id in fleet.jobs.keys() {
        let state = fleet.cell.state(id);
        assert!(state.is_some_and(JobState::is_final), "seed {seed}: {id}: {state:?}");
    }
}
