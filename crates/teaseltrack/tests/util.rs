//! What several test files use.
#![allow(dead_code)]

use std::time::Duration;

use proptest::{prelude::ProptestConfig, test_runner::RngSeed};
use teaseltrack::cell::{
    CellSettings, health::HealthSettings, interference::InterferenceSettings,
    planning::PlanningSettings,
};

/// Seed of all random tests, so that CI gives the same verdict every time.
const SEED: u64 = 20_261_204;

/// A fixed seed and the number of cases, which `PROPTEST_CASES` multiplies outside CI.
pub fn config(cases: u32) -> ProptestConfig {
    let factor = std::env::var("PROPTEST_CASES").ok().and_then(|text| text.parse().ok());
    ProptestConfig {
        cases: cases * factor.unwrap_or(1),
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Settings of a cell as on the users' platform.
pub const CELL_SETTINGS: CellSettings = CellSettings {
    lease: Duration::from_millis(5_000),
    clock_drift: 0.02,
    lease_margin: Duration::from_millis(300),
    agent_silence: Duration::from_millis(1_200),
    refusal_pause: Duration::from_millis(500),
    health: HealthSettings {
        failures_in_row: 3,
        probation: Duration::from_millis(3_000),
        stall: Duration::from_millis(2_000),
        slowness_weight: 0.3,
        slowness_half_life_s: 4.0,
        avoided_slowness: 2.0,
    },
    planning: PlanningSettings {
        batch_reserve: 0.06,
        reserve_wait: Duration::from_millis(1_000),
        serving_load: 0.55,
        best_effort_floor: 0.5,
        tail_aim: 0.75,
        tasks_on_trial: 2,
        starvation_wait: Duration::from_millis(1_500),
        starvation_load: 0.6,
        regroup_interval: Duration::from_millis(1_000),
        rest_after_move: Duration::from_secs(20),
        arrival_time: Duration::from_millis(1_000),
        size_handicap: 20.0,
        hopeless_factor: 3.0,
    },
    interference: InterferenceSettings {
        half_life_s: 20.0,
        max_sample_interval: Duration::from_millis(1_500),
        ridge_penalty: 0.5,
        min_evidence: 10.0,
        variance_inflation: 1.5,
    },
};
