//! Learning which image disturbs, beside serving tasks whose own load swings.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slotmap::Key;
use teaseltrack::cell::{
    JobKey,
    interference::{Disturbance, Disturbances, ImageUsage, Interference, InterferenceSettings},
    worker::TaskKey,
};

const SETTINGS: InterferenceSettings = InterferenceSettings {
    half_life_s: 20.0,
    longest_step: Duration::from_millis(1_500),
    ridge: 0.05,
    least_evidence: 0.3,
    least_effect: 0.7,
    least_significance: 3.0,
    correlation: 2.0,
};
const STEP: Duration = Duration::from_millis(500);
/// Time of a swing of a serving task's own load.
const SWING_S: f64 = 20.0;
const HEAVY_EFFECT: f64 = 5.0;

fn task(index: u32) -> TaskKey {
    TaskKey { job: JobKey::null(), occurrence: 0, stage: 0, index }
}

/// Plays workers with one serving task each, beside a heavy and a light image that come and go.
fn play(seed: u64, seconds: u64) -> Interference {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut interference = Interference::new(SETTINGS);
    let start = Instant::now();
    let mut usages = vec![ImageUsage::new(); 8];
    for step in 0..seconds * 2 {
        let now = start + STEP * step as u32;
        for (index, usage) in usages.iter_mut().enumerate() {
            for image in ["heavy", "light"] {
                if rng.random_range(0..4) == 0 {
                    usage.insert(image.to_owned(), rng.random_range(0.0..0.3));
                }
            }
            let heavy = usage.get("heavy").copied().unwrap_or(0.0);
            let phase = now.duration_since(start).as_secs_f64() / SWING_S + index as f64 / 8.0;
            let load_ln = 0.6 * (phase * std::f64::consts::TAU).sin();
            let noise_ln = rng.random_range(-0.2..0.2);
            let tail_ms = 40.0 * (load_ln + noise_ln + HEAVY_EFFECT * heavy).exp();
            let usage = Arc::new(usage.clone());
            interference.observe(task(index as u32), "serving", tail_ms as u64, &usage, now);
        }
        interference.settle(STEP, now);
    }
    interference
}

#[test]
fn settle_tells_the_heavy_image_from_the_light_one() {
    for seed in 1..20 {
        let interference = play(seed, 10);
        let known = interference.known();
        let effect = known.effect("serving", "heavy");
        assert!((effect - HEAVY_EFFECT).abs() < 1.5, "seed {seed}: {known:?}");
        assert!(known.effect("serving", "light") < 0.7, "seed {seed}: {known:?}");
    }
}

#[test]
fn adopt_keeps_an_earlier_owners_word_until_judged() {
    let told = Disturbances {
        version: 7,
        pairs: vec![Disturbance {
            serving: "serving".to_owned(),
            best_effort: "light".to_owned(),
            effect: 4.0,
        }],
    };
    let mut fresh = Interference::new(SETTINGS);
    fresh.adopt(told.clone());
    fresh.settle(STEP, Instant::now());
    assert!(fresh.known().effect("serving", "light") > 0.0);
    let mut judged = play(1, 10);
    judged.adopt(Disturbances { version: u64::MAX - 1, ..told });
    judged.settle(STEP, Instant::now());
    assert!(judged.known().effect("serving", "light") < 0.7, "{:?}", judged.known());
}
