//! Timing and tuning constants of a cell; not configurable per deployment.

use std::time::Duration;

use teaseltrack::cell::{
    CellSettings, copies::CopySettings, evacuation::EvacuationSettings, health::HealthSettings,
    interference::InterferenceSettings, ownership::OwnershipSettings, pacing::PacingSettings,
    partition::PartitionLimits, planning::PlanningSettings, preemption::PreemptionSettings,
    quarantine::QuarantineSettings,
};

/// Maximum lease granted to a worker, unless the platform's limit is shorter. Covers a takeover and
/// a restart of the agent, along with the time for which an owner still grants leases during an
/// outage.
pub const MAX_LEASE: Duration = Duration::from_millis(5_000);
/// Maximum drift of workers' clocks, as a fraction; the platform guarantees 2%.
const CLOCK_DRIFT: f64 = 0.02;
/// Safety margin on every wait for a lease to expire: the time that a worker takes to stop its
/// tasks.
const LEASE_MARGIN: Duration = Duration::from_millis(300);
/// Time without a report from an agent after which its worker gets no new tasks: two missed
/// reports.
const AGENT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time without a new reading of its clock after which a worker counts as silent: two missed reports.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time without new assignments to a worker after it refused a start.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(500);

/// Interval of ownership renewals while there is nothing else to commit.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum rows in a commit; the platform accepts 100 entries per transaction.
pub const MAX_COMMIT_ROWS: usize = 90;
/// Interval at which an owner checks leases and periodic work.
pub const OWNER_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a successful commit after which an owner reports to the agents that it can't
/// commit, so that another process takes over.
pub const STORE_LOST_TIMEOUT: Duration = Duration::from_millis(900);
/// Time without contact to the owner after which an agent checks the owner's row: the wait of a
/// parked report plus the transit time of its response.
pub const OWNER_SUSPECT_TIMEOUT: Duration = Duration::from_millis(900);
/// Interval at which a candidate checks the owner's row.
pub const CANDIDATE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Step between the takeover delays of candidates: the duration of one transaction.
pub const CANDIDATE_DELAY_STEP: Duration = Duration::from_millis(60);
/// Number of distinct takeover delays.
pub const CANDIDATE_DELAY_STEPS: u64 = 8;

/// Sizes of cells: an owner plans for this many workers in well under its share of an instance.
pub const PARTITION_LIMITS: PartitionLimits =
    PartitionLimits { max_single_cell_workers: 80, max_cell_workers: 50 };
/// Time from the start of an instance until all instances that start together have stored their
/// rows.
pub const PARTITION_SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Step between the delays with which instances decide the partition: a count of the instances and
/// a transaction.
pub const PARTITION_SETTLE_STEP: Duration = Duration::from_millis(120);
/// Number of distinct delays.
pub const PARTITION_SETTLE_STEPS: u64 = 8;

/// Maximum time for which an owner parks a report while it has no update for the agent.
pub const REPORT_WAIT: Duration = Duration::from_millis(400);
/// Interval between full reports of an agent.
pub const FULL_REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Timeout of a call between processes, in addition to its requested wait.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a request for a quote, without which a job goes to a cell by its hash: short compared
/// with a caller's timeout, long compared with the response time of an owner.
pub const QUOTE_TIMEOUT: Duration = Duration::from_millis(150);
/// Waiting time after which an owner looks for another cell with room for a long-running task: its
/// own cell's reserve for batch tasks is available by then.
pub const DELEGATION_WAIT: Duration = Duration::from_millis(1_300);
/// Timeout for connecting to another process.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum time for which a worker delays its response to a sync call until a run ends.
pub const SYNC_WAIT: Duration = Duration::from_millis(500);
/// Delay before a failed call is retried: short compared with every timeout, long compared with the
/// cost of a call.
pub const RETRY_DELAY: Duration = Duration::from_millis(60);
/// Timeout of start, stop and pace calls to a worker.
pub const WORKER_CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Minimum time from a worker's acceptance of a start or a stop to the request of a listing that shows
/// its effect; after a stop, a run that is missing from this listing never started.
pub const STOP_SETTLE_TIME: Duration = Duration::from_millis(700);
/// Maximum wait for changes in one call to the store. A dead connection is detected within this
/// wait plus the call's timeout; their sum must leave time to apply a new configuration.
pub const MAX_CHANGES_WAIT: Duration = Duration::from_millis(1_200);

/// Timing of ownership; on a slow store, each commit of an owner may take several renewal
/// intervals.
pub const OWNERSHIP: OwnershipSettings = OwnershipSettings {
    takeover_timeout: Duration::from_millis(1_500),
    grant_period: Duration::from_millis(2_500),
};

/// Pacing of best-effort tasks. A pause and the time before it are well within the platform's limit
/// on how long a tail may exceed its target while colocated with best-effort tasks.
pub const PACING: PacingSettings = PacingSettings {
    setpoint: 0.85,
    smoothing_factor: 0.4,
    min_change_percent: 8,
    min_percent: 6,
    default_share: 0.08,
    pause_after: Duration::from_millis(2_000),
    pause_duration: Duration::from_millis(1_200),
};

/// Placement. A serving task uses about half of the CPU that it requests. The platform allows a job
/// to have no runs for 3 s while half of the fleet is free; starvation ends well within that.
const PLANNING: PlanningSettings = PlanningSettings {
    batch_reserve: 0.06,
    reserve_wait: Duration::from_millis(1_000),
    max_serving_wait: Duration::from_millis(1_500),
    max_held_time: Duration::from_millis(3_000),
    max_held_share: 0.3,
    serving_utilization: 0.55,
    best_effort_min_share: 0.5,
    tail_limit: 0.75,
    trial_tasks_per_worker: 2,
    starvation_wait: Duration::from_millis(1_500),
    starvation_max_load: 0.6,
    regroup_interval: Duration::from_millis(1_000),
    move_cooldown: Duration::from_secs(20),
    relocation_wait: Duration::from_millis(1_000),
    relocation_interval: Duration::from_millis(300),
    usage_report_delay: Duration::from_millis(1_000),
    max_gang_held_time: Duration::from_secs(8),
    max_idle_held_time: Duration::from_secs(2),
    max_overdue_wait: Duration::from_secs(10),
    long_overdue_factor: 3.0,
};

/// Health detection. Failures caused by the task itself are rare, so three in a row are attributed
/// to the worker. A run reports progress several times a second.
const HEALTH: HealthSettings = HealthSettings {
    failure_threshold: 3,
    probation: Duration::from_millis(3_000),
    stall_timeout: Duration::from_millis(2_000),
    slowdown_weight: 0.3,
    slowdown_half_life_s: 4.0,
    failure_prior: 0.02,
    failure_prior_weight: 2.0,
    failure_half_life: Duration::from_secs(10),
    trust_half_life: Duration::from_secs(4),
    loss_half_life: Duration::from_secs(20),
};

/// Isolation of tasks that may crash their workers. A cleared run is in two listings, one report
/// interval apart.
const QUARANTINE: QuarantineSettings = QuarantineSettings {
    clearing_time: Duration::from_millis(350),
    max_sole_crashes: 2,
    max_crashes: 4,
    flapping_time: Duration::from_secs(20),
    min_start_delay: Duration::from_millis(250),
    max_start_delay: Duration::from_millis(2_000),
    max_share: 0.3,
    max_wait: Duration::from_millis(3_000),
};

/// Pre-emption. A run stops within the platform's limit and a commit; a job that loses its room waits
/// as long as the platform takes to start and restore it. A caller's work is delayed once, not again
/// within the time of a long job.
const PREEMPTION: PreemptionSettings = PreemptionSettings {
    min_gain_ratio: 2.0,
    stop_time: Duration::from_millis(400),
    restore_time: Duration::from_millis(200),
    hold_time: Duration::from_millis(2_000),
    cooldown: Duration::from_secs(20),
    interval: Duration::from_millis(200),
    max_stages_per_round: 4,
    max_stops_per_round: 8,
};

/// Copies of slow runs. A search costs a look at each task of the open jobs with speculative stages. A
/// run's speed follows from at least two listings. A copy starts after a commit, its order and the
/// call to the worker. Tasks that arrive next find as much CPU free as serving tasks leave them.
const COPIES: CopySettings = CopySettings {
    search_interval: Duration::from_millis(100),
    min_observation: Duration::from_millis(250),
    min_gain: 1.25,
    start_delay: Duration::from_millis(200),
    max_cpu_share: 0.05,
    free_cpu_share: PLANNING.batch_reserve,
};

/// Interference estimation. Interference changes within tens of seconds. Tails are averaged over
/// half a second, so consecutive reports overlap and their noise is correlated.
const INTERFERENCE: InterferenceSettings = InterferenceSettings {
    half_life_s: 20.0,
    max_sample_interval: Duration::from_millis(1_500),
    ridge_penalty: 0.5,
    min_evidence: 10.0,
    variance_inflation: 1.5,
};

/// Evacuations. Moves leave the owner of a stage time to place one task before it stops the next one.
/// Agents report several times before a zone without workers counts as unknown.
const EVACUATION: EvacuationSettings = EvacuationSettings {
    max_age: None,
    move_interval: Duration::from_millis(300),
    unknown_zone_wait: Duration::from_millis(2_000),
    max_cold_starts: 2,
};
/// Time from the last moment at which an agent may send a start call until the start; one timeout for
/// the call, and one for a store that is slow to acknowledge.
const START_MARGIN: Duration = Duration::from_millis(2 * 500);

/// Settings of an owner, given the platform's limit on leases and its limit on the time from an
/// evacuation's request to the last start, if there is one.
pub fn cell_settings(max_lease: Duration, evacuation_bound: Option<Duration>) -> CellSettings {
    let max_age = evacuation_bound.map(|bound| bound.saturating_sub(START_MARGIN));
    CellSettings {
        lease: MAX_LEASE.min(max_lease),
        max_lease,
        clock_drift: CLOCK_DRIFT,
        lease_margin: LEASE_MARGIN,
        agent_timeout: AGENT_TIMEOUT,
        silence_timeout: SILENCE_TIMEOUT,
        refusal_backoff: REFUSAL_BACKOFF,
        health: HEALTH,
        planning: PLANNING,
        quarantine: QUARANTINE,
        preemption: PREEMPTION,
        copies: COPIES,
        interference: INTERFERENCE,
        evacuation: Some(EvacuationSettings { max_age, ..EVACUATION }),
    }
}
