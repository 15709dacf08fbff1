//! Goodput of the other classes when one class exceeds the capacity, compared with a single FIFO
//! queue.

use std::time::Duration;

use tokio::join;

use crate::{
    LabError,
    fleet::{Fleet, FleetPlan, wait_until},
    load::{LoadPlan, LoadResult, RequestOutcome, send_load},
    operator::Operator,
    report::Report,
    target::TargetBehaviour,
};

/// Duration of each load.
const LOAD_DURATION: Duration = Duration::from_secs(8);
/// Number of agents, each with a target.
const AGENTS: usize = 2;
/// Service time of a request, in milliseconds.
const SERVICE_TIME_MS: f64 = 50.0;
/// Request rate of each other class, relative to the capacity.
const OTHER_RATIO: f64 = 0.15;
/// Request rate of the flooding class, relative to the capacity.
const FLOOD_RATIO: f64 = 10.0;
/// Timeout of every request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// RFC 9218 urgencies of the classes: most urgent, normal, least urgent.
const URGENCIES: [u32; 3] = [0, 3, 7];

/// Runs the experiment.
///
/// # Errors
///
/// The fleet can't be started.
pub async fn run(seed: u64, report: &mut Report) -> Result<(), LabError> {
    let plan = FleetPlan {
        entries: 2,
        agents: AGENTS,
        behaviour: TargetBehaviour { service_time_ms: SERVICE_TIME_MS, ..Default::default() },
        ..FleetPlan::default()
    };
    let capacity_per_s = AGENTS as f64 * f64::from(plan.slots) * 1_000.0 / SERVICE_TIME_MS;
    let fleet = Fleet::start(plan).await?;
    Operator::new(fleet.plan.operator_address(0), "lab").submit_service("tickets", 1_000).await?;
    wait_ready(&fleet).await?;
    let modes = [("", true), ("fifo_", false)];
    for (prefix, has_classes) in modes {
        let baseline = send_all(&fleet, capacity_per_s, None, has_classes, seed).await;
        for (name, flooding) in [("least_urgent", 2), ("most_urgent", 0)] {
            let flooded =
                send_all(&fleet, capacity_per_s, Some(flooding), has_classes, seed + 1).await;
            let others = (0..URGENCIES.len()).filter(|class| *class != flooding);
            let (mut answered_in_flood, mut answered_in_baseline) = (0, 0);
            for class in others {
                answered_in_flood += flooded[class].count(RequestOutcome::Answered);
                answered_in_baseline += baseline[class].count(RequestOutcome::Answered);
            }
            let ratio = answered_in_flood as f64 / answered_in_baseline as f64;
            report.set(&format!("{prefix}goodput_ratio_{name}_flood"), ratio);
            let answered: u64 =
                flooded.iter().map(|load| load.count(RequestOutcome::Answered)).sum();
            let per_s = answered as f64 / LOAD_DURATION.as_secs_f64();
            report.set(&format!("{prefix}goodput_per_s_{name}_flood"), per_s);
        }
    }
    report.set("capacity_per_s", capacity_per_s);
    report.count("over_capacity", fleet.ledger.requests().over_capacity);
    fleet.stop().await;
    Ok(())
}

/// Sends the loads of all classes concurrently.
///
/// Without classes, all requests have the same class and team, so that each agent queues them in a
/// single FIFO.
async fn send_all(
    fleet: &Fleet,
    capacity_per_s: f64,
    flooding: Option<usize>,
    has_classes: bool,
    seed: u64,
) -> Vec<LoadResult> {
    let load = |class: usize| {
        let ratio = if flooding == Some(class) { FLOOD_RATIO } else { OTHER_RATIO };
        let name = format!("class-{class}-{flooding:?}-{has_classes}-{seed}");
        send_load(LoadPlan {
            addresses: (0..fleet.plan.entries)
                .map(|entry| fleet.plan.caller_address(entry))
                .collect(),
            name,
            rate_per_s: capacity_per_s * ratio,
            duration: LOAD_DURATION,
            timeout: REQUEST_TIMEOUT,
            urgency: if has_classes { URGENCIES[class] } else { 3 },
            seed,
            ..LoadPlan::default()
        })
    };
    let (first, second, third) = join!(load(0), load(1), load(2));
    vec![first, second, third]
}

/// Waits until a short load on all entries is fully answered.
///
/// # Errors
///
/// Requests still fail after 15 s.
pub async fn wait_ready(fleet: &Fleet) -> Result<(), LabError> {
    let is_ready = wait_until(Duration::from_secs(15), || async {
        let result = send_load(LoadPlan {
            addresses: (0..fleet.plan.entries)
                .map(|entry| fleet.plan.caller_address(entry))
                .collect(),
            name: format!("ready-{}", rand::random::<u64>()),
            duration: Duration::from_millis(300),
            ..LoadPlan::default()
        })
        .await;
        result.count(RequestOutcome::Answered) == result.requests.len() as u64
    })
    .await;
    if is_ready {
        Ok(())
    } else {
        Err("fleet isn't ready: not every request was answered within 15 s".into())
    }
}
