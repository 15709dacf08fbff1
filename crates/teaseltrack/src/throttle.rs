//! The local reflex that slows batch work down when a service's tail drifts.
//!
//! The agent compares the service's smoothed latency with its remembered minimum. Above a ratio the
//! share of batch work is halved, below it the share recovers step by step. It acts within one period,
//! long before placement learns anything.

/// Latency over its minimum above which batch work slows down.
const DRIFT_RATIO: f64 = 1.5;
/// Factor by which the share shrinks.
const DECREASE_RATIO: f64 = 0.5;
/// Step by which the share recovers.
const INCREASE_STEP: f64 = 0.1;
/// Least share, so that batch work never starves altogether.
const MIN_SHARE: f64 = 0.1;
/// Least change that is worth a message to the worker.
const MIN_CHANGE: f64 = 0.01;

/// Share of its full speed at which batch work runs.
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
    /// The present share, 0 to 1.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Takes in the latency over its minimum; the new share, if it changed.
    pub fn record(&mut self, latency_ratio: f64) -> Option<f64> {
        let next = if latency_ratio > DRIFT_RATIO {
            (self.share * DECREASE_RATIO).max(MIN_SHARE)
        } else {
            (self.share + INCREASE_STEP).min(1.0)
        };
        if (next - self.share).abs() < MIN_CHANGE {
            return None;
        }
        self.share = next;
        Some(next)
    }
}
