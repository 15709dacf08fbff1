//! Jobs that fail while some of their tasks run in other cells.

use teaseltrack::cell::{
    progress::JobState,
    protocol::{EndCause, TaskName},
};

use crate::model::{Model, job, task};

const JOB: &str = "0000000000000001";

/// Four tasks run in cell 0, the cell of the job, and two that were delegated in cell 1.
fn delegated_tasks() -> Model {
    let mut model = Model::new();
    model.submit(job(JOB, 6));
    model.run_steps_with_searches(30);
    assert_eq!((model.running(0), model.running(1)), (4, 2));
    model
}

/// Crashes the worker of a cell each time that the task has started on it, until the task is given up.
fn crash_under(model: &mut Model, index: usize, task: &TaskName) {
    let attempt = model.sites[index].instance.running[task];
    model.end(index, task, attempt, EndCause::Failed);
    let mut crash_count = 0;
    for _ in 0..50 {
        model.step();
        if crash_count < 2 && model.sites[index].instance.running.contains_key(task) {
            model.crash_worker(index);
            crash_count += 1;
        }
    }
    assert_eq!(crash_count, 2, "the task has started again after its first crash");
}

/// Guards against a job that stays active without an end, because the cell that has given up a delegated
/// task of it ends it for itself alone.
#[test]
fn attribute_crash_fails_the_job_of_a_delegated_task() {
    let mut model = delegated_tasks();
    crash_under(&mut model, 1, &task(JOB, 4));
    model.run_steps_with_searches(30);
    assert_eq!(model.sites[0].cell.state(JOB), Some(JobState::Failed));
    assert_eq!((model.running(0), model.running(1)), (0, 0));
}

/// Guards against tasks that are stopped for good in one cell while their job goes on.
#[test]
fn attribute_crash_keeps_the_other_delegated_tasks_of_an_active_job() {
    let mut model = delegated_tasks();
    crash_under(&mut model, 1, &task(JOB, 4));
    assert_eq!(model.sites[0].cell.state(JOB), Some(JobState::Active));
    assert!(model.is_running(&task(JOB, 5)));
    assert!(!model.is_running(&task(JOB, 4)));
}

/// Guards against delegated tasks that run on without an end after their job has failed in its own cell.
#[test]
fn finish_stops_the_delegated_tasks_of_a_failed_job() {
    let mut model = delegated_tasks();
    crash_under(&mut model, 0, &task(JOB, 0));
    assert_eq!(model.sites[0].cell.state(JOB), Some(JobState::Failed));
    model.run_steps_with_searches(30);
    assert_eq!((model.running(0), model.running(1)), (0, 0));
}
