//! Delegation of long-running tasks between cells.

mod batch;
mod calm_cells;
mod ended;
#[allow(dead_code)]
#[path = "../cell/fleet.rs"]
mod fleet;
mod given_up;
mod hand_overs;
mod model;
mod restricted;
#[path = "../util.rs"]
mod util;

use model::{Model, job};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use teaseltrack::cell::{
    StoredJob,
    progress::{JobProgress, JobState, TaskProgress},
    protocol::EndCause,
};
use yare::parameterized;

/// Load pattern: more long-running tasks than their cell has room for, beside an empty cell.
#[test]
fn delegate_runs_waiting_tasks_in_a_cell_with_room() {
    let mut model = Model::new();
    model.submit(job("0000000000000001", 6));
    model.run_steps(25);
    assert_eq!((model.running(0), model.running(1)), (4, 0));
    model.delegate();
    model.run_steps(1);
    assert_eq!(model.unstored.len(), 2);
    model.store_delegation(1);
    model.store_delegation(2);
    model.run_steps(5);
    assert_eq!((model.running(0), model.running(1)), (4, 2));
}

#[test]
fn delegate_waits_for_its_commit() {
    let mut model = Model::new();
    model.submit(job("0000000000000001", 6));
    model.run_steps(25);
    model.delegate();
    assert_eq!(model.sites[0].cell.take_delegations(), []);
}

#[test]
fn restore_stores_delegations_again() {
    let mut model = Model::new();
    model.submit(job("0000000000000001", 6));
    model.run_steps(25);
    model.delegate();
    model.run_steps(1);
    model.unstored.clear();
    model.replace_owner(0);
    model.run_steps(1);
    assert_eq!(model.unstored.len(), 2);
}

/// Guards against a task that crashes its workers and is counted anew in the next cell.
#[test]
fn delegate_keeps_the_number_of_crashes() {
    let mut model = Model::new();
    model.submit(job("0000000000000001", 4));
    model.run_steps(25);
    let suspect = TaskProgress { crash_count: 3, sole_crash_count: 1, ..TaskProgress::default() };
    let occurrences = vec![vec![vec![suspect]]];
    let progress =
        Some(JobProgress { state: JobState::Active, occurrences, ..JobProgress::default() });
    model.submit(StoredJob { progress, ..job("0000000000000002", 1) });
    model.run_steps(25);
    model.delegate();
    model.run_steps(1);
    model.store_delegation(1);
    model.run_steps(1);
    let delegated = &model.sites[1].progress["0000000000000002"].occurrences[0][0][0];
    assert_eq!((delegated.crash_count, delegated.sole_crash_count), (3, 1));
    model.run_steps(5);
    assert_eq!(model.running(1), 1);
}

#[test]
fn cancel_stops_delegated_tasks() {
    let mut model = Model::new();
    model.submit(job("0000000000000001", 6));
    model.run_steps(25);
    model.delegate();
    model.run_steps(1);
    model.store_delegation(1);
    model.store_delegation(1);
    model.run_steps(5);
    model.cancel("0000000000000001");
    model.run_steps(3);
    assert_eq!((model.running(0), model.running(1)), (0, 0));
    assert_eq!(model.sites[1].cell.state("0000000000000001"), None, "shown by the job's own cell");
}

#[parameterized(
    seed_1 = { 1 },
    seed_2 = { 2 },
    seed_3 = { 3 },
    seed_4 = { 4 },
    seed_5 = { 5 },
    seed_6 = { 6 },
    seed_7 = { 7 },
    seed_8 = { 8 },
)]
fn delegation_keeps_one_run_of_a_task_under_random_faults(seed: u64) {
    let mut model = Model::new();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    for round in 0_u64..1_200 {
        if round % 100 == 0 && round < 1_000 {
            model.submit(job(&format!("{round:016x}"), rng.random_range(1..5)));
        }
        model.step();
        match rng.random_range(0..40) {
            0 => model.replace_owner(0),
            1 => model.replace_owner(1),
            2..=4 => model.store_delegation(rng.random_range(1..3)),
            5 | 6 => model.delegate(),
            // The owner fails after the commit and before the row is stored.
            7 => {
                model.delegate();
                model.commit(0);
                model.unstored.clear();
                model.replace_owner(0);
            }
            8 => {
                let index = rng.random_range(0..2);
                let running = model.sites[index].instance.running.iter().next();
                if let Some((task, attempt)) = running.map(|(task, run)| (task.clone(), *run)) {
                    model.end(index, &task, attempt, EndCause::Failed);
                }
            }
            9 if round % 3 == 0 => model.cancel(&format!("{:016x}", round / 100 * 100)),
            _ => {}
        }
    }
    while !model.unstored.is_empty() {
        model.store_delegation(1);
    }
    model.run_steps(100);
    for (id, (_, job)) in &model.jobs {
        let runs = model.sites.iter().flat_map(|site| site.instance.running.keys());
        let count = runs.filter(|task| task.job == *id).count() as u32;
        let has_room = model.running(0) < 4 && model.running(1) < 4;
        if job.is_cancelled {
            assert_eq!(count, 0, "{id} was cancelled");
        } else if has_room {
            assert_eq!(count, job.spec.stages[0].task_count, "{id} has all tasks running");
        }
    }
}
