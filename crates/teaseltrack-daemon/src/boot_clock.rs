//! A clock that goes on while the machine is suspended.
//!
//! `Instant` stands still during a suspension. Whoever bounds a promise to others by time must not
//! take that time for short.

use std::time::{Duration, Instant, SystemTime};

use nix::time::{ClockId, clock_gettime};
use teaseltrack::clock::Clock;

/// Monotonic time including suspensions, as an `Instant` that runs ahead by their length.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    lead_at_start: Duration,
}

impl BootClock {
    /// Suspensions before this call don't count.
    pub fn new() -> Self {
        Self { lead_at_start: lead() }
    }
}

impl Default for BootClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for BootClock {
    fn now(&self) -> Instant {
        Instant::now() + lead().saturating_sub(self.lead_at_start)
    }

    fn wall_now(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// How far the clock that counts suspensions is ahead of the one that doesn't; zero where the
/// system has no such clock.
fn lead() -> Duration {
    let time = |clock| clock_gettime(clock).map(Duration::from);
    match (time(ClockId::CLOCK_BOOTTIME), time(ClockId::CLOCK_MONOTONIC)) {
        (Ok(boot), Ok(monotonic)) => boot.saturating_sub(monotonic),
        _ => Duration::ZERO,
    }
}
