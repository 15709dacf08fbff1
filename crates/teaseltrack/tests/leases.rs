//! Leases: a taker never finds a lease lapsed while its holder may still work.

mod util;

use std::time::{Duration, Instant};

use proptest::prelude::*;
use teaseltrack::lease::{HeldLease, LeaseWatch};

const TTL: Duration = Duration::from_secs(6);

/// What happens in one step of 100 ms.
#[derive(Clone, Debug)]
struct Step {
    is_store_out: bool,
    is_holder_frozen: bool,
    is_answer_lost: bool,
    /// Steps after which the renewal that is sent now takes effect.
    delay_steps: usize,
    is_taker_frozen: bool,
}

fn step() -> impl Strategy<Value = Step> {
    // Each in runs, so that outages and freezes longer than the lease come about.
    (0..100_u8, 0..100_u8, 0..100_u8, 0..8_usize, 0..100_u8).prop_map(
        |(out, frozen, lost, delay, taker)| Step {
            is_store_out: out < 15,
            is_holder_frozen: frozen < 30,
            is_answer_lost: lost < 30,
            delay_steps: delay,
            is_taker_frozen: taker < 15,
        },
    )
}

/// A renewal on its way to the store.
struct Sent {
    sent_at: Instant,
    effective_step: usize,
    version: u64,
    is_answer_lost: bool,
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
        let mut sent: Option<Sent> = None;
        let steps = runs.into_iter().flat_map(|(step, times)| std::iter::repeat_n(step, times));
        for (number, step) in steps.enumerate() {
            let now = start + Duration::from_millis(100) * number as u32;
            if !step.is_holder_frozen && sent.is_none() {
                let effective_step = number + step.delay_steps;
                let is_answer_lost = step.is_answer_lost;
                sent = Some(Sent { sent_at: now, effective_step, version: holder_version, is_answer_lost });
            }
            if let Some(renewal) = sent.take_if(|renewal| renewal.effective_step <= number) {
                let takes_effect = !step.is_store_out && renewal.version == version;
                if takes_effect {
                    version += 1;
                    if !renewal.is_answer_lost {
                        holder.renew(renewal.sent_at);
                    }
                    // A lost answer is settled by reading: the version is known, the time isn't taken.
                    holder_version = version;
                }
            }
            if !step.is_store_out && !step.is_taker_frozen && number % 10 == 0 {
                watch.observe(version, now);
                if watch.is_lapsed(TTL) {
                    prop_assert!(!holder.is_valid(now), "taken while the holder may work");
                }
            }
        }
    }
}

#[test]
fn lapse_after_quiet_holder() {
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
fn lapse_not_counted_through_outage() {
    let start = Instant::now();
    let mut watch = LeaseWatch::new(1, start);
    watch.observe(1, start + Duration::from_secs(3_600));
    assert!(!watch.is_lapsed(TTL));
}
