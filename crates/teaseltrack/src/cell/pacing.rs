//! Pacing of best-effort tasks beside tasks that serve.
//!
//! An agent sees the tail latency of serving tasks twice a second. What each of them can bear is
//! shared out among the best-effort tasks: first to the images that disturb least, then task by
//! task, the furthest first, since a few tasks at full pace end sooner than many slow ones. A tail
//! over its target stops the images that may disturb it at once. One that stays over its target
//! pauses all of them for a while, so that nothing rests on what the owner has learned.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use crate::{
    cell::{
        interference::{ImageName, ImageUsage, InterferenceEstimates},
        protocol::{RunningTask, SharingTraits, TaskName},
        tail_model::Tail,
    },
    ids::AttemptNumber,
};

/// Full speed, in percent.
const FULL_PERCENT: u32 = 100;

/// How pacing answers to tails.
#[derive(Clone, Copy, Debug)]
pub struct PacingSettings {
    /// Share of its target that a disturbed tail is steered to.
    pub setpoint: f64,
    /// Weight of the newest tail, less its disturbance, in the mean that is steered by: single
    /// figures are rough.
    pub smoothing_factor: f64,
    /// Smallest change of a pace that is worth a call, in percent.
    pub min_change_percent: u32,
    /// Pace below which tasks are paused altogether, in percent.
    pub min_percent: u32,
    /// Share of a worker that a task of an image is taken to use before it was seen at work.
    pub default_share: f64,
    /// Time over the target after which all best-effort tasks are paused.
    pub pause_after: Duration,
    /// Length of such a pause: a tail that is still over its target then has other causes.
    pub pause_duration: Duration,
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

/// A best-effort task to be paced.
struct Demand<'a> {
    run: &'a RunningTask,
    /// Share of the worker that it would use at full pace.
    full_share: f64,
    is_at_work: bool,
}

/// Paces the best-effort tasks of one worker.
#[derive(Debug)]
pub struct Pacer {
    settings: PacingSettings,
    traits: HashMap<TaskName, SharingTraits>,
    set: HashMap<TaskName, (AttemptNumber, u32)>,
    known: InterferenceEstimates,
    full_shares: HashMap<TaskName, f64>,
    last_usage: ImageUsage,
    undisturbed: HashMap<TaskName, f64>,
    percents: HashMap<TaskName, u32>,
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
            known: InterferenceEstimates::default(),
            full_shares: HashMap::new(),
            last_usage: ImageUsage::new(),
            undisturbed: HashMap::new(),
            percents: HashMap::new(),
            over_since: None,
            paused_until: None,
            pressure: 0.0,
        }
    }

    /// Learns how a task shares the worker.
    pub fn set_traits(&mut self, traits: SharingTraits) {
        self.traits.insert(traits.task.clone(), traits);
    }

    /// Learns which images disturb which.
    pub fn set_estimates(&mut self, known: InterferenceEstimates) {
        self.known = known;
    }

    /// The disturbances in use.
    pub fn estimates(&self) -> &InterferenceEstimates {
        &self.known
    }

    /// Whether all best-effort tasks are paused.
    pub fn is_paused(&self) -> bool {
        self.paused_until.is_some()
    }

    /// Tail latency of the worst-off serving task as a share of its target, as last seen.
    pub fn tail_to_target(&self) -> f64 {
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
        let usage = self.measure_usage(running, capacity_milli.max(1) as f64);
        let headrooms = self.headrooms(running, &usage);
        self.last_usage = usage;
        self.share_out(running, headrooms);
        running.iter().filter_map(|run| self.change_for(run)).collect()
    }

    /// Takes in that a worker took a pace.
    pub fn confirm(&mut self, change: &PaceChange) {
        self.set.insert(change.task.clone(), (change.attempt, change.percent));
    }

    fn change_for(&self, run: &RunningTask) -> Option<PaceChange> {
        let steered = *self.percents.get(&run.task)?;
        let percent = if self.is_paused() { 0 } else { steered };
        let current = self.percent_of(run);
        let is_small = percent.abs_diff(current) < self.settings.min_change_percent;
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
        if self.full_shares.len() > running.len() {
            self.full_shares.retain(|task, _| running.iter().any(|run| run.task == *task));
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
            self.paused_until = Some(now + self.settings.pause_duration);
        }
    }

    /// What each best-effort image uses now; learns what their tasks use at full pace.
    fn measure_usage(&mut self, running: &[RunningTask], capacity_milli: f64) -> ImageUsage {
        let mut usage = ImageUsage::new();
        for run in running {
            let Some(image) = self.best_effort_image(run) else { continue };
            let used_share = run.gauge as f64 / capacity_milli;
            *usage.entry(image).or_insert(0.0) += used_share;
            let percent = self.percent_of(run);
            if percent >= self.settings.min_percent && used_share > 0.0 {
                let full_share = used_share * f64::from(FULL_PERCENT) / f64::from(percent);
                self.full_shares.insert(run.task.clone(), full_share);
            }
        }
        usage
    }

    /// Growth of utilization that best-effort tasks may cause together, by serving image.
    fn headrooms(
        &mut self,
        running: &[RunningTask],
        usage: &ImageUsage,
    ) -> BTreeMap<ImageName, f64> {
        // Tails are means over the time in which the usage before still counts.
        let mut lasting = usage.clone();
        for (image, share) in &self.last_usage {
            let bound = lasting.entry(image.clone()).or_insert(*share);
            *bound = bound.max(*share);
        }
        let mut headrooms = BTreeMap::new();
        let mut undisturbed = HashMap::new();
        for run in running {
            let Some((image, tail)) = self.tail_of(run) else { continue };
            let newest = tail.utilization() / (1.0 + self.known.total_growth(&image, &lasting));
            let earlier = self.undisturbed.get(&run.task).copied().unwrap_or(newest);
            let smoothed = earlier + self.settings.smoothing_factor * (newest - earlier);
            let load = newest.max(smoothed);
            undisturbed.insert(run.task.clone(), load);
            let at_aim = tail.utilization_at(self.settings.setpoint);
            let headroom = if tail.exceeds_target() { 0.0 } else { (at_aim / load - 1.0).max(0.0) };
            let least = headrooms.entry(image).or_insert(headroom);
            *least = headroom.min(*least);
        }
        self.undisturbed = undisturbed;
        headrooms
    }

    fn tail_of(&self, run: &RunningTask) -> Option<(ImageName, Tail)> {
        let traits = self.traits.get(&run.task)?;
        let target_ms = traits.target_tail_ms.filter(|_| run.gauge > 0)? as f64;
        let image = traits.image.clone().unwrap_or_default();
        let tail_ms = run.gauge as f64;
        let idle_tail_ms = self.known.idle_tail_ms(&image, tail_ms);
        Some((image, Tail { tail_ms, idle_tail_ms, target_ms }))
    }

    fn best_effort_image(&self, run: &RunningTask) -> Option<ImageName> {
        let traits = self.traits.get(&run.task).filter(|traits| traits.is_best_effort)?;
        Some(traits.image.clone().unwrap_or_default())
    }

    /// Shares out what serving tasks can bear.
    fn share_out(&mut self, running: &[RunningTask], mut headrooms: BTreeMap<ImageName, f64>) {
        let mut demands: BTreeMap<ImageName, Vec<Demand<'_>>> = BTreeMap::new();
        for run in running {
            let Some(image) = self.best_effort_image(run) else { continue };
            let full_share = self.full_shares.get(&run.task).copied();
            demands.entry(image).or_default().push(Demand {
                run,
                full_share: full_share.unwrap_or(self.settings.default_share),
                is_at_work: self.percent_of(run) > 0,
            });
        }
        let mut order: Vec<(ImageName, f64)> = demands
            .keys()
            .map(|image| (image.clone(), self.allowed_share(image, &headrooms)))
            .collect();
        order.sort_by(|(_, left), (_, right)| right.total_cmp(left));
        self.percents.clear();
        for (image, _) in order {
            let Some(mut tasks) = demands.remove(&image) else { continue };
            tasks.sort_by_key(|demand| {
                (!demand.is_at_work, FULL_PERCENT.saturating_sub(demand.run.percent))
            });
            let allowed = self.allowed_share(&image, &headrooms);
            let mut left = allowed;
            for demand in tasks {
                let pace = (left / demand.full_share.max(1e-6)).clamp(0.0, 1.0);
                let percent = self.percent_for(pace);
                left -= demand.full_share * f64::from(percent) / f64::from(FULL_PERCENT);
                self.percents.insert(demand.run.task.clone(), percent);
            }
            if allowed.is_finite() {
                for (serving, headroom) in &mut headrooms {
                    *headroom -= self.known.utilization_growth(serving, &image) * (allowed - left);
                }
            }
        }
    }

    /// Share of the worker that an image may use; infinite if it disturbs nothing here.
    fn allowed_share(&self, image: &str, headrooms: &BTreeMap<ImageName, f64>) -> f64 {
        headrooms
            .iter()
            .map(|(serving, headroom)| (self.known.utilization_growth(serving, image), headroom))
            .filter(|(effect, _)| *effect > 0.0)
            .map(|(effect, headroom)| headroom.max(0.0) / effect)
            .fold(f64::INFINITY, f64::min)
    }

    fn percent_for(&self, share: f64) -> u32 {
        let percent = (share * f64::from(FULL_PERCENT)) as u32;
        if percent < self.settings.min_percent { 0 } else { percent }
    }
}
