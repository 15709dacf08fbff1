//! Delegation of long-running tasks between two cells.
//!
//! [`Model`] explores the protocol without sockets: owners fail at any step and are replaced by ones
//! that know only what was committed, rows of delegations are stored late and received more than
//! once, and jobs are cancelled meanwhile. At each start it asserts that the task runs nowhere else.

mod util;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use teaseltrack::{
    cell::{
        Cell, StoredJob,
        delegation::Delegation,
        job::{JobId, JobSpec, Queue, QueueConfiguration, Stage},
        partition::CellId,
        progress::{JobProgress, JobState, TaskProgress},
        protocol::{
            EndCause, EndedTask, Order, Report, RunningTask, TaskName, WorkerListing, WorkerStatus,
        },
    },
    placement::Resources,
};
use util::CELL_SETTINGS;
use yare::parameterized;

const STEP: Duration = Duration::from_millis(100);
const WAIT: Duration = Duration::from_millis(1_300);
const CAPACITY: Resources = Resources { cpu_milli: 4_000, memory_mib: 16_000, accelerators: 0 };

fn queue() -> Queue {
    Queue { name: "queue".to_owned(), service: "service".to_owned(), ..Queue::default() }
}

fn job(id: &str, task_count: u32) -> StoredJob {
    let stage = Stage {
        task_count,
        resources: Resources { cpu_milli: 1_000, memory_mib: 1_000, accelerators: 0 },
        is_long_running: true,
        ..Stage::default()
    };
    StoredJob {
        id: id.to_owned(),
        spec: JobSpec { queue: "queue".to_owned(), stages: vec![stage], ..JobSpec::default() },
        queue: queue(),
        progress: None,
        is_cancelled: false,
        is_partial: false,
        age: Duration::ZERO,
    }
}

/// Worker with its agent.
#[derive(Debug, Default)]
struct Instance {
    session: u64,
    accepted_order: u64,
    clock_ms: u64,
    running: BTreeMap<TaskName, u32>,
    ended: Vec<EndedTask>,
    end_count: u64,
}

/// A cell's owner, its worker and its committed progress.
struct Site {
    id: CellId,
    epoch: u64,
    cell: Cell,
    instance: Instance,
    progress: BTreeMap<JobId, JobProgress>,
}

struct Model {
    now: Instant,
    sites: Vec<Site>,
    jobs: BTreeMap<JobId, StoredJob>,
    /// Delegations on the way to the store.
    unstored: Vec<Delegation>,
    stored: Vec<Delegation>,
    started: BTreeSet<(TaskName, u32)>,
}

fn new_cell(id: CellId, epoch: u64, now: Instant) -> Cell {
    let queues = vec![queue()];
    let configuration = QueueConfiguration { version: 1, queues, ..QueueConfiguration::default() };
    Cell::new(id, CELL_SETTINGS, epoch, configuration, now)
}

impl Model {
    fn new() -> Self {
        let now = Instant::now();
        let site = |id| Site {
            id,
            epoch: 1,
            cell: new_cell(id, 1, now),
            instance: Instance::default(),
            progress: BTreeMap::new(),
        };
        Self {
            now,
            sites: vec![site(0), site(1)],
            jobs: BTreeMap::new(),
            unstored: Vec::new(),
            stored: Vec::new(),
            started: BTreeSet::new(),
        }
    }

    /// Submits a job to cell 0.
    fn submit(&mut self, job: StoredJob) {
        self.jobs.insert(job.id.clone(), job.clone());
        self.sites[0].cell.admit(job, self.now);
    }

    fn cancel(&mut self, id: &str) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.is_cancelled = true;
        }
        for site in &mut self.sites {
            site.cell.cancel(id);
        }
    }

    /// Replaces an owner by one that knows only what is stored.
    fn replace_owner(&mut self, index: usize) {
        let site = &mut self.sites[index];
        site.epoch += 1;
        site.cell = new_cell(site.id, site.epoch, self.now + Duration::from_secs(4));
        let delegations: Vec<Delegation> =
            self.stored.iter().filter(|found| found.cell == site.id).cloned().collect();
        for job in self.jobs.values() {
            let is_partial = site.id != 0;
            let is_delegated = delegations.iter().any(|found| found.task.job == job.id);
            if !is_partial || is_delegated {
                let progress = site.progress.get(&job.id).cloned();
                site.cell.admit(StoredJob { progress, is_partial, ..job.clone() }, self.now);
            }
        }
        for delegation in delegations {
            site.cell.admit_delegation(delegation, self.now);
        }
    }

    /// Delegates all tasks of cell 0 that have waited long enough.
    fn delegate(&mut self) {
        let cell = &mut self.sites[0].cell;
        for unplaced in cell.unplaced_tasks(WAIT, self.now) {
            unplaced.tasks.iter().for_each(|task| cell.delegate(task, 1));
        }
    }

    /// Stores the oldest delegation on the way; the other cell receives it `count` times.
    fn store_delegation(&mut self, count: usize) {
        if self.unstored.is_empty() {
            return;
        }
        let delegation = self.unstored.remove(0);
        if self.stored.iter().any(|found| found.task == delegation.task) {
            return;
        }
        self.stored.push(delegation.clone());
        let is_cancelled = self.jobs[&delegation.task.job].is_cancelled;
        for _ in 0..if is_cancelled { 0 } else { count } {
            self.sites[1].cell.admit_delegation(delegation.clone(), self.now);
        }
    }

    fn commit(&mut self, index: usize) {
        let site = &mut self.sites[index];
        while let Some(batch) = site.cell.next_commit(50) {
            site.progress.extend(batch.rows);
            site.cell.commit_succeeded();
        }
        self.unstored.extend(site.cell.take_delegations());
    }

    fn step(&mut self) {
        self.now += STEP;
        for index in 0..self.sites.len() {
            self.exchange_report(index);
            let cell = &mut self.sites[index].cell;
            cell.tick(self.now);
            cell.plan(0, self.now);
            self.commit(index);
        }
    }

    fn exchange_report(&mut self, index: usize) {
        let Site { id, cell, instance, .. } = &mut self.sites[index];
        instance.clock_ms += STEP.as_millis() as u64;
        let running = instance.running.iter().map(|(task, attempt)| RunningTask {
            task: task.clone(),
            attempt: *attempt,
            checkpoint: String::new(),
            percent: 100,
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
                started_unix_ms: 1,
                service: "service".to_owned(),
                capacity: CAPACITY,
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
                let is_running =
                    self.sites.iter().any(|site| site.instance.running.contains_key(&start.task));
                assert!(!is_running, "{} is already running", start.task);
                let is_new = self.started.insert((start.task.clone(), start.attempt));
                assert!(is_new, "{} started twice as attempt {}", start.task, start.attempt);
                self.sites[index].instance.running.insert(start.task, start.attempt);
            }
            Order::Stop(task, attempt) => self.end(index, &task, attempt, EndCause::Stopped),
            Order::Traits(_) => {}
        }
    }

    fn end(&mut self, index: usize, task: &TaskName, attempt: u32, cause: EndCause) {
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

    fn running(&self, index: usize) -> usize {
        self.sites[index].instance.running.len()
    }

    fn run_steps(&mut self, count: usize) {
        (0..count).for_each(|_| self.step());
    }
}

/// Load pattern: more long-running tasks than their cell has room for, beside an empty cell.
#[test]
fn delegate_runs_waiting_tasks_in_a_cell_with_room() {
    let mut model = Model::new();
    model.submit(job("0000000000000001", 6));
    model.run_steps(25);
    assert_eq!((model.running(0), model.running(1)), (4, 0));
    model.delegate();
    model.run_steps(1);
    assert_eq!(model.unstored.len(), 2);
    model.store_delegation(1);
    model.store_delegation(2);
    model.run_steps(5);
    assert_eq!((model.running(0), model.running(1)), (4, 2));
}

#[test]
fn delegate_waits_for_its_commit() {
    let mut model = Model::new();
    model.submit(job("0000000000000001", 6));
    model.run_steps(25);
    model.delegate();
    assert_eq!(model.sites[0].cell.take_delegations(), []);
}

#[test]
fn restore_stores_delegations_again() {
    let mut model = Model::new();
    model.submit(job("0000000000000001", 6));
    model.run_steps(25);
    model.delegate();
    model.run_steps(1);
    model.unstored.clear();
    model.replace_owner(0);
    model.run_steps(1);
    assert_eq!(model.unstored.len(), 2);
}

/// Guards against a task that crashes its workers and is counted anew in the next cell.
#[test]
fn delegate_keeps_the_number_of_crashes() {
    let mut model = Model::new();
    model.submit(job("0000000000000001", 4));
    model.run_steps(25);
    let suspect = TaskProgress { crash_count: 3, sole_crash_count: 1, ..TaskProgress::default() };
    let occurrences = vec![vec![vec![suspect]]];
    let progress = Some(JobProgress { state: JobState::Active, occurrences });
    model.submit(StoredJob { progress, ..job("0000000000000002", 1) });
    model.run_steps(25);
    model.delegate();
    model.run_steps(1);
    model.store_delegation(1);
    model.run_steps(1);
    let delegated = &model.sites[1].progress["0000000000000002"].occurrences[0][0][0];
    assert_eq!((delegated.crash_count, delegated.sole_crash_count), (3, 1));
    model.run_steps(5);
    assert_eq!(model.running(1), 1);
}

#[test]
fn cancel_stops_delegated_tasks() {
    let mut model = Model::new();
    model.submit(job("0000000000000001", 6));
    model.run_steps(25);
    model.delegate();
    model.run_steps(1);
    model.store_delegation(1);
    model.store_delegation(1);
    model.run_steps(5);
    model.cancel("0000000000000001");
    model.run_steps(3);
    assert_eq!((model.running(0), model.running(1)), (0, 0));
    assert_eq!(model.sites[1].cell.state("0000000000000001"), None, "shown by the job's own cell");
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
fn delegation_keeps_one_run_of_a_task_under_random_faults(seed: u64) {
    let mut model = Model::new();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    for round in 0_u64..1_200 {
        if round % 100 == 0 && round < 1_000 {
            model.submit(job(&format!("{round:016x}"), rng.random_range(1..5)));
        }
        model.step();
        match rng.random_range(0..40) {
            0 => model.replace_owner(0),
            1 => model.replace_owner(1),
            2..=4 => model.store_delegation(rng.random_range(1..3)),
            5 | 6 => model.delegate(),
            // The owner fails after the commit and before the row is stored.
            7 => {
                model.delegate();
                model.commit(0);
                model.unstored.clear();
                model.replace_owner(0);
            }
            8 => {
                let index = rng.random_range(0..2);
                let running = model.sites[index].instance.running.iter().next();
                if let Some((task, attempt)) = running.map(|(task, run)| (task.clone(), *run)) {
                    model.end(index, &task, attempt, EndCause::Failed);
                }
            }
            9 if round % 3 == 0 => model.cancel(&format!("{:016x}", round / 100 * 100)),
            _ => {}
        }
    }
    while !model.unstored.is_empty() {
        model.store_delegation(1);
    }
    model.run_steps(100);
    for (id, job) in &model.jobs {
        let runs = model.sites.iter().flat_map(|site| site.instance.running.keys());
        let count = runs.filter(|task| task.job == *id).count() as u32;
        let has_room = model.running(0) < 4 && model.running(1) < 4;
        if job.is_cancelled {
            assert_eq!(count, 0, "{id} was cancelled");
        } else if has_room {
            assert_eq!(count, job.spec.stages[0].task_count, "{id} has all tasks running");
        }
    }
}
