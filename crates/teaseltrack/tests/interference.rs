//! Estimates of interference with serving tasks whose own load varies. The tasks are simulated as
//! queues that a heavy image slows.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slotmap::Key;
use teaseltrack::cell::{
    JobKey,
    interference::{
        ImageUsage, InterferenceEstimates, InterferenceModel, InterferenceSettings,
        PairInterference,
    },
    worker::TaskKey,
};
use yare::parameterized;

const SETTINGS: InterferenceSettings = InterferenceSettings {
    half_life_s: 20.0,
    max_sample_interval: Duration::from_millis(1_500),
    ridge_penalty: 0.5,
    min_evidence: 10.0,
    variance_inflation: 1.5,
};
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Period of a serving task's own load.
const LOAD_PERIOD_S: f64 = 20.0;
/// Growth of the utilization per worker share of the heavy image.
const HEAVY_GROWTH: f64 = 3.0;
const IDLE_TAIL_MS: f64 = 25.0;

fn task(index: u32) -> TaskKey {
    TaskKey { job: JobKey::null(), occurrence: 0, stage: 0, index }
}

/// Simulates workers with one serving task each, and a heavy and a light image of varying usage.
fn simulate(seed: u64, seconds: u64) -> InterferenceModel {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut interference = InterferenceModel::new(SETTINGS);
    let start = Instant::now();
    let mut usages = vec![ImageUsage::new(); 8];
    for step in 0..seconds * 2 {
        let now = start + REPORT_INTERVAL * step as u32;
        for (index, usage) in usages.iter_mut().enumerate() {
            for image in ["heavy", "light"] {
                if rng.random_range(0..4) == 0 {
                    usage.insert(image.to_owned(), rng.random_range(0.0..0.3));
                }
            }
            let heavy = usage.get("heavy").copied().unwrap_or(0.0);
            let phase =
                now.duration_since(start).as_secs_f64() / LOAD_PERIOD_S + index as f64 / 8.0;
            let load = 0.48 + 0.24 * (phase * std::f64::consts::TAU).sin();
            let utilization = (load * (1.0 + HEAVY_GROWTH * heavy)).min(0.98);
            let noise = rng.random_range(0.95..1.05);
            let tail_ms = noise * IDLE_TAIL_MS / (1.0 - utilization);
            let usage = Arc::new(usage.clone());
            interference.observe(task(index as u32), "serving", tail_ms as u64, &usage, now);
        }
        interference.update_estimates(REPORT_INTERVAL, now);
    }
    interference
}

#[test]
fn update_estimates_distinguishes_the_heavy_image_from_the_light_one() {
    for seed in 1..20 {
        let interference = simulate(seed, 10);
        let estimates = interference.estimates();
        let growth = estimates.utilization_growth("serving", "heavy");
        assert!((growth - HEAVY_GROWTH).abs() < 1.5, "seed {seed}: {estimates:?}");
        assert!(
            estimates.utilization_growth("serving", "light") < 0.3,
            "seed {seed}: {estimates:?}"
        );
    }
}

#[test]
fn update_estimates_finds_the_idle_tail() {
    let estimates = simulate(1, 20).estimates().clone();
    let idle_tail_ms = estimates.idle_tail_ms("serving", 1_000.0);
    assert!((IDLE_TAIL_MS..1.6 * IDLE_TAIL_MS).contains(&idle_tail_ms), "{idle_tail_ms}");
}

#[test]
fn is_inconclusive_for_an_unobserved_pair() {
    let estimates = InterferenceEstimates::default();
    assert!(estimates.is_inconclusive("serving", "unseen"));
}

fn estimates(best_effort: &str, growth: f64) -> InterferenceEstimates {
    InterferenceEstimates {
        version: 7,
        pairs: vec![PairInterference {
            serving: "serving".to_owned(),
            best_effort: best_effort.to_owned(),
            utilization_growth: growth,
        }],
        ..InterferenceEstimates::default()
    }
}

#[test]
fn adopt_estimates_keeps_an_earlier_owners_estimate_until_replaced() {
    let mut fresh = InterferenceModel::new(SETTINGS);
    fresh.adopt_estimates(estimates("light", 4.0));
    fresh.update_estimates(REPORT_INTERVAL, Instant::now());
    assert_eq!(fresh.estimates().utilization_growth("serving", "light"), 4.0);
    let mut trained = simulate(1, 10);
    trained.adopt_estimates(InterferenceEstimates {
        version: u64::MAX - 1,
        ..estimates("light", 4.0)
    });
    trained.update_estimates(REPORT_INTERVAL, Instant::now());
    assert!(
        trained.estimates().utilization_growth("serving", "light") < 0.3,
        "{:?}",
        trained.estimates()
    );
}

#[parameterized(
    same_heavy_image = { &[("a", "x", 3.0), ("b", "x", 2.0)], true },
    different_heavy_images = { &[("a", "x", 3.0), ("b", "y", 2.0)], false },
    only_inconclusive_images = { &[("a", "x", 0.5), ("b", "x", 0.5)], false },
    no_estimates = { &[], false },
)]
fn have_same_interferers(pairs: &[(&str, &str, f64)], expected: bool) {
    let pair = |(serving, best_effort, growth): &(&str, &str, f64)| PairInterference {
        serving: (*serving).to_owned(),
        best_effort: (*best_effort).to_owned(),
        utilization_growth: *growth,
    };
    let pairs = pairs.iter().map(pair).collect();
    let estimates = InterferenceEstimates { pairs, ..InterferenceEstimates::default() };
    assert_eq!(estimates.have_same_interferers("a", "b"), expected);
}
