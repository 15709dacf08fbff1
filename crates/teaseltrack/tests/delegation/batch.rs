//! Long-running tasks that wait beside a cell whose batch tasks take each part of its room at once.

use std::collections::BTreeMap;

use teaseltrack::cell::{
    StoredJob,
    job::Stage,
    partition::CellId,
    protocol::{EndCause, TaskName},
    quote::StageDemand,
    room_promises::RoomRequest,
};
use yare::parameterized;

use crate::model::{Model, WAIT, capacity, job, job_of, stage};

const JOB: &str = "0000000000000001";
const FILLING_JOB: &str = "0000000000000002";

/// Steps that a batch task runs.
const RUN_STEPS: usize = 5;

/// Steps from the submission of a task until the platform counts it as idle beside room: 6 s, and 3 s more.
const MAX_IDLE_STEPS: usize = 90;

fn batch_job(number: usize, estimate_ms: u64) -> StoredJob {
    let batch = Stage { is_long_running: false, estimate_ms, ..stage(1) };
    job_of(&format!("1{number:015x}"), vec![batch])
}

/// Cells with batch tasks of half a second, which arrive faster than the only worker of each can run them.
struct BatchCells {
    model: Model,
    /// Steps that each batch task has run.
    ages: BTreeMap<TaskName, usize>,
    count: usize,
}

impl BatchCells {
    /// Cell 0 is full of long-running tasks.
    fn beside_a_full_cell(cell_count: u32) -> Self {
        let mut model = Model::with_cells(cell_count);
        model.sites.iter_mut().skip(1).for_each(|site| site.instance.capacity = capacity(8));
        model.submit(job(FILLING_JOB, 4));
        model.run_steps(10);
        let mut cells = Self { model, ages: BTreeMap::new(), count: 0 };
        cells.run_steps(20, 500);
        cells
    }

    fn run_steps(&mut self, count: usize, estimate_ms: u64) {
        for _ in 0..count {
            for cell in 1..self.model.sites.len() {
                for _ in 0..2 {
                    self.count += 1;
                    let job = batch_job(self.count, estimate_ms);
                    self.model.submit_to(cell as CellId, job);
                }
            }
            self.model.run_steps_with_searches(1);
            (1..self.model.sites.len()).for_each(|index| self.end_batch_tasks(index));
        }
    }

    fn end_batch_tasks(&mut self, index: usize) {
        let running = self.model.sites[index].instance.running.clone();
        for (task, attempt) in running.iter().filter(|(task, _)| task.job.starts_with('1')) {
            let age = self.ages.entry(task.clone()).or_default();
            *age += 1;
            if *age > RUN_STEPS {
                self.model.end(index, task, *attempt, EndCause::Done);
            }
        }
    }

    fn runs_elsewhere(&self) -> usize {
        (1..self.model.sites.len()).map(|index| self.model.runs_of(index, JOB)).sum()
    }

    /// Rooms that cell 1 promises to a stage of another cell.
    fn promised_rooms(&mut self, stage: &Stage, is_overdue: bool) -> u32 {
        let request = RoomRequest {
            service: "service".to_owned(),
            job: JOB.to_owned(),
            is_gang: stage.is_gang,
            demand: StageDemand::of(stage),
            is_overdue,
            ..RoomRequest::default()
        };
        self.model.sites[1].cell.promise_rooms(&[request], self.model.now)[0]
    }
}

/// Guards against long-running tasks that wait without end for room that another cell's batch tasks, which end
/// all the time, take again before any owner can ask for it; and against ones that are passed on from a cell
/// that holds room for them.
#[parameterized(
    two_cells = { 2 },
    three_cells = { 3 },
)]
fn promise_rooms_does_not_leave_all_room_to_batch_tasks(cell_count: u32) {
    let mut cells = BatchCells::beside_a_full_cell(cell_count);
    cells.model.submit(job(JOB, 2));
    cells.run_steps(MAX_IDLE_STEPS, 500);
    assert_eq!(cells.runs_elsewhere(), 2);
    assert_eq!(cells.model.received.len(), 2, "hand-overs");
}

/// Guards against tasks that are handed over to wait for batch tasks which end late, before open room has been
/// searched for, or as a gang, for which no room is held.
#[test]
fn promise_rooms_of_a_worker_with_batch_tasks() {
    let mut cells = BatchCells::beside_a_full_cell(2);
    let gang = Stage { is_gang: true, ..stage(2) };
    assert_eq!(cells.promised_rooms(&stage(2), false), 0);
    assert_eq!(cells.promised_rooms(&gang, true), 0);
    assert_eq!(cells.promised_rooms(&stage(2), true), 2);
    // The room that was promised isn't promised again.
    assert_eq!(cells.promised_rooms(&stage(2), true), 0);
}

/// Guards against tasks that are handed over to wait for batch tasks which run for long.
#[test]
fn promise_rooms_does_not_count_on_batch_tasks_that_run_for_long() {
    let mut cells = BatchCells::beside_a_full_cell(2);
    let others: Vec<String> = cells.model.jobs.keys().cloned().collect();
    others.iter().filter(|id| id.starts_with('1')).for_each(|id| cells.model.cancel(id));
    cells.model.sites[1].instance.percent = 0;
    cells.run_steps(4, 600_000);
    assert_eq!(cells.promised_rooms(&stage(2), false), 0);
    assert_eq!(cells.promised_rooms(&stage(2), true), 0);
}

/// Guards against a task that is passed on to wait for another cell's batch tasks while its own cell holds room
/// for it, and so never gets either.
#[test]
fn unplaced_tasks_with_held_room_are_not_overdue() {
    let mut model = Model::new();
    let batch = Stage { is_long_running: false, estimate_ms: 500, ..stage(4) };
    model.submit(job_of(&format!("1{:015x}", 1), vec![batch]));
    model.run_steps(10);
    assert_eq!(model.running(0), 4);
    model.submit(job(JOB, 1));
    for step in 0..23 {
        // Runs that make progress aren't stopped.
        model.sites[0].instance.percent = 90 + step % 2;
        model.run_steps(1);
    }
    let unplaced = model.sites[0].cell.unplaced_tasks(WAIT, model.now);
    let overdue: Vec<bool> = unplaced.iter().map(|unplaced| unplaced.is_overdue).collect();
    assert_eq!(overdue, [false]);
}
