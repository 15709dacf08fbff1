//! A concurrency limit that follows measured latency.
//!
//! The limit grows by one per limit's worth of good answers and shrinks by a tenth when the smoothed
//! latency exceeds a multiple of its own slowly forgotten minimum. It never leaves `1..=slots`.

use std::time::Duration;

/// Weight of one sample in the smoothed latency.
const LATENCY_GAIN: f64 = 0.1;
/// Share by which the remembered minimum rises towards the smoothed latency, per sample.
const MINIMUM_DRIFT: f64 = 0.001;
/// Smoothed latency over minimum at which the limit shrinks.
const TOLERANCE_RATIO: f64 = 3.0;
/// Factor by which the limit shrinks.
const DECREASE_RATIO: f64 = 0.9;

/// Limit on concurrent requests, between 1 and the target's slots.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    slots: u32,
    limit: f64,
    latency_ms: Option<f64>,
    minimum_ms: f64,
    samples_until_decrease: u32,
}

impl ConcurrencyLimit {
    /// Starts at the full number of slots.
    pub fn new(slots: u32) -> Self {
        let slots = slots.max(1);
        Self {
            slots,
            limit: f64::from(slots),
            latency_ms: None,
            minimum_ms: f64::INFINITY,
            samples_until_decrease: 0,
        }
    }

    /// Requests that may run at once.
    pub fn current(&self) -> u32 {
        (self.limit as u32).clamp(1, self.slots)
    }

    /// Smoothed service latency, if one was measured.
    pub fn latency(&self) -> Option<Duration> {
        self.latency_ms.map(|ms| Duration::from_secs_f64(ms / 1_000.0))
    }

    /// Smoothed latency over its remembered minimum; 1 before the first measurement.
    pub fn latency_ratio(&self) -> f64 {
        match self.latency_ms {
            Some(latency_ms) if self.minimum_ms > 0.0 => latency_ms / self.minimum_ms,
            _ => 1.0,
        }
    }

    /// Takes in the latency of one finished request.
    pub fn record(&mut self, latency: Duration) {
        let sample_ms = latency.as_secs_f64() * 1_000.0;
        let smoothed_ms = match self.latency_ms {
            None => sample_ms,
            Some(previous_ms) => previous_ms + LATENCY_GAIN * (sample_ms - previous_ms),
        };
        self.latency_ms = Some(smoothed_ms);
        self.minimum_ms = self.minimum_ms.min(smoothed_ms);
        self.minimum_ms += MINIMUM_DRIFT * (smoothed_ms - self.minimum_ms);
        self.adjust(smoothed_ms);
    }

    fn adjust(&mut self, smoothed_ms: f64) {
        self.samples_until_decrease = self.samples_until_decrease.saturating_sub(1);
        if smoothed_ms <= self.minimum_ms * TOLERANCE_RATIO {
            self.limit = (self.limit + 1.0 / self.limit).min(f64::from(self.slots));
            return;
        }
        if self.samples_until_decrease == 0 {
            self.limit = (self.limit * DECREASE_RATIO).max(1.0);
            self.samples_until_decrease = self.current();
        }
    }
}
