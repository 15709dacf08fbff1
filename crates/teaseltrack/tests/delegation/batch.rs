//! Long-running tasks that wait beside a cell whose batch tasks take each part of its room at once.

use std::collections::BTreeMap;

use teaseltrack::cell::{
    StoredJob,
    job::Stage,
    protocol::{EndCause, TaskName},
};

use crate::model::{Model, capacity, job, job_of, stage};

const JOB: &str = "0000000000000001";
const FILLING_JOB: &str = "0000000000000002";

/// Steps that a batch task runs.
const RUN_STEPS: usize = 5;

/// Steps from the submission of a task until the platform counts it as idle beside room: 6 s, and 3 s more.
const MAX_IDLE_STEPS: usize = 90;

fn batch_job(number: usize) -> StoredJob {
    let batch = Stage { is_long_running: false, estimate_ms: 500, ..stage(1) };
    job_of(&format!("1{number:015x}"), vec![batch])
}

/// Steps in which two more batch tasks of half a second arrive in cell 1 each, more than its only worker can
/// run. `ages` has the steps that each has run.
fn run_steps(model: &mut Model, ages: &mut BTreeMap<TaskName, usize>, count: usize) {
    for _ in 0..count {
        for _ in 0..2 {
            let number = model.jobs.len();
            model.submit_to(1, batch_job(number));
        }
        model.run_steps_with_searches(1);
        let running = model.sites[1].instance.running.clone();
        for (task, attempt) in running.iter().filter(|(task, _)| task.job.starts_with('1')) {
            let age = ages.entry(task.clone()).or_default();
            *age += 1;
            if *age > RUN_STEPS {
                model.end(1, task, *attempt, EndCause::Done);
            }
        }
    }
}

/// Guards against long-running tasks that wait without end for room that another cell's batch tasks, which end
/// all the time, take again before any owner can ask for it.
#[test]
fn promise_rooms_does_not_leave_all_room_to_batch_tasks() {
    let mut model = Model::new();
    model.sites[1].instance.capacity = capacity(8);
    model.submit(job(FILLING_JOB, 4));
    model.run_steps(10);
    let mut ages = BTreeMap::new();
    run_steps(&mut model, &mut ages, 20);
    model.submit(job(JOB, 2));
    run_steps(&mut model, &mut ages, MAX_IDLE_STEPS);
    assert_eq!(model.runs_of(1, JOB), 2);
}
