//! Retry policy for failed attempts.
//!
//! A request that isn't idempotent is retried only if the outcome is `NotRun`, which guarantees
//! that it didn't run. A budget limits retries to a fraction of the first attempts, so that retries
//! can't amplify an overload. Neither a backoff nor a retry extends past the caller's deadline.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::outcome::{ErrorKind, Outcome};

/// Retries that each first attempt adds to the budget.
const DEPOSIT_PER_ATTEMPT: f64 = 0.1;
/// Maximum balance of the budget, in retries.
const MAX_BALANCE: f64 = 20.0;
/// Maximum attempts per request, including the first.
pub const MAX_ATTEMPTS: u32 = 4;
/// Minimum backoff.
const MIN_BACKOFF: Duration = Duration::from_millis(2);
/// Maximum backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(100);

/// Budget that limits retries and hedges to a fraction of the first attempts.
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
    /// Credits the budget for one first attempt.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + DEPOSIT_PER_ATTEMPT).min(MAX_BALANCE);
    }

    /// Charges one retry or hedge; false if the budget is exhausted.
    pub fn withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}

/// Exponential backoff with jitter.
#[derive(Clone, Debug)]
pub struct Backoff {
    min: Duration,
    max: Duration,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff with delays from `min` to `max`.
    pub fn new(min: Duration, max: Duration) -> Self {
        Self { min, max, failures: 0 }
    }

    /// Records a failure and returns the delay before the next attempt.
    pub fn after_failure(&mut self, rng: &mut impl Rng) -> Duration {
        self.failures = self.failures.saturating_add(1);
        let ceiling = self.min.saturating_mul(1 << self.failures.min(16)).min(self.max);
        rng.random_range(self.min..=ceiling.max(self.min))
    }

    /// Resets the delay after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}

/// A failed attempt.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// Error of the attempt.
    pub kind: ErrorKind,
    /// Attempts made so far, including this one.
    pub attempts: u32,
    /// Whether the request is safe to run more than once.
    pub is_idempotent: bool,
    /// Whether part of a response was already sent to the caller.
    pub is_response_started: bool,
    /// Time until the caller's deadline.
    pub remaining: Duration,
}

/// Whether the request may be retried, regardless of the budget.
pub fn is_retry_allowed(failed: &FailedAttempt) -> bool {
    let is_safe = failed.kind.outcome() == Outcome::NotRun || failed.is_idempotent;
    failed.kind.rule().is_retryable
        && is_safe
        && !failed.is_response_started
        && failed.attempts < MAX_ATTEMPTS
        && failed.remaining > MIN_BACKOFF
}

/// Delay before the next attempt, charged to the budget; `None` if the request isn't retried.
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
