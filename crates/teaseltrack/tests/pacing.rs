//! Pacing of best-effort tasks that are colocated with a serving task.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use teaseltrack::cell::{
    interference::{InterferenceEstimates, PairInterference},
    pacing::{PaceChange, Pacer, PacingSettings},
    protocol::{RunningTask, SharingTraits, TaskName},
};

const SETTINGS: PacingSettings = PacingSettings {
    setpoint: 0.85,
    smoothing_factor: 0.4,
    min_change_percent: 8,
    min_percent: 6,
    default_share: 0.1,
    pause_after: Duration::from_millis(2_000),
    pause_duration: Duration::from_millis(1_200),
};
const CAPACITY_MILLI: u64 = 64_000;

fn task(index: u32) -> TaskName {
    TaskName { job: "00000000000000aa".to_owned(), occurrence: 0, stage: 0, index }
}

fn running(index: u32, gauge: u64) -> RunningTask {
    RunningTask { task: task(index), attempt: 1, checkpoint: String::new(), percent: 50, gauge }
}

/// A controller for a serving task with a target of 100 ms and an idle tail of 20 ms that is
/// colocated with a heavy and a light image.
fn pacer() -> Pacer {
    let mut pacer = Pacer::new(SETTINGS);
    let traits = |index, image: &str, target_tail_ms: Option<u64>| SharingTraits {
        task: task(index),
        image: Some(image.to_owned()),
        is_best_effort: target_tail_ms.is_none(),
        target_tail_ms,
    };
    pacer.set_traits(traits(0, "serving", Some(100)));
    pacer.set_traits(traits(1, "heavy", None));
    pacer.set_traits(traits(2, "light", None));
    pacer.set_traits(traits(3, "heavy", None));
    let pair = |best_effort: &str, growth| PairInterference {
        serving: "serving".to_owned(),
        best_effort: best_effort.to_owned(),
        utilization_growth: growth,
    };
    pacer.set_estimates(InterferenceEstimates {
        version: 1,
        pairs: vec![pair("heavy", 3.0), pair("light", 0.0)],
        idle_tails_ms: BTreeMap::from([("serving".to_owned(), 20.0)]),
    });
    pacer
}

fn percents(changes: &[PaceChange]) -> Vec<(u32, u32)> {
    changes.iter().map(|change| (change.task.index, change.percent)).collect()
}

#[test]
fn observe_slows_only_the_interfering_image() {
    let mut pacer = pacer();
    let listing = [running(0, 99), running(1, 12_800), running(2, 12_800)];
    let changes = pacer.observe(&listing, CAPACITY_MILLI, Instant::now());
    assert_eq!(changes.len(), 1, "{changes:?}");
    assert_eq!(changes[0].task, task(1));
    assert!(changes[0].percent < 100, "{changes:?}");
}

#[test]
fn observe_changes_no_pace_far_below_the_target() {
    let mut pacer = pacer();
    let listing = [running(0, 24), running(1, 6_400), running(2, 6_400)];
    assert!(pacer.observe(&listing, CAPACITY_MILLI, Instant::now()).is_empty());
}

/// The headroom covers one of two tasks of the same image and part of the other.
#[test]
fn observe_keeps_the_task_closest_to_completion_at_full_pace() {
    let mut pacer = pacer();
    let nearly_done = RunningTask { percent: 80, ..running(3, 6_400) };
    let listing = [running(0, 95), running(1, 6_400), nearly_done];
    let changes = pacer.observe(&listing, CAPACITY_MILLI, Instant::now());
    let changed = percents(&changes);
    assert_eq!(changed.len(), 1, "{changes:?}");
    assert!(changed[0].0 == 1 && changed[0].1 < 100, "{changes:?}");
}

#[test]
fn observe_stops_the_interfering_image_immediately_when_a_tail_is_over_its_target() {
    let mut pacer = pacer();
    let listing = [running(0, 120), running(1, 6_400), running(2, 6_400)];
    let changes = pacer.observe(&listing, CAPACITY_MILLI, Instant::now());
    assert_eq!(percents(&changes), [(1, 0)]);
}

#[test]
fn observe_pauses_all_images_when_a_tail_stays_over_its_target() {
    let mut pacer = pacer();
    let start = Instant::now();
    let listing = [running(0, 150), running(2, 6_400)];
    assert!(pacer.observe(&listing, CAPACITY_MILLI, start).is_empty());
    let changes = pacer.observe(&listing, CAPACITY_MILLI, start + SETTINGS.pause_after);
    assert_eq!(percents(&changes), [(2, 0)]);
}

#[test]
fn observe_resumes_when_the_pause_has_not_helped() {
    let mut pacer = pacer();
    let start = Instant::now();
    let listing = [running(0, 150), running(2, 6_400)];
    pacer.observe(&listing, CAPACITY_MILLI, start);
    let paused_at = start + SETTINGS.pause_after;
    for change in pacer.observe(&listing, CAPACITY_MILLI, paused_at) {
        pacer.confirm(&change);
    }
    let changes = pacer.observe(&listing, CAPACITY_MILLI, paused_at + SETTINGS.pause_duration);
    assert_eq!(percents(&changes), [(2, 100)]);
}

/// Guards against a task that works on beside a serving task over its target, since a call to resume it got
/// no response and was executed.
#[test]
fn observe_sets_an_uncertain_pace_again() {
    let mut pacer = pacer();
    let listing = [running(0, 99), running(1, 12_800)];
    let now = Instant::now();
    let [slowed] = &pacer.observe(&listing, CAPACITY_MILLI, now)[..] else { panic!("no change") };
    pacer.confirm(slowed);
    pacer.mark_uncertain(&PaceChange { percent: 100, ..slowed.clone() });
    let changes = pacer.observe(&listing, CAPACITY_MILLI, now);
    assert_eq!(changes.len(), 1, "{changes:?}");
    pacer.confirm(&changes[0]);
    let later = pacer.observe(&listing, CAPACITY_MILLI, now);
    assert!(later.iter().all(|change| change.percent != changes[0].percent), "{later:?}");
}
