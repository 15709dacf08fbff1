//! Placement of serving, batch and best-effort tasks on shared workers.
//!
//! Covers serving jobs of two images submitted in turn, a burst of best-effort tasks of an
//! interfering image, and a lone serving task that keeps best-effort tasks off its worker.

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
        quote::{Quote, StageDemand},
    },
    placement::Resources,
};
use util::CELL_SETTINGS;

const STEP: Duration = Duration::from_millis(100);
const CAPACITY: Resources = Resources { cpu_milli: 64_000, memory_mib: 256_000, accelerators: 0 };
const TARGET_MS: u64 = 150;
/// Tail of a serving task under average load.
const TAIL_MS: u64 = 45;
/// Tail of a serving task at peak load, close to its target.
const PEAK_TAIL_MS: u64 = 140;

/// The simulated tasks make no progress, so stall detection is disabled.
const SETTINGS: CellSettings = CellSettings {
    health: HealthSettings { stall_timeout: Duration::from_secs(3_600), ..CELL_SETTINGS.health },
    ..CELL_SETTINGS
};

#[derive(Clone, Debug, Default)]
struct Instance {
    session: u64,
    accepted_order: u64,
    running: BTreeMap<TaskName, u32>,
    ended: Vec<EndedTask>,
    end_count: u64,
}

/// Simulated workers whose tasks end only when they are stopped. Best-effort tasks use no CPU, as if
/// their agents had paused them.
struct Fleet {
    start: Instant,
    now: Instant,
    cell: Cell,
    instances: Vec<Instance>,
    /// Tail of all serving tasks.
    tail_ms: u64,
    /// Completed share of all tasks other than serving tasks, in percent.
    percent: u32,
}

impl Fleet {
    fn new(instance_count: usize) -> Self {
        let now = Instant::now();
        let queue =
            Queue { name: "queue".to_owned(), service: "service".to_owned(), ..Queue::default() };
        let configuration =
            QueueConfiguration { version: 1, queues: vec![queue], ..QueueConfiguration::default() };
        let instances = vec![Instance::default(); instance_count];
        let mut fleet = Self {
            start: now,
            now,
            cell: Cell::new(0, SETTINGS, 1, configuration, now),
            instances,
            tail_ms: TAIL_MS,
            percent: 10,
        };
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
            is_partial: false,
            age: Duration::ZERO,
        };
        self.cell.admit(job, self.now);
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            (0..self.instances.len()).for_each(|index| self.exchange_report(index, None));
            self.cell.tick(self.now);
            self.cell.plan(0, self.now);
            while self.cell.next_commit(50).is_some() {
                self.cell.commit_succeeded();
            }
        }
    }

    /// Sends interference estimates to the owner, as agents do after a takeover.
    fn report_interference(&mut self, pairs: &[(&str, &str, f64)]) {
        let pair = |(serving, best_effort, growth): &(&str, &str, f64)| PairInterference {
            serving: (*serving).to_owned(),
            best_effort: (*best_effort).to_owned(),
            utilization_growth: *growth,
        };
        let estimates = InterferenceEstimates {
            version: 1_000,
            pairs: pairs.iter().map(pair).collect(),
            idle_tails_ms: BTreeMap::from([("a".to_owned(), 25.0), ("b".to_owned(), 25.0)]),
        };
        self.exchange_report(0, Some(estimates));
    }

    fn exchange_report(&mut self, index: usize, interference: Option<InterferenceEstimates>) {
        let instance = &self.instances[index];
        let running = instance.running.iter().map(|(task, attempt)| RunningTask {
            task: task.clone(),
            attempt: *attempt,
            checkpoint: String::new(),
            percent: if task.job.starts_with("serving") { 100 } else { self.percent },
            gauge: if task.job.starts_with("serving") { self.tail_ms } else { 0 },
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
            interference,
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

    /// Number of running tasks on each worker, of the jobs whose identifier starts with `job`.
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

fn demands(stages: &[Stage]) -> Vec<StageDemand> {
    stages.iter().map(StageDemand::of).collect()
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
fn plan_places_a_burst_of_an_interfering_image_where_it_interferes_with_no_task() {
    let mut fleet = Fleet::new(3);
    fleet.submit("serving-a", serving("a", 4));
    fleet.run(Duration::from_millis(300));
    fleet.submit("serving-b", serving("b", 4));
    fleet.run(Duration::from_millis(300));
    fleet.report_interference(&[("a", "heavy", 8.0), ("b", "heavy", 0.0)]);
    fleet.submit("flood", best_effort("heavy", 24));
    fleet.run(Duration::from_millis(3_000));
    let colocated_with_a: usize = std::iter::zip(fleet.counts("serving-a"), fleet.counts("flood"))
        .filter(|(serving, _)| *serving > 0)
        .map(|(_, flood)| flood)
        .sum();
    let all: usize = fleet.counts("flood").iter().sum();
    assert!(colocated_with_a <= 1, "{:?} {:?}", fleet.counts("serving-a"), fleet.counts("flood"));
    assert!(all >= 8, "{:?}", fleet.counts("flood"));
}

#[test]
fn plan_limits_tasks_of_an_unknown_image_on_a_worker() {
    let mut fleet = Fleet::new(2);
    fleet.submit("serving-a", serving("a", 8));
    fleet.run(Duration::from_millis(2_000));
    fleet.report_interference(&[("a", "other", 0.0)]);
    fleet.submit("unseen", best_effort("unseen", 16));
    fleet.run(Duration::from_millis(300));
    let counts = fleet.counts("unseen");
    let serving = fleet.counts("serving");
    for (unseen, serving) in std::iter::zip(counts, serving) {
        assert!(
            serving == 0 || unseen <= 2,
            "{unseen} best-effort tasks colocated with {serving} serving tasks"
        );
    }
}

#[test]
fn plan_prefers_workers_with_serving_tasks_for_batch() {
    let mut fleet = Fleet::new(3);
    fleet.submit("serving-a", serving("a", 4));
    fleet.run(Duration::from_millis(300));
    fleet.submit("batch", batch(8));
    fleet.run(Duration::from_millis(300));
    let colocated: usize = std::iter::zip(fleet.counts("serving"), fleet.counts("batch"))
        .filter(|(serving, _)| *serving > 0)
        .map(|(_, batch)| batch)
        .sum();
    assert_eq!(colocated, 8, "{:?}", fleet.counts("batch"));
}

/// Guards against tasks that are too large for the free capacity blocking smaller ones of the same
/// image behind them.
#[test]
fn plan_places_small_tasks_behind_large_ones_that_do_not_fit() {
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

/// A worker with a single serving task is freed for best-effort tasks if a worker with similar
/// serving tasks can run it.
#[test]
fn regroup_moves_a_lone_serving_task_to_similar_ones() {
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
fn regroup_moves_no_task_of_a_stage_that_allows_no_unavailability() {
    let mut fleet = Fleet::new(2);
    let stage = Stage { max_unavailable: Some(0), ..serving("a", 2) };
    fleet.submit("serving-a-0", Stage { max_per_worker: Some(1), ..stage });
    fleet.run(Duration::from_millis(5_000));
    assert_eq!(fleet.counts("serving"), [1, 1]);
}

/// Load pattern: a burst of an image that interferes with nothing, while all serving tasks are at
/// their peak load. Their tails leave no room for interference, which the image doesn't need.
#[test]
fn plan_places_a_harmless_image_while_tails_are_near_their_target() {
    let mut fleet = Fleet::new(2);
    fleet.tail_ms = PEAK_TAIL_MS;
    fleet.submit("serving-a", serving("a", 8));
    fleet.run(Duration::from_millis(2_000));
    fleet.report_interference(&[("a", "harmless", 0.0)]);
    fleet.submit("burst", best_effort("harmless", 8));
    fleet.run(Duration::from_millis(300));
    assert_eq!(fleet.counts("burst").iter().sum::<usize>(), 8, "{:?}", fleet.counts("burst"));
}

/// Load pattern: serving tasks reach their peak load, so that their agent pauses the best-effort
/// tasks beside them, and another worker with idle CPU becomes available.
#[test]
fn relocate_idle_tasks_moves_paused_tasks_to_a_free_worker() {
    let mut fleet = Fleet::new(1);
    fleet.submit("serving-a", serving("a", 4));
    fleet.run(Duration::from_millis(300));
    fleet.report_interference(&[("a", "heavy", 1.6)]);
    let checkpointed = Stage { is_checkpointing: true, ..best_effort("heavy", 3) };
    fleet.submit("paused", checkpointed);
    fleet.run(Duration::from_millis(300));
    let placed = fleet.counts("paused")[0];
    assert!(placed > 0);
    fleet.tail_ms = PEAK_TAIL_MS;
    fleet.instances.push(Instance::default());
    fleet.run(Duration::from_millis(4_000));
    assert_eq!(fleet.counts("paused"), [0, 3]);
}

/// A stop of a task without checkpoints loses its work, so it waits for the end of the pause.
#[test]
fn relocate_idle_tasks_leaves_tasks_whose_work_would_be_lost() {
    let mut fleet = Fleet::new(1);
    fleet.percent = 50;
    fleet.submit("serving-a", serving("a", 4));
    fleet.run(Duration::from_millis(300));
    fleet.report_interference(&[("a", "heavy", 1.6)]);
    fleet.submit("paused", best_effort("heavy", 3));
    fleet.run(Duration::from_millis(300));
    let placed = fleet.counts("paused")[0];
    assert!(placed > 0);
    fleet.tail_ms = PEAK_TAIL_MS;
    fleet.instances.push(Instance::default());
    fleet.run(Duration::from_millis(4_000));
    assert_eq!(fleet.counts("paused")[0], placed);
}

/// Load pattern: a cell filled with serving tasks beside an empty one. The quote shows that the full
/// one has no room for all tasks of another serving job, although some would fit.
#[test]
fn quote_counts_serving_tasks_without_room() {
    let mut fleet = Fleet::new(2);
    let stages = [serving("b", 4)];
    assert_eq!(fleet.cell.quote(&demands(&stages), "service", fleet.now).unplaceable_count, 0);
    fleet.submit("serving-a", serving("a", 8));
    fleet.run(Duration::from_millis(2_000));
    // Two workers of 64 cores hold five tasks of 12 cores each.
    assert_eq!(fleet.cell.quote(&demands(&stages), "service", fleet.now).unplaceable_count, 2);
    let apart = [Stage { max_per_worker: Some(1), ..serving("b", 4) }];
    assert_eq!(fleet.cell.quote(&demands(&apart), "service", fleet.now).unplaceable_count, 3);
    assert_eq!(fleet.cell.quote(&demands(&stages), "other", fleet.now).unplaceable_count, 4);
}

/// Load pattern: a large serving task that fits nowhere in a cell. It doesn't take the room of the
/// smaller tasks that the cell is asked for.
#[test]
fn quote_ignores_serving_tasks_that_wait_in_vain() {
    let mut fleet = Fleet::new(1);
    let large = Resources { cpu_milli: 60_000, memory_mib: 26_000, accelerators: 0 };
    fleet.submit("serving-a", serving("a", 2));
    fleet.run(Duration::from_millis(300));
    fleet.submit("serving-large", Stage { resources: large, ..serving("a", 3) });
    let stages = [serving("b", 2)];
    fleet.run(Duration::from_millis(200));
    assert_eq!(fleet.cell.quote(&demands(&stages), "service", fleet.now).unplaceable_count, 2);
    fleet.run(Duration::from_millis(2_000));
    assert_eq!(fleet.cell.quote(&demands(&stages), "service", fleet.now).unplaceable_count, 0);
}

/// Guards against a batch job that is accepted for a cell whose workers can't run it, since they lack
/// the label or are too small, and whose tasks can't leave that cell.
#[test]
fn quote_counts_batch_tasks_that_no_worker_can_run() {
    let fleet = Fleet::new(2);
    let batch = Stage { is_long_running: false, ..serving("a", 3) };
    let unplaceable = |stage: &Stage| {
        let quote = fleet.cell.quote(&[StageDemand::of(stage)], "service", fleet.now);
        quote.unplaceable_count
    };
    assert_eq!(unplaceable(&batch), 0);
    assert_eq!(unplaceable(&Stage { required_label: Some("ssd".to_owned()), ..batch.clone() }), 3);
    let huge = Resources { cpu_milli: 65_000, memory_mib: 1, accelerators: 0 };
    assert_eq!(unplaceable(&Stage { resources: huge, ..batch }), 3);
}

/// Guards against a job that goes to a cell that can't run it, without a look at the others.
#[test]
fn needs_other_cells_without_room_in_the_first_two() {
    let quote = |unplaceable_count| Quote { unplaceable_count, ..Quote::default() };
    assert!(Quote::needs_other_cells(Some(&quote(1)), false));
    assert!(Quote::needs_other_cells(Some(&quote(1)), true));
    assert!(!Quote::needs_other_cells(Some(&quote(0)), true));
    assert!(Quote::needs_other_cells(None, true));
    assert!(!Quote::needs_other_cells(None, false));
}

/// Load pattern: a burst of batch jobs at one cell. Its quote grows with the accepted work, so that
/// the next jobs go elsewhere.
#[test]
fn quote_grows_with_the_accepted_work() {
    let mut fleet = Fleet::new(2);
    let stages = [best_effort("image", 1)];
    let idle = fleet.cell.quote(&demands(&stages), "service", fleet.now);
    fleet.submit("burst", best_effort("image", 100));
    fleet.run(Duration::from_millis(200));
    let busy = fleet.cell.quote(&demands(&stages), "service", fleet.now);
    // 100 tasks of 7 cores and 1.7 s on 128 cores.
    assert_eq!((idle.backlog_ms, busy.backlog_ms), (0, 9_296));
    assert!(idle < busy);
}

/// Guards against starvation of a job of an interfering image when every worker runs serving tasks:
/// one of its tasks is started regardless of interference.
#[test]
fn relieve_starvation_runs_one_task_of_an_interfering_job_on_a_half_empty_fleet() {
    let mut fleet = Fleet::new(2);
    let spread = Stage { max_per_worker: Some(1), ..serving("a", 2) };
    fleet.submit("serving-a", spread);
    fleet.run(Duration::from_millis(500));
    fleet.report_interference(&[("a", "heavy", 50.0)]);
    fleet.submit("interfering", best_effort("heavy", 4));
    fleet.run(Duration::from_millis(1_000));
    assert_eq!(fleet.counts("interfering").iter().sum::<usize>(), 0);
    fleet.run(Duration::from_millis(1_500));
    assert_eq!(fleet.counts("interfering").iter().sum::<usize>(), 1);
}
