//! Pacing of best-effort tasks that are colocated with serving tasks.
//!
//! An agent reads the tail latency of its serving tasks twice a second. Their headroom is the
//! relative growth of utilization by which their tails would reach the setpoint. It is allocated to
//! best-effort tasks: first to the images that interfere least, then within an image to unpaused
//! tasks before paused ones, and to the tasks that are closest to completion, since a few tasks at
//! full pace finish sooner than many slow ones. A tail over its target immediately sets the pace of
//! the images that may interfere with it to 0. If a tail stays over its target, all best-effort
//! tasks are paused for a while, and none is started, so that the protection of serving tasks doesn't
//! depend on the owner's interference estimates.

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

/// Full pace, in percent.
const FULL_PERCENT: u32 = 100;

/// Parameters of the pacing controller.
#[derive(Clone, Copy, Debug)]
pub struct PacingSettings {
    /// Share of its target that a tail may reach under interference.
    pub setpoint: f64,
    /// Weight of the newest sample in the moving average of a serving task's base utilization (the
    /// utilization without interference), because single tails are noisy. Only decreases are
    /// smoothed; increases take effect at once.
    pub smoothing_factor: f64,
    /// Minimum change of a pace that is sent to the worker, in percent; a change to 0 or to full
    /// pace is always sent.
    pub min_change_percent: u32,
    /// Minimum pace, in percent; tasks below it are paused (pace 0).
    pub min_percent: u32,
    /// Assumed share of the worker used by a task at full pace until its use is observed.
    pub default_share: f64,
    /// Time for which a tail must be over its target before all best-effort tasks are paused.
    pub pause_after: Duration,
    /// Maximum duration of such a pause, which ends early once no tail is over its target. A tail
    /// that is still over its target afterwards has other causes.
    pub pause_duration: Duration,
}

/// A change of a task's pace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PaceChange {
    /// The task.
    pub task: TaskName,
    /// Its attempt.
    pub attempt: AttemptNumber,
    /// Share of full pace, in percent; 0 pauses the task.
    pub percent: u32,
}

/// Best-effort task to which a pace is allocated.
struct PaceDemand<'a> {
    run: &'a RunningTask,
    /// Share of the worker that the task uses at full pace.
    full_pace_share: f64,
    is_unpaused: bool,
}

/// Pacing controller for the best-effort tasks of one worker.
#[derive(Debug)]
pub struct Pacer {
    settings: PacingSettings,
    traits: HashMap<TaskName, SharingTraits>,
    /// Last pace that the worker has applied to each task, with its attempt.
    confirmed_paces: HashMap<TaskName, (AttemptNumber, u32)>,
    /// Runs to which the worker may have applied another pace than the confirmed one.
    uncertain_paces: HashMap<TaskName, AttemptNumber>,
    estimates: InterferenceEstimates,
    /// Last observed usage of each best-effort task, scaled to full pace, as a share of the worker.
    full_pace_shares: HashMap<TaskName, f64>,
    /// Usage by image in the previous observation.
    previous_usage: ImageUsage,
    /// Smoothed utilization of each serving task without interference.
    base_utilizations: HashMap<TaskName, f64>,
    /// Paces allocated in the last observation, in percent.
    allocated_percents: HashMap<TaskName, u32>,
    over_target_since: Option<Instant>,
    paused_until: Option<Instant>,
    tail_to_target: f64,
}

impl Pacer {
    /// A controller without tasks.
    pub fn new(settings: PacingSettings) -> Self {
        Self {
            settings,
            traits: HashMap::new(),
            confirmed_paces: HashMap::new(),
            uncertain_paces: HashMap::new(),
            estimates: InterferenceEstimates::default(),
            full_pace_shares: HashMap::new(),
            previous_usage: ImageUsage::new(),
            base_utilizations: HashMap::new(),
            allocated_percents: HashMap::new(),
            over_target_since: None,
            paused_until: None,
            tail_to_target: 0.0,
        }
    }

    /// Sets the image, the tail target and the best-effort flag of a task.
    pub fn set_traits(&mut self, traits: SharingTraits) {
        self.traits.insert(traits.task.clone(), traits);
    }

    /// Sets the interference estimates.
    pub fn set_estimates(&mut self, estimates: InterferenceEstimates) {
        self.estimates = estimates;
    }

    /// The interference estimates in use.
    pub fn estimates(&self) -> &InterferenceEstimates {
        &self.estimates
    }

    /// Whether all best-effort tasks are paused.
    pub fn is_paused(&self) -> bool {
        self.paused_until.is_some()
    }

    /// Whether the task is known to be a best-effort task.
    pub fn is_best_effort(&self, task: &TaskName) -> bool {
        self.traits.get(task).is_some_and(|traits| traits.is_best_effort)
    }

    /// Highest ratio of a serving task's tail latency to its target in the last observation.
    pub fn tail_to_target(&self) -> f64 {
        self.tail_to_target
    }

    /// Allocates paces from the worker's listing of running tasks and its CPU capacity in
    /// millicores; returns the paces to change.
    pub fn observe(
        &mut self,
        running: &[RunningTask],
        capacity_milli: u64,
        now: Instant,
    ) -> Vec<PaceChange> {
        self.remove_ended(running);
        self.tail_to_target = self.max_tail_to_target(running);
        self.update_pause(now);
        let usage = self.measure_usage(running, capacity_milli.max(1) as f64);
        let headrooms = self.headrooms(running, &usage);
        self.previous_usage = usage;
        self.allocate(running, headrooms);
        running.iter().filter_map(|run| self.pace_change(run)).collect()
    }

    /// Records that the worker has applied a pace.
    pub fn confirm(&mut self, change: &PaceChange) {
        self.confirmed_paces.insert(change.task.clone(), (change.attempt, change.percent));
        self.uncertain_paces.remove(&change.task);
    }

    /// Records that the worker may have applied a pace. The run's pace is set again.
    pub fn mark_uncertain(&mut self, change: &PaceChange) {
        self.uncertain_paces.insert(change.task.clone(), change.attempt);
    }

    fn pace_change(&self, run: &RunningTask) -> Option<PaceChange> {
        let allocated_percent = *self.allocated_percents.get(&run.task)?;
        let percent = if self.is_paused() { 0 } else { allocated_percent };
        let current = self.current_percent(run);
        if self.uncertain_paces.get(&run.task) == Some(&run.attempt) {
            return Some(PaceChange { task: run.task.clone(), attempt: run.attempt, percent });
        }
        let is_small = percent.abs_diff(current) < self.settings.min_change_percent;
        let is_limit = percent == 0 || percent == FULL_PERCENT;
        if percent == current || (is_small && !is_limit) {
            return None;
        }
        Some(PaceChange { task: run.task.clone(), attempt: run.attempt, percent })
    }

    fn current_percent(&self, run: &RunningTask) -> u32 {
        let confirmed =
            self.confirmed_paces.get(&run.task).filter(|(attempt, _)| *attempt == run.attempt);
        confirmed.map_or(FULL_PERCENT, |(_, percent)| *percent)
    }

    fn remove_ended(&mut self, running: &[RunningTask]) {
        self.uncertain_paces.retain(|task, _| running.iter().any(|run| run.task == *task));
        if self.confirmed_paces.len() > running.len() {
            self.confirmed_paces.retain(|task, _| running.iter().any(|run| run.task == *task));
        }
        if self.full_pace_shares.len() > running.len() {
            self.full_pace_shares.retain(|task, _| running.iter().any(|run| run.task == *task));
        }
        // Traits are received before their task is listed as running, so they are pruned only once
        // they far outnumber the running tasks.
        if self.traits.len() > 4 * running.len() + 64 {
            self.traits.retain(|task, _| running.iter().any(|run| run.task == *task));
        }
    }

    /// Highest ratio of a tail to its target.
    fn max_tail_to_target(&self, running: &[RunningTask]) -> f64 {
        running
            .iter()
            .filter_map(|run| {
                let target_ms = self.traits.get(&run.task)?.target_tail_ms?;
                Some(run.gauge as f64 / target_ms.max(1) as f64)
            })
            .fold(0.0, f64::max)
    }

    /// Starts a pause when a tail has been over its target for too long; ends it on expiry or once
    /// no tail is over its target.
    fn update_pause(&mut self, now: Instant) {
        if let Some(until) = self.paused_until {
            if self.tail_to_target <= 1.0 || now >= until {
                self.paused_until = None;
                self.over_target_since = None;
            }
            return;
        }
        if self.tail_to_target <= 1.0 {
            self.over_target_since = None;
            return;
        }
        let since = *self.over_target_since.get_or_insert(now);
        if now.duration_since(since) >= self.settings.pause_after {
            self.paused_until = Some(now + self.settings.pause_duration);
        }
    }

    /// Current usage by best-effort image; updates the usage of each task at full pace.
    fn measure_usage(&mut self, running: &[RunningTask], capacity_milli: f64) -> ImageUsage {
        let mut usage = ImageUsage::new();
        for run in running {
            let Some(image) = self.best_effort_image(run) else { continue };
            let used_share = run.gauge as f64 / capacity_milli;
            *usage.entry(image).or_insert(0.0) += used_share;
            let percent = self.current_percent(run);
            if percent >= self.settings.min_percent && used_share > 0.0 {
                let full_pace_share = used_share * f64::from(FULL_PERCENT) / f64::from(percent);
                self.full_pace_shares.insert(run.task.clone(), full_pace_share);
            }
        }
        usage
    }

    /// Relative growth of utilization that best-effort tasks may cause in total, by serving image.
    fn headrooms(
        &mut self,
        running: &[RunningTask],
        usage: &ImageUsage,
    ) -> BTreeMap<ImageName, f64> {
        // The averaging window of the tails still covers part of the previous usage, so the higher
        // of the two usages counts.
        let mut recent_usage = usage.clone();
        for (image, share) in &self.previous_usage {
            let bound = recent_usage.entry(image.clone()).or_insert(*share);
            *bound = bound.max(*share);
        }
        let mut headrooms = BTreeMap::new();
        let mut base_utilizations = HashMap::new();
        for run in running {
            let Some((image, tail)) = self.serving_tail(run) else { continue };
            let newest =
                tail.utilization() / (1.0 + self.estimates.total_growth(&image, &recent_usage));
            let previous = self.base_utilizations.get(&run.task).copied().unwrap_or(newest);
            let smoothed = previous + self.settings.smoothing_factor * (newest - previous);
            let base_utilization = newest.max(smoothed);
            base_utilizations.insert(run.task.clone(), base_utilization);
            let at_setpoint = tail.utilization_at(self.settings.setpoint);
            let headroom = if tail.exceeds_target() {
                0.0
            } else {
                (at_setpoint / base_utilization - 1.0).max(0.0)
            };
            let min_headroom = headrooms.entry(image).or_insert(headroom);
            *min_headroom = headroom.min(*min_headroom);
        }
        self.base_utilizations = base_utilizations;
        headrooms
    }

    fn serving_tail(&self, run: &RunningTask) -> Option<(ImageName, Tail)> {
        let traits = self.traits.get(&run.task)?;
        let target_ms = traits.target_tail_ms.filter(|_| run.gauge > 0)? as f64;
        let image = traits.image.clone().unwrap_or_default();
        let tail_ms = run.gauge as f64;
        let idle_tail_ms = self.estimates.idle_tail_ms(&image, tail_ms);
        Some((image, Tail { tail_ms, idle_tail_ms, target_ms }))
    }

    fn best_effort_image(&self, run: &RunningTask) -> Option<ImageName> {
        let traits = self.traits.get(&run.task).filter(|traits| traits.is_best_effort)?;
        Some(traits.image.clone().unwrap_or_default())
    }

    /// Allocates the headroom of the serving tasks to best-effort tasks.
    fn allocate(&mut self, running: &[RunningTask], mut headrooms: BTreeMap<ImageName, f64>) {
        let mut demands: BTreeMap<ImageName, Vec<PaceDemand<'_>>> = BTreeMap::new();
        for run in running {
            let Some(image) = self.best_effort_image(run) else { continue };
            let full_pace_share = self.full_pace_shares.get(&run.task).copied();
            demands.entry(image).or_default().push(PaceDemand {
                run,
                full_pace_share: full_pace_share.unwrap_or(self.settings.default_share),
                is_unpaused: self.current_percent(run) > 0,
            });
        }
        let mut images: Vec<(ImageName, f64)> = demands
            .keys()
            .map(|image| (image.clone(), self.allowed_share(image, &headrooms)))
            .collect();
        images.sort_by(|(_, left), (_, right)| right.total_cmp(left));
        self.allocated_percents.clear();
        for (image, _) in images {
            let Some(mut tasks) = demands.remove(&image) else { continue };
            tasks.sort_by_key(|demand| {
                (!demand.is_unpaused, FULL_PERCENT.saturating_sub(demand.run.percent))
            });
            let allowed_share = self.allowed_share(&image, &headrooms);
            let mut remaining_share = allowed_share;
            for demand in tasks {
                let pace = (remaining_share / demand.full_pace_share.max(1e-6)).clamp(0.0, 1.0);
                let percent = self.pace_percent(pace);
                remaining_share -=
                    demand.full_pace_share * f64::from(percent) / f64::from(FULL_PERCENT);
                self.allocated_percents.insert(demand.run.task.clone(), percent);
            }
            // An image with an infinite share interferes with no serving image and uses up no
            // headroom.
            if allowed_share.is_finite() {
                for (serving, headroom) in &mut headrooms {
                    *headroom -= self.estimates.utilization_growth(serving, &image)
                        * (allowed_share - remaining_share);
                }
            }
        }
    }

    /// Share of the worker that an image may use; infinite if it interferes with no image here.
    fn allowed_share(&self, image: &str, headrooms: &BTreeMap<ImageName, f64>) -> f64 {
        headrooms
            .iter()
            .map(|(serving, headroom)| {
                (self.estimates.utilization_growth(serving, image), headroom)
            })
            .filter(|(growth, _)| *growth > 0.0)
            .map(|(growth, headroom)| headroom.max(0.0) / growth)
            .fold(f64::INFINITY, f64::min)
    }

    fn pace_percent(&self, pace: f64) -> u32 {
        let percent = (pace * f64::from(FULL_PERCENT)) as u32;
        if percent < self.settings.min_percent { 0 } else { percent }
    }
}
