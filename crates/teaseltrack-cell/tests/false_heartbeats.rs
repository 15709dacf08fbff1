//! Tests of an owner and its agents with heartbeats that aren't those of the agent's worker, or that
//! are wrong about it.

#[path = "util/simulated_worker.rs"]
#[allow(dead_code, reason = "other test programs use all of it")]
mod simulated_worker;
#[path = "util/system.rs"]
#[allow(dead_code, reason = "other test programs use all of it")]
mod system;
mod util;

use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use simulated_worker::{LASTING, SimulatedWorker};
use system::{HEARTBEAT_INTERVAL, System};
use teaseltrack::{cell::job::Stage, placement::Resources};
use teaseltrack_cell::agent::{AgentEvent, Heartbeat};
use tokio::time::sleep;

const WORKER_COUNT: usize = 3;
const RUN_TIME: Duration = Duration::from_secs(3);
/// Time from the arrival of false heartbeats until nothing follows from them any more.
const RECOVERY_TIME: Duration = Duration::from_secs(3);
/// Time in which a job with a task for each worker starts; shorter than any wait for a lease.
const START_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Next heartbeat of a worker.
fn true_heartbeat(worker: &SimulatedWorker) -> Heartbeat {
    match worker.heartbeat() {
        Some(AgentEvent::Heartbeat(heartbeat)) => heartbeat,
        other => panic!("not a heartbeat: {other:?}"),
    }
}

/// Stage with one task for each worker.
fn task_on_each_worker() -> Stage {
    Stage {
        task_count: WORKER_COUNT as u32,
        resources: Resources { cpu_milli: 50, memory_mib: 100, accelerators: 0 },
        estimate_ms: 300,
        max_per_worker: Some(1),
        ..Stage::default()
    }
}

async fn wait_for_runs(system: &System, count: usize, limit: Duration) {
    let until = Instant::now() + limit;
    while system.runs.lock().unwrap().len() < count {
        assert!(Instant::now() < until, "{} runs", system.runs.lock().unwrap().len());
        sleep(Duration::from_millis(20)).await;
    }
}

/// Sends false heartbeats to an agent while tasks run, and asserts that these run once, that a job
/// which needs each worker is started soon after, and that the owner has noted no restart.
async fn assert_ignored(falsify: fn(&mut Heartbeat), count: usize) {
    let mut system = System::start(WORKER_COUNT, RUN_TIME).await;
    system.submit_stage(LASTING, task_on_each_worker());
    system.submit(1, 12);
    wait_for_runs(&system, WORKER_COUNT + 12, Duration::from_secs(10)).await;
    for _ in 0..count {
        let mut heartbeat = true_heartbeat(&system.workers[0]);
        falsify(&mut heartbeat);
        system.agents[0].send(AgentEvent::Heartbeat(heartbeat)).await.unwrap();
    }
    sleep(RECOVERY_TIME).await;
    let run_count = system.runs.lock().unwrap().len();
    assert_eq!(run_count, WORKER_COUNT + 12, "tasks were started again");
    system.submit_stage(LASTING, task_on_each_worker());
    wait_for_runs(&system, run_count + WORKER_COUNT, START_TIMEOUT).await;
    system.assert_runs();
    for metrics in &system.metrics {
        let text = metrics.text().expect("text");
        assert!(text.contains("teaseltrack_worker_incarnations_total 1\n"), "{text}");
    }
}

fn name_other_worker(heartbeat: &mut Heartbeat) {
    heartbeat.status.worker = "other".to_owned();
}

fn set_later_start(heartbeat: &mut Heartbeat) {
    heartbeat.status.started_unix_ms += 1_000;
}

fn name_later_worker(heartbeat: &mut Heartbeat) {
    name_other_worker(heartbeat);
    set_later_start(heartbeat);
}

/// Guards against tasks that are started elsewhere while they run on, and against a sound worker that gets no
/// more work, because a heartbeat names another incarnation than the one that responds to the agent's calls.
#[yare::parameterized(
    other_worker = { name_other_worker, 1 },
    later_start = { set_later_start, 1 },
    other_worker_with_later_start = { name_later_worker, 1 },
    series = { name_later_worker, 30 },
)]
#[test_macro(tokio::test)]
async fn handle_heartbeat_keeps_the_incarnation_that_responds(
    falsify: fn(&mut Heartbeat),
    count: usize,
) {
    assert_ignored(falsify, count).await;
}

fn remove_capacity(heartbeat: &mut Heartbeat) {
    heartbeat.status.capacity = Resources::default();
}

fn set_high_number(heartbeat: &mut Heartbeat) {
    remove_capacity(heartbeat);
    heartbeat.number = u64::MAX;
}

fn set_high_clock(heartbeat: &mut Heartbeat) {
    remove_capacity(heartbeat);
    heartbeat.clock_ms += 1 << 40;
}

fn set_high_clock_and_number(heartbeat: &mut Heartbeat) {
    set_high_clock(heartbeat);
    heartbeat.number = u64::MAX;
}

/// Guards against a sound worker that gets no more work, because a heartbeat in its name hides all later ones.
#[yare::parameterized(
    high_number = { set_high_number },
    high_clock = { set_high_clock },
    high_clock_and_number = { set_high_clock_and_number },
    unchanged_order = { remove_capacity },
)]
#[test_macro(tokio::test)]
async fn handle_heartbeat_believes_those_after_a_false_one(falsify: fn(&mut Heartbeat)) {
    assert_ignored(falsify, 1).await;
}

/// Guards against a restarted worker that waits for work longer than before, since its heartbeats have to be
/// confirmed, in a series of restarts and beside heartbeats of its earlier incarnations.
#[tokio::test]
async fn handle_heartbeat_believes_restarts_in_a_series() {
    let mut system = System::start(WORKER_COUNT, RUN_TIME).await;
    for _ in 0..4 {
        let earlier = true_heartbeat(&system.workers[0]);
        system.workers[0].restart();
        sleep(HEARTBEAT_INTERVAL / 2).await;
        system.agents[0].send(AgentEvent::Heartbeat(earlier)).await.unwrap();
        let run_count = system.runs.lock().unwrap().len();
        system.submit_stage(LASTING, task_on_each_worker());
        wait_for_runs(&system, run_count + WORKER_COUNT, START_TIMEOUT).await;
        system.cancel_last();
        sleep(Duration::from_millis(500)).await;
    }
    system.assert_runs();
}

/// Guards against starts on a worker without the required label, because a heartbeat in its name has it.
#[tokio::test]
async fn handle_heartbeat_believes_no_label_of_a_single_one() {
    let mut system = System::start(WORKER_COUNT, RUN_TIME).await;
    let required_label = Some("label".to_owned());
    system.submit_stage(LASTING, Stage { required_label, ..task_on_each_worker() });
    let mut heartbeat = true_heartbeat(&system.workers[0]);
    heartbeat.status.labels = vec!["label".to_owned()];
    system.agents[0].send(AgentEvent::Heartbeat(heartbeat)).await.unwrap();
    sleep(RECOVERY_TIME).await;
    assert_eq!(system.runs.lock().unwrap().len(), 0);
}

fn set_earlier_start(heartbeat: &mut Heartbeat) {
    heartbeat.status.started_unix_ms -= 1;
}

/// Names the start that the worker's next incarnation will have.
fn set_next_start(heartbeat: &mut Heartbeat) {
    heartbeat.status.started_unix_ms += 1;
}

fn announce_shutdown(heartbeat: &mut Heartbeat) {
    heartbeat.status.is_draining = true;
}

/// Sends a heartbeat to a random agent that is false in a random way, or is another agent's.
async fn send_false_heartbeat(system: &System, rng: &mut ChaCha8Rng) {
    const FALSIFICATIONS: [fn(&mut Heartbeat); 10] = [
        name_other_worker,
        set_later_start,
        name_later_worker,
        remove_capacity,
        set_high_number,
        set_high_clock,
        set_high_clock_and_number,
        set_earlier_start,
        set_next_start,
        announce_shutdown,
    ];
    let mut index = || rng.random_range(0..WORKER_COUNT);
    let (agent, worker) = (index(), index());
    let mut heartbeat = true_heartbeat(&system.workers[worker]);
    if agent == worker {
        FALSIFICATIONS[rng.random_range(0..FALSIFICATIONS.len())](&mut heartbeat);
    }
    system.agents[agent].send(AgentEvent::Heartbeat(heartbeat)).await.unwrap();
}

/// Runs jobs, of which some are cancelled, for 12 s with false heartbeats and restarts. Asserts the
/// promises, and that all workers get work soon after.
async fn run_with_false_heartbeats(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut system = System::start(WORKER_COUNT, Duration::from_millis(300)).await;
    for step in 0..60 {
        for _ in 0..rng.random_range(0..4) {
            send_false_heartbeat(&system, &mut rng).await;
        }
        if rng.random_bool(0.1) {
            system.workers[rng.random_range(0..WORKER_COUNT)].restart();
        }
        if step % 3 == 0 {
            system.submit(rng.random_range(1..4), rng.random_range(1..40));
        }
        if rng.random_bool(0.1) {
            system.cancel_last();
        }
        sleep(Duration::from_millis(200)).await;
    }
    system.assert_completes(Duration::from_secs(30)).await;
    let run_count = system.runs.lock().unwrap().len();
    system.submit_stage(LASTING, task_on_each_worker());
    wait_for_runs(&system, run_count + WORKER_COUNT, START_TIMEOUT).await;
    system.assert_runs();
}

/// Seeds from the environment variable, or the first few.
fn seeds() -> std::ops::RangeInclusive<u64> {
    let count = std::env::var("FALSE_HEARTBEAT_SEEDS").ok().and_then(|count| count.parse().ok());
    1..=count.unwrap_or(4)
}

/// Guards against tasks that run twice or are lost, and against sound workers without work, while false
/// heartbeats of several kinds arrive beside restarts.
#[tokio::test(flavor = "multi_thread")]
async fn false_heartbeats_break_no_promise() {
    let runs: Vec<_> =
        seeds().map(|seed| (seed, tokio::spawn(run_with_false_heartbeats(seed)))).collect();
    let mut failed = Vec::new();
    for (seed, run) in runs {
        if run.await.is_err() {
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "failed with seeds {failed:?}");
}
