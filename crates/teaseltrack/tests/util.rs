//! Settings shared by the integration tests.
#![allow(dead_code)]

use std::time::Duration;

use proptest::{prelude::ProptestConfig, test_runner::RngSeed};
use teaseltrack::cell::{
    CellSettings, admission::AdmissionSettings, health::HealthSettings,
    interference::InterferenceSettings, planning::PlanningSettings, quarantine::QuarantineSettings,
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
        slowdown_threshold: 2.0,
    },
    planning: PlanningSettings {
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
        relocation_wait: Duration::from_millis(1_000),
        relocation_interval: Duration::from_millis(300),
        usage_report_delay: Duration::from_millis(1_000),
        remaining_work_weight: 20.0,
        long_overdue_factor: 3.0,
    },
    quarantine: QuarantineSettings {
        clearing_time: Duration::from_millis(350),
        max_sole_crashes: 2,
        max_crashes: 4,
        max_share: 0.3,
        max_wait: Duration::from_millis(3_000),
        max_serving_wait: Duration::from_millis(1_500),
    },
    interference: InterferenceSettings {
        half_life_s: 20.0,
        max_sample_interval: Duration::from_millis(1_500),
        ridge_penalty: 0.5,
        min_evidence: 10.0,
        variance_inflation: 1.5,
    },
    admission: AdmissionSettings {
        min_backlog_time: Duration::from_millis(2_000),
        max_pause: Duration::from_millis(8_000),
        rate_half_life: Duration::from_millis(3_000),
        min_backlog: Duration::from_millis(500),
        min_reporting_share: 0.8,
        max_free_share: 0.2,
        max_finish: 3.0,
        min_accepted_share: 0.1,
        min_relative_share: 0.6,
        share_half_life: Duration::from_secs(10),
    },
};
