//! Jobs that fail, or whose workers crash, while some of their tasks run in other cells.

use teaseltrack::cell::{
    job::Stage,
    progress::JobState,
    protocol::{EndCause, TaskName},
};
use yare::parameterized;

use crate::model::{Model, job, job_of, stage, task};

const JOB: &str = "0000000000000001";

/// Four tasks run in cell 0, the cell of the job, and two that were delegated in cell 1.
fn delegated_tasks() -> Model {
    let mut model = Model::new();
    model.submit(job(JOB, 6));
    model.run_steps_with_searches(30);
    assert_eq!((model.running(0), model.running(1)), (4, 2));
    model
}

/// Crashes the worker of a cell each time that the task has started on it, as often as a batch task is
/// given up for.
fn crash_under(model: &mut Model, index: usize, task: &TaskName) {
    let attempt = model.sites[index].instance.running[task];
    model.end(index, task, attempt, EndCause::Failed);
    let mut crash_count = 0;
    for _ in 0..200 {
        model.step();
        if crash_count < 4 && model.sites[index].instance.running.contains_key(task) {
            model.crash_worker(index);
            crash_count += 1;
        }
    }
    assert_eq!(crash_count, 4, "the task has started again after its crashes");
}

/// Guards against a job that fails in one cell alone, or tasks that are stopped for good there while their
/// job goes on, because the workers crash under one of its tasks.
#[parameterized(
    in_the_cell_of_the_job = { 0, 0 },
    in_another_cell = { 1, 4 },
)]
fn attribute_crash_keeps_a_job_with_delegated_tasks(cell: usize, index: u32) {
    let mut model = delegated_tasks();
    crash_under(&mut model, cell, &task(JOB, index));
    model.run_steps_with_searches(30);
    assert_eq!(model.sites[0].cell.state(JOB), Some(JobState::Active));
    assert!((0..6).all(|index| model.is_running(&task(JOB, index))));
    assert_eq!(model.running(0) + model.running(1), 6);
}

/// Guards against delegated tasks that run on without an end after their job has failed in its own cell.
#[test]
fn finish_stops_the_delegated_tasks_of_a_failed_job() {
    let mut model = Model::new();
    let batch = Stage { is_long_running: false, ..stage(1) };
    model.submit(job_of(JOB, vec![stage(6), batch]));
    model.run_steps_with_searches(30);
    assert!(model.running(1) > 0, "tasks were delegated");
    let batch = TaskName { stage: 1, ..task(JOB, 0) };
    let attempt = model.sites[0].instance.running[&batch];
    model.end(0, &batch, attempt, EndCause::Failed);
    model.run_steps_with_searches(30);
    assert_eq!(model.sites[0].cell.state(JOB), Some(JobState::Failed));
    assert_eq!((model.running(0), model.running(1)), (0, 0));
}
