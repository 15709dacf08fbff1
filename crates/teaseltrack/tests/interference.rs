//! Learning which image disturbs, beside serving tasks whose own load swings: queues whose work a
//! heavy image slows.

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
const STEP: Duration = Duration::from_millis(500);
/// Time of a swing of a serving task's own load.
const SWING_S: f64 = 20.0;
/// Growth of the utilization by a whole worker of the heavy image.
const HEAVY_EFFECT: f64 = 3.0;
/// Tail of an idle serving task.
const FLOOR_MS: f64 = 25.0;

fn task(index: u32) -> TaskKey {
    TaskKey { job: JobKey::null(), occurrence: 0, stage: 0, index }
}

/// Plays workers with one serving task each, beside a heavy and a light image that come and go.
fn play(seed: u64, seconds: u64) -> InterferenceModel {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut interference = InterferenceModel::new(SETTINGS);
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
            let load = 0.48 + 0.24 * (phase * std::f64::consts::TAU).sin();
            let utilization = (load * (1.0 + HEAVY_EFFECT * heavy)).min(0.98);
            let noise = rng.random_range(0.95..1.05);
            let tail_ms = noise * FLOOR_MS / (1.0 - utilization);
            let usage = Arc::new(usage.clone());
            interference.observe(task(index as u32), "serving", tail_ms as u64, &usage, now);
        }
        interference.update_estimates(STEP, now);
    }
    interference
}

#[test]
fn update_estimates_tells_the_heavy_image_from_the_light_one() {
    for seed in 1..20 {
        let interference = play(seed, 10);
        let known = interference.estimates();
        let effect = known.utilization_growth("serving", "heavy");
        assert!((effect - HEAVY_EFFECT).abs() < 1.5, "seed {seed}: {known:?}");
        assert!(known.utilization_growth("serving", "light") < 0.3, "seed {seed}: {known:?}");
    }
}

#[test]
fn update_estimates_knows_the_tail_of_an_idle_task() {
    let known = play(1, 20).estimates().clone();
    let idle_tail_ms = known.idle_tail_ms("serving", 1_000.0);
    assert!((FLOOR_MS..1.6 * FLOOR_MS).contains(&idle_tail_ms), "{idle_tail_ms}");
}

#[test]
fn utilization_growth_of_an_unseen_pair_is_inconclusive() {
    let known = InterferenceEstimates::default();
    assert!(known.is_inconclusive("serving", "unseen"));
}

fn told(best_effort: &str, effect: f64) -> InterferenceEstimates {
    InterferenceEstimates {
        version: 7,
        pairs: vec![PairInterference {
            serving: "serving".to_owned(),
            best_effort: best_effort.to_owned(),
            utilization_growth: effect,
        }],
        ..InterferenceEstimates::default()
    }
}

#[test]
fn adopt_estimates_keeps_an_earlier_owners_word_until_judged() {
    let mut fresh = InterferenceModel::new(SETTINGS);
    fresh.adopt_estimates(told("light", 4.0));
    fresh.update_estimates(STEP, Instant::now());
    assert_eq!(fresh.estimates().utilization_growth("serving", "light"), 4.0);
    let mut judged = play(1, 10);
    judged.adopt_estimates(InterferenceEstimates { version: u64::MAX - 1, ..told("light", 4.0) });
    judged.update_estimates(STEP, Instant::now());
    assert!(
        judged.estimates().utilization_growth("serving", "light") < 0.3,
        "{:?}",
        judged.estimates()
    );
}

#[parameterized(
    same_heavy_image = { &[("a", "x", 3.0), ("b", "x", 2.0)], true },
    other_heavy_images = { &[("a", "x", 3.0), ("b", "y", 2.0)], false },
    only_light_images = { &[("a", "x", 0.5), ("b", "x", 0.5)], false },
    nothing_known = { &[], false },
)]
fn have_same_interferers(pairs: &[(&str, &str, f64)], expected: bool) {
    let pair = |(serving, best_effort, effect): &(&str, &str, f64)| PairInterference {
        serving: (*serving).to_owned(),
        best_effort: (*best_effort).to_owned(),
        utilization_growth: *effect,
    };
    let pairs = pairs.iter().map(pair).collect();
    let known = InterferenceEstimates { pairs, ..InterferenceEstimates::default() };
    assert_eq!(known.have_same_interferers("a", "b"), expected);
}
