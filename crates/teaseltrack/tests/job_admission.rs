//! Admission of jobs while more work arrives than the workers complete.
//!
//! Quick jobs of the highest priority reserve CPU; plans are best-effort and use what quick jobs leave.

mod util;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::{Duration, Instant},
};

use teaseltrack::{
    cell::{
        Cell, CellSettings, StoredJob,
        admission::{AdmissionReason, JobOutline},
        job::{JobSpec, Queue, QueueConfiguration, Schedule, Stage},
        progress::JobState,
        protocol::{
            EndCause, EndedTask, Order, Report, RunningTask, TaskName, WorkerListing, WorkerStatus,
        },
    },
    placement::Resources,
};
use util::CELL_SETTINGS;
use yare::parameterized;

const STEP: Duration = Duration::from_millis(50);
const CORE_COUNT: f64 = 64.0;
const CAPACITY: Resources = Resources { cpu_milli: 16_000, memory_mib: 64_000, accelerators: 0 };
/// Timeout of a caller.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Number of times that a rejected caller returns.
const MAX_RETRIES: u32 = 4;

#[derive(Default)]
struct Instance {
    session: u64,
    accepted_order: u64,
    /// Attempt and remaining core-milliseconds of each run.
    running: BTreeMap<TaskName, (u32, f64)>,
    ended: Vec<EndedTask>,
    end_count: u64,
    is_silent: bool,
}

#[derive(Clone, Debug)]
struct Submitted {
    kind: &'static str,
    zone: &'static str,
    task_count: u32,
    at: Instant,
    try_count: u32,
    returns_at: Option<Instant>,
    completed_after: Option<Duration>,
}

/// Simulated workers, the callers of two queues, and the owner.
struct Fleet {
    start: Instant,
    now: Instant,
    cell: Cell,
    instances: Vec<Instance>,
    jobs: BTreeMap<String, Submitted>,
    /// Whether the owner is asked before a job is submitted.
    is_admission_on: bool,
    rejection_count: usize,
    task_memory_mib: u64,
}

fn queue(name: &str, priority: u32) -> Queue {
    Queue {
        name: name.to_owned(),
        service: "service".to_owned(),
        priority,
        max_attempts: 3,
        stretch: 1.5,
        objective_ms: 250,
    }
}

fn configuration() -> QueueConfiguration {
    let queues = vec![queue("quick", 0), queue("plan", 2)];
    QueueConfiguration { version: 1, queues, ..QueueConfiguration::default() }
}

/// Job of a number of tasks; a plan has longer and larger ones than a quick job.
fn spec(kind: &str, task_count: u32) -> JobSpec {
    let is_plan = kind == "plan";
    let cpu_milli = if is_plan { 2_000 } else { 1_000 };
    let stage = Stage {
        task_count,
        resources: Resources { cpu_milli, memory_mib: 100, accelerators: 0 },
        estimate_ms: if is_plan { 1_600 } else { 600 },
        is_best_effort: is_plan,
        ..Stage::default()
    };
    JobSpec { queue: kind.to_owned(), stages: vec![stage], ..JobSpec::default() }
}

fn stored_job(id: &str, kind: &str, task_count: u32) -> StoredJob {
    StoredJob {
        id: id.to_owned(),
        spec: spec(kind, task_count),
        queue: Queue::default(),
        progress: None,
        is_cancelled: false,
        is_partial: false,
        age: Duration::ZERO,
    }
}

impl Fleet {
    fn new(settings: CellSettings, is_admission_on: bool) -> Self {
        let now = Instant::now();
        let mut fleet = Self {
            start: now,
            now,
            cell: Cell::new(0, settings, 1, configuration(), now),
            instances: (0..4).map(|_| Instance::default()).collect(),
            jobs: BTreeMap::new(),
            is_admission_on,
            rejection_count: 0,
            task_memory_mib: 100,
        };
        fleet.run_steps(10);
        fleet
    }

    fn outline(&self, id: &str, kind: &str, zone: &str, task_count: u32) -> JobOutline {
        let priority = if kind == "plan" { 2 } else { 0 };
        let spec = spec(kind, task_count);
        let queue = queue(kind, priority);
        JobOutline::of(&id.to_owned(), &spec, &queue, &zone.to_owned(), TIMEOUT).unwrap()
    }

    fn submit(&mut self, kind: &'static str, zone: &'static str, task_count: u32) {
        let id = format!("{:016x}", self.jobs.len());
        let submitted = Submitted {
            kind,
            zone,
            task_count,
            at: self.now,
            try_count: 0,
            returns_at: Some(self.now),
            completed_after: None,
        };
        self.jobs.insert(id.clone(), submitted);
        self.send(&id);
    }

    /// Sends a job for the first time, or again after a rejection.
    fn send(&mut self, id: &str) {
        let Submitted { kind, zone, task_count, .. } = self.jobs[id];
        let outline = self.outline(id, kind, zone, task_count);
        let now = self.now;
        let asked = self.is_admission_on.then(|| self.cell.decide_admission(&outline, now));
        let job = self.jobs.get_mut(id).unwrap();
        job.try_count += 1;
        job.returns_at = None;
        if let Some(retry_after_s) = asked.and_then(|decision| decision.retry_after_s) {
            self.rejection_count += 1;
            let may_return = job.try_count <= MAX_RETRIES;
            job.returns_at = may_return.then(|| now + Duration::from_secs(retry_after_s));
            return;
        }
        let mut job = stored_job(id, kind, task_count);
        job.spec.stages[0].resources.memory_mib = self.task_memory_mib;
        self.cell.admit(job, self.now);
    }

    /// Submits quick jobs and plans, each at a multiple of the fleet's capacity, for some time. Every
    /// tenth job is large.
    fn run_load(&mut self, quick_load: f64, plan_load: f64, time: Duration) {
        let end = self.now + time;
        let mut due = HashMap::from([("quick", 0.0), ("plan", 0.0)]);
        while self.now < end {
            for (kind, load) in [("quick", quick_load), ("plan", plan_load)] {
                let work = due.get_mut(kind).unwrap();
                *work += load * CORE_COUNT * STEP.as_secs_f64() * 1_000.0;
                let mut submitted = Vec::new();
                loop {
                    let index = self.count(kind) + submitted.len();
                    let task_count = if index % 10 == 9 { 18 } else { 5 };
                    let outline = self.outline("", kind, "zone", task_count);
                    let core_ms = (outline.batch_core_ms + outline.best_effort_core_ms) as f64;
                    if *work < core_ms {
                        break;
                    }
                    *work -= core_ms;
                    submitted.push((["a", "b", "c"][index % 3], task_count));
                }
                for (zone, task_count) in submitted {
                    self.submit(kind, zone, task_count);
                }
            }
            self.run_steps(1);
        }
    }

    fn run_steps(&mut self, count: usize) {
        for _ in 0..count {
            self.now += STEP;
            let is_due = |job: &Submitted| job.returns_at.is_some_and(|at| at <= self.now);
            let due: Vec<String> =
                self.jobs.iter().filter(|(_, job)| is_due(job)).map(|(id, _)| id.clone()).collect();
            for id in due {
                self.send(&id);
            }
            for index in 0..self.instances.len() {
                self.work(index);
                if !self.instances[index].is_silent {
                    self.exchange_report(index);
                }
            }
            self.cell.tick(self.now);
            self.cell.plan(0, self.now);
            while self.cell.next_commit(50).is_some() {
                self.cell.commit_succeeded();
            }
            self.cell.take_events();
            let (cell, now) = (&self.cell, self.now);
            for (id, job) in &mut self.jobs {
                if job.completed_after.is_none() && cell.state(id) == Some(JobState::Completed) {
                    job.completed_after = Some(now - job.at);
                }
            }
        }
    }

    /// Runs the tasks of a worker: quick tasks with all of their CPU, plans with a share of the rest.
    fn work(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        let jobs = &self.jobs;
        let is_plan = |task: &TaskName| jobs[&task.job].kind == "plan";
        let plan_count = instance.running.keys().filter(|task| is_plan(task)).count();
        let quick_count = instance.running.len() - plan_count;
        let spare = (CAPACITY.cpu_milli as f64 / 1_000.0 - quick_count as f64).max(0.0);
        let plan_cores = (spare / plan_count.max(1) as f64).min(2.0);
        let mut done = Vec::new();
        for (task, (attempt, remaining_core_ms)) in &mut instance.running {
            let cores = if is_plan(task) { plan_cores } else { 1.0 };
            *remaining_core_ms -= cores * STEP.as_secs_f64() * 1_000.0;
            if *remaining_core_ms <= 0.0 {
                done.push((task.clone(), *attempt));
            }
        }
        for (task, attempt) in done {
            instance.running.remove(&task);
            instance.end_count += 1;
            let (number, cause) = (instance.end_count, EndCause::Done);
            let checkpoint = String::new();
            instance.ended.push(EndedTask { number, task, attempt, cause, checkpoint });
        }
    }

    fn exchange_report(&mut self, index: usize) {
        let instance = &self.instances[index];
        let running = instance.running.iter().map(|(task, (attempt, _))| RunningTask {
            task: task.clone(),
            attempt: *attempt,
            checkpoint: String::new(),
            percent: 30,
            gauge: 1_000,
        });
        let report = Report {
            agent: format!("agent-{index}"),
            started_unix_ms: 1,
            session: instance.session,
            status: Some(WorkerStatus {
                worker: format!("worker-{index}"),
                started_unix_ms: 1,
                service: "service".to_owned(),
                capacity: CAPACITY,
                ..WorkerStatus::default()
            }),
            worker_clock_ms: self.now.duration_since(self.start).as_millis() as u64,
            is_worker_reachable: true,
            listing: (instance.session > 0).then(|| WorkerListing {
                running: Some(running.collect()),
                ended: instance.ended.clone(),
            }),
            accepted_order: instance.accepted_order,
            ..Report::default()
        };
        let response = self.cell.handle_report(report, true, self.now);
        let instance = &mut self.instances[index];
        instance.session = response.session;
        instance.ended.retain(|end| end.number > response.forget_until);
        for (number, order) in (response.first_order..).zip(response.orders) {
            if number != instance.accepted_order + 1 {
                continue;
            }
            instance.accepted_order = number;
            if let Order::Start(start) = order {
                let core_ms =
                    if self.jobs[&start.task.job].kind == "plan" { 3_200.0 } else { 600.0 };
                instance.running.insert(start.task, (start.attempt, core_ms));
            }
        }
    }

    fn count(&self, kind: &str) -> usize {
        self.jobs.values().filter(|job| job.kind == kind).count()
    }

    /// Sum over the jobs of a kind of what their callers gain: 1 on time, nothing after three times the
    /// objective.
    fn value(&self, kind: &str) -> f64 {
        let objective = queue(kind, 0).objective(if kind == "plan" { 1_600 } else { 600 });
        let jobs = self.jobs.values().filter(|job| job.kind == kind);
        let gain = |time: Duration| {
            let lateness = time.as_secs_f64() / objective.as_secs_f64() - 1.0;
            (1.0 - lateness / 2.0).clamp(0.0, 1.0)
        };
        jobs.filter_map(|job| job.completed_after).map(gain).sum()
    }

    /// Number of jobs of a kind that were completed within a multiple of their objective.
    fn completed_within(&self, kind: &str, factor: f64) -> usize {
        let objective = queue(kind, 0).objective(if kind == "plan" { 1_600 } else { 600 });
        let jobs = self.jobs.values().filter(|job| job.kind == kind);
        let is_within =
            |job: &&Submitted| job.completed_after.is_some_and(|t| t <= objective.mul_f64(factor));
        jobs.filter(is_within).count()
    }
}

/// Without and with admission: a load for 20 s, and then 30 s without any.
fn outcomes(quick_load: f64, plan_load: f64, max_finish: f64) -> [Fleet; 2] {
    let mut settings = CELL_SETTINGS;
    settings.admission.max_finish = max_finish;
    let outcomes = [false, true].map(|is_admission_on| {
        let mut fleet = Fleet::new(settings, is_admission_on);
        fleet.run_load(quick_load, plan_load, Duration::from_secs(20));
        fleet.run_steps(600);
        fleet
    });
    let [without, with] = &outcomes;
    assert!(with.rejection_count > 0);
    for kind in ["quick", "plan"] {
        assert!(with.completed_within(kind, 1.0) >= without.completed_within(kind, 1.0));
    }
    let value = |fleet: &Fleet| fleet.value("quick") + fleet.value("plan");
    assert!(value(with) >= value(without));
    outcomes
}

/// Load pattern: bursts of two kinds over each other, together at about twice the capacity of the
/// fleet. Rejected callers return four times.
#[parameterized(
    mostly_quick = { 1.4, 0.6, 1.0 },
    twice_quick = { 2.0, 0.5, 1.0 },
    mostly_plans = { 0.5, 1.5, 2.0 },
)]
fn decide_admission_serves_callers_better(quick_load: f64, plan_load: f64, plan_gain: f64) {
    let max_finish = CELL_SETTINGS.admission.max_finish;
    let [without, with] = outcomes(quick_load, plan_load, max_finish);
    assert!(with.value("plan") >= plan_gain * without.value("plan"));
}

/// Load pattern: the same, with most of the work in quick jobs and an earlier bound.
#[parameterized(mostly_quick = { 1.4, 0.6 }, twice_quick = { 2.0, 0.5 })]
fn decide_admission_by_an_early_bound_completes_more_jobs_on_time(quick_load: f64, plan_load: f64) {
    let [without, with] = outcomes(quick_load, plan_load, 1.5);
    let on_time = |fleet: &Fleet| fleet.completed_within("quick", 1.0);
    assert!(on_time(&with) >= 2 * on_time(&without));
}

/// Load pattern: twice as many tasks as fit into the memory, with most of the CPU free.
#[test]
fn decide_admission_accepts_while_capacity_is_free() {
    let mut fleet = Fleet::new(CELL_SETTINGS, false);
    fleet.task_memory_mib = 30_000;
    fleet.run_load(0.0, 0.5, Duration::from_secs(20));
    for index in 0..4 {
        let outline = fleet.outline(&format!("{index:015x}x"), "plan", "a", 5);
        let decision = fleet.cell.decide_admission(&outline, fleet.now);
        assert_eq!(decision.reason, AdmissionReason::FreeCapacity);
    }
}

/// Load pattern: four times the capacity of the fleet, so that no new job can be on time.
#[test]
fn decide_admission_accepts_a_share_of_each_class() {
    let mut fleet = Fleet::new(CELL_SETTINGS, false);
    fleet.run_load(2.0, 2.0, Duration::from_secs(10));
    let mut classes: BTreeMap<(&str, &str, u32), (usize, usize)> = BTreeMap::new();
    for index in 0..1_200 {
        let kind = ["quick", "plan"][index % 2];
        let zone = ["a", "b", "c"][index % 3];
        let task_count = if index % 14 >= 12 { 18 } else { 5 };
        let outline = fleet.outline(&format!("{index:015x}x"), kind, zone, task_count);
        let decision = fleet.cell.decide_admission(&outline, fleet.now);
        let (requested, accepted) = classes.entry((kind, zone, task_count)).or_default();
        *requested += 1;
        *accepted += usize::from(decision.retry_after_s.is_none());
    }
    assert_eq!(classes.len(), 12);
    for ((kind, ..), (requested, accepted)) in &classes {
        // The next request of a class may be owed already.
        assert!(10 * (accepted + 1) >= *requested, "{classes:?}");
        let of_kind = classes.iter().filter(|((other, ..), _)| other == kind);
        let (kind_requested, kind_accepted) =
            of_kind.fold((0, 0), |sum, (_, counts)| (sum.0 + counts.0, sum.1 + counts.1));
        assert!(2 * kind_accepted < kind_requested, "{classes:?}");
        // At least half of the share of the kind.
        assert!(2 * (accepted + 1) * kind_requested >= kind_accepted * requested, "{classes:?}");
    }
}

/// Load pattern: many callers of both kinds are rejected within a second.
#[test]
fn retry_after_lets_callers_with_more_to_lose_return_first() {
    let mut fleet = Fleet::new(CELL_SETTINGS, false);
    fleet.run_load(2.0, 2.0, Duration::from_secs(10));
    let mut delays_s: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for index in 0..400 {
        let kind = if index % 4 == 0 { "plan" } else { "quick" };
        let outline = fleet.outline(&format!("{index:016x}x"), kind, "a", 5);
        let outline = JobOutline { timeout_ms: 20_000, ..outline };
        let decision = fleet.cell.decide_admission(&outline, fleet.now);
        delays_s.entry(kind).or_default().extend(decision.retry_after_s);
    }
    let mean = |kind: &str| delays_s[kind].iter().sum::<u64>() as f64 / delays_s[kind].len() as f64;
    assert!(mean("quick") < mean("plan"), "{delays_s:?}");
    for (kind, delays_s) in &delays_s {
        let distinct: BTreeSet<u64> = delays_s.iter().copied().collect();
        assert!(distinct.len() >= 4, "{kind} return together: {delays_s:?}");
        assert!(delays_s.iter().all(|delay_s| (1..=19).contains(delay_s)), "{delays_s:?}");
    }
}

/// Load pattern: a burst at twice the capacity, of callers that wait for 3 s.
#[test]
fn retry_after_leaves_time_for_a_response() {
    let mut fleet = Fleet::new(CELL_SETTINGS, false);
    fleet.run_load(2.0, 2.0, Duration::from_secs(10));
    for index in 0..100 {
        let outline = fleet.outline(&format!("{index:016x}x"), "quick", "a", 5);
        let decision = fleet.cell.decide_admission(&outline, fleet.now);
        assert!(decision.retry_after_s.is_none_or(|delay_s| (1..=2).contains(&delay_s)));
    }
}

/// Load pattern: a burst at twice the capacity that has just begun, and one that an owner can't see.
#[parameterized(
    first_seconds = { Duration::from_secs(1), false, 2, AdmissionReason::NoBacklog },
    silent_workers = { Duration::from_secs(10), true, 2, AdmissionReason::StaleReports },
    equal_priorities = { Duration::from_secs(10), false, 0, AdmissionReason::NotConfigured },
    sustained = { Duration::from_secs(10), false, 2, AdmissionReason::TooLate },
)]
fn decide_admission_accepts_without_a_prediction(
    load_time: Duration,
    are_workers_silent: bool,
    plan_priority: u32,
    expected: AdmissionReason,
) {
    let mut fleet = Fleet::new(CELL_SETTINGS, false);
    let queues = vec![queue("quick", 0), queue("plan", plan_priority)];
    fleet.cell.apply_configuration(QueueConfiguration {
        version: 2,
        queues,
        ..QueueConfiguration::default()
    });
    fleet.run_load(2.0, 2.0, load_time);
    if are_workers_silent {
        fleet.instances[0].is_silent = true;
        fleet.run_steps(30);
    }
    let decide = |index: usize| {
        let outline = fleet.outline(&format!("{index:016x}x"), "quick", "a", 5);
        fleet.cell.decide_admission(&outline, fleet.now)
    };
    let reasons: Vec<AdmissionReason> =
        (0..4).map(decide).map(|decision| decision.reason).collect();
    assert!(reasons.contains(&expected), "{reasons:?}");
    let is_rejected = reasons.contains(&AdmissionReason::TooLate);
    assert_eq!(is_rejected, expected == AdmissionReason::TooLate, "{reasons:?}");
}

/// Load pattern: a light load, beside jobs that no worker can run.
///
/// Guards against predictions from the rate of arrivals.
#[test]
fn decide_admission_accepts_beside_jobs_without_a_worker() {
    let mut fleet = Fleet::new(CELL_SETTINGS, true);
    fleet.run_load(0.2, 0.1, Duration::from_secs(2));
    for index in 0..8 {
        let mut spec = spec("quick", 20);
        spec.stages[0].required_label = Some("absent".to_owned());
        let job = StoredJob { spec, ..stored_job(&format!("{index:015x}y"), "quick", 20) };
        fleet.cell.admit(job, fleet.now);
        fleet.run_load(0.2, 0.1, Duration::from_secs(1));
    }
    assert_eq!(fleet.rejection_count, 0);
}

#[test]
fn outline_is_absent_for_jobs_that_are_always_accepted() {
    let outline = |spec: &JobSpec, queue: &Queue| {
        JobOutline::of(&String::new(), spec, queue, &String::new(), TIMEOUT)
    };
    let quick = spec("quick", 5);
    assert!(outline(&quick, &queue("quick", 0)).is_some());
    assert!(outline(&quick, &Queue { name: "quick".to_owned(), ..Queue::default() }).is_none());
    let schedule = Schedule { first_unix_ms: 0, interval_ms: 1_000, occurrence_count: 3 };
    let scheduled = JobSpec { schedule: Some(schedule), ..quick.clone() };
    assert!(outline(&scheduled, &queue("quick", 0)).is_none());
    let mut serving = quick;
    serving.stages[0].is_long_running = true;
    assert!(outline(&serving, &queue("quick", 0)).is_none());
}
