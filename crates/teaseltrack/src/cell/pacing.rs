//! Pacing of best-effort tasks beside tasks that serve.
//!
//! An agent sees the tail latency of serving tasks twice a second and slows the best-effort tasks
//! of its worker before a tail has been over its target for long. It needs nobody's word for that.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::{
    cell::protocol::{RunningTask, SharingTraits, TaskName},
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
    /// Time over the target after which best-effort tasks are paused altogether.
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

/// Paces the best-effort tasks of one worker.
#[derive(Debug)]
pub struct Pacer {
    settings: PacingSettings,
    traits: HashMap<TaskName, SharingTraits>,
    set: HashMap<TaskName, (AttemptNumber, u32)>,
    percent: u32,
    pressure: f64,
    changed_at: Option<Instant>,
    over_since: Option<Instant>,
}

impl Pacer {
    /// No tasks yet.
    pub fn new(settings: PacingSettings) -> Self {
        Self {
            settings,
            traits: HashMap::new(),
            set: HashMap::new(),
            percent: FULL_PERCENT,
            pressure: 0.0,
            changed_at: None,
            over_since: None,
        }
    }

    /// Learns how a task shares the worker.
    pub fn learn(&mut self, traits: SharingTraits) {
        self.traits.insert(traits.task.clone(), traits);
    }

    /// The pace in force, in percent.
    pub fn percent(&self) -> u32 {
        self.percent
    }

    /// Tail latency of the worst-off serving task as a share of its target, as last seen.
    pub fn pressure(&self) -> f64 {
        self.pressure
    }

    /// Takes in what the worker runs; returns the paces to set.
    pub fn observe(&mut self, running: &[RunningTask], now: Instant) -> Vec<PaceChange> {
        self.forget_ended(running);
        self.pressure = self.highest_pressure(running);
        self.adapt(self.pressure, now);
        let mut changes = Vec::new();
        for run in running {
            if !self.traits.get(&run.task).is_some_and(|traits| traits.is_best_effort) {
                continue;
            }
            let known = self.set.get(&run.task).filter(|(attempt, _)| *attempt == run.attempt);
            if known.map_or(FULL_PERCENT, |(_, percent)| *percent) != self.percent {
                changes.push(PaceChange {
                    task: run.task.clone(),
                    attempt: run.attempt,
                    percent: self.percent,
                });
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

    /// Highest share of its target that a serving task's tail takes.
    fn highest_pressure(&self, running: &[RunningTask]) -> f64 {
        running
            .iter()
            .filter_map(|run| {
                let target_ms = self.traits.get(&run.task)?.target_tail_ms?;
                Some(run.gauge as f64 / target_ms.max(1) as f64)
            })
            .fold(0.0, f64::max)
    }

    fn adapt(&mut self, pressure: f64, now: Instant) {
        if pressure <= 1.0 {
            self.over_since = None;
        } else if self.over_since.is_none() {
            self.over_since = Some(now);
        }
        if self.over_since.is_some_and(|since| now - since >= self.settings.pause_after) {
            self.percent = 0;
            return;
        }
        if self.changed_at.is_some_and(|at| now - at < self.settings.settle) {
            return;
        }
        let wanted = if pressure >= self.settings.slow_at {
            let slowed = (f64::from(self.percent) * self.settings.slow_factor) as u32;
            if slowed < self.settings.least_percent { 0 } else { slowed }
        } else if pressure < self.settings.quicken_below {
            (self.percent + self.settings.quicken_step).min(FULL_PERCENT)
        } else {
            self.percent
        };
        if wanted != self.percent {
            self.percent = wanted;
            self.changed_at = Some(now);
        }
    }
}
