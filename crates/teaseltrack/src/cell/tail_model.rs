//! Model of the interference of best-effort tasks with a serving task's tail latency.
//!
//! A serving task is modelled as a queue: with the idle tail `t` and the utilization `q`, its tail
//! is `t / (1 - q)`. A best-effort image slows its work, so that the utilization is multiplied by
//! 1 + `growth` * `share`, where `share` is the share of the worker that the image uses and
//! `growth` is specific to the pair of images. The same interference therefore lengthens the tail
//! far more near peak load than near idle.

use serde::{Deserialize, Serialize};

/// Minimum utilization; tails are too noisy to distinguish lower values from an idle task.
const MIN_UTILIZATION: f64 = 0.1;
/// Maximum utilization; longer tails don't show how far the task is overloaded.
const MAX_UTILIZATION: f64 = 0.98;

/// Utilization from which a task counts as saturated: its tail no longer shows by how much.
pub const SATURATED_UTILIZATION: f64 = 0.95;
/// Relative noise of a tail without best-effort tasks.
const TAIL_NOISE: f64 = 0.06;
/// Rounding error of tails, which are reported in whole milliseconds.
const TAIL_ROUNDING_MS: f64 = 0.5;

/// Tail latency of a serving task with its bounds, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tail {
    /// Current tail.
    pub tail_ms: f64,
    /// Tail of an idle task of the same image.
    #[serde(rename = "floor_ms")]
    pub idle_tail_ms: f64,
    /// Target below which the tail must stay.
    pub target_ms: f64,
}

impl Tail {
    /// Utilization that corresponds to the tail.
    pub fn utilization(&self) -> f64 {
        utilization(self.idle_tail_ms, self.tail_ms)
    }

    /// Utilization that corresponds to a tail at the given share of the target.
    pub fn utilization_at(&self, target_share: f64) -> f64 {
        utilization(self.idle_tail_ms, target_share * self.target_ms)
    }

    /// Whether the tail is over its target.
    pub fn exceeds_target(&self) -> bool {
        self.tail_ms > self.target_ms
    }
}

/// Utilization that corresponds to a tail, given the idle tail.
pub fn utilization(idle_tail_ms: f64, tail_ms: f64) -> f64 {
    (1.0 - idle_tail_ms / tail_ms.max(1e-3)).clamp(MIN_UTILIZATION, MAX_UTILIZATION)
}

/// Standard deviation of a utilization derived from a tail.
pub fn utilization_noise(utilization: f64, tail_ms: f64) -> f64 {
    (1.0 - utilization) * TAIL_NOISE.hypot(TAIL_ROUNDING_MS / tail_ms)
}
