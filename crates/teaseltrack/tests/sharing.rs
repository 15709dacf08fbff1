//! Where serving, batch and best-effort tasks go on workers that they share.
//!
//! Patterns: watches of two images that come one after the other; a disturbing image in a flood of
//! best-effort work; a lone serving task on a worker that best-effort work waits for.

mod util;

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use teaseltrack::{
    cell::{
        Cell, CellSettings, StoredJob,
        health::HealthSettings,
        interference::{InterferenceEstimates, PairInterference},
        job::{JobSpec, Queue, QueueConfiguration, Stage},
        protocol::{
            EndCause, EndedTask, Order, Report, RunningTask, TaskName, WorkerListing, WorkerStatus,
        },
    },
    placement::Resources,
};
use util::CELL_SETTINGS;

const STEP: Duration = Duration::from_millis(100);
const CAPACITY: Resources = Resources { cpu_milli: 64_000, memory_mib: 256_000, accelerators: 0 };
const TARGET_MS: u64 = 150;
/// Tail of a serving task of average load.
const TAIL_MS: u64 = 45;

/// Nothing here makes progress, and nothing is to be stopped for that.
const SETTINGS: CellSettings = CellSettings {
    health: HealthSettings { stall: Duration::from_secs(3_600), ..CELL_SETTINGS.health },
    ..CELL_SETTINGS
};

#[derive(Clone, Debug, Default)]
struct Instance {
    session: u64,
    taken_order: u64,
    running: BTreeMap<TaskName, u32>,
    ended: Vec<EndedTask>,
    end_count: u64,
}

/// Workers on which nothing ends by itself.
struct Fleet {
    start: Instant,
    now: Instant,
    cell: Cell,
    instances: Vec<Instance>,
}

impl Fleet {
    fn new(instance_count: usize) -> Self {
        let now = Instant::now();
        let queue =
            Queue { name: "queue".to_owned(), service: "service".to_owned(), ..Queue::default() };
        let configuration =
            QueueConfiguration { version: 1, queues: vec![queue], ..QueueConfiguration::default() };
        let instances = vec![Instance::default(); instance_count];
        let mut fleet =
            Self { start: now, now, cell: Cell::new(SETTINGS, 1, configuration, now), instances };
        fleet.run(Duration::from_millis(300));
        fleet
    }

    fn submit(&mut self, id: &str, stage: Stage) {
        let spec = JobSpec { queue: "queue".to_owned(), stages: vec![stage], ..JobSpec::default() };
        let job = StoredJob {
            id: id.to_owned(),
            spec,
            queue: Queue::default(),
            progress: None,
            is_cancelled: false,
            age: Duration::ZERO,
        };
        self.cell.admit(job, self.now);
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            (0..self.instances.len()).for_each(|index| self.exchange(index, None));
            self.cell.tick(self.now);
            self.cell.plan(0, self.now);
            while self.cell.next_commit(50).is_some() {
                self.cell.committed();
            }
        }
    }

    /// Makes a disturbance known, as agents tell it to a new owner.
    fn learn(&mut self, pairs: &[(&str, &str, f64)]) {
        let pair = |(serving, best_effort, effect): &(&str, &str, f64)| PairInterference {
            serving: (*serving).to_owned(),
            best_effort: (*best_effort).to_owned(),
            utilization_growth: *effect,
        };
        let known = InterferenceEstimates {
            version: 1_000,
            pairs: pairs.iter().map(pair).collect(),
            idle_tails_ms: BTreeMap::from([("a".to_owned(), 25.0), ("b".to_owned(), 25.0)]),
        };
        self.exchange(0, Some(known));
    }

    fn exchange(&mut self, index: usize, disturbances: Option<InterferenceEstimates>) {
        let instance = &self.instances[index];
        let running = instance.running.iter().map(|(task, attempt)| RunningTask {
            task: task.clone(),
            attempt: *attempt,
            checkpoint: String::new(),
            percent: if task.job.starts_with("serving") { 100 } else { 10 },
            gauge: if task.job.starts_with("serving") { TAIL_MS } else { 0 },
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
            accepted_order: instance.taken_order,
            interference: disturbances,
            ..Report::default()
        };
        let answer = self.cell.report(report, true, self.now);
        let instance = &mut self.instances[index];
        instance.session = answer.session;
        instance.ended.retain(|end| end.number > answer.forget_until);
        for (number, order) in (answer.first_order..).zip(answer.orders) {
            if number != instance.taken_order + 1 {
                continue;
            }
            instance.taken_order = number;
            match order {
                Order::Start(start) => {
                    instance.running.insert(start.task, start.attempt);
                }
                Order::Stop(task, attempt) if instance.running.remove(&task).is_some() => {
                    instance.end_count += 1;
                    let number = instance.end_count;
                    let (cause, checkpoint) = (EndCause::Stopped, String::new());
                    instance.ended.push(EndedTask { number, task, attempt, cause, checkpoint });
                }
                Order::Stop(..) | Order::Traits(_) => {}
            }
        }
    }

    /// Tasks by worker of the jobs whose identifier begins so.
    fn counts(&self, job: &str) -> Vec<usize> {
        let count = |instance: &Instance| {
            instance.running.keys().filter(|task| task.job.starts_with(job)).count()
        };
        self.instances.iter().map(count).collect()
    }
}

fn serving(image: &str, task_count: u32) -> Stage {
    Stage {
        task_count,
        resources: Resources { cpu_milli: 12_000, memory_mib: 26_000, accelerators: 0 },
        is_long_running: true,
        image: Some(image.to_owned()),
        target_tail_ms: Some(TARGET_MS),
        ..Stage::default()
    }
}

fn best_effort(image: &str, task_count: u32) -> Stage {
    Stage {
        task_count,
        resources: Resources { cpu_milli: 7_000, memory_mib: 6_000, accelerators: 0 },
        estimate_ms: 1_700,
        is_best_effort: true,
        image: Some(image.to_owned()),
        ..Stage::default()
    }
}

fn batch(task_count: u32) -> Stage {
    Stage {
        task_count,
        resources: Resources { cpu_milli: 1_000, memory_mib: 2_000, accelerators: 0 },
        estimate_ms: 1_000,
        ..Stage::default()
    }
}

#[test]
fn plan_keeps_serving_images_apart() {
    let mut fleet = Fleet::new(4);
    for round in 0..2 {
        fleet.submit(&format!("serving-a-{round}"), serving("a", 4));
        fleet.run(Duration::from_millis(300));
        fleet.submit(&format!("serving-b-{round}"), serving("b", 4));
        fleet.run(Duration::from_millis(300));
    }
    let mixed = std::iter::zip(fleet.counts("serving-a"), fleet.counts("serving-b"))
        .filter(|(a, b)| *a > 0 && *b > 0)
        .count();
    assert_eq!(mixed, 0, "{:?} {:?}", fleet.counts("serving-a"), fleet.counts("serving-b"));
}

#[test]
fn plan_packs_serving_tasks_and_leaves_workers_free() {
    let mut fleet = Fleet::new(4);
    fleet.submit("serving-a", serving("a", 10));
    fleet.run(Duration::from_millis(2_000));
    let mut counts = fleet.counts("serving");
    counts.sort_unstable();
    assert_eq!(counts, [0, 0, 5, 5]);
}

#[test]
fn plan_sends_a_flood_of_a_disturbing_image_where_it_disturbs_nobody() {
    let mut fleet = Fleet::new(3);
    fleet.submit("serving-a", serving("a", 4));
    fleet.run(Duration::from_millis(300));
    fleet.submit("serving-b", serving("b", 4));
    fleet.run(Duration::from_millis(300));
    fleet.learn(&[("a", "heavy", 8.0), ("b", "heavy", 0.0)]);
    fleet.submit("flood", best_effort("heavy", 24));
    fleet.run(Duration::from_millis(3_000));
    let beside_a: usize = std::iter::zip(fleet.counts("serving-a"), fleet.counts("flood"))
        .filter(|(serving, _)| *serving > 0)
        .map(|(_, flood)| flood)
        .sum();
    let all: usize = fleet.counts("flood").iter().sum();
    assert!(beside_a <= 1, "{:?} {:?}", fleet.counts("serving-a"), fleet.counts("flood"));
    assert!(all >= 8, "{:?}", fleet.counts("flood"));
}

#[test]
fn plan_tries_an_unseen_image_with_few_tasks_on_a_worker() {
    let mut fleet = Fleet::new(2);
    fleet.submit("serving-a", serving("a", 8));
    fleet.run(Duration::from_millis(2_000));
    fleet.learn(&[("a", "other", 0.0)]);
    fleet.submit("unseen", best_effort("unseen", 16));
    fleet.run(Duration::from_millis(300));
    let counts = fleet.counts("unseen");
    let serving = fleet.counts("serving");
    for (unseen, serving) in std::iter::zip(counts, serving) {
        assert!(serving == 0 || unseen <= 2, "{unseen} beside {serving}");
    }
}

#[test]
fn plan_puts_batch_beside_serving_tasks_first() {
    let mut fleet = Fleet::new(3);
    fleet.submit("serving-a", serving("a", 4));
    fleet.run(Duration::from_millis(300));
    fleet.submit("batch", batch(8));
    fleet.run(Duration::from_millis(300));
    let beside: usize = std::iter::zip(fleet.counts("serving"), fleet.counts("batch"))
        .filter(|(serving, _)| *serving > 0)
        .map(|(_, batch)| batch)
        .sum();
    assert_eq!(beside, 8, "{:?}", fleet.counts("batch"));
}

/// A flood whose tasks are too large for what is left doesn't hide the small ones behind it.
#[test]
fn plan_places_small_tasks_behind_large_ones_without_room() {
    let mut fleet = Fleet::new(1);
    let large = Stage {
        resources: Resources { memory_mib: 200_000, ..best_effort("image", 1).resources },
        ..best_effort("image", 4)
    };
    fleet.submit("large", large);
    fleet.run(Duration::from_millis(300));
    fleet.submit("small", best_effort("image", 2));
    fleet.run(Duration::from_millis(300));
    assert_eq!((fleet.counts("large"), fleet.counts("small")), (vec![1], vec![2]));
}

#[test]
fn plan_lets_every_serving_task_take_the_reserve_after_the_same_wait() {
    let mut fleet = Fleet::new(1);
    let large = Resources { cpu_milli: 31_000, memory_mib: 26_000, accelerators: 0 };
    fleet.submit("serving", Stage { resources: large, ..serving("a", 2) });
    fleet.run(Duration::from_millis(700));
    assert_eq!(fleet.counts("serving"), [1]);
    fleet.run(Duration::from_millis(800));
    assert_eq!(fleet.counts("serving"), [2]);
}

/// A worker with one serving task whose like stand elsewhere is freed for best-effort work.
#[test]
fn regroup_moves_a_lone_serving_task_to_its_like() {
    let mut fleet = Fleet::new(3);
    fleet.submit("serving-0", serving("a", 4));
    fleet.submit("serving-1", serving("a", 1));
    fleet.run(Duration::from_millis(2_000));
    fleet.submit("serving-2", serving("a", 1));
    fleet.run(Duration::from_millis(500));
    let mut counts = fleet.counts("serving");
    counts.sort_unstable();
    assert_eq!(counts, [0, 1, 5]);
    fleet.cell.cancel("serving-1");
    fleet.run(Duration::from_millis(4_000));
    counts = fleet.counts("serving");
    counts.sort_unstable();
    assert_eq!(counts, [0, 0, 5]);
}

#[test]
fn regroup_waits_while_another_task_of_the_stage_is_away() {
    let mut fleet = Fleet::new(2);
    let stage = Stage { max_unavailable: Some(0), ..serving("a", 2) };
    fleet.submit("serving-a-0", Stage { max_per_worker: Some(1), ..stage });
    fleet.run(Duration::from_millis(5_000));
    assert_eq!(fleet.counts("serving"), [1, 1]);
}

/// Only disturbing work is left, and every worker serves: it is started all the same.
#[test]
fn start_starving_runs_one_task_of_a_disturbing_job_on_a_half_empty_fleet() {
    let mut fleet = Fleet::new(2);
    let spread = Stage { max_per_worker: Some(1), ..serving("a", 2) };
    fleet.submit("serving-a", spread);
    fleet.run(Duration::from_millis(500));
    fleet.learn(&[("a", "heavy", 50.0)]);
    fleet.submit("disturbing", best_effort("heavy", 4));
    fleet.run(Duration::from_millis(1_000));
    assert_eq!(fleet.counts("disturbing").iter().sum::<usize>(), 0);
    fleet.run(Duration::from_millis(1_500));
    assert_eq!(fleet.counts("disturbing").iter().sum::<usize>(), 1);
}
