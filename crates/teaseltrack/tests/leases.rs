//! Leases: an observer never finds a lease lapsed while its holder may still work.

mod util;

use std::time::{Duration, Instant};

use proptest::prelude::*;
use teaseltrack::lease::{HeldLease, LeaseWatch};

const TTL: Duration = Duration::from_secs(6);

/// Faults during one step of 100 ms.
#[derive(Clone, Debug)]
struct Step {
    is_store_unavailable: bool,
    is_holder_frozen: bool,
    is_response_lost: bool,
    /// Number of steps until a renewal sent in this step commits.
    delay_steps: usize,
    is_observer_frozen: bool,
}

fn step() -> impl Strategy<Value = Step> {
    // Steps are repeated in runs, which produces outages and freezes longer than the lease.
    (0..100_u8, 0..100_u8, 0..100_u8, 0..8_usize, 0..100_u8).prop_map(
        |(outage, holder, lost, delay, observer)| Step {
            is_store_unavailable: outage < 15,
            is_holder_frozen: holder < 30,
            is_response_lost: lost < 30,
            delay_steps: delay,
            is_observer_frozen: observer < 15,
        },
    )
}

/// A renewal that has been sent and has not committed yet.
struct PendingRenewal {
    sent_at: Instant,
    commit_step: usize,
    version: u64,
    is_response_lost: bool,
}

proptest! {
    #![proptest_config(util::config(500))]

    #[test]
    fn lapse_not_before_holder_deadline(
        runs in prop::collection::vec((step(), 1..60_usize), 1..40),
    ) {
        let start = Instant::now();
        let mut version = 1_u64;
        let mut holder = HeldLease::new(TTL, start);
        let mut holder_version = 1_u64;
        let mut watch = LeaseWatch::new(version, start);
        let mut pending: Option<PendingRenewal> = None;
        let steps = runs.into_iter().flat_map(|(step, times)| std::iter::repeat_n(step, times));
        for (number, step) in steps.enumerate() {
            let now = start + Duration::from_millis(100) * number as u32;
            if !step.is_holder_frozen && pending.is_none() {
                let commit_step = number + step.delay_steps;
                let is_response_lost = step.is_response_lost;
                pending = Some(PendingRenewal { sent_at: now, commit_step, version: holder_version, is_response_lost });
            }
            if let Some(renewal) = pending.take_if(|renewal| renewal.commit_step <= number) {
                let is_committed = !step.is_store_unavailable && renewal.version == version;
                if is_committed {
                    version += 1;
                    if !renewal.is_response_lost {
                        holder.renew(renewal.sent_at);
                    }
                    // After a lost response the holder reads the row: it learns the version, but
                    // does not extend the lease.
                    holder_version = version;
                }
            }
            if !step.is_store_unavailable && !step.is_observer_frozen && number % 10 == 0 {
                watch.observe(version, now);
                if watch.is_lapsed(TTL) {
                    prop_assert!(!holder.is_valid(now), "lapsed while the holder may still work");
                }
            }
        }
    }
}

#[test]
fn lapse_after_holder_stops_renewing() {
    let start = Instant::now();
    let mut watch = LeaseWatch::new(1, start);
    let mut lapsed_after = None;
    for second in 1..30 {
        watch.observe(1, start + Duration::from_secs(second));
        if watch.is_lapsed(TTL) && lapsed_after.is_none() {
            lapsed_after = Some(second);
        }
    }
    assert_eq!(lapsed_after, Some(8));
}

#[test]
fn lapse_not_counted_during_outage() {
    let start = Instant::now();
    let mut watch = LeaseWatch::new(1, start);
    watch.observe(1, start + Duration::from_secs(3_600));
    assert!(!watch.is_lapsed(TTL));
}
