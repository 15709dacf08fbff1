//! Leases: an observer never finds a lease lapsed while its holder may still work.

mod util;

use std::time::{Duration, Instant};

use proptest::prelude::*;
use teaseltrack::lease::{HeldLease, LeaseWatch, LeaseWatches, SilenceRow, SilentLease};

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

/// Event among a lease's holder, the owners of a shard and a candidate for it.
#[derive(Clone, Debug)]
enum Event {
    /// The owner reads the lease's row.
    Check(Call),
    /// The owner records its watches, or a record that it sent earlier takes effect late.
    Record { is_late: bool },
    /// The candidate reads the record.
    Observe(Call),
    /// A candidate, or a process without knowledge, becomes the owner.
    Replace { is_candidate: bool, call: Call },
    /// The holder renews its lease.
    Renew,
    /// Time passes.
    Wait { ms: u64 },
}

/// Read of a row that takes effect between its sending and its answer.
#[derive(Clone, Debug)]
struct Call {
    request_ms: u64,
    response_ms: u64,
    /// Whether the holder renews its lease before the read takes effect.
    is_renewed_before: bool,
    /// Whether the owner records its watches before the read takes effect.
    is_recorded_before: bool,
}

fn call() -> impl Strategy<Value = Call> {
    (0..4_000_u64, 0..4_000_u64, 0..10_u8, 0..10_u8).prop_map(
        |(request_ms, response_ms, renewed, recorded)| Call {
            request_ms,
            response_ms,
            is_renewed_before: renewed < 2,
            is_recorded_before: recorded < 4,
        },
    )
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => call().prop_map(Event::Check),
        2 => any::<bool>().prop_map(|is_late| Event::Record { is_late }),
        3 => call().prop_map(Event::Observe),
        1 => (any::<bool>(), call())
            .prop_map(|(is_candidate, call)| Event::Replace { is_candidate, call }),
        1 => Just(Event::Renew),
        2 => (0..3_000_u64).prop_map(|ms| Event::Wait { ms }),
    ]
}

const INSTANCE: &str = "instance";

/// The lease's row and the record, with the watches of the owner and of the candidate.
struct Shard {
    now: Instant,
    version: u64,
    renewed_at: Instant,
    owner: LeaseWatches,
    candidate: LeaseWatches,
    record: SilenceRow,
    /// The previous record, which takes effect again if it was delayed.
    late_record: SilenceRow,
}

impl Shard {
    fn new(now: Instant) -> Self {
        Self {
            now,
            version: 1,
            renewed_at: now,
            owner: LeaseWatches::default(),
            candidate: LeaseWatches::default(),
            record: SilenceRow::default(),
            late_record: SilenceRow::default(),
        }
    }

    fn advance(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
    }

    fn renew(&mut self) {
        self.version += 1;
        self.renewed_at = self.now;
    }

    fn write_record(&mut self) {
        self.late_record = std::mem::replace(&mut self.record, self.owner.record());
    }

    /// Time up to the effect of a read and from there to its answer; returns what it read.
    fn read(&mut self, call: &Call) -> (u64, SilenceRow) {
        self.advance(call.request_ms);
        if call.is_renewed_before {
            self.renew();
        }
        if call.is_recorded_before {
            self.owner.observe(INSTANCE, self.version, self.now, self.now);
            self.write_record();
        }
        let read = (self.version, self.record.clone());
        self.advance(call.response_ms);
        read
    }

    fn apply(&mut self, event: &Event) {
        let sent_at = self.now;
        match event {
            Event::Check(call) => {
                let call = Call { is_recorded_before: false, ..call.clone() };
                let (version, _) = self.read(&call);
                self.owner.observe(INSTANCE, version, sent_at, self.now);
            }
            Event::Record { is_late: false } => self.write_record(),
            Event::Record { is_late: true } => self.record = self.late_record.clone(),
            Event::Observe(call) => {
                let (_, record) = self.read(call);
                self.candidate.adopt(&record, sent_at, self.now);
            }
            Event::Replace { is_candidate, call } => {
                let (_, record) = self.read(call);
                let candidate = std::mem::take(&mut self.candidate);
                self.owner = if *is_candidate { candidate } else { LeaseWatches::default() };
                self.owner.adopt(&record, sent_at, self.now);
            }
            Event::Renew => self.renew(),
            Event::Wait { ms } => self.advance(*ms),
        }
    }
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

proptest! {
    #![proptest_config(util::config(2_000))]

    // Failure: a change of the owner, a slow read or a record that takes effect late makes a lease
    // look silent for longer than it is, so that its tasks run twice.
    #[test]
    fn silence_not_longer_than_time_since_renewal(
        events in prop::collection::vec(event(), 1..80),
    ) {
        let mut shard = Shard::new(Instant::now());
        for event in events {
            shard.apply(&event);
            let elapsed = shard.now.duration_since(shard.renewed_at);
            let version = shard.version;
            for watches in [&shard.owner, &shard.candidate] {
                let mut watches = watches.clone();
                let watch = watches.observe(INSTANCE, version, shard.now, shard.now);
                prop_assert!(watch.unchanged_for() <= elapsed);
            }
        }
    }
}

fn silence(version: u64, unchanged: Duration) -> SilenceRow {
    let unchanged_ms = unchanged.as_millis() as u64;
    let lease = SilentLease { instance: INSTANCE.to_owned(), version, unchanged_ms };
    SilenceRow { leases: vec![lease] }
}

// Failure: a record about an earlier version of the row counted for the current one.
#[test]
fn adopt_not_for_another_version() {
    let now = Instant::now();
    let mut watches = LeaseWatches::default();
    watches.observe(INSTANCE, 2, now, now);
    watches.adopt(&silence(1, TTL * 2), now, now);
    assert!(!watches.observe(INSTANCE, 2, now, now).is_lapsed(TTL));
    let mut watches = LeaseWatches::default();
    watches.adopt(&silence(1, TTL * 2), now, now);
    assert!(!watches.observe(INSTANCE, 2, now, now).is_lapsed(TTL));
}

// Failure: a record about an earlier version of the row ended the wait for the current one.
#[test]
fn adopt_not_of_a_stale_record() {
    let now = Instant::now();
    let mut watches = LeaseWatches::default();
    watches.adopt(&silence(2, TTL * 2), now, now);
    watches.adopt(&silence(1, Duration::ZERO), now, now);
    watches.adopt(&silence(2, Duration::ZERO), now, now);
    assert!(watches.observe(INSTANCE, 2, now, now).is_lapsed(TTL));
}

// Failure: a series of owners, each with a clock of its own, waits for the lease anew each time.
#[test]
fn adopt_continues_the_wait_of_each_predecessor() {
    let mut record = SilenceRow::default();
    let mut is_lapsed = false;
    for owner in 1..=8_u32 {
        let start = Instant::now() + TTL * 10 * owner;
        let mut watches = LeaseWatches::default();
        watches.adopt(&record, start, start);
        for second in 0..=1 {
            let now = start + Duration::from_secs(second);
            is_lapsed = watches.observe(INSTANCE, 1, now, now).is_lapsed(TTL);
        }
        assert_eq!(is_lapsed, owner == 8, "owner {owner}");
        record = watches.record();
    }
}

// Failure: time in which the store didn't respond counted in full with a change of the owner.
#[test]
fn adopt_not_counted_during_outage() {
    let start = Instant::now();
    let mut candidate = LeaseWatches::default();
    candidate.adopt(&silence(1, Duration::ZERO), start, start);
    let end = start + Duration::from_secs(3_600);
    candidate.adopt(&silence(1, Duration::ZERO), end, end);
    assert!(!candidate.observe(INSTANCE, 1, end, end).is_lapsed(TTL));
}

// Failure: a record of a build with other fields can't be read.
#[test]
fn silence_row_of_another_build() {
    let text =
        r#"{"leases":[{"instance":"instance","version":3,"unchanged_ms":4,"new":1}],"new":2}"#;
    assert_eq!(
        serde_json::from_str::<SilenceRow>(text).unwrap(),
        silence(3, Duration::from_millis(4))
    );
    assert_eq!(serde_json::from_str::<SilenceRow>("{}").unwrap(), SilenceRow::default());
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
