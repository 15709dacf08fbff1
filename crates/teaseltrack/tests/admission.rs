//! Tests of admission control.

mod util;

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use proptest::prelude::*;
use teaseltrack::{
    admission::{
        Admission, AdmissionDecision, AdmissionLimits, CLASSES, Class, RequestMeta, TicketKey,
    },
    outcome::{ErrorKind, Outcome},
};
use yare::parameterized;

const LIMITS: AdmissionLimits = AdmissionLimits { slots: 8, queue_per_class: 16 };

fn meta(class: Class, team: &str, deadline: Instant) -> RequestMeta {
    RequestMeta { class, team: team.to_owned(), deadline }
}

fn enqueue(admission: &mut Admission, now: Instant, class: Class, team: &str) -> TicketKey {
    match admission.offer(now, meta(class, team, now + Duration::from_secs(60))) {
        AdmissionDecision::Queued(ticket) => ticket,
        AdmissionDecision::Refused(refusal) => panic!("unexpectedly refused: {refusal:?}"),
    }
}

#[parameterized(
    draining = { true, 1_000, 0, ErrorKind::Draining },
    past_deadline = { false, 0, 0, ErrorKind::DeadlineExceeded },
    full_queue = { false, 1_000, 16, ErrorKind::QueueFull },
    unmeetable_deadline = { false, 1, 15, ErrorKind::DeadlineUnmeetable },
)]
fn offer_refused(is_draining: bool, remaining_ms: u64, queued: usize, kind: ErrorKind) {
    let now = Instant::now();
    let mut admission = Admission::new(LIMITS);
    for _ in 0..queued {
        enqueue(&mut admission, now, Class::Normal, "a");
    }
    if is_draining {
        admission.drain();
    }
    let offered = meta(Class::Normal, "a", now + Duration::from_millis(remaining_ms));
    let AdmissionDecision::Refused(refusal) = admission.offer(now, offered) else {
        panic!("not refused")
    };
    assert_eq!(refusal.kind, kind);
    assert_eq!(refusal.kind.outcome(), Outcome::NotRun);
}

#[test]
fn dispatch_shares_by_weight() {
    let now = Instant::now();
    let limits = AdmissionLimits { slots: 1, queue_per_class: 1_000 };
    let mut admission = Admission::new(limits);
    let mut classes = Vec::new();
    for class in CLASSES {
        for _ in 0..900 {
            classes.push((enqueue(&mut admission, now, class, "a"), class));
        }
    }
    let mut dispatch_counts = [0_u32; 3];
    for _ in 0..900 {
        let dispatched = admission.dispatch().unwrap();
        let (_, class) = classes.iter().find(|(ticket, _)| *ticket == dispatched.ticket).unwrap();
        dispatch_counts[*class as usize] += 1;
        admission.release(dispatched.permit, None);
    }
    assert_eq!(dispatch_counts, [400, 300, 200]);
}

#[test]
fn dispatch_newly_backlogged_class_after_flood() {
    let now = Instant::now();
    let mut admission = Admission::new(AdmissionLimits { slots: 1, queue_per_class: 100 });
    for _ in 0..100 {
        enqueue(&mut admission, now, Class::Urgent, "flood");
    }
    for _ in 0..50 {
        let dispatched = admission.dispatch().unwrap();
        admission.release(dispatched.permit, None);
    }
    let background = enqueue(&mut admission, now, Class::Background, "other");
    let next_two: Vec<TicketKey> = (0..2)
        .map(|_| {
            let dispatched = admission.dispatch().unwrap();
            admission.release(dispatched.permit, None);
            dispatched.ticket
        })
        .collect();
    assert!(next_two.contains(&background));
}

#[test]
fn dispatch_round_robin_between_teams() {
    let now = Instant::now();
    let mut admission = Admission::new(AdmissionLimits { slots: 1, queue_per_class: 100 });
    for _ in 0..20 {
        enqueue(&mut admission, now, Class::Normal, "heavy");
    }
    let light = enqueue(&mut admission, now, Class::Normal, "light");
    let first = admission.dispatch().unwrap();
    admission.release(first.permit, None);
    assert_eq!(admission.dispatch().unwrap().ticket, light);
}

#[derive(Clone, Debug)]
enum Step {
    Offer { class: usize, team: u8, deadline_ms: u64 },
    Dispatch,
    Release { index: usize, latency_ms: Option<u64> },
    Cancel { index: usize },
    Advance { step_ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3_usize, 0..3_u8, 1..200_u64)
            .prop_map(|(class, team, deadline_ms)| Step::Offer { class, team, deadline_ms }),
        4 => Just(Step::Dispatch),
        3 => (0..8_usize, proptest::option::of(0..500_u64))
            .prop_map(|(index, latency_ms)| Step::Release { index, latency_ms }),
        1 => (0..64_usize).prop_map(|index| Step::Cancel { index }),
        1 => (0..50_u64).prop_map(|step_ms| Step::Advance { step_ms }),
    ]
}

proptest! {
    #![proptest_config(util::config(300))]

    /// Slots aren't exceeded, and each queued request is dispatched, expired or cancelled once.
    #[test]
    fn admission_random_steps(steps in prop::collection::vec(step(), 1..400)) {
        let mut now = Instant::now();
        let mut admission = Admission::new(LIMITS);
        let mut waiting = BTreeSet::new();
        let mut running = Vec::new();
        for step in steps {
            match step {
                Step::Offer { class, team, deadline_ms } => {
                    let deadline = now + Duration::from_millis(deadline_ms);
                    let offered = meta(CLASSES[class], &team.to_string(), deadline);
                    match admission.offer(now, offered) {
                        AdmissionDecision::Queued(ticket) => prop_assert!(waiting.insert(ticket)),
                        AdmissionDecision::Refused(refusal) => {
                            prop_assert_eq!(refusal.kind.outcome(), Outcome::NotRun);
                        }
                    }
                }
                Step::Dispatch => {
                    while let Some(ticket) = admission.expire(now) {
                        prop_assert!(waiting.remove(&ticket), "expired twice");
                    }
                    if let Some(dispatched) = admission.dispatch() {
                        prop_assert!(waiting.remove(&dispatched.ticket), "dispatched twice");
                        running.push(dispatched.permit);
                    } else {
                        let is_queue_empty = waiting.is_empty();
                        prop_assert!(is_queue_empty || admission.in_flight() >= admission.limit());
                    }
                }
                Step::Release { index, latency_ms } => {
                    if index < running.len() {
                        let permit = running.swap_remove(index);
                        admission.release(permit, latency_ms.map(Duration::from_millis));
                    }
                }
                Step::Cancel { index } => {
                    if let Some(ticket) = waiting.iter().nth(index).copied() {
                        prop_assert!(admission.cancel(ticket));
                        waiting.remove(&ticket);
                        prop_assert!(!admission.cancel(ticket));
                    }
                }
                Step::Advance { step_ms } => now += Duration::from_millis(step_ms),
            }
            prop_assert!(running.len() <= LIMITS.slots as usize);
            prop_assert_eq!(admission.in_flight() as usize, running.len());
            prop_assert_eq!(admission.queued() as usize, waiting.len());
            prop_assert!((1..=LIMITS.slots).contains(&admission.limit()));
        }
    }
}
