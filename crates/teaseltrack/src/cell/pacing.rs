//! Pacing of best-effort tasks beside tasks that serve.
//!
//! An agent sees the tail latency of serving tasks twice a second. It slows those best-effort images
//! that are known to disturb a serving task, as far as the task's target asks for, and leaves the
//! others alone. A tail that stays over its target pauses all of them for a while, known or not, so
//! that nothing rests on what the owner has learned.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use crate::{
    cell::{
        interference::{Disturbances, ImageName},
        protocol::{RunningTask, SharingTraits, TaskName},
    },
    ids::AttemptNumber,
};

/// Full speed, in percent.
const FULL_PERCENT: u32 = 100;

/// How pacing answers to tails.
#[derive(Clone, Copy, Debug)]
pub struct PacingSettings {
    /// Share of its target that a disturbed tail is steered to.
    pub aim: f64,
    /// Weight of the newest tail, less its disturbance, in the mean that is steered by: single
    /// figures are rough.
    pub newest_weight: f64,
    /// Smallest change of a pace that is worth a call, in percent.
    pub least_change: u32,
    /// Pace below which tasks are paused altogether, in percent.
    pub least_percent: u32,
    /// Share of a worker that a task of an image is taken to use before it was seen at work.
    pub assumed_share: f64,
    /// Time over the target after which all best-effort tasks are paused.
    pub pause_after: Duration,
    /// Length of such a pause: a tail that is still over its target then has other causes.
    pub pause: Duration,
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

/// What the tasks of a best-effort image would use at full pace, by the share last seen.
#[derive(Clone, Copy, Debug, Default)]
struct ImageDemand {
    share_of_task: Option<f64>,
    used_share: f64,
    full_share: f64,
}

/// Paces the best-effort tasks of one worker.
#[derive(Debug)]
pub struct Pacer {
    settings: PacingSettings,
    traits: HashMap<TaskName, SharingTraits>,
    set: HashMap<TaskName, (AttemptNumber, u32)>,
    known: Disturbances,
    demands: BTreeMap<ImageName, ImageDemand>,
    percents: BTreeMap<ImageName, u32>,
    smoothed: HashMap<TaskName, f64>,
    over_since: Option<Instant>,
    paused_until: Option<Instant>,
    pressure: f64,
}

impl Pacer {
    /// No tasks yet.
    pub fn new(settings: PacingSettings) -> Self {
        Self {
            settings,
            traits: HashMap::new(),
            set: HashMap::new(),
            known: Disturbances::default(),
            demands: BTreeMap::new(),
            percents: BTreeMap::new(),
            smoothed: HashMap::new(),
            over_since: None,
            paused_until: None,
            pressure: 0.0,
        }
    }

    /// Learns how a task shares the worker.
    pub fn learn(&mut self, traits: SharingTraits) {
        self.traits.insert(traits.task.clone(), traits);
    }

    /// Learns which images disturb which.
    pub fn learn_disturbances(&mut self, known: Disturbances) {
        self.known = known;
    }

    /// The disturbances in use.
    pub fn disturbances(&self) -> &Disturbances {
        &self.known
    }

    /// Whether all best-effort tasks are paused.
    pub fn is_paused(&self) -> bool {
        self.paused_until.is_some()
    }

    /// Tail latency of the worst-off serving task as a share of its target, as last seen.
    pub fn pressure(&self) -> f64 {
        self.pressure
    }

    /// Takes in what runs on a worker of `capacity_milli`; returns the paces to set.
    pub fn observe(
        &mut self,
        running: &[RunningTask],
        capacity_milli: u64,
        now: Instant,
    ) -> Vec<PaceChange> {
        self.forget_ended(running);
        self.pressure = self.highest_pressure(running);
        self.pause_while_over(now);
        self.measure_demands(running, capacity_milli.max(1) as f64);
        self.steer(running);
        running.iter().filter_map(|run| self.change_for(run)).collect()
    }

    /// Takes in that a worker took a pace.
    pub fn confirm(&mut self, change: &PaceChange) {
        self.set.insert(change.task.clone(), (change.attempt, change.percent));
    }

    fn change_for(&self, run: &RunningTask) -> Option<PaceChange> {
        let traits = self.traits.get(&run.task).filter(|traits| traits.is_best_effort)?;
        let image = traits.image.as_deref().unwrap_or_default();
        let steered = self.percents.get(image).copied().unwrap_or(FULL_PERCENT);
        let percent = if self.is_paused() { 0 } else { steered };
        let current = self.percent_of(run);
        let is_small = percent.abs_diff(current) < self.settings.least_change;
        let is_end = percent == 0 || percent == FULL_PERCENT;
        if percent == current || (is_small && !is_end) {
            return None;
        }
        Some(PaceChange { task: run.task.clone(), attempt: run.attempt, percent })
    }

    fn percent_of(&self, run: &RunningTask) -> u32 {
        let set = self.set.get(&run.task).filter(|(attempt, _)| *attempt == run.attempt);
        set.map_or(FULL_PERCENT, |(_, percent)| *percent)
    }

    fn forget_ended(&mut self, running: &[RunningTask]) {
        if self.set.len() > running.len() {
            self.set.retain(|task, _| running.iter().any(|run| run.task == *task));
        }
        if self.traits.len() > 4 * running.len() + 64 {
            self.traits.retain(|task, _| running.iter().any(|run| run.task == *task));
        }
    }

    /// Highest share of its target that a tail takes.
    fn highest_pressure(&self, running: &[RunningTask]) -> f64 {
        running
            .iter()
            .filter_map(|run| {
                let target_ms = self.traits.get(&run.task)?.target_tail_ms?;
                Some(run.gauge as f64 / target_ms.max(1) as f64)
            })
            .fold(0.0, f64::max)
    }

    /// Pauses all images for a while when a tail stays over its target.
    fn pause_while_over(&mut self, now: Instant) {
        if let Some(until) = self.paused_until {
            if self.pressure <= 1.0 || now >= until {
                self.paused_until = None;
                self.over_since = None;
            }
            return;
        }
        if self.pressure <= 1.0 {
            self.over_since = None;
            return;
        }
        let since = *self.over_since.get_or_insert(now);
        if now.duration_since(since) >= self.settings.pause_after {
            self.paused_until = Some(now + self.settings.pause);
        }
    }

    fn measure_demands(&mut self, running: &[RunningTask], capacity_milli: f64) {
        for demand in self.demands.values_mut() {
            (demand.used_share, demand.full_share) = (0.0, 0.0);
        }
        for run in running {
            let Some(traits) = self.traits.get(&run.task).filter(|t| t.is_best_effort) else {
                continue;
            };
            let percent = self.percent_of(run);
            let used_share = run.gauge as f64 / capacity_milli;
            let image = traits.image.clone().unwrap_or_default();
            let demand = self.demands.entry(image).or_default();
            if percent >= self.settings.least_percent && used_share > 0.0 {
                demand.share_of_task =
                    Some(used_share * f64::from(FULL_PERCENT) / f64::from(percent));
            }
            demand.used_share += used_share;
            demand.full_share += demand.share_of_task.unwrap_or(self.settings.assumed_share);
        }
    }

    /// Chooses for each image the pace at which no disturbed tail is expected beyond its aim.
    fn steer(&mut self, running: &[RunningTask]) {
        let mut shares: BTreeMap<ImageName, f64> = BTreeMap::new();
        let mut smoothed = HashMap::new();
        for run in running {
            let Some(traits) = self.traits.get(&run.task) else { continue };
            let Some(target_ms) = traits.target_tail_ms.filter(|_| run.gauge > 0) else { continue };
            let serving = traits.image.as_deref().unwrap_or_default();
            let effects: Vec<(&ImageName, f64, &ImageDemand)> = self
                .demands
                .iter()
                .map(|(image, demand)| (image, self.known.effect(serving, image), demand))
                .filter(|(_, effect, _)| *effect > 0.0)
                .collect();
            let now_ln: f64 = effects.iter().map(|(_, effect, d)| effect * d.used_share).sum();
            let full_ln: f64 = effects.iter().map(|(_, effect, d)| effect * d.full_share).sum();
            let tail_ln = (run.gauge as f64 / target_ms.max(1) as f64).ln() - now_ln;
            let earlier = self.smoothed.get(&run.task).copied().unwrap_or(tail_ln);
            let undisturbed_ln = earlier + self.settings.newest_weight * (tail_ln - earlier);
            smoothed.insert(run.task.clone(), undisturbed_ln);
            if full_ln <= 0.0 {
                continue;
            }
            let share = ((self.settings.aim.ln() - undisturbed_ln) / full_ln).clamp(0.0, 1.0);
            for (image, _, _) in effects {
                let least = shares.entry(image.clone()).or_insert(1.0);
                *least = least.min(share);
            }
        }
        self.smoothed = smoothed;
        self.percents =
            shares.into_iter().map(|(image, share)| (image, self.percent_for(share))).collect();
    }

    fn percent_for(&self, share: f64) -> u32 {
        let percent = (share * f64::from(FULL_PERCENT)) as u32;
        if percent < self.settings.least_percent { 0 } else { percent }
    }
}
