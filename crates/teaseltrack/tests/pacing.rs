//! Pacing of best-effort tasks beside a tail that is near its target.

use std::time::{Duration, Instant};

use teaseltrack::cell::{
    interference::{Disturbance, Disturbances},
    pacing::{Pacer, PacingSettings},
    protocol::{RunningTask, SharingTraits, TaskName},
};

const SETTINGS: PacingSettings = PacingSettings {
    aim: 0.6,
    newest_weight: 0.4,
    least_change: 8,
    least_percent: 6,
    assumed_share: 0.1,
    pause_after: Duration::from_millis(2_000),
    pause: Duration::from_millis(1_200),
};
const CAPACITY_MILLI: u64 = 64_000;

fn task(index: u32) -> TaskName {
    TaskName { job: "00000000000000aa".to_owned(), occurrence: 0, stage: 0, index }
}

fn running(index: u32, gauge: u64) -> RunningTask {
    RunningTask { task: task(index), attempt: 1, checkpoint: String::new(), percent: 50, gauge }
}

fn pacer() -> Pacer {
    let mut pacer = Pacer::new(SETTINGS);
    let traits = |index, image: &str, target_tail_ms: Option<u64>| SharingTraits {
        task: task(index),
        image: Some(image.to_owned()),
        is_best_effort: target_tail_ms.is_none(),
        target_tail_ms,
    };
    pacer.learn(traits(0, "serving", Some(100)));
    pacer.learn(traits(1, "heavy", None));
    pacer.learn(traits(2, "light", None));
    pacer.learn_disturbances(Disturbances {
        version: 1,
        pairs: vec![Disturbance {
            serving: "serving".to_owned(),
            best_effort: "heavy".to_owned(),
            effect: 6.0,
        }],
    });
    pacer
}

#[test]
fn observe_slows_only_the_image_that_disturbs() {
    let mut pacer = pacer();
    let listing = [running(0, 90), running(1, 12_800), running(2, 12_800)];
    let changes = pacer.observe(&listing, CAPACITY_MILLI, Instant::now());
    assert_eq!(changes.len(), 1, "{changes:?}");
    assert_eq!(changes[0].task, task(1));
    assert!(changes[0].percent < 100, "{changes:?}");
}

#[test]
fn observe_leaves_all_alone_far_below_the_target() {
    let mut pacer = pacer();
    let listing = [running(0, 20), running(1, 6_400), running(2, 6_400)];
    assert!(pacer.observe(&listing, CAPACITY_MILLI, Instant::now()).is_empty());
}

#[test]
fn observe_pauses_all_when_a_tail_stays_over_its_target() {
    let mut pacer = pacer();
    let start = Instant::now();
    let listing = [running(0, 150), running(2, 6_400)];
    assert!(pacer.observe(&listing, CAPACITY_MILLI, start).is_empty());
    let changes = pacer.observe(&listing, CAPACITY_MILLI, start + SETTINGS.pause_after);
    assert_eq!(changes.iter().map(|change| change.percent).collect::<Vec<_>>(), [0]);
}

#[test]
fn observe_resumes_when_the_pause_did_not_help() {
    let mut pacer = pacer();
    let start = Instant::now();
    let listing = [running(0, 150), running(2, 6_400)];
    pacer.observe(&listing, CAPACITY_MILLI, start);
    let paused_at = start + SETTINGS.pause_after;
    for change in pacer.observe(&listing, CAPACITY_MILLI, paused_at) {
        pacer.confirm(&change);
    }
    let changes = pacer.observe(&listing, CAPACITY_MILLI, paused_at + SETTINGS.pause);
    assert_eq!(changes.iter().map(|change| change.percent).collect::<Vec<_>>(), [100]);
}
