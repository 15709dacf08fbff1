//! Random faults with gangs: members fail, workers are lost, responses are lost or late, owners change,
//! jobs are cancelled, and some gangs fit on no workers.
//!
//! [`Fleet`] asserts at each start that the task runs nowhere else, that the stages it depends on are done,
//! and that it hasn't failed too often. At the end, every job is in its final state, unless it can't run,
//! and only a job that has failed as often as its queue allows is shown as failed.

use std::collections::{BTreeMap, BTreeSet};

use rand::{RngExt, SeedableRng, seq::IteratorRandom};
use rand_chacha::ChaCha8Rng;
use teaseltrack::cell::{
    job::Stage,
    progress::JobState,
    protocol::{EndCause, TaskName},
};

use crate::fleet::{Fleet, Instance, stage, stored_job};

const INSTANCE_COUNT: usize = 5;
/// More members than fit on all workers.
const HOPELESS_COUNT: u32 = 21;
const MAX_ATTEMPTS: u32 = 3;

/// Attempts of a stage of which a run has failed, by task; all members of a gang are one.
type FailedAttempts = BTreeMap<TaskName, BTreeSet<u32>>;

fn stages(rng: &mut ChaCha8Rng) -> Vec<Stage> {
    let gang = Stage { is_gang: true, ..stage(rng.random_range(2..8)) };
    let dependent = |stage: Stage| Stage { after: vec![0], ..stage };
    match rng.random_range(0..6) {
        0 => vec![Stage { is_gang: true, ..stage(HOPELESS_COUNT) }],
        1 => vec![stage(2), dependent(Stage { is_gang: true, ..stage(HOPELESS_COUNT) })],
        2 => vec![Stage { max_per_worker: Some(2), ..gang }, dependent(stage(3))],
        3 => vec![Stage { is_best_effort: true, ..gang }],
        4 => vec![stage(rng.random_range(1..6)), dependent(gang)],
        _ => vec![gang],
    }
}

fn is_hopeless(stages: &[Stage]) -> bool {
    stages.iter().any(|stage| stage.task_count == HOPELESS_COUNT)
}

/// Lets one to three members of a gang fail in the same moment; the others are broken off.
fn fail_gang(fleet: &mut Fleet, rng: &mut ChaCha8Rng) {
    let running: Vec<(usize, TaskName, u32)> = (0..fleet.instances.len())
        .flat_map(|index| {
            let running = fleet.instances[index].running.iter();
            running.map(move |(task, (attempt, _))| (index, task.clone(), *attempt))
        })
        .filter(|(_, task, _)| fleet.jobs[&task.job].spec.stages[task.stage as usize].is_gang)
        .collect();
    let Some((_, first, attempt)) = running.iter().choose(rng).cloned() else { return };
    let mut members: Vec<(usize, TaskName, u32)> = running;
    members.retain(|(_, task, other)| {
        (&task.job, task.stage, *other) == (&first.job, first.stage, attempt)
    });
    let failing_count = rng.random_range(1..=3);
    let failing: BTreeSet<TaskName> = members
        .iter()
        .map(|(_, task, _)| task.clone())
        .sample(rng, failing_count)
        .into_iter()
        .collect();
    for (index, task, _) in members {
        let has_failed = failing.contains(&task);
        let cause = if has_failed { EndCause::Failed } else { EndCause::Broken };
        fleet.instances[index].end(&task, cause);
    }
}

fn note_failures(fleet: &Fleet, failed: &mut FailedAttempts) {
    for end in fleet.instances.iter().flat_map(|instance| &instance.ended) {
        if end.cause == EndCause::Failed {
            let is_gang = fleet.jobs[&end.task.job].spec.stages[end.task.stage as usize].is_gang;
            let index = if is_gang { 0 } else { end.task.index };
            let stage = TaskName { index, ..end.task.clone() };
            failed.entry(stage).or_default().insert(end.attempt);
        }
    }
}

/// Restarts a worker and its agent: nothing that ran there is to blame for it.
fn lose_worker(fleet: &mut Fleet, index: usize) {
    fleet.restart_worker(index);
    fleet.restart_agent(index);
}

fn disturb(fleet: &mut Fleet, rng: &mut ChaCha8Rng, cancelled: &mut BTreeSet<String>) {
    let index = rng.random_range(0..INSTANCE_COUNT);
    match rng.random_range(0..200) {
        0 => fleet.restart_owner(),
        1 => lose_worker(fleet, index),
        2 => fleet.restart_agent(index),
        3 => fleet.instances[index].is_disconnected = true,
        4..=10 => fleet.instances[index].is_disconnected = false,
        11 => fleet.instances[index].last_clock_ms = Some(fleet.instances[index].clock_ms),
        12..=18 => fleet.instances[index].answer_again(),
        19 => {
            let Some(job) = fleet.jobs.keys().choose(rng).cloned() else { return };
            fleet.cancel(&job);
            cancelled.insert(job);
        }
        20..=29 => fail_gang(fleet, rng),
        _ => {}
    }
}

fn run_gang_faults(seed: u64) {
    println!("seed {seed}");
    let mut fleet = Fleet::new(INSTANCE_COUNT, seed).with_slow_store(150).with_slow_network(seed);
    fleet.max_run_ms = 2_000;
    let mut rng = ChaCha8Rng::seed_from_u64(seed + 5_000);
    let (mut failed, mut cancelled) = (FailedAttempts::new(), BTreeSet::new());
    for round in 0_u64..2_600 {
        if round % 30 == 0 && round < 1_000 {
            fleet.submit(stored_job(&format!("{round:016x}"), stages(&mut rng)));
        }
        fleet.step();
        note_failures(&fleet, &mut failed);
        if round <= 1_200 {
            disturb(&mut fleet, &mut rng, &mut cancelled);
        } else {
            fleet.instances.iter_mut().for_each(|instance| instance.is_disconnected = false);
            fleet.instances.iter_mut().for_each(Instance::answer_again);
        }
    }
    for (id, job) in &fleet.jobs {
        let state = fleet.cell.state(id);
        let has_failed = failed
            .iter()
            .any(|(task, attempts)| task.job == *id && attempts.len() >= MAX_ATTEMPTS as usize);
        let is_allowed = match state {
            Some(JobState::Completed) => !is_hopeless(&job.spec.stages),
            Some(JobState::Failed) => has_failed,
            Some(JobState::Cancelled) => cancelled.contains(id),
            Some(JobState::Queued | JobState::Active) => is_hopeless(&job.spec.stages),
            None => false,
        };
        assert!(is_allowed, "{id}: {state:?}, failed attempts {failed:?}");
    }
}

/// Seeds from the environment variable, or the first few.
#[test]
fn gangs_keep_their_promises_under_random_faults() {
    let seed_count = std::env::var("GANG_SEEDS").ok().and_then(|value| value.parse().ok());
    for seed in 1..=seed_count.unwrap_or(12) {
        run_gang_faults(seed);
    }
}
