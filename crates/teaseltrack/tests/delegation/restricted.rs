//! Tasks that wait beside another cell's restricted workers.

use std::time::Duration;

use teaseltrack::cell::{quote::StageDemand, room_promises::RoomRequest};
use yare::parameterized;

use crate::model::{Model, WAIT, capacity, job, stage};

const JOB: &str = "0000000000000001";
const FAILING_JOB: &str = "0000000000000002";
const FILLING_JOB: &str = "0000000000000003";

/// Steps from the last run of a task, or its submission, until the platform counts it as idle beside room:
/// 6 s, and 3 s more.
const MAX_IDLE_STEPS: usize = 90;

/// Cell 0 is full when a job of two tasks is submitted. The only worker of cell 1 has room for eight, and is
/// on probation, which each failure of another job's four tasks there starts anew.
fn cell_beside_a_worker_on_probation() -> Model {
    let mut model = Model::new();
    model.sites[1].instance.capacity = capacity(8);
    model.submit(job(FILLING_JOB, 4));
    model.run_steps(10);
    model.submit_to(1, job(FAILING_JOB, 4));
    run_steps(&mut model, 40);
    model.submit(job(JOB, 2));
    model
}

/// Steps in which all runs of the failing job fail at once.
fn run_steps(model: &mut Model, count: usize) {
    for _ in 0..count {
        model.run_steps_with_searches(1);
        model.fail_runs(1, FAILING_JOB);
    }
}

/// Guards against a task that waits without end beside room in another cell, because the workers there are on
/// probation each time that the owner of its cell asks.
#[test]
fn promise_rooms_includes_workers_on_probation_after_a_wait() {
    let mut model = cell_beside_a_worker_on_probation();
    run_steps(&mut model, MAX_IDLE_STEPS);
    assert_eq!(model.runs_of(1, JOB), 2);
}

/// Rooms that cell 1 promises to tasks of a job of another cell.
fn promised_rooms(model: &mut Model, task_count: u32, is_overdue: bool) -> u32 {
    let request = RoomRequest {
        service: "service".to_owned(),
        job: JOB.to_owned(),
        demand: StageDemand::of(&stage(task_count)),
        is_overdue,
        ..RoomRequest::default()
    };
    model.sites[1].cell.promise_rooms(&[request], model.now)[0]
}

/// The only worker of cell 1, with room for that many tasks, is on probation and runs nothing.
fn idle_worker_on_probation(room_count: u64) -> Model {
    let mut model = Model::new();
    model.submit_to(1, job(FAILING_JOB, 4));
    run_steps(&mut model, 10);
    model.cancel(FAILING_JOB);
    model.sites[1].instance.capacity = capacity(room_count);
    model.run_steps(5);
    model
}

/// Guards against a task that is handed over to a worker on probation while other workers may have room, and
/// against the use of the last room there, which batch tasks come first for.
#[parameterized(
    before_the_wait = { 4, false, 0 },
    after_the_wait = { 4, true, 3 },
    last_but_one_room = { 2, true, 2 },
    last_room = { 1, true, 0 },
)]
fn promise_rooms_of_a_worker_on_probation(room_count: u64, is_overdue: bool, expected: u32) {
    let mut model = idle_worker_on_probation(room_count);
    assert_eq!(promised_rooms(&mut model, 3, is_overdue), expected);
}

/// Guards against tasks that may use restricted workers elsewhere before open ones have been searched for, or
/// never.
#[test]
fn unplaced_tasks_are_overdue_after_a_wait() {
    let mut model = Model::new();
    model.submit(job(JOB, 5));
    model.run_steps(14);
    let is_overdue = |model: &Model| -> Vec<bool> {
        let unplaced = model.sites[0].cell.unplaced_tasks(WAIT, model.now);
        unplaced.iter().map(|unplaced| unplaced.is_overdue).collect()
    };
    let waited = |model: &Model| model.sites[0].cell.waiting_serving_tasks(model.now).longest;
    while waited(&model) < Duration::from_millis(2_000) {
        if waited(&model) >= WAIT {
            assert_eq!(is_overdue(&model), [false], "after {:?}", waited(&model));
        }
        model.run_steps(1);
    }
    assert_eq!(is_overdue(&model), [true]);
}
