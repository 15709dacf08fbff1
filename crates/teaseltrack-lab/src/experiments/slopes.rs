//! Cost of the control plane per node, by fleet size.
//!
//! Entries and agents are real processes; workers and the platform run in this process. At each
//! size, the idle cost is measured first. Then records are submitted and targets are started, one
//! at a time, and all processes are polled until each change has reached them.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use futures::future::join_all;
use serde_json::Value;
use teaseltrack_daemon::http_client::HttpClient;
use tokio::time::sleep;

use crate::{
    LabError,
    fleet::{FleetPlan, wait_until},
    ledger::Ledger,
    operator::Operator,
    processes::{Process, ProcessFleet},
    report::Report,
    target::Target,
    worker::Worker,
};

/// Fleet sizes, in agents.
const SIZES: [usize; 3] = [11, 44, 176];
/// Number of entries at each size.
const ENTRIES: usize = 2;
/// Duration of the idle measurement.
const IDLE_DURATION: Duration = Duration::from_secs(12);
/// Timeout for every process to discover all members.
const MEMBERSHIP_TIMEOUT: Duration = Duration::from_secs(60);
/// Timeout for a change to reach all processes.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(20);
/// Number of changes whose propagation is measured.
const CHANGES: usize = 5;
/// Number of records submitted to measure the memory per record.
const RECORDS: usize = 400;

/// Runs the experiment.
///
/// # Errors
///
/// A fleet can't be started, or a change doesn't reach all processes in time.
pub async fn run(seed: u64, report: &mut Report) -> Result<(), LabError> {
    for size in SIZES {
        run_size(size, seed, report).await?;
    }
    Ok(())
}

async fn run_size(size: usize, seed: u64, report: &mut Report) -> Result<(), LabError> {
    let plan = FleetPlan {
        entries: ENTRIES,
        agents: size,
        has_workers: true,
        probe_period_ms: 1_000,
        lease_ttl_ms: 60_000,
        platform_writes_per_s: 1_000.0,
        ..FleetPlan::default()
    };
    let started_at = Instant::now();
    let mut fleet = ProcessFleet::start_control_only(plan).await?;
    let ledger = Ledger::default();
    let mut workers = Vec::new();
    for index in 0..size {
        workers.push(Worker::start(fleet.plan.worker_options(index), ledger.sender()).await?);
    }
    let members = (size + ENTRIES) as u64;
    wait_for_status(&fleet, "members", members, MEMBERSHIP_TIMEOUT).await?;
    report.set(&format!("membership_complete_s_at_{size}"), started_at.elapsed().as_secs_f64());
    sleep(Duration::from_secs(5)).await;
    measure_idle(&fleet, size, report).await;
    measure_configuration(&fleet, size, seed, report).await?;
    measure_membership(&fleet, size, report).await?;
    if size == SIZES[0] {
        measure_records(&fleet, report).await?;
    }
    fleet.agents.clear();
    Ok(())
}

/// Measures CPU time, memory, control traffic and store calls of an idle fleet.
async fn measure_idle(fleet: &ProcessFleet, size: usize, report: &mut Report) {
    let before = statuses(&fleet.plan).await;
    let cpu_before = (cpu_s(&fleet.entries), cpu_s(&fleet.agents));
    let calls_before = fleet.platform.call_counts();
    sleep(IDLE_DURATION).await;
    let after = statuses(&fleet.plan).await;
    let cpu_after = (cpu_s(&fleet.entries), cpu_s(&fleet.agents));
    let calls_after = fleet.platform.call_counts();
    let idle_s = IDLE_DURATION.as_secs_f64();
    let bytes = |statuses: &[Value]| -> f64 {
        statuses
            .iter()
            .skip(ENTRIES)
            .map(|status| {
                number(status, "control_sent_bytes") + number(status, "control_received_bytes")
            })
            .sum()
    };
    let agents = size as f64;
    let bytes_per_s = (bytes(&after) - bytes(&before)) / idle_s / agents;
    report.set(&format!("control_bytes_per_s_at_{size}"), bytes_per_s);
    let percent = |seconds: f64, count: f64| 100.0 * seconds / idle_s / count;
    let agent_percent = percent(cpu_after.1 - cpu_before.1, agents);
    report.set(&format!("control_cpu_percent_at_{size}"), agent_percent);
    let entry_percent = percent(cpu_after.0 - cpu_before.0, ENTRIES as f64);
    report.set(&format!("entry_cpu_percent_at_{size}"), entry_percent);
    report.set(&format!("agent_idle_rss_mb_at_{size}"), memory_mb(&fleet.agents));
    report.set(&format!("entry_idle_rss_mb_at_{size}"), memory_mb(&fleet.entries));
    let per_s = |after: u64, before: u64| (after - before) as f64 / idle_s;
    let writes = per_s(calls_after.writes, calls_before.writes);
    report.set(&format!("table_writes_per_s_at_{size}"), writes);
    let reads = per_s(calls_after.reads, calls_before.reads);
    report.set(&format!("table_reads_per_s_at_{size}"), reads);
    for (prefix, count) in &calls_after.by_prefix {
        let before = calls_before.by_prefix.get(prefix).copied().unwrap_or(0);
        report.set(&format!("table_{prefix}_calls_per_s_at_{size}"), per_s(*count, before));
    }
}

/// Measures the time from the acceptance of a record until every process has applied it.
async fn measure_configuration(
    fleet: &ProcessFleet,
    size: usize,
    seed: u64,
    report: &mut Report,
) -> Result<(), LabError> {
    let operator = Operator::new(fleet.plan.operator_address(0), "lab");
    let mut propagation_s = Vec::new();
    for change in 0..CHANGES {
        let name = format!("service-{seed}-{change}");
        let record = operator.submit_service(&name, 1_000).await?;
        let accepted_at = Instant::now();
        wait_for_status(fleet, "revision", record.revision, PROPAGATION_TIMEOUT).await?;
        propagation_s.push(accepted_at.elapsed().as_secs_f64());
    }
    report.set(&format!("config_spread_max_s_at_{size}"), max(&propagation_s));
    Ok(())
}

/// Measures the time from the start of a target until every process has discovered it.
async fn measure_membership(
    fleet: &ProcessFleet,
    size: usize,
    report: &mut Report,
) -> Result<(), LabError> {
    let ledger = Ledger::default();
    let (mut propagation_s, mut entry_discovery_s) = (Vec::new(), Vec::new());
    for change in 0..CHANGES {
        let started_at = Instant::now();
        Target::start(fleet.plan.target_options(change), ledger.sender()).await?;
        let targets = change as f64 + 1.0;
        let is_discovered = wait_until(PROPAGATION_TIMEOUT, || async {
            let first = fleet.entry_status(0).await.unwrap_or_default();
            let last = fleet.entry_status(ENTRIES - 1).await.unwrap_or_default();
            number(&first, "targets") >= targets && number(&last, "targets") >= targets
        })
        .await;
        if !is_discovered {
            return Err("not every entry discovered the started target".into());
        }
        entry_discovery_s.push(started_at.elapsed().as_secs_f64());
        wait_for_status(fleet, "targets", change as u64 + 1, PROPAGATION_TIMEOUT).await?;
        propagation_s.push(started_at.elapsed().as_secs_f64());
    }
    report.set(&format!("entries_know_target_max_s_at_{size}"), max(&entry_discovery_s));
    report.set(&format!("membership_spread_max_s_at_{size}"), max(&propagation_s));
    Ok(())
}

/// Measures the memory per applied record at an agent.
async fn measure_records(fleet: &ProcessFleet, report: &mut Report) -> Result<(), LabError> {
    let before_mb = memory_mb(&fleet.agents);
    let operator = Operator::new(fleet.plan.operator_address(1), "lab");
    let started_at = Instant::now();
    let mut revision = 0;
    for number in 0..RECORDS {
        let name = format!("record-{number}");
        revision = operator.submit_service(&name, 1_000).await?.revision;
    }
    report.set("record_submits_per_s", RECORDS as f64 / started_at.elapsed().as_secs_f64());
    wait_for_status(fleet, "revision", revision, PROPAGATION_TIMEOUT).await?;
    let growth_kb = (memory_mb(&fleet.agents) - before_mb) * 1_024.0;
    report.set("agent_kb_per_record", growth_kb / RECORDS as f64);
    Ok(())
}

/// Waits until a number in the status of every process has reached a value.
async fn wait_for_status(
    fleet: &ProcessFleet,
    field: &str,
    value: u64,
    timeout: Duration,
) -> Result<(), LabError> {
    let is_reached = wait_until(timeout, || async {
        statuses(&fleet.plan).await.iter().all(|status| number(status, field) >= value as f64)
    })
    .await;
    if is_reached {
        return Ok(());
    }
    let values: Vec<f64> =
        statuses(&fleet.plan).await.iter().map(|status| number(status, field)).collect();
    Err(format!("{field} didn't reach {value} on every process: {values:?}").into())
}

/// Queries the status of all processes, entries first; null for a process that doesn't respond.
async fn statuses(plan: &FleetPlan) -> Vec<Value> {
    let entries = (0..plan.entries).map(|index| plan.entry_health_address(index));
    let agents = (0..plan.agents).map(|index| plan.agent_health_address(index));
    let client = HttpClient::new(Duration::from_secs(2));
    let addresses: Vec<SocketAddr> = entries.chain(agents).collect();
    join_all(addresses.into_iter().map(|address| {
        let client = client.clone();
        async move { client.get(address, "/status").await.unwrap_or_default() }
    }))
    .await
}

fn number(status: &Value, field: &str) -> f64 {
    status[field].as_f64().unwrap_or(0.0)
}

fn max(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}

fn cpu_s(processes: &[Process]) -> f64 {
    processes
        .iter()
        .filter_map(|process| process.cpu_time().ok())
        .map(|time| time.as_secs_f64())
        .sum()
}

fn memory_mb(processes: &[Process]) -> f64 {
    let bytes: u64 = processes.iter().filter_map(|process| process.memory_bytes().ok()).sum();
    bytes as f64 / (1 << 20) as f64 / processes.len() as f64
}
