//! Settings shared by the integration tests.
#![allow(dead_code)]

use std::time::Duration;

use proptest::{prelude::ProptestConfig, test_runner::RngSeed};
use teaseltrack::cell::{
    CellSettings, copies::CopySettings, health::HealthSettings, interference::InterferenceSettings,
    planning::PlanningSettings, preemption::PreemptionSettings, quarantine::QuarantineSettings,
};

/// Seed of all property tests, so that CI runs are reproducible.
const SEED: u64 = 20_261_204;

/// Property-test configuration with the fixed seed. `PROPTEST_CASES`, if set, multiplies `cases`.
pub fn config(cases: u32) -> ProptestConfig {
    let factor = std::env::var("PROPTEST_CASES").ok().and_then(|text| text.parse().ok());
    ProptestConfig {
        cases: cases * factor.unwrap_or(1),
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Settings of a cell as deployed on the platform.
pub const CELL_SETTINGS: CellSettings = CellSettings {
    lease: Duration::from_millis(5_000),
    max_lease: Duration::from_millis(5_000),
    clock_drift: 0.02,
    lease_margin: Duration::from_millis(300),
    agent_timeout: Duration::from_millis(1_200),
    silence_timeout: Duration::from_millis(1_200),
    refusal_backoff: Duration::from_millis(500),
    health: HealthSettings {
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
    },
    planning: PlanningSettings {
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
    },
    quarantine: QuarantineSettings {
        clearing_time: Duration::from_millis(350),
        max_sole_crashes: 2,
        max_crashes: 4,
        flapping_time: Duration::from_secs(20),
        min_start_delay: Duration::from_millis(250),
        max_start_delay: Duration::from_millis(2_000),
        max_share: 0.3,
        max_wait: Duration::from_millis(3_000),
    },
    preemption: PreemptionSettings {
        min_gain_ratio: 2.0,
        stop_time: Duration::from_millis(400),
        restore_time: Duration::from_millis(200),
        hold_time: Duration::from_millis(2_000),
        cooldown: Duration::from_secs(20),
        interval: Duration::from_millis(200),
        max_stages_per_round: 4,
        max_stops_per_round: 8,
    },
    copies: CopySettings {
        search_interval: Duration::from_millis(100),
        min_observation: Duration::from_millis(250),
        min_gain: 1.25,
        start_delay: Duration::from_millis(200),
        max_cpu_share: 0.05,
        free_cpu_share: 0.06,
    },
    interference: InterferenceSettings {
        half_life_s: 20.0,
        max_sample_interval: Duration::from_millis(1_500),
        ridge_penalty: 0.5,
        min_evidence: 10.0,
        variance_inflation: 1.5,
    },
    evacuation: None,
};
