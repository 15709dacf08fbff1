//! Tests of the measure of loss, against known results of scheduling theory.

use std::time::{Duration, Instant};

use proptest::prelude::{Just, Strategy, prop, proptest};
use teaseltrack::cell::{
    job::Queue,
    loss::{LossCurve, Outlook, RemainingWork, job_value, objective},
};
use yare::parameterized;

mod util;

fn curve(now: Instant, on_time_ms: u64, worthless_ms: u64) -> LossCurve {
    LossCurve {
        value: 2.0,
        on_time_until: now + Duration::from_millis(on_time_ms),
        worthless_after: now + Duration::from_millis(worthless_ms),
    }
}

fn work(path_ms: u64, core_s: f64) -> RemainingWork {
    RemainingWork { critical_path: Duration::from_millis(path_ms), core_s }
}

#[parameterized(
    on_time = { 1_000, 0.0, Outlook::OnTime },
    just_late = { 1_001, 1.5, Outlook::Late },
    halfway = { 2_000, 1.75, Outlook::Late },
    long_overdue = { 3_000, 2.0, Outlook::LongOverdue },
)]
fn loss_at_rises_after_the_objective(completion_ms: u64, expected: f64, outlook: Outlook) {
    let now = Instant::now();
    let curve = curve(now, 1_000, 3_000);
    let completion = now + Duration::from_millis(completion_ms);
    assert!((curve.loss_at(completion) - expected).abs() < 0.001);
    assert_eq!(curve.outlook(completion), outlook);
}

#[test]
fn objective_adds_the_stretched_path() {
    let queue = Queue { stretch: 1.5, objective_ms: 250, ..Queue::default() };
    assert_eq!(objective(&queue, Duration::from_secs(1)), Duration::from_millis(1_750));
}

#[test]
fn job_value_grows_with_priority_and_less_than_work() {
    assert!(job_value(0, 1.0) > job_value(1, 1.0));
    assert!(job_value(1, 4.0) > job_value(1, 1.0));
    assert!(job_value(1, 4.0) / 4.0 < job_value(1, 1.0));
}

/// Slack-based feasibility: a job is on time as long as its remaining path fits before its
/// objective, on the worker at hand.
#[parameterized(
    fits = { 1.0, 500, true },
    fits_exactly = { 1.0, 1_000, true },
    too_long = { 1.0, 1_001, false },
    slow_worker = { 2.0, 600, false },
)]
fn slack_is_left_while_the_path_fits(slowdown: f64, path_ms: u64, is_on_time: bool) {
    let now = Instant::now();
    let curve = curve(now, 1_000, 3_000);
    let remaining = work(path_ms, 1.0).slowed(slowdown);
    let outlook = curve.outlook(now + remaining.critical_path);
    assert_eq!(outlook == Outlook::OnTime, is_on_time);
    let slack = Duration::from_millis(1_000).saturating_sub(remaining.critical_path);
    assert_eq!(curve.slack(remaining, now), slack);
}

#[test]
fn avoidable_loss_of_a_job_past_any_gain_is_zero() {
    let now = Instant::now();
    let avoidable = curve(now, 100, 300).avoidable_loss_per_core_s(work(400, 1.0), now);
    assert!(avoidable.abs() < f64::EPSILON);
}

fn permutations() -> impl Strategy<Value = (Vec<(f64, u64)>, Vec<usize>)> {
    prop::collection::vec((0.1..10.0_f64, 1..20_u64), 2..7).prop_flat_map(|jobs| {
        let order: Vec<usize> = (0..jobs.len()).collect();
        (Just(jobs), Just(order).prop_shuffle())
    })
}

/// Smith's rule: for jobs that lose value at a constant rate on one worker, no order loses less than
/// that by loss per remaining work.
#[test]
fn avoidable_loss_orders_late_jobs_by_smiths_rule() {
    let now = Instant::now();
    let loss_of = |jobs: &[(f64, u64)], order: &[usize]| -> f64 {
        let mut end = now;
        let mut loss = 0.0;
        for &index in order {
            let (value, work_s) = jobs[index];
            end += Duration::from_secs(work_s);
            let worthless_after = now + Duration::from_secs(10_000);
            loss += LossCurve { value, on_time_until: now, worthless_after }.loss_at(end);
        }
        loss
    };
    proptest!(util::config(200), |((jobs, other) in permutations())| {
        let mut order: Vec<usize> = (0..jobs.len()).collect();
        order.sort_by(|&a, &b| {
            let density = |index: usize| {
                let (value, work_s) = jobs[index];
                let worthless_after = now + Duration::from_secs(1_000_000_000);
                let curve = LossCurve { value, on_time_until: now, worthless_after };
                curve.avoidable_loss_per_core_s(work(work_s * 1_000, work_s as f64), now)
            };
            density(b).total_cmp(&density(a))
        });
        assert!(loss_of(&jobs, &order) <= loss_of(&jobs, &other) + 1e-6);
    });
}

/// Guards against an owner that panics on times that can't be represented.
#[test]
fn objective_of_an_endless_path_is_bounded() {
    let queue = Queue { stretch: 1e300, objective_ms: u64::MAX, ..Queue::default() };
    let bounded = objective(&queue, Duration::MAX);
    assert!(Instant::now().checked_add(bounded * 3).is_some());
}
