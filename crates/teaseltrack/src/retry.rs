//! Whether and when a failed attempt is made again.
//!
//! Work that isn't idempotent is sent again only after a proved `NotRun`. Retries are paid for by a
//! share of the first attempts, and neither a back-off nor a retry ever goes past the deadline.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::outcome::{ErrorKind, Outcome};

/// Retries that each first attempt pays for.
const DEPOSIT_PER_ATTEMPT: f64 = 0.1;
/// Retries that may be saved up.
const MAX_BALANCE: f64 = 20.0;
/// Attempts of one request, the first included.
pub const MAX_ATTEMPTS: u32 = 4;
/// Shortest back-off.
const MIN_BACKOFF: Duration = Duration::from_millis(2);
/// Longest back-off.
const MAX_BACKOFF: Duration = Duration::from_millis(100);

/// Retries that may be made, as a share of first attempts.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    balance: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { balance: MAX_BALANCE }
    }
}

impl RetryBudget {
    /// Counts one first attempt.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + DEPOSIT_PER_ATTEMPT).min(MAX_BALANCE);
    }

    /// Pays for one retry; false if the budget is used up.
    pub fn withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}

/// Jittered waits that double from a least to a longest one.
#[derive(Clone, Debug)]
pub struct Backoff {
    min: Duration,
    max: Duration,
    failures: u32,
}

impl Backoff {
    /// Waits between `min` and `max`.
    pub fn new(min: Duration, max: Duration) -> Self {
        Self { min, max, failures: 0 }
    }

    /// The wait after one more failure.
    pub fn after_failure(&mut self, rng: &mut impl Rng) -> Duration {
        self.failures = self.failures.saturating_add(1);
        let ceiling = self.min.saturating_mul(1 << self.failures.min(16)).min(self.max);
        rng.random_range(self.min..=ceiling.max(self.min))
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}

/// A failed attempt.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// How it failed.
    pub kind: ErrorKind,
    /// Attempts made so far.
    pub attempts: u32,
    /// Whether running the request twice does no harm.
    pub is_idempotent: bool,
    /// Whether the caller got part of an answer.
    pub is_response_started: bool,
    /// Time until the caller's deadline.
    pub remaining: Duration,
}

/// Whether the attempt may be made again, leaving the budget aside.
pub fn is_retry_allowed(failed: &FailedAttempt) -> bool {
    let is_safe = failed.kind.outcome() == Outcome::NotRun || failed.is_idempotent;
    failed.kind.rule().is_retryable
        && is_safe
        && !failed.is_response_started
        && failed.attempts < MAX_ATTEMPTS
        && failed.remaining > MIN_BACKOFF
}

/// The jittered wait before the next attempt, or `None` if there is to be none.
pub fn backoff_before_retry(
    failed: &FailedAttempt,
    budget: &mut RetryBudget,
    rng: &mut impl Rng,
) -> Option<Duration> {
    if !is_retry_allowed(failed) || !budget.withdraw() {
        return None;
    }
    let failures = failed.attempts.saturating_sub(1);
    let mut backoff = Backoff { min: MIN_BACKOFF, max: MAX_BACKOFF, failures };
    Some(backoff.after_failure(rng).min(failed.remaining / 2))
}
