//! Tests of retries, quotas, and response rules.

mod util;

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use teaseltrack::{
    outcome::{ErrorKind, Outcome, RESPONSE_RULES},
    quota::{Quota, Quotas},
    retry::{FailedAttempt, MAX_ATTEMPTS, RetryBudget, backoff_before_retry, is_retry_allowed},
};
use yare::parameterized;

fn failed(kind: ErrorKind, is_idempotent: bool) -> FailedAttempt {
    FailedAttempt {
        kind,
        attempts: 1,
        is_idempotent,
        is_response_started: false,
        remaining: Duration::from_secs(1),
    }
}

#[test]
fn response_rules_indexed_by_kind() {
    for (index, rule) in RESPONSE_RULES.iter().enumerate() {
        assert_eq!(rule.kind as usize, index);
        assert_eq!(rule.kind.rule(), rule);
        assert_eq!(ErrorKind::from_name(rule.name), Some(rule.kind));
    }
    let names: BTreeSet<&str> = RESPONSE_RULES.iter().map(|rule| rule.name).collect();
    assert_eq!(names.len(), RESPONSE_RULES.len());
}

#[test]
fn response_rules_unknown_not_retried_unless_idempotent() {
    for rule in &RESPONSE_RULES {
        let is_allowed = is_retry_allowed(&failed(rule.kind, false));
        assert!(!is_allowed || rule.outcome == Outcome::NotRun, "{}", rule.name);
    }
}

#[parameterized(
    refused_by_agent = { ErrorKind::QueueFull, false, true },
    unreachable = { ErrorKind::Unreachable, false, true },
    lost_response = { ErrorKind::AnswerLost, false, false },
    lost_response_idempotent = { ErrorKind::AnswerLost, true, true },
    truncated_idempotent = { ErrorKind::AnswerTruncated, true, true },
    invalid_input = { ErrorKind::InvalidInput, true, false },
    quota = { ErrorKind::QuotaExceeded, true, false },
    deadline_passed = { ErrorKind::DeadlineExceeded, true, false },
)]
fn is_retry_allowed_by_kind(kind: ErrorKind, is_idempotent: bool, is_allowed: bool) {
    assert_eq!(is_retry_allowed(&failed(kind, is_idempotent)), is_allowed);
}

#[test]
fn is_retry_allowed_not_after_response_started() {
    let started =
        FailedAttempt { is_response_started: true, ..failed(ErrorKind::AnswerTruncated, true) };
    assert!(!is_retry_allowed(&started));
}

#[test]
fn is_retry_allowed_up_to_max_attempts() {
    let last = FailedAttempt { attempts: MAX_ATTEMPTS, ..failed(ErrorKind::QueueFull, true) };
    assert!(!is_retry_allowed(&last));
}

#[test]
fn retry_budget_share_of_first_attempts() {
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.deposit();
        retries += u32::from(budget.withdraw());
    }
    assert!((100..=125).contains(&retries), "{retries}");
}

#[test]
fn quotas_divided_between_entries() {
    let start = Instant::now();
    let quota = Quota { rate_per_s: 100.0, burst: 10.0 };
    let mut quotas = Quotas::default();
    let mut admitted = 0;
    for ms in 0..10_000 {
        let now = start + Duration::from_millis(ms);
        admitted += u32::from(quotas.take("a", quota, 2, now).is_ok());
    }
    assert!((495..=510).contains(&admitted), "{admitted}");
}

proptest! {
    #![proptest_config(util::config(256))]

    #[test]
    fn backoff_within_remaining(attempts in 1..MAX_ATTEMPTS, remaining_ms in 0..5_000_u64, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let remaining = Duration::from_millis(remaining_ms);
        let failed =
            FailedAttempt { attempts, remaining, ..failed(ErrorKind::QueueFull, false) };
        let backoff = backoff_before_retry(&failed, &mut RetryBudget::default(), &mut rng);
        prop_assert!(backoff.is_none_or(|backoff| backoff <= remaining / 2));
        prop_assert_eq!(backoff.is_some(), is_retry_allowed(&failed));
    }
}
