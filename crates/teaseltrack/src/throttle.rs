//! Throttling of batch work on an instance whose service latency rises.
//!
//! The agent compares the smoothed latency of the service with its baseline. While the ratio is
//! above a threshold the speed of batch work is halved each period; otherwise it recovers in fixed
//! steps. Throttling is local to the agent and takes effect within one period, earlier than
//! placement can react.

/// Ratio of latency to baseline above which batch work is slowed down.
const MAX_LATENCY_RATIO: f64 = 1.5;
/// Factor applied to the share while the latency is too high.
const DECREASE_RATIO: f64 = 0.5;
/// Amount added to the share while the latency is acceptable.
const INCREASE_STEP: f64 = 0.1;
/// Minimum share, which keeps batch work from starving.
const MIN_SHARE: f64 = 0.1;
/// Smallest change of the share that is sent to the worker.
const MIN_SHARE_CHANGE: f64 = 0.01;

/// Fraction of full speed at which batch work runs.
#[derive(Clone, Debug)]
pub struct Throttle {
    share: f64,
}

impl Default for Throttle {
    fn default() -> Self {
        Self { share: 1.0 }
    }
}

impl Throttle {
    /// Current share, from 0 to 1.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Records the ratio of latency to baseline; returns the share if it changed.
    pub fn record(&mut self, latency_ratio: f64) -> Option<f64> {
        let next = if latency_ratio > MAX_LATENCY_RATIO {
            (self.share * DECREASE_RATIO).max(MIN_SHARE)
        } else {
            (self.share + INCREASE_STEP).min(1.0)
        };
        if (next - self.share).abs() < MIN_SHARE_CHANGE {
            return None;
        }
        self.share = next;
        Some(next)
    }
}
