//! How best-effort tasks lengthen a serving task's tail.
//!
//! A serving task is taken for a queue: with the tail `floor` when it idles and the utilization `q`,
//! its tail is `floor / (1 - q)`. A best-effort image slows its work, so that the utilization grows
//! by a factor of one and the image's effect times the share of the worker that it uses. A task
//! near its load's peak therefore suffers far more than an idle one.

use serde::{Deserialize, Serialize};

/// Least utilization that is told from an idle task; tails are rough figures.
const LEAST_UTILIZATION: f64 = 0.1;
/// Highest utilization: beyond it a tail says nothing about how far the task is overloaded.
const MOST_UTILIZATION: f64 = 0.98;

/// Utilization from which on a task is swamped: it can't tell by how much.
pub const SATURATED_UTILIZATION: f64 = 0.95;
/// Noise of a tail, as a share, on traced days without best-effort work.
const TAIL_NOISE: f64 = 0.06;
/// Tails come in whole milliseconds.
const TAIL_RESOLUTION_MS: f64 = 0.5;

/// A serving task's tail against its bounds, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tail {
    /// The tail.
    pub tail_ms: f64,
    /// Tail of an idle task of the image.
    #[serde(rename = "floor_ms")]
    pub idle_tail_ms: f64,
    /// Tail that it must stay below.
    pub target_ms: f64,
}

impl Tail {
    /// Utilization that the tail stands for.
    pub fn utilization(&self) -> f64 {
        utilization(self.idle_tail_ms, self.tail_ms)
    }

    /// Utilization at a share of the target.
    pub fn utilization_at(&self, share_of_target: f64) -> f64 {
        utilization(self.idle_tail_ms, share_of_target * self.target_ms)
    }

    /// Whether the tail is over its target.
    pub fn exceeds_target(&self) -> bool {
        self.tail_ms > self.target_ms
    }
}

/// Utilization at which a task of the floor has the tail.
pub fn utilization(idle_tail_ms: f64, tail_ms: f64) -> f64 {
    (1.0 - idle_tail_ms / tail_ms.max(1e-3)).clamp(LEAST_UTILIZATION, MOST_UTILIZATION)
}

/// Noise of a utilization that comes from a tail.
pub fn utilization_noise(utilization: f64, tail_ms: f64) -> f64 {
    (1.0 - utilization) * TAIL_NOISE.hypot(TAIL_RESOLUTION_MS / tail_ms)
}
