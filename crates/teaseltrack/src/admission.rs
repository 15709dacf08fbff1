//! Admission of requests at the agent, the only owner of a target's slots.
//!
//! A request either starts, waits in a bounded queue, or is refused with a kind that proves that it
//! didn't run. Free slots are shared between classes by weight (start-time fair queueing) and between
//! the teams of a class in turn, so that a flood of any one class leaves the others their share.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::{Duration, Instant},
};

use slotmap::{SlotMap, new_key_type};

use crate::{concurrency_limit::ConcurrencyLimit, ids::TeamName, outcome::ErrorKind};

new_key_type! {
    /// Key of a queued request.
    pub struct TicketKey;
    /// Key of a running request, which holds one slot.
    pub struct PermitKey;
}

/// Class of a request by its RFC 9218 urgency.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// Urgency 0 to 2.
    Urgent,
    /// Urgency 3 to 5; the default.
    Normal,
    /// Urgency 6 and 7.
    Background,
}

/// All classes, most urgent first.
pub const CLASSES: [Class; 3] = [Class::Urgent, Class::Normal, Class::Background];
/// Highest RFC 9218 urgency value, the least urgent.
pub const MAX_URGENCY: u32 = 7;
/// RFC 9218 urgency of a request that names none.
pub const DEFAULT_URGENCY: u32 = 3;

/// Virtual time that one start costs a class of weight 1.
const START_COST: u64 = 12;
/// Service time assumed before the first measurement.
const ASSUMED_SERVICE_TIME: Duration = Duration::from_millis(1);
/// Least advice on when to try again.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

impl Class {
    /// The class of an urgency value.
    pub fn from_urgency(urgency: u32) -> Self {
        match urgency {
            0..=2 => Self::Urgent,
            3..=5 => Self::Normal,
            _ => Self::Background,
        }
    }

    /// Share of the slots against the other classes that have work.
    pub fn weight(self) -> u64 {
        match self {
            Self::Urgent => 4,
            Self::Normal => 3,
            Self::Background => 2,
        }
    }
}

/// Bounds of one target.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionLimits {
    /// Requests that the target takes at once.
    pub slots: u32,
    /// Requests of one class that may wait.
    pub queue_per_class: usize,
}

/// What admission needs to know of a request.
#[derive(Clone, Debug)]
pub struct RequestMeta {
    /// Class of the request.
    pub class: Class,
    /// Team that pays for the request.
    pub team: TeamName,
    /// Instant after which the answer is useless.
    pub deadline: Instant,
}

/// Answer to an offered request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request waits; a later [`Admission::dispatch`] names it.
    Queued(TicketKey),
    /// The request is refused and didn't run.
    Refused(Refusal),
}

/// A refusal, which proves that the request didn't run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub kind: ErrorKind,
    /// When another try may do better.
    pub retry_after: Duration,
}

/// A queued request that starts now and holds a slot until [`Admission::release`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dispatched {
    /// The queued request.
    pub ticket: TicketKey,
    /// Its slot.
    pub permit: PermitKey,
}

#[derive(Debug)]
struct Waiting {
    class: Class,
    team: TeamName,
    deadline: Instant,
}

#[derive(Debug, Default)]
struct ClassQueue {
    virtual_time: u64,
    queued: usize,
    by_team: BTreeMap<TeamName, VecDeque<TicketKey>>,
    turns: VecDeque<TeamName>,
}

impl ClassQueue {
    fn push(&mut self, team: &TeamName, ticket: TicketKey) {
        let tickets = self.by_team.entry(team.clone()).or_default();
        if tickets.is_empty() {
            self.turns.push_back(team.clone());
        }
        tickets.push_back(ticket);
        self.queued += 1;
    }

    fn pop(&mut self) -> Option<TicketKey> {
        let team = self.turns.pop_front()?;
        let tickets = self.by_team.get_mut(&team)?;
        let ticket = tickets.pop_front()?;
        self.queued -= 1;
        if tickets.is_empty() {
            self.by_team.remove(&team);
        } else {
            self.turns.push_back(team);
        }
        Some(ticket)
    }

    fn remove(&mut self, team: &TeamName, ticket: TicketKey) {
        let Some(tickets) = self.by_team.get_mut(team) else { return };
        let before = tickets.len();
        tickets.retain(|other| *other != ticket);
        self.queued -= before - tickets.len();
        if tickets.is_empty() {
            self.by_team.remove(team);
            self.turns.retain(|other| other != team);
        }
    }
}

/// Capacity ledger and queue of one target.
#[derive(Debug)]
pub struct Admission {
    limits: AdmissionLimits,
    concurrency: ConcurrencyLimit,
    waiting: SlotMap<TicketKey, Waiting>,
    by_deadline: BTreeSet<(Instant, TicketKey)>,
    running: SlotMap<PermitKey, Class>,
    queues: BTreeMap<Class, ClassQueue>,
    virtual_now: u64,
    is_draining: bool,
}

impl Admission {
    /// An empty ledger.
    pub fn new(limits: AdmissionLimits) -> Self {
        Self {
            limits,
            concurrency: ConcurrencyLimit::new(limits.slots),
            waiting: SlotMap::with_key(),
            by_deadline: BTreeSet::new(),
            running: SlotMap::with_key(),
            queues: CLASSES.into_iter().map(|class| (class, ClassQueue::default())).collect(),
            virtual_now: 0,
            is_draining: false,
        }
    }

    /// Running requests.
    pub fn in_flight(&self) -> u32 {
        self.running.len() as u32
    }

    /// Waiting requests.
    pub fn queued(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// Requests that may run at once at present.
    pub fn limit(&self) -> u32 {
        self.concurrency.current()
    }

    /// Smoothed service latency over its remembered minimum.
    pub fn latency_ratio(&self) -> f64 {
        self.concurrency.latency_ratio()
    }

    /// Whether new work is refused.
    pub fn is_draining(&self) -> bool {
        self.is_draining
    }

    /// Refuses new work from now on; queued and running work goes on.
    pub fn drain(&mut self) {
        self.is_draining = true;
    }

    /// Offers a request.
    pub fn offer(&mut self, now: Instant, meta: RequestMeta) -> AdmissionDecision {
        if self.is_draining {
            return self.refuse(ErrorKind::Draining, MIN_RETRY_AFTER);
        }
        let remaining = meta.deadline.saturating_duration_since(now);
        if remaining.is_zero() {
            return self.refuse(ErrorKind::DeadlineExceeded, MIN_RETRY_AFTER);
        }
        let wait = self.expected_wait(meta.class);
        if self.queues[&meta.class].queued >= self.limits.queue_per_class {
            return self.refuse(ErrorKind::QueueFull, wait);
        }
        if wait + self.service_time() > remaining {
            return self.refuse(ErrorKind::DeadlineUnmeetable, wait);
        }
        AdmissionDecision::Queued(self.enqueue(meta))
    }

    /// The next queued request to start; `None` when none can.
    ///
    /// Requests past their deadline must have been taken out by [`Self::expire`] before.
    pub fn dispatch(&mut self) -> Option<Dispatched> {
        let class = self.next_class()?;
        let ticket = self.queues.get_mut(&class)?.pop()?;
        let waiting = self.waiting.remove(ticket)?;
        self.by_deadline.remove(&(waiting.deadline, ticket));
        self.charge(class);
        let permit = self.running.insert(class);
        assert!(self.running.len() <= self.limits.slots as usize, "more requests than slots");
        Some(Dispatched { ticket, permit })
    }

    /// Takes out a queued request whose deadline has passed; it didn't run.
    pub fn expire(&mut self, now: Instant) -> Option<TicketKey> {
        let (deadline, ticket) = *self.by_deadline.first()?;
        if deadline > now {
            return None;
        }
        self.cancel(ticket);
        Some(ticket)
    }

    /// The earliest deadline of a queued request.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.by_deadline.first().map(|(deadline, _)| *deadline)
    }

    /// Frees the slot of a finished request; `latency` is given for an answered one.
    pub fn release(&mut self, permit: PermitKey, latency: Option<Duration>) {
        if self.running.remove(permit).is_none() {
            return;
        }
        if let Some(latency) = latency {
            self.concurrency.record(latency);
        }
    }

    /// Takes back a queued request; true if it was still waiting and so never runs.
    pub fn cancel(&mut self, ticket: TicketKey) -> bool {
        let Some(waiting) = self.waiting.remove(ticket) else { return false };
        self.by_deadline.remove(&(waiting.deadline, ticket));
        if let Some(queue) = self.queues.get_mut(&waiting.class) {
            queue.remove(&waiting.team, ticket);
        }
        true
    }

    fn refuse(&self, kind: ErrorKind, wait: Duration) -> AdmissionDecision {
        AdmissionDecision::Refused(Refusal { kind, retry_after: wait.max(MIN_RETRY_AFTER) })
    }

    fn enqueue(&mut self, meta: RequestMeta) -> TicketKey {
        let virtual_now = self.virtual_now;
        let RequestMeta { class, team, deadline } = meta;
        let ticket = self.waiting.insert(Waiting { class, team: team.clone(), deadline });
        self.by_deadline.insert((deadline, ticket));
        let queue = self.queues.entry(class).or_default();
        if queue.queued == 0 {
            queue.virtual_time = queue.virtual_time.max(virtual_now);
        }
        queue.push(&team, ticket);
        ticket
    }

    fn next_class(&self) -> Option<Class> {
        if self.in_flight() >= self.limit() {
            return None;
        }
        let with_work = self.queues.iter().filter(|(_, queue)| queue.queued > 0);
        with_work
            .min_by_key(|(class, queue)| (queue.virtual_time, **class))
            .map(|(class, _)| *class)
    }

    fn charge(&mut self, class: Class) {
        let Some(queue) = self.queues.get_mut(&class) else { return };
        self.virtual_now = queue.virtual_time;
        queue.virtual_time += START_COST / class.weight();
    }

    fn service_time(&self) -> Duration {
        self.concurrency.latency().unwrap_or(ASSUMED_SERVICE_TIME)
    }

    /// Time until a new request of the class would start, from the work queued ahead of it.
    fn expected_wait(&self, class: Class) -> Duration {
        if self.in_flight() < self.limit() && self.waiting.is_empty() {
            return Duration::ZERO;
        }
        let busy = self.queues.iter().filter(|(other, queue)| queue.queued > 0 || **other == class);
        let total_weight: u64 = busy.map(|(other, _)| other.weight()).sum();
        let share = class.weight() as f64 / total_weight as f64;
        let ahead = self.queues[&class].queued as f64 + 1.0;
        let starts_at_once = (f64::from(self.limit()) * share).max(0.1);
        self.service_time().mul_f64(ahead / starts_at_once)
    }
}
