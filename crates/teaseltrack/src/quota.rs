//! Request quotas: a token bucket per team.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::ids::TeamName;

/// Token bucket with a constant refill rate and a maximum of `burst` tokens.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate_per_s: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(rate_per_s: f64, burst: f64, now: Instant) -> Self {
        Self { rate_per_s, burst, tokens: burst, refilled_at: now }
    }

    /// Takes tokens if the bucket contains enough of them.
    ///
    /// # Errors
    ///
    /// The time until the bucket contains enough, at most an hour.
    pub fn take(&mut self, tokens: f64, now: Instant) -> Result<(), Duration> {
        self.refill(now);
        if self.tokens >= tokens {
            self.tokens -= tokens;
            return Ok(());
        }
        let deficit = tokens - self.tokens;
        Err(Duration::from_secs_f64((deficit / self.rate_per_s.max(1e-6)).min(3_600.0)))
    }

    fn refill(&mut self, now: Instant) {
        let elapsed_s = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed_s * self.rate_per_s).min(self.burst);
    }
}

/// Fleet-wide quota of a team.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Sustained requests per second.
    pub rate_per_s: f64,
    /// Maximum burst, in requests.
    pub burst: f64,
}

/// Quotas of all teams at one entry.
///
/// Each entry enforces an equal part of a quota. When the quota or the number of entries changes,
/// the team gets a new bucket, which is full.
#[derive(Debug, Default)]
pub struct Quotas {
    buckets: BTreeMap<TeamName, (Quota, TokenBucket)>,
}

impl Quotas {
    /// Charges one request of the team to this entry's part of the quota, `1 / entry_count`.
    ///
    /// # Errors
    ///
    /// The time until the team's next request is within the quota.
    pub fn take(
        &mut self,
        team: &str,
        quota: Quota,
        entry_count: u32,
        now: Instant,
    ) -> Result<(), Duration> {
        let entry_count = f64::from(entry_count.max(1));
        let part = Quota {
            rate_per_s: quota.rate_per_s / entry_count,
            burst: (quota.burst / entry_count).max(1.0),
        };
        if let Some((enforced, bucket)) = self.buckets.get_mut(team)
            && *enforced == part
        {
            return bucket.take(1.0, now);
        }
        let mut bucket = TokenBucket::new(part.rate_per_s, part.burst, now);
        let result = bucket.take(1.0, now);
        self.buckets.insert(team.to_owned(), (part, bucket));
        result
    }
}
