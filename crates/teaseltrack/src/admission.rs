//! Admission control at the agent, which alone allocates the slots of its target.
//!
//! A request is dispatched, queued up to a bound, or refused with an error kind that guarantees
//! that it didn't run. Free slots are shared between classes by weight (start-time fair queueing)
//! and between the teams of a class by round robin, so that a flood of requests in one class or
//! from one team doesn't starve the queued requests of the others. The queue bound applies per
//! class, not per team: one team can fill the queue of a class, and new requests of the other teams
//! in that class are then refused.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::{Duration, Instant},
};

use slotmap::{SlotMap, new_key_type};

use crate::{concurrency_limit::ConcurrencyLimit, ids::TeamName, outcome::ErrorKind};

new_key_type! {
    /// Key of a queued request.
    pub struct TicketKey;
    /// Key of a running request, which occupies one slot.
    pub struct PermitKey;
}

/// Priority class of a request, derived from its RFC 9218 urgency.
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
/// RFC 9218 urgency of a request that doesn't specify one.
pub const DEFAULT_URGENCY: u32 = 3;

/// Virtual time charged to a class of weight 1 for each dispatch; a multiple of every weight.
const DISPATCH_COST: u64 = 12;
/// Service latency assumed before the first sample.
const ASSUMED_SERVICE_LATENCY: Duration = Duration::from_millis(1);
/// Minimum retry delay that a refusal advises.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

impl Class {
    /// Maps an urgency value to its class.
    pub fn from_urgency(urgency: u32) -> Self {
        match urgency {
            0..=2 => Self::Urgent,
            3..=5 => Self::Normal,
            _ => Self::Background,
        }
    }

    /// Weight of the class in the division of slots between backlogged classes.
    pub fn weight(self) -> u64 {
        match self {
            Self::Urgent => 4,
            Self::Normal => 3,
            Self::Background => 2,
        }
    }
}

/// Concurrency and queue limits of one target.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionLimits {
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of queued requests per class.
    pub queue_per_class: usize,
}

/// Request attributes that admission depends on.
#[derive(Clone, Debug)]
pub struct RequestMeta {
    /// Class of the request.
    pub class: Class,
    /// Team that the request is attributed to.
    pub team: TeamName,
    /// Instant after which the caller has no use for a response.
    pub deadline: Instant,
}

/// Outcome of [`Admission::offer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request is queued until it is dispatched, expires or is cancelled.
    Queued(TicketKey),
    /// The request is refused and won't run.
    Refused(Refusal),
}

/// Refusal of a request that is guaranteed not to have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason for the refusal.
    pub kind: ErrorKind,
    /// Delay after which a retry may succeed.
    pub retry_after: Duration,
}

/// A dispatched request, which occupies a slot until [`Admission::release`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dispatched {
    /// Key that the request had in the queue.
    pub ticket: TicketKey,
    /// Key of its slot.
    pub permit: PermitKey,
}

#[derive(Debug)]
struct QueuedRequest {
    class: Class,
    team: TeamName,
    deadline: Instant,
}

#[derive(Debug, Default)]
struct ClassQueue {
    virtual_time: u64,
    request_count: usize,
    by_team: BTreeMap<TeamName, VecDeque<TicketKey>>,
    team_rotation: VecDeque<TeamName>,
}

impl ClassQueue {
    fn push(&mut self, team: &TeamName, ticket: TicketKey) {
        let tickets = self.by_team.entry(team.clone()).or_default();
        if tickets.is_empty() {
            self.team_rotation.push_back(team.clone());
        }
        tickets.push_back(ticket);
        self.request_count += 1;
    }

    fn pop(&mut self) -> Option<TicketKey> {
        let team = self.team_rotation.pop_front()?;
        let tickets = self.by_team.get_mut(&team)?;
        let ticket = tickets.pop_front()?;
        self.request_count -= 1;
        if tickets.is_empty() {
            self.by_team.remove(&team);
        } else {
            self.team_rotation.push_back(team);
        }
        Some(ticket)
    }

    fn remove(&mut self, team: &TeamName, ticket: TicketKey) {
        let Some(tickets) = self.by_team.get_mut(team) else { return };
        let before = tickets.len();
        tickets.retain(|other| *other != ticket);
        self.request_count -= before - tickets.len();
        if tickets.is_empty() {
            self.by_team.remove(team);
            self.team_rotation.retain(|other| other != team);
        }
    }
}

/// Slot allocation and request queues of one target.
#[derive(Debug)]
pub struct Admission {
    limits: AdmissionLimits,
    concurrency: ConcurrencyLimit,
    queued_requests: SlotMap<TicketKey, QueuedRequest>,
    by_deadline: BTreeSet<(Instant, TicketKey)>,
    running: SlotMap<PermitKey, Class>,
    queues: BTreeMap<Class, ClassQueue>,
    virtual_now: u64,
    is_draining: bool,
}

impl Admission {
    /// Creates the state of a target without requests.
    pub fn new(limits: AdmissionLimits) -> Self {
        Self {
            limits,
            concurrency: ConcurrencyLimit::new(limits.slots),
            queued_requests: SlotMap::with_key(),
            by_deadline: BTreeSet::new(),
            running: SlotMap::with_key(),
            queues: CLASSES.into_iter().map(|class| (class, ClassQueue::default())).collect(),
            virtual_now: 0,
            is_draining: false,
        }
    }

    /// Number of running requests.
    pub fn in_flight(&self) -> u32 {
        self.running.len() as u32
    }

    /// Number of queued requests.
    pub fn queued(&self) -> u32 {
        self.queued_requests.len() as u32
    }

    /// Current concurrency limit.
    pub fn limit(&self) -> u32 {
        self.concurrency.current()
    }

    /// Ratio of the smoothed service latency to its baseline.
    pub fn latency_ratio(&self) -> f64 {
        self.concurrency.latency_ratio()
    }

    /// Whether new requests are refused.
    pub fn is_draining(&self) -> bool {
        self.is_draining
    }

    /// Refuses new requests from now on; queued and running requests are completed.
    pub fn drain(&mut self) {
        self.is_draining = true;
    }

    /// Queues a request, or refuses it if the target is draining, the queue of its class is full,
    /// or it is not expected to complete within its deadline.
    pub fn offer(&mut self, now: Instant, meta: RequestMeta) -> AdmissionDecision {
        if self.is_draining {
            return self.refuse(ErrorKind::Draining, MIN_RETRY_AFTER);
        }
        let remaining = meta.deadline.saturating_duration_since(now);
        if remaining.is_zero() {
            return self.refuse(ErrorKind::DeadlineExceeded, MIN_RETRY_AFTER);
        }
        let wait = self.expected_wait(meta.class);
        if self.queues[&meta.class].request_count >= self.limits.queue_per_class {
            return self.refuse(ErrorKind::QueueFull, wait);
        }
        if wait + self.service_latency() > remaining {
            return self.refuse(ErrorKind::DeadlineUnmeetable, wait);
        }
        AdmissionDecision::Queued(self.enqueue(meta))
    }

    /// Dispatches the next queued request; `None` if no request is queued or the concurrency limit,
    /// which is at most the number of slots, is reached.
    ///
    /// Doesn't check deadlines: remove requests past their deadline with [`Self::expire`] first.
    pub fn dispatch(&mut self) -> Option<Dispatched> {
        let class = self.next_class()?;
        let ticket = self.queues.get_mut(&class)?.pop()?;
        let request = self.queued_requests.remove(ticket)?;
        self.by_deadline.remove(&(request.deadline, ticket));
        self.charge(class);
        let permit = self.running.insert(class);
        assert!(
            self.running.len() <= self.limits.slots as usize,
            "more running requests than slots"
        );
        Some(Dispatched { ticket, permit })
    }

    /// Removes one queued request whose deadline has passed; it didn't run.
    pub fn expire(&mut self, now: Instant) -> Option<TicketKey> {
        let (deadline, ticket) = *self.by_deadline.first()?;
        if deadline > now {
            return None;
        }
        self.cancel(ticket);
        Some(ticket)
    }

    /// Earliest deadline among the queued requests.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.by_deadline.first().map(|(deadline, _)| *deadline)
    }

    /// Frees the slot of a finished request and records its service latency; `latency` is `None` if
    /// the target didn't respond.
    pub fn release(&mut self, permit: PermitKey, latency: Option<Duration>) {
        if self.running.remove(permit).is_none() {
            return;
        }
        if let Some(latency) = latency {
            self.concurrency.record(latency);
        }
    }

    /// Cancels a queued request; true if it was still queued, so that it won't run.
    pub fn cancel(&mut self, ticket: TicketKey) -> bool {
        let Some(request) = self.queued_requests.remove(ticket) else { return false };
        self.by_deadline.remove(&(request.deadline, ticket));
        if let Some(queue) = self.queues.get_mut(&request.class) {
            queue.remove(&request.team, ticket);
        }
        true
    }

    fn refuse(&self, kind: ErrorKind, wait: Duration) -> AdmissionDecision {
        AdmissionDecision::Refused(Refusal { kind, retry_after: wait.max(MIN_RETRY_AFTER) })
    }

    fn enqueue(&mut self, meta: RequestMeta) -> TicketKey {
        let virtual_now = self.virtual_now;
        let RequestMeta { class, team, deadline } = meta;
        let ticket =
            self.queued_requests.insert(QueuedRequest { class, team: team.clone(), deadline });
        self.by_deadline.insert((deadline, ticket));
        let queue = self.queues.entry(class).or_default();
        // A class gains no credit while idle.
        if queue.request_count == 0 {
            queue.virtual_time = queue.virtual_time.max(virtual_now);
        }
        queue.push(&team, ticket);
        ticket
    }

    fn next_class(&self) -> Option<Class> {
        if self.in_flight() >= self.limit() {
            return None;
        }
        let backlogged = self.queues.iter().filter(|(_, queue)| queue.request_count > 0);
        backlogged
            .min_by_key(|(class, queue)| (queue.virtual_time, **class))
            .map(|(class, _)| *class)
    }

    fn charge(&mut self, class: Class) {
        let Some(queue) = self.queues.get_mut(&class) else { return };
        self.virtual_now = queue.virtual_time;
        queue.virtual_time += DISPATCH_COST / class.weight();
    }

    fn service_latency(&self) -> Duration {
        self.concurrency.latency().unwrap_or(ASSUMED_SERVICE_LATENCY)
    }

    /// Expected queueing delay of a new request, from its position and the class's share of slots.
    fn expected_wait(&self, class: Class) -> Duration {
        if self.in_flight() < self.limit() && self.queued_requests.is_empty() {
            return Duration::ZERO;
        }
        let competing =
            self.queues.iter().filter(|(other, queue)| queue.request_count > 0 || **other == class);
        let total_weight: u64 = competing.map(|(other, _)| other.weight()).sum();
        let share = class.weight() as f64 / total_weight as f64;
        let queue_position = self.queues[&class].request_count as f64 + 1.0;
        let class_slots = (f64::from(self.limit()) * share).max(0.1);
        self.service_latency().mul_f64(queue_position / class_slots)
    }
}
