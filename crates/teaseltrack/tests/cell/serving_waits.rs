//! Long-running tasks that wait for CPU beside batch tasks.

use teaseltrack::{
    cell::{
        CellEvent,
        job::{Queue, Stage},
        progress::JobState,
        protocol::{EndCause, TaskName},
    },
    placement::Resources,
};
use yare::parameterized;

use crate::fleet::{CAPACITY, Fleet, Instance, STEP, long_running, queue, stage, stored_job};

const SERVING_JOB: &str = "00000000000000ff";

/// Time after the loss of its worker within which a long-running task must run again: 6 s, and 3 s
/// without a run although there is capacity for it.
const MAX_GAP_MS: u64 = 9_000;

fn with_cpu(stage: Stage, cpu_milli: u64) -> Stage {
    Stage { resources: Resources { cpu_milli, memory_mib: 500, accelerators: 0 }, ..stage }
}

/// Two workers, the first with all tasks of a long-running job, and the second with as much batch
/// work as it can run and more, in tasks of `batch_milli`.
struct Load {
    fleet: Fleet,
    serving_index: usize,
    batch_milli: u64,
    batch_count: u64,
}

impl Load {
    fn new(serving: Stage, batch_milli: u64) -> Self {
        let mut fleet = Fleet::new(2, 1);
        fleet.max_run_ms = 1_000;
        fleet.run_steps(4);
        fleet.submit(stored_job(SERVING_JOB, vec![serving]));
        fleet.run_steps(30);
        let serving_index = usize::from(fleet.instances[0].running.is_empty());
        assert!(fleet.instances[1 - serving_index].running.is_empty(), "serving tasks are packed");
        Self { fleet, serving_index, batch_milli, batch_count: 0 }
    }

    /// Runs the fleet for `duration_ms` while more batch tasks arrive than the second worker can run.
    /// Returns the highest number of tasks that ran there at a time.
    fn run(&mut self, duration_ms: u64, mut change: impl FnMut(&mut Fleet, u64)) -> usize {
        let mut highest = 0;
        let step_ms = STEP.as_millis() as u64;
        for step in 0..duration_ms / step_ms {
            if step % 5 == 0 {
                self.batch_count += 1;
                let batch = with_cpu(stage((7_000 / self.batch_milli) as u32), self.batch_milli);
                self.fleet.submit(stored_job(&format!("1{:015x}", self.batch_count), vec![batch]));
            }
            change(&mut self.fleet, step * step_ms);
            self.fleet.step();
            highest = highest.max(self.fleet.instances[1 - self.serving_index].running.len());
        }
        highest
    }

    fn serving_count(&self) -> usize {
        let running = self.fleet.instances.iter().filter(|instance| !instance.is_disconnected);
        let tasks = running.flat_map(|instance| instance.running.keys());
        tasks.filter(|task| task.job == SERVING_JOB).count()
    }
}

/// Guards against long-running tasks that never run again after their worker is lost, because short
/// tasks take each core of the remaining workers as soon as it is free.
#[parameterized(
    one_owner = { &[] },
    owners_of_four_seconds = { &[1_000, 5_000] },
)]
fn plan_places_serving_tasks_of_a_lost_worker_beside_a_stream_of_batch_tasks(changes_ms: &[u64]) {
    let mut load = Load::new(with_cpu(long_running(2), 3_500), 1_000);
    load.run(3_000, |_, _| {});
    load.fleet.instances[load.serving_index].is_disconnected = true;
    load.run(MAX_GAP_MS, |fleet, elapsed_ms| {
        if changes_ms.contains(&elapsed_ms) {
            fleet.start_owner(fleet.now);
        }
    });
    assert_eq!(load.serving_count(), 2, "the worker has CPU for both beside the batch tasks");
}

/// Guards against batch tasks that get no CPU at all once long-running tasks wait for more than there
/// is.
#[test]
fn plan_leaves_the_reserve_to_batch_tasks_while_serving_tasks_wait() {
    let mut load = Load::new(with_cpu(long_running(2), 2_600), 400);
    load.run(3_000, |_, _| {});
    load.fleet.instances[load.serving_index].is_disconnected = true;
    let more = with_cpu(long_running(8), 2_600);
    load.fleet.submit(stored_job("00000000000000fe", vec![more]));
    load.run(20_000, |_, _| {});
    load.fleet.cell.take_events();
    load.run(5_000, |_, _| {});
    let events = load.fleet.cell.take_events();
    let is_completed =
        |event: &&CellEvent| matches!(event, CellEvent::State { state: JobState::Completed, .. });
    assert!(events.iter().filter(is_completed).count() > 0, "batch jobs go on");
}

/// Guards against room that is held for a long-running task which is cancelled meanwhile.
#[test]
fn plan_releases_the_room_of_a_cancelled_serving_task() {
    let mut load = Load::new(with_cpu(long_running(2), 3_500), 1_000);
    load.run(3_000, |_, _| {});
    load.fleet.instances[load.serving_index].is_disconnected = true;
    load.run(7_000, |_, _| {});
    load.fleet.cancel(SERVING_JOB);
    // The room would be held for longer.
    assert!(load.run(1_500, |_, _| {}) >= 7, "batch tasks use the worker");
}

/// Guards against room that is held for a long-running task against jobs of a more urgent queue.
#[test]
fn plan_holds_no_room_against_a_more_urgent_queue() {
    let mut load = Load::new(with_cpu(long_running(2), 3_500), 1_000);
    let mut low = stored_job("00000000000000fd", vec![with_cpu(long_running(1), 7_000)]);
    low.queue = Queue { name: "low".to_owned(), priority: 1, ..queue() };
    low.spec.queue.clone_from(&low.queue.name);
    load.run(1_000, |_, _| {});
    load.fleet.submit(low);
    load.run(4_000, |_, _| {});
    assert_eq!(load.run(3_000, |_, _| {}), 8, "batch tasks use the whole worker");
}

/// Six workers with as many batch tasks as they can run and more.
struct FullFleet {
    fleet: Fleet,
    batch_count: u64,
}

impl FullFleet {
    fn new() -> Self {
        let mut fleet = Fleet::new(6, 1);
        (fleet.max_run_ms, fleet.is_every_start_answered) = (1_000, true);
        fleet.run_steps(4);
        let mut full = Self { fleet, batch_count: 0 };
        full.run(2_000);
        full
    }

    fn run(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms / STEP.as_millis() as u64 {
            if self.fleet.cell.open_count() < 20 {
                self.batch_count += 1;
                let batch = with_cpu(stage(10), 1_000);
                self.fleet.submit(stored_job(&format!("1{:015x}", self.batch_count), vec![batch]));
            }
            self.fleet.step();
        }
    }

    fn running_count(&self, job: &str) -> usize {
        let tasks = self.fleet.instances.iter().flat_map(|instance| instance.running.keys());
        tasks.filter(|task| task.job == job).count()
    }
}

/// Guards against long-running tasks of which a worker may run one at a time, but which have their room
/// held on the same worker: one is placed, and the others wait for the end of the hold and for the next
/// one, again together.
#[test]
fn plan_holds_rooms_for_tasks_that_run_apart_on_different_workers() {
    let mut full = FullFleet::new();
    let apart = Stage { max_per_worker: Some(1), ..with_cpu(long_running(6), 2_300) };
    full.fleet.submit(stored_job(SERVING_JOB, vec![apart]));
    full.run(MAX_GAP_MS);
    assert_eq!(full.running_count(SERVING_JOB), 6);
}

/// Guards against CPU that is idle, and closed to all others, because it is held for tasks of which the
/// worker runs as many as it may.
#[test]
fn plan_releases_a_room_for_a_task_that_its_worker_may_not_run() {
    let mut full = FullFleet::new();
    let apart = Stage { max_per_worker: Some(1), ..with_cpu(long_running(6), 2_300) };
    full.fleet.submit(stored_job(SERVING_JOB, vec![apart]));
    while full.running_count(SERVING_JOB) == 0 {
        full.run(50);
    }
    let is_first =
        |instance: &Instance| instance.running.keys().any(|task| task.job == SERVING_JOB);
    let first = full.fleet.instances.iter().position(is_first);
    let first = first.expect("one runs");
    full.run(500);
    let mut highest = 0;
    for _ in 0..20 {
        full.run(50);
        highest = highest.max(full.fleet.instances[first].running.len());
    }
    assert!(highest >= 5, "{highest} runs beside a backlog of batch tasks");
}

/// Guards against rooms that together exceed their worker, so that none of their tasks starts there and
/// the CPU is idle: a task has started in the room of another one of its job, and the room stays held.
#[test]
fn plan_starts_a_task_in_its_room_after_another_one_took_a_room_of_its_job() {
    let mut fleet = Fleet::new(2, 1);
    (fleet.max_run_ms, fleet.is_every_start_answered) = (60_000, true);
    fleet.instances[1].settle_capacity(Resources::default());
    fleet.run_steps(4);
    fleet.submit(stored_job("1000000000000001", vec![with_cpu(stage(8), 1_000)]));
    fleet.run_steps(6);
    assert_eq!(fleet.instances[0].running.len(), 8);
    fleet.instances[1].settle_capacity(Resources { cpu_milli: 3_000, ..CAPACITY });
    fleet.run_steps(2);
    fleet.submit(stored_job("0000000000000001", vec![with_cpu(long_running(2), 2_400)]));
    fleet.run_steps(6);
    let running: Vec<TaskName> = fleet.instances[1].running.keys().cloned().collect();
    assert_eq!(running.len(), 1, "the second one waits");
    fleet.submit(stored_job("0000000000000002", vec![with_cpu(long_running(1), 5_000)]));
    // Both have waited long enough for their room to be held.
    fleet.run_steps(30);
    fleet.instances[1].settle_capacity(Resources::default());
    fleet.instances[1].end(&running[0], EndCause::Failed);
    let batch: Vec<TaskName> = fleet.instances[0].running.keys().cloned().collect();
    for task in batch {
        fleet.instances[0].end(&task, EndCause::Done);
        fleet.done.insert(task);
    }
    fleet.run_steps(20);
    assert_eq!(fleet.instances[0].running.len(), 2, "the worker has room for two of them");
}
