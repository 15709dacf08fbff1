//! Effect of one slow target on tail latency, compared with random target selection.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    LabError,
    experiments::flood::wait_ready,
    fleet::{Fleet, FleetPlan},
    load::{LoadPlan, LoadResult, send_load},
    operator::Operator,
    report::Report,
    target::TargetBehaviour,
};

/// Number of agents, each with a target.
const AGENTS: usize = 11;
/// Service time of a request, in milliseconds.
const SERVICE_TIME_MS: f64 = 10.0;
/// Factor on the service time of the slow target.
const SLOWDOWN: f64 = 20.0;
/// Mean requests per second.
const RATE_PER_S: f64 = 800.0;
/// Duration of each load.
const LOAD_DURATION: Duration = Duration::from_secs(6);

/// Runs the experiment.
///
/// # Errors
///
/// The fleet can't be started.
pub async fn run(seed: u64, report: &mut Report) -> Result<(), LabError> {
    let behaviour =
        TargetBehaviour { service_time_ms: SERVICE_TIME_MS, ..TargetBehaviour::default() };
    let plan = FleetPlan { entries: 2, agents: AGENTS, behaviour, ..FleetPlan::default() };
    let fleet = Fleet::start(plan).await?;
    Operator::new(fleet.plan.operator_address(0), "lab").submit_service("tickets", 2_000).await?;
    wait_ready(&fleet).await?;
    let slow_behaviour =
        TargetBehaviour { service_time_ms: SERVICE_TIME_MS * SLOWDOWN, ..behaviour };
    send(&fleet, "warm", seed, false).await;
    let balanced_baseline = send(&fleet, "before", seed, false).await;
    let random_baseline = send(&fleet, "random-before", seed, true).await;
    let slow_target = ChaCha8Rng::seed_from_u64(seed).random_range(0..AGENTS);
    fleet.targets[slow_target].set_behaviour(slow_behaviour);
    let balanced = send(&fleet, "slow", seed, false).await;
    let random = send(&fleet, "random-slow", seed, true).await;
    for (quantile, name) in [(0.5, "p50"), (0.99, "p99"), (0.999, "p999")] {
        let ratio = balanced.latency_ms(quantile) / balanced_baseline.latency_ms(quantile);
        report.set(&format!("{name}_ratio"), ratio);
        let ratio = random.latency_ms(quantile) / random_baseline.latency_ms(quantile);
        report.set(&format!("random_{name}_ratio"), ratio);
    }
    report.set("p99_ms", balanced.latency_ms(0.99));
    report.set("p99_before_ms", balanced_baseline.latency_ms(0.99));
    fleet.stop().await;
    Ok(())
}

/// Sends a load through the entries, or directly to randomly chosen targets.
async fn send(fleet: &Fleet, name: &str, seed: u64, is_random: bool) -> LoadResult {
    let entries: Vec<_> =
        (0..fleet.plan.entries).map(|entry| fleet.plan.caller_address(entry)).collect();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let targets: Vec<_> =
        (0..1_000).map(|_| fleet.plan.target_address(rng.random_range(0..AGENTS))).collect();
    send_load(LoadPlan {
        addresses: if is_random { targets } else { entries },
        prefix: if is_random { String::new() } else { "/tickets".to_owned() },
        name: name.to_owned(),
        rate_per_s: RATE_PER_S,
        duration: LOAD_DURATION,
        seed,
        ..LoadPlan::default()
    })
    .await
}
