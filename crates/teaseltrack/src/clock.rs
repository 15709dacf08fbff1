//! Clock abstraction.
//!
//! Decision functions take the time as an argument; code that reads the time uses a [`Clock`].

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Source of the time.
pub trait Clock: Send + Sync {
    /// Monotonic time.
    fn now(&self) -> Instant;
    /// Wall-clock time, for timestamps in records and logs only.
    fn wall_now(&self) -> SystemTime;
}

/// Clock shared between the tasks of a process.
pub type SharedClock = Arc<dyn Clock>;

/// Operating system clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall_now(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Manually advanced clock, for tests and simulations.
#[derive(Debug)]
pub struct ManualClock {
    start: Instant,
    elapsed: Mutex<Duration>,
}

impl ManualClock {
    /// Creates a clock that is stopped at the given instant.
    pub fn new(start: Instant) -> Self {
        Self { start, elapsed: Mutex::new(Duration::ZERO) }
    }

    /// Advances the clock.
    pub fn advance(&self, step: Duration) {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner) += step;
    }

    fn elapsed(&self) -> Duration {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + self.elapsed()
    }

    fn wall_now(&self) -> SystemTime {
        UNIX_EPOCH + self.elapsed()
    }
}

/// Milliseconds since the Unix epoch; 0 for a time before the epoch.
pub fn unix_ms(time: SystemTime) -> u64 {
    time.duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
