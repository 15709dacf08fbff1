//! Pacing of best-effort tasks beside tasks that serve.
//!
//! An agent sees the tail latency of serving tasks twice a second. It slows those best-effort images
//! that are known to disturb a serving task near its target, and leaves the others alone. A tail
//! that stays over its target slows all of them, known or not, so nothing rests on what the owner
//! has learned.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::{
    cell::{
        interference::{DisturbingPairs, ImageName},
        protocol::{RunningTask, SharingTraits, TaskName},
    },
    ids::AttemptNumber,
};

/// Full speed, in percent.
const FULL_PERCENT: u32 = 100;

/// How pacing answers to tails.
#[derive(Clone, Copy, Debug)]
pub struct PacingSettings {
    /// Share of its target at which a tail slows best-effort tasks.
    pub slow_at: f64,
    /// Share of its target below which a tail lets them go faster.
    pub quicken_below: f64,
    /// Factor on the pace when a tail is too high.
    pub slow_factor: f64,
    /// Percent by which the pace goes up.
    pub quicken_step: u32,
    /// Pace below which best-effort tasks are paused altogether.
    pub least_percent: u32,
    /// Time between two changes; tails are averages over as long.
    pub settle: Duration,
    /// Time over the target after which all best-effort tasks are paused.
    pub pause_after: Duration,
}

/// A pace to set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PaceChange {
    /// The task.
    pub task: TaskName,
    /// Its attempt.
    pub attempt: AttemptNumber,
    /// Share of full speed, in percent.
    pub percent: u32,
}

/// Pace of one best-effort image on one worker.
#[derive(Clone, Copy, Debug)]
struct ImagePace {
    percent: u32,
    changed_at: Option<Instant>,
}

impl Default for ImagePace {
    fn default() -> Self {
        Self { percent: FULL_PERCENT, changed_at: None }
    }
}

/// Paces the best-effort tasks of one worker.
#[derive(Debug)]
pub struct Pacer {
    settings: PacingSettings,
    traits: HashMap<TaskName, SharingTraits>,
    set: HashMap<TaskName, (AttemptNumber, u32)>,
    pairs: DisturbingPairs,
    paces: HashMap<ImageName, ImagePace>,
    all: ImagePace,
    over_since: Option<Instant>,
    pressure: f64,
}

impl Pacer {
    /// No tasks yet.
    pub fn new(settings: PacingSettings) -> Self {
        Self {
            settings,
            traits: HashMap::new(),
            set: HashMap::new(),
            pairs: DisturbingPairs::default(),
            paces: HashMap::new(),
            all: ImagePace::default(),
            over_since: None,
            pressure: 0.0,
        }
    }

    /// Learns how a task shares the worker.
    pub fn learn(&mut self, traits: SharingTraits) {
        self.traits.insert(traits.task.clone(), traits);
    }

    /// Learns which images disturb which.
    pub fn learn_pairs(&mut self, pairs: DisturbingPairs) {
        self.pairs = pairs;
    }

    /// Version of the pairs in use.
    pub fn pairs_version(&self) -> u64 {
        self.pairs.version
    }

    /// Pace that holds for all images, in percent.
    pub fn percent(&self) -> u32 {
        self.all.percent
    }

    /// Tail latency of the worst-off serving task as a share of its target, as last seen.
    pub fn pressure(&self) -> f64 {
        self.pressure
    }

    /// Takes in what the worker runs; returns the paces to set.
    pub fn observe(&mut self, running: &[RunningTask], now: Instant) -> Vec<PaceChange> {
        self.forget_ended(running);
        let pressures = self.pressures(running);
        self.pressure = pressures.values().copied().fold(0.0, f64::max);
        self.adapt_all(now);
        self.adapt_images(&pressures, now);
        let mut changes = Vec::new();
        for run in running {
            let Some(traits) = self.traits.get(&run.task).filter(|t| t.is_best_effort) else {
                continue;
            };
            let image = traits.image.as_deref().unwrap_or_default();
            let image_percent = self.paces.get(image).map_or(FULL_PERCENT, |pace| pace.percent);
            let percent = image_percent.min(self.all.percent);
            let known = self.set.get(&run.task).filter(|(attempt, _)| *attempt == run.attempt);
            if known.map_or(FULL_PERCENT, |(_, percent)| *percent) != percent {
                let (task, attempt) = (run.task.clone(), run.attempt);
                changes.push(PaceChange { task, attempt, percent });
            }
        }
        changes
    }

    /// Takes in that a worker took a pace.
    pub fn confirm(&mut self, change: &PaceChange) {
        self.set.insert(change.task.clone(), (change.attempt, change.percent));
    }

    fn forget_ended(&mut self, running: &[RunningTask]) {
        if self.set.len() > running.len() {
            self.set.retain(|task, _| running.iter().any(|run| run.task == *task));
        }
        if self.traits.len() > 4 * running.len() + 64 {
            self.traits.retain(|task, _| running.iter().any(|run| run.task == *task));
        }
    }

    /// Highest share of its target that a tail takes, by serving image.
    fn pressures(&self, running: &[RunningTask]) -> HashMap<ImageName, f64> {
        let mut pressures = HashMap::new();
        for run in running {
            let Some(traits) = self.traits.get(&run.task) else { continue };
            let Some(target_ms) = traits.target_tail_ms else { continue };
            let pressure = run.gauge as f64 / target_ms.max(1) as f64;
            let image = traits.image.clone().unwrap_or_default();
            let highest = pressures.entry(image).or_insert(0.0_f64);
            *highest = highest.max(pressure);
        }
        pressures
    }

    /// Pauses all images while a tail stays over its target.
    fn adapt_all(&mut self, now: Instant) {
        if self.pressure <= 1.0 {
            self.over_since = None;
        } else if self.over_since.is_none() {
            self.over_since = Some(now);
        }
        if self.over_since.is_some_and(|since| now - since >= self.settings.pause_after) {
            self.all = ImagePace { percent: 0, changed_at: Some(now) };
        } else if self.pressure < self.settings.slow_at {
            self.all = self.settings.quickened(self.all, now);
        }
    }

    /// Slows images that are known to disturb a serving image near its target.
    fn adapt_images(&mut self, pressures: &HashMap<ImageName, f64>, now: Instant) {
        let images: Vec<ImageName> = self
            .traits
            .values()
            .filter(|traits| traits.is_best_effort)
            .filter_map(|traits| traits.image.clone())
            .collect();
        for image in images {
            let disturbed = pressures
                .iter()
                .filter(|(serving, _)| self.pairs.contains(serving, &image))
                .map(|(_, pressure)| *pressure)
                .fold(0.0, f64::max);
            let pace = self.paces.entry(image).or_default();
            if disturbed >= self.settings.slow_at {
                *pace = self.settings.slowed(*pace, now);
            } else if disturbed < self.settings.quicken_below {
                *pace = self.settings.quickened(*pace, now);
            }
        }
    }
}

impl PacingSettings {
    fn has_settled(&self, pace: ImagePace, now: Instant) -> bool {
        pace.changed_at.is_none_or(|at| now - at >= self.settle)
    }

    fn slowed(&self, pace: ImagePace, now: Instant) -> ImagePace {
        if pace.percent == 0 || !self.has_settled(pace, now) {
            return pace;
        }
        let slowed = (f64::from(pace.percent) * self.slow_factor) as u32;
        let percent = if slowed < self.least_percent { 0 } else { slowed };
        ImagePace { percent, changed_at: Some(now) }
    }

    fn quickened(&self, pace: ImagePace, now: Instant) -> ImagePace {
        if pace.percent == FULL_PERCENT || !self.has_settled(pace, now) {
            return pace;
        }
        let percent = (pace.percent + self.quicken_step).min(FULL_PERCENT);
        ImagePace { percent, changed_at: Some(now) }
    }
}
