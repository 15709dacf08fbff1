//! Jobs that end in their own cell while tasks of them run in other cells.
//!
//! A long-running task may fail as often as it does, so a job with a delegated task fails by the tasks of its
//! other stages.

use teaseltrack::cell::{StoredJob, job::Stage, progress::JobState, protocol::EndCause};
use yare::parameterized;

use crate::model::{Model, capacity, job_of, stage, task};

const JOB: &str = "0000000000000001";

/// Five long-running tasks, of which cell 0, the cell of the job, runs three and cell 1 two, and a batch task
/// in cell 0.
fn mixed_job() -> Model {
    let mut model = Model::new();
    model.submit(stored_job());
    model.run_steps_with_searches(30);
    assert_eq!((model.running(0), model.running(1)), (4, 2));
    model
}

fn stored_job() -> StoredJob {
    let batch = Stage { is_long_running: false, estimate_ms: 60_000, ..stage(1) };
    job_of(JOB, vec![batch, stage(5)])
}

/// Lets the run of the batch task fail, which has one attempt.
fn fail_batch_task(model: &mut Model) {
    let batch = task(JOB, 0);
    let attempt = model.sites[0].instance.running[&batch];
    model.end(0, &batch, attempt, EndCause::Failed);
}

/// Lets the job fail, as far as its owner knows.
fn fail_job(model: &mut Model) {
    fail_batch_task(model);
    model.run_steps(5);
    assert_eq!(model.sites[0].cell.state(JOB), Some(JobState::Failed));
    assert_eq!((model.running(0), model.running(1)), (0, 2));
}

/// Guards against delegated tasks that run on without an end after their job has failed in its own cell,
/// whichever owners are replaced meanwhile.
#[parameterized(
    by_no_new_owner = { &[] },
    by_a_new_owner_of_the_job = { &[0] },
    by_a_new_owner_of_the_tasks = { &[1] },
    by_new_owners = { &[0, 1] },
)]
fn announce_end_stops_the_delegated_tasks_of_a_failed_job(replaced: &[usize]) {
    let mut model = mixed_job();
    fail_job(&mut model);
    // The end is lost with the owner that was about to store it.
    if replaced.contains(&0) {
        model.unstored_ends.clear();
    }
    replaced.iter().for_each(|index| model.replace_owner(*index));
    model.run_steps_with_searches(30);
    assert_eq!((model.running(0), model.running(1)), (0, 0));
    assert_eq!(model.sites[0].cell.state(JOB), Some(JobState::Failed));
}

/// Guards against an owner that learns of the end from the store alone, and goes on with the tasks.
#[test]
fn admit_ends_a_job_that_ended_in_its_own_cell() {
    let mut model = mixed_job();
    fail_job(&mut model);
    model.sites[1].instance.is_silent = true;
    model.run_steps_with_searches(2);
    model.replace_owner(1);
    model.sites[1].instance.is_silent = false;
    model.run_steps_with_searches(30);
    assert_eq!((model.running(0), model.running(1)), (0, 0));
}

/// Guards against a row of a hand-over that is stored only after the job has ended, by an owner that was cut
/// off from the store.
#[parameterized(
    the_same_owner = { false },
    a_new_owner = { true },
)]
fn announce_end_follows_a_late_hand_over(is_replaced: bool) {
    let mut model = Model::new();
    model.submit(stored_job());
    model.run_steps(20);
    model.search_cells(0);
    model.run_steps(1);
    assert_eq!(model.unstored.len(), 2);
    fail_batch_task(&mut model);
    model.run_steps(5);
    if is_replaced {
        model.unstored_ends.clear();
        model.replace_owner(0);
        model.run_steps(5);
    }
    model.store_all_delegations();
    model.run_steps_with_searches(30);
    assert_eq!((model.running(0), model.running(1)), (0, 0));
}

/// Guards against the end of a job for other cells that stops the tasks of another job, or a job that goes on.
#[test]
fn announce_end_leaves_other_jobs() {
    let mut model = mixed_job();
    model.sites[1].instance.capacity = capacity(8);
    let other = "0000000000000002";
    model.submit_to(1, job_of(other, vec![stage(2)]));
    model.run_steps_with_searches(5);
    assert_eq!(model.unstored_ends.len(), 0);
    fail_batch_task(&mut model);
    model.run_steps_with_searches(30);
    assert_eq!((model.runs_of(1, JOB), model.runs_of(1, other)), (0, 2));
}
