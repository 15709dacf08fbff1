//! Quotas by team: a token bucket each.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::ids::TeamName;

/// Tokens that refill at a rate, up to a burst.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate_per_s: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(rate_per_s: f64, burst: f64, now: Instant) -> Self {
        Self { rate_per_s, burst, tokens: burst, refilled_at: now }
    }

    /// Takes the tokens, or says how long until they are there.
    ///
    /// # Errors
    ///
    /// The wait until the bucket holds enough.
    pub fn take(&mut self, tokens: f64, now: Instant) -> Result<(), Duration> {
        self.refill(now);
        if self.tokens >= tokens {
            self.tokens -= tokens;
            return Ok(());
        }
        let missing = tokens - self.tokens;
        Err(Duration::from_secs_f64((missing / self.rate_per_s.max(1e-6)).min(3_600.0)))
    }

    fn refill(&mut self, now: Instant) {
        let elapsed_s = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed_s * self.rate_per_s).min(self.burst);
    }
}

/// Quota of a team over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Requests a second.
    pub rate_per_s: f64,
    /// Requests that may come at once.
    pub burst: f64,
}

/// Quotas of all teams at one entry, which enforces its share of each.
#[derive(Debug, Default)]
pub struct Quotas {
    buckets: BTreeMap<TeamName, (Quota, TokenBucket)>,
}

impl Quotas {
    /// Counts one request of the team against its share `1 / entries` of the quota.
    ///
    /// # Errors
    ///
    /// The wait until the team may send again.
    pub fn take(
        &mut self,
        team: &str,
        quota: Quota,
        entries: u32,
        now: Instant,
    ) -> Result<(), Duration> {
        let entries = f64::from(entries.max(1));
        let share = Quota {
            rate_per_s: quota.rate_per_s / entries,
            burst: (quota.burst / entries).max(1.0),
        };
        if let Some((held, bucket)) = self.buckets.get_mut(team)
            && *held == share
        {
            return bucket.take(1.0, now);
        }
        let mut bucket = TokenBucket::new(share.rate_per_s, share.burst, now);
        let result = bucket.take(1.0, now);
        self.buckets.insert(team.to_owned(), (share, bucket));
        result
    }
}
