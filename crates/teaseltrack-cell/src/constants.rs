//! Bounds of a cell that no deployment sets.

use std::time::Duration;

use teaseltrack::cell::{
    CellSettings, health::HealthSettings, interference::InterferenceSettings,
    ownership::OwnershipSettings, pacing::PacingSettings, planning::PlanningSettings,
};

/// Longest lease granted to a worker, unless the platform's own bound is shorter: a takeover and a
/// restart of the agent fit in, with the time that an outage leaves the owner to grant.
pub const MAX_LEASE: Duration = Duration::from_millis(5_000);
/// Drift of workers' clocks that leases allow for; the platform promises 2%.
const CLOCK_DRIFT: f64 = 0.02;
/// Margin on every wait for a lease's end: one stop of a worker's tasks.
const LEASE_MARGIN: Duration = Duration::from_millis(300);
/// Silence of an agent after which its worker gets no new tasks: two of its reports.
const AGENT_SILENCE: Duration = Duration::from_millis(1_200);
/// Pause of placement on a worker that refused a start.
const REFUSAL_PAUSE: Duration = Duration::from_millis(500);

/// Time between commits of an owner that has nothing else to commit.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(400);
/// Rows of one commit; the platform takes 100 entries.
pub const MAX_COMMIT_ROWS: usize = 90;
/// Owner's look at leases and due work.
pub const OWNER_TICK: Duration = Duration::from_millis(100);
/// Time after which an owner that can't commit asks to be replaced.
pub const STORE_LOST_AFTER: Duration = Duration::from_millis(900);
/// Silence of the owner after which an agent looks at the owner's row: a parked report and a
/// message's way.
pub const OWNER_SUSPECT_AFTER: Duration = Duration::from_millis(900);
/// Time between two looks of a candidate at the owner's row.
pub const CANDIDATE_INTERVAL: Duration = Duration::from_millis(250);
/// Step between the delays of candidates: one transaction with its answer.
pub const CANDIDATE_STEP: Duration = Duration::from_millis(60);
/// Number of different delays.
pub const CANDIDATE_STEPS: u64 = 8;

/// Time for which an owner parks a report that it has no news for.
pub const REPORT_WAIT: Duration = Duration::from_millis(400);
/// Time between full reports of an agent.
pub const FULL_REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Time beyond the wait within which a call between processes must be answered.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Time to connect to another process.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which a worker holds a listing back while nothing ends.
pub const HOLD_WAIT: Duration = Duration::from_millis(500);
/// Pause after a call that failed: short against every bound, long against a call's cost.
pub const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// Time within which a worker's answer to a start or stop is awaited.
pub const WORKER_CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after a worker took the stop of a run that may not exist, until its absence is believed.
pub const VOID_AFTER: Duration = Duration::from_millis(700);
/// Longest wait for changes in one call to the store; a connection that has gone silent is noticed
/// within it and a call's timeout, which must leave time to put a configuration in force.
pub const MAX_CHANGES_WAIT: Duration = Duration::from_millis(1_200);

/// Bounds of ownership: an owner's commits may each take several renewals on a slow store.
pub const OWNERSHIP: OwnershipSettings = OwnershipSettings {
    takeover_timeout: Duration::from_millis(1_500),
    grant_period: Duration::from_millis(4_000),
};

/// Answers to tails. A pause and the time before it end well within the platform's bound on a tail
/// over its target beside best-effort tasks.
pub const PACING: PacingSettings = PacingSettings {
    setpoint: 0.85,
    smoothing_factor: 0.4,
    min_change_percent: 8,
    min_percent: 6,
    default_share: 0.08,
    pause_after: Duration::from_millis(2_000),
    pause_duration: Duration::from_millis(1_200),
};

/// Shares of a worker; a serving task uses about half of what it declares. A job may have nothing
/// running for 3 s while half of the fleet is free: starvation ends well within that.
const PLANNING: PlanningSettings = PlanningSettings {
    batch_reserve: 0.06,
    reserve_wait: Duration::from_millis(1_000),
    serving_utilization: 0.55,
    best_effort_min_share: 0.5,
    tail_limit: 0.75,
    trial_tasks_per_worker: 2,
    starvation_wait: Duration::from_millis(1_500),
    starvation_max_load: 0.6,
    regroup_interval: Duration::from_millis(1_000),
    move_cooldown: Duration::from_secs(20),
    usage_report_delay: Duration::from_millis(1_000),
    remaining_work_weight: 20.0,
    long_overdue_factor: 3.0,
};

/// Failures by a task's own fault are rare, so three in a row are the worker's. A run reports
/// progress several times a second.
const HEALTH: HealthSettings = HealthSettings {
    failure_threshold: 3,
    probation: Duration::from_millis(3_000),
    stall_timeout: Duration::from_millis(2_000),
    slowdown_weight: 0.3,
    slowdown_half_life_s: 4.0,
    slowdown_threshold: 2.0,
};

/// Disturbance shifts within tens of seconds. Reports overlap in the half second that a tail is
/// averaged over.
const INTERFERENCE: InterferenceSettings = InterferenceSettings {
    half_life_s: 20.0,
    max_sample_interval: Duration::from_millis(1_500),
    ridge_penalty: 0.5,
    min_evidence: 10.0,
    variance_inflation: 1.5,
};

/// An owner's settings under the platform's bound on leases.
pub fn cell_settings(max_lease: Duration) -> CellSettings {
    CellSettings {
        lease: MAX_LEASE.min(max_lease),
        clock_drift: CLOCK_DRIFT,
        lease_margin: LEASE_MARGIN,
        agent_timeout: AGENT_SILENCE,
        refusal_backoff: REFUSAL_PAUSE,
        health: HEALTH,
        planning: PLANNING,
        interference: INTERFERENCE,
    }
}
