//! Owners of several cells, each with one worker, without sockets.
//!
//! Owners fail at any step and are replaced by ones that know only what was committed, and rows of
//! delegations are stored late and received more than once. Each start is checked: the task runs
//! nowhere else. Tasks that wait beside room are tracked with the time since which they do.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use teaseltrack::{
    cell::{
        Cell, StoredJob,
        delegation::Delegation,
        job::{JobId, JobSpec, Queue, QueueConfiguration, Stage},
        partition::CellId,
        progress::JobProgress,
        protocol::{
            EndCause, EndedTask, Order, Report, RunningTask, TaskName, WorkerListing, WorkerStatus,
        },
        room_promises::{RoomRequest, distribute},
    },
    placement::Resources,
};

use crate::util::CELL_SETTINGS;

pub const STEP: Duration = Duration::from_millis(100);
/// Waiting time after which a task may be delegated.
pub const WAIT: Duration = Duration::from_millis(1_300);
/// Time for which the platform lets a long-running task wait while there is room for two of it.
pub const MAX_WAIT_BESIDE_ROOM: Duration = Duration::from_secs(3);

/// CPU and memory of a task.
const TASK: Resources = Resources { cpu_milli: 1_000, memory_mib: 1_000, accelerators: 0 };

/// Capacity of a worker for a number of tasks.
pub fn capacity(task_count: u64) -> Resources {
    let cpu_milli = TASK.cpu_milli * task_count;
    Resources { cpu_milli, memory_mib: 16_000, accelerators: 0 }
}

pub fn queue() -> Queue {
    Queue { name: "queue".to_owned(), service: "service".to_owned(), ..Queue::default() }
}

pub fn stage(task_count: u32) -> Stage {
    Stage { task_count, resources: TASK, is_long_running: true, ..Stage::default() }
}

pub fn job(id: &str, task_count: u32) -> StoredJob {
    job_of(id, vec![stage(task_count)])
}

pub fn job_of(id: &str, stages: Vec<Stage>) -> StoredJob {
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

/// Task of a job's first stage.
pub fn task(id: &str, index: u32) -> TaskName {
    TaskName { job: id.to_owned(), occurrence: 0, stage: 0, index }
}

/// Worker with its agent.
#[derive(Debug)]
pub struct Instance {
    pub capacity: Resources,
    pub labels: Vec<String>,
    /// Whether the agent has stopped reporting.
    pub is_silent: bool,
    pub running: BTreeMap<TaskName, u32>,
    /// Completed share of all runs as listed.
    pub percent: u32,
    /// Start of the worker's current incarnation.
    started_unix_ms: u64,
    session: u64,
    accepted_order: u64,
    clock_ms: u64,
    ended: Vec<EndedTask>,
    end_count: u64,
}

/// A cell's owner, its worker and its committed progress.
pub struct Site {
    pub cell: Cell,
    pub instance: Instance,
    pub progress: BTreeMap<JobId, JobProgress>,
    id: CellId,
    epoch: u64,
}

impl Site {
    fn new(id: CellId, now: Instant) -> Self {
        Self {
            cell: new_cell(id, 1, now),
            instance: Instance {
                capacity: capacity(4),
                labels: Vec::new(),
                is_silent: false,
                running: BTreeMap::new(),
                percent: 100,
                started_unix_ms: 1,
                session: 0,
                accepted_order: 0,
                clock_ms: 0,
                ended: Vec::new(),
                end_count: 0,
            },
            progress: BTreeMap::new(),
            id,
            epoch: 1,
        }
    }
}

pub struct Model {
    pub sites: Vec<Site>,
    /// Jobs with their home cells.
    pub jobs: BTreeMap<JobId, (CellId, StoredJob)>,
    /// Delegations on the way to the store.
    pub unstored: Vec<Delegation>,
    /// Delegations that cells have received.
    pub received: Vec<Delegation>,
    pub now: Instant,
    stored: Vec<Delegation>,
    /// Ends of jobs on the way to the store.
    pub unstored_ends: Vec<JobId>,
    stored_ends: BTreeSet<JobId>,
    started: BTreeSet<(TaskName, u32)>,
    /// Tasks that wait, with the time since which there has been room for two of them in a cell.
    beside_room: BTreeMap<TaskName, Instant>,
    /// Longest time for which a task has waited beside room.
    pub longest_wait: Duration,
}

fn new_cell(id: CellId, epoch: u64, now: Instant) -> Cell {
    let queues = vec![queue()];
    let configuration = QueueConfiguration { version: 1, queues, ..QueueConfiguration::default() };
    Cell::new(id, CELL_SETTINGS, epoch, configuration, now)
}

impl Model {
    /// Two cells with room for four tasks each.
    pub fn new() -> Self {
        Self::with_cells(2)
    }

    pub fn with_cells(count: CellId) -> Self {
        let now = Instant::now();
        Self {
            sites: (0..count).map(|id| Site::new(id, now)).collect(),
            jobs: BTreeMap::new(),
            unstored: Vec::new(),
            received: Vec::new(),
            now,
            stored: Vec::new(),
            unstored_ends: Vec::new(),
            stored_ends: BTreeSet::new(),
            started: BTreeSet::new(),
            beside_room: BTreeMap::new(),
            longest_wait: Duration::ZERO,
        }
    }

    /// Submits a job to cell 0.
    pub fn submit(&mut self, job: StoredJob) {
        self.submit_to(0, job);
    }

    pub fn submit_to(&mut self, cell: CellId, job: StoredJob) {
        self.jobs.insert(job.id.clone(), (cell, job.clone()));
        self.sites[cell as usize].cell.admit(job, self.now);
    }

    pub fn cancel(&mut self, id: &str) {
        if let Some((_, job)) = self.jobs.get_mut(id) {
            job.is_cancelled = true;
        }
        for site in &mut self.sites {
            site.cell.cancel(id);
        }
    }

    /// Replaces an owner by one that knows only what is stored.
    pub fn replace_owner(&mut self, index: usize) {
        let site = &mut self.sites[index];
        site.epoch += 1;
        site.cell = new_cell(site.id, site.epoch, self.now + Duration::from_secs(4));
        let delegations: Vec<Delegation> =
            self.stored.iter().filter(|found| found.cell == site.id).cloned().collect();
        for (home, job) in self.jobs.values() {
            let is_partial = site.id != *home;
            let progress = site.progress.get(&job.id).cloned();
            let is_delegated = delegations.iter().any(|found| found.task.job == job.id);
            if !is_partial || is_delegated || progress.is_some() {
                let has_ended = is_partial && self.stored_ends.contains(&job.id);
                let is_cancelled = job.is_cancelled || has_ended;
                let stored = StoredJob { progress, is_partial, is_cancelled, ..job.clone() };
                site.cell.admit(stored, self.now);
            }
        }
        for delegation in delegations {
            site.cell.admit_delegation(delegation, self.now);
        }
        self.stored.iter().for_each(|found| site.cell.note_hand_over(&found.task.job));
        self.beside_room.clear();
    }

    /// Starts the measurement of waits anew, after a fault.
    pub fn reset_waits(&mut self) {
        self.beside_room.clear();
        self.longest_wait = Duration::ZERO;
    }

    /// Delegates all tasks of cell 0 that have waited long enough to cell 1.
    pub fn delegate(&mut self) {
        let cell = &mut self.sites[0].cell;
        for unplaced in cell.unplaced_tasks(WAIT, self.now) {
            unplaced.tasks.iter().for_each(|task| cell.delegate(task, 1, self.now));
        }
    }

    /// Delegates tasks that have waited long enough to cells with room.
    pub fn search_cells(&mut self, index: usize) {
        let unplaced = self.sites[index].cell.unplaced_tasks(WAIT, self.now);
        let requests: Vec<RoomRequest> = unplaced.iter().filter_map(RoomRequest::of).collect();
        let count = self.sites.len();
        let mut rooms = Vec::new();
        for other in (1..count).map(|step| (index + step) % count) {
            let cell = &mut self.sites[other].cell;
            rooms.push((other as CellId, cell.promise_rooms(&requests, self.now)));
        }
        for (task, cell) in distribute(unplaced, &rooms) {
            self.sites[index].cell.delegate(&task, cell, self.now);
        }
    }

    /// Stores the oldest delegation on the way; the other cell receives it `count` times.
    pub fn store_delegation(&mut self, count: usize) {
        if !self.unstored.is_empty() {
            let delegation = self.unstored.remove(0);
            self.store(delegation, count);
        }
    }

    /// Stores a delegation unless a later one of the task is stored.
    pub fn store(&mut self, delegation: Delegation, count: usize) {
        let stored = self.stored.iter_mut().find(|found| found.task == delegation.task);
        match stored {
            Some(stored) if stored.hand_over >= delegation.hand_over => return,
            Some(stored) => *stored = delegation.clone(),
            None => self.stored.push(delegation.clone()),
        }
        self.sites.iter_mut().for_each(|site| site.cell.note_hand_over(&delegation.task.job));
        (0..count).for_each(|_| self.receive(delegation.clone()));
    }

    /// Stores the ends of jobs on the way; the owners of all cells read them.
    pub fn store_ends(&mut self) {
        for id in std::mem::take(&mut self.unstored_ends) {
            self.sites.iter_mut().for_each(|site| site.cell.end_partial_job(&id));
            self.stored_ends.insert(id);
        }
    }

    /// Delivers a delegation that was read from the store.
    pub fn receive(&mut self, delegation: Delegation) {
        let id = &delegation.task.job;
        if self.jobs[id].1.is_cancelled || self.stored_ends.contains(id) {
            return;
        }
        self.received.push(delegation.clone());
        self.sites[delegation.cell as usize].cell.admit_delegation(delegation, self.now);
    }

    pub fn store_all_delegations(&mut self) {
        while !self.unstored.is_empty() {
            self.store_delegation(1);
        }
    }

    pub fn commit(&mut self, index: usize) {
        let site = &mut self.sites[index];
        while let Some(batch) = site.cell.next_commit(50) {
            site.progress.extend(batch.rows);
            site.cell.commit_succeeded();
        }
        self.unstored.extend(site.cell.take_delegations());
        self.unstored_ends.extend(site.cell.take_ended_jobs());
    }

    pub fn step(&mut self) {
        self.now += STEP;
        for index in 0..self.sites.len() {
            self.exchange_report(index);
            let cell = &mut self.sites[index].cell;
            cell.tick(self.now);
            cell.plan(0, self.now);
            self.commit(index);
        }
        self.track_waits();
    }

    /// Steps in which all owners look for room in other cells, and rows arrive at once.
    pub fn run_steps_with_searches(&mut self, count: usize) {
        for _ in 0..count {
            self.step();
            (0..self.sites.len()).for_each(|index| self.search_cells(index));
            self.store_all_delegations();
            self.store_ends();
        }
    }

    pub fn run_steps(&mut self, count: usize) {
        (0..count).for_each(|_| self.step());
    }

    fn exchange_report(&mut self, index: usize) {
        let Site { id, cell, instance, .. } = &mut self.sites[index];
        if instance.is_silent {
            return;
        }
        instance.clock_ms += STEP.as_millis() as u64;
        let running = instance.running.iter().map(|(task, attempt)| RunningTask {
            task: task.clone(),
            attempt: *attempt,
            checkpoint: String::new(),
            percent: instance.percent,
            gauge: 1,
        });
        let listing =
            WorkerListing { running: Some(running.collect()), ended: instance.ended.clone() };
        let report = Report {
            cell: *id,
            agent: format!("agent-{id}"),
            started_unix_ms: 1,
            session: instance.session,
            status: Some(WorkerStatus {
                worker: format!("worker-{id}"),
                started_unix_ms: instance.started_unix_ms,
                service: "service".to_owned(),
                capacity: instance.capacity,
                labels: instance.labels.clone(),
                ..WorkerStatus::default()
            }),
            worker_clock_ms: instance.clock_ms,
            is_worker_reachable: true,
            listing: (instance.session > 0).then_some(listing),
            accepted_order: instance.accepted_order,
            ..Report::default()
        };
        let response = cell.handle_report(report, true, self.now);
        if response.session > instance.session {
            instance.session = response.session;
            instance.accepted_order = 0;
            return;
        }
        instance.ended.retain(|end| end.number > response.forget_until);
        for (number, order) in (response.first_order..).zip(response.orders) {
            if number != self.sites[index].instance.accepted_order + 1 {
                continue;
            }
            self.sites[index].instance.accepted_order = number;
            self.execute(index, order);
        }
    }

    fn execute(&mut self, index: usize, order: Order) {
        match order {
            Order::Start(start) => {
                assert!(!self.is_running(&start.task), "{} is already running", start.task);
                let is_new = self.started.insert((start.task.clone(), start.attempt));
                assert!(is_new, "{} started twice as attempt {}", start.task, start.attempt);
                self.sites[index].instance.running.insert(start.task, start.attempt);
            }
            Order::Stop(task, attempt) => self.end(index, &task, attempt, EndCause::Stopped),
            Order::Traits(_) => {}
        }
    }

    pub fn end(&mut self, index: usize, task: &TaskName, attempt: u32, cause: EndCause) {
        let instance = &mut self.sites[index].instance;
        if instance.running.remove(task).is_some() {
            instance.end_count += 1;
            instance.ended.push(EndedTask {
                number: instance.end_count,
                task: task.clone(),
                attempt,
                cause,
                checkpoint: String::new(),
            });
        }
    }

    /// Ends all runs of a job in a cell as failed.
    pub fn fail_runs(&mut self, index: usize, id: &str) {
        let running = self.sites[index].instance.running.clone();
        for (task, attempt) in running.iter().filter(|(task, _)| task.job == id) {
            self.end(index, task, *attempt, EndCause::Failed);
        }
    }

    /// Restarts a cell's worker without its runs; its agent goes on.
    pub fn crash_worker(&mut self, index: usize) {
        let instance = &mut self.sites[index].instance;
        instance.started_unix_ms += 1;
        instance.running.clear();
        instance.ended.clear();
        instance.end_count = 0;
        instance.session = 0;
        instance.accepted_order = 0;
    }

    pub fn is_running(&self, task: &TaskName) -> bool {
        self.sites.iter().any(|site| site.instance.running.contains_key(task))
    }

    /// Number of runs in a cell.
    pub fn running(&self, index: usize) -> usize {
        self.sites[index].instance.running.len()
    }

    /// Number of runs of a job in a cell.
    pub fn runs_of(&self, index: usize, id: &str) -> usize {
        self.sites[index].instance.running.keys().filter(|task| task.job == id).count()
    }

    fn has_room_for_two(&self) -> bool {
        self.sites.iter().any(|site| {
            let used_milli = site.instance.running.len() as u64 * TASK.cpu_milli;
            site.instance.capacity.cpu_milli >= used_milli + 2 * TASK.cpu_milli
        })
    }

    fn track_waits(&mut self) {
        if !self.has_room_for_two() {
            return self.beside_room.clear();
        }
        for (id, (_, job)) in &self.jobs {
            for index in 0..job.spec.stages[0].task_count {
                let task = task(id, index);
                if job.is_cancelled || self.is_running(&task) {
                    self.beside_room.remove(&task);
                    continue;
                }
                let since = *self.beside_room.entry(task).or_insert(self.now);
                self.longest_wait = self.longest_wait.max(self.now.duration_since(since));
            }
        }
    }
}
