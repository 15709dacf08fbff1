//! Adaptive concurrency limit based on latency.
//!
//! The limit follows additive increase, multiplicative decrease (AIMD) within `1..=slots`: it grows
//! by one per `limit` responses of acceptable latency, and shrinks by a tenth, at most once per
//! `limit` responses, while the smoothed latency exceeds a multiple of its baseline. The baseline
//! is the minimum of the smoothed latency and drifts upwards slowly, so that it adapts to a target
//! that has become slower for good.

use std::time::Duration;

/// Weight of one sample in the exponentially smoothed latency.
const LATENCY_GAIN: f64 = 0.1;
/// Fraction of the gap to the smoothed latency by which the baseline rises per sample.
const BASELINE_DRIFT: f64 = 0.001;
/// Ratio of smoothed latency to baseline above which the limit shrinks.
const TOLERANCE_RATIO: f64 = 3.0;
/// Factor by which the limit shrinks.
const DECREASE_RATIO: f64 = 0.9;

/// Limit on concurrent requests, between 1 and the number of slots.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    slots: u32,
    limit: f64,
    latency_ms: Option<f64>,
    baseline_ms: f64,
    samples_until_decrease: u32,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at the number of slots.
    pub fn new(slots: u32) -> Self {
        let slots = slots.max(1);
        Self {
            slots,
            limit: f64::from(slots),
            latency_ms: None,
            baseline_ms: f64::INFINITY,
            samples_until_decrease: 0,
        }
    }

    /// Current limit.
    pub fn current(&self) -> u32 {
        (self.limit as u32).clamp(1, self.slots)
    }

    /// Smoothed service latency; `None` before the first sample.
    pub fn latency(&self) -> Option<Duration> {
        self.latency_ms.map(|ms| Duration::from_secs_f64(ms / 1_000.0))
    }

    /// Ratio of the smoothed latency to its baseline; 1 before the first sample.
    pub fn latency_ratio(&self) -> f64 {
        match self.latency_ms {
            Some(latency_ms) if self.baseline_ms > 0.0 => latency_ms / self.baseline_ms,
            _ => 1.0,
        }
    }

    /// Records the latency of one completed request and adjusts the limit.
    pub fn record(&mut self, latency: Duration) {
        let sample_ms = latency.as_secs_f64() * 1_000.0;
        let smoothed_ms = match self.latency_ms {
            None => sample_ms,
            Some(previous_ms) => previous_ms + LATENCY_GAIN * (sample_ms - previous_ms),
        };
        self.latency_ms = Some(smoothed_ms);
        self.baseline_ms = self.baseline_ms.min(smoothed_ms);
        self.baseline_ms += BASELINE_DRIFT * (smoothed_ms - self.baseline_ms);
        self.adjust(smoothed_ms);
    }

    fn adjust(&mut self, smoothed_ms: f64) {
        self.samples_until_decrease = self.samples_until_decrease.saturating_sub(1);
        if smoothed_ms <= self.baseline_ms * TOLERANCE_RATIO {
            self.limit = (self.limit + 1.0 / self.limit).min(f64::from(self.slots));
            return;
        }
        if self.samples_until_decrease == 0 {
            self.limit = (self.limit * DECREASE_RATIO).max(1.0);
            self.samples_until_decrease = self.current();
        }
    }
}
