//! Monotonic clock that keeps running while the machine is suspended.
//!
//! `Instant` doesn't advance during a suspension. A process that measured its lease by it would,
//! after a suspension, treat the lease as valid although it has expired for all other processes.

use std::time::{Duration, Instant, SystemTime};

use nix::time::{ClockId, clock_gettime};
use teaseltrack::clock::Clock;

/// Monotonic clock including suspended time: returns `Instant::now()` advanced by the time
/// suspended since the clock was created.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    suspended_at_start: Duration,
}

impl BootClock {
    /// Creates a clock; suspensions before this call aren't included.
    pub fn new() -> Self {
        Self { suspended_at_start: suspended_time() }
    }
}

impl Default for BootClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for BootClock {
    fn now(&self) -> Instant {
        Instant::now() + suspended_time().saturating_sub(self.suspended_at_start)
    }

    fn wall_now(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Total time suspended since boot: `CLOCK_BOOTTIME` minus `CLOCK_MONOTONIC`; zero where the system
/// doesn't provide both clocks.
fn suspended_time() -> Duration {
    let read = |clock| clock_gettime(clock).map(Duration::from);
    match (read(ClockId::CLOCK_BOOTTIME), read(ClockId::CLOCK_MONOTONIC)) {
        (Ok(boot), Ok(monotonic)) => boot.saturating_sub(monotonic),
        _ => Duration::ZERO,
    }
}
