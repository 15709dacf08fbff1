//! Agent of a worker: a single async task that holds the worker's state and executes the owner's
//! orders.
//!
//! Sync calls renew the worker's lease and list its runs and their ends, which the agent reports to
//! the owner. Each call runs in an async task of its own, whose result arrives as an event. Calls
//! wait in a queue ([`call_queue`]) and belong to a session; those of a session that has ended are
//! dropped. A start without a response is invalidated by a stop of the same attempt
//! ([`unconfirmed_starts`]). A started run is tracked until its end is listed ([`started_runs`]).
//!
//! Which incarnation of the worker is current follows from the worker's responses alone. A heartbeat
//! of another one is believed once they confirm it ([`unverified_heartbeats`]), and so is one whose
//! reading of the worker's clock is too high. Heartbeats are ordered by these readings, which the
//! worker's responses bound, and not by their numbers, which nothing does.

use std::time::{Duration, Instant};

use slog::{Logger, debug, info, warn};
use teaseltrack::{
    cell::{
        evacuation::EvacuationNotice,
        pacing::{PaceChange, Pacer},
        partition::CellId,
        progress::WorkerIncarnation,
        protocol::{
            EndedTask, KnownLeases, Order, RefusedStart, Report, ReportResponse, RunningTask,
            SessionToken, StartOrder, TaskName, WorkerListing, WorkerStatus, worker_of,
        },
    },
    clock::SharedClock,
    ids::{AttemptNumber, InstanceId},
    placement::Resources,
};
use teaseltrack_daemon::{metrics::Metrics, odd_entries::OddEntries};
use tokio::{
    sync::{mpsc, watch},
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use crate::{
    agent::{
        announced_status::AnnouncedStatus,
        call_queue::{CallQueue, WaitingStart},
        started_runs::{MissingRun, StartedRuns},
        unconfirmed_starts::UnconfirmedStarts,
        unverified_heartbeats::{HeartbeatKey, UnverifiedHeartbeats, Verdict, verify},
    },
    calls::{CellClient, KnownOwner},
    constants::{
        FULL_REPORT_INTERVAL, MAX_LEASE, PACING, REPORT_WAIT, RETRY_DELAY, SYNC_WAIT,
        WORKER_CALL_TIMEOUT,
    },
    worker_port::{
        AddressedCall, OTHER_WORKER, WorkerAdapter, WorkerCall, WorkerError, WorkerResponse,
    },
};

pub mod announced_status;
pub mod call_queue;
pub mod started_runs;
pub mod unconfirmed_starts;
pub mod unverified_heartbeats;

/// Delay of the next sync call while the owner hasn't committed all listed ends.
const UNCOMMITTED_ENDS_DELAY: Duration = Duration::from_millis(25);
/// Delay before the next sync call after a failed one.
const WORKER_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Reason for the refusal of a start that was planned against a larger capacity.
const CAPACITY_SHRANK: &str = "the worker's capacity shrank";
/// Reason for the refusal of a start on a worker that didn't respond to the last sync call.
const UNREACHABLE: &str = "worker is unreachable";
/// Reason for the refusal of a start on a worker that is about to shut down.
const DRAINING: &str = "worker is draining";
/// Reason for the refusal of a start that might arrive after the end of the worker's lease.
const NO_LEASE: &str = "no lease";
/// Reason for the refusal of a start that was stopped before it was sent.
const STOPPED: &str = "stopped before its start";
/// Reason for the refusal of a start in an evacuated availability zone.
const EVACUATED: &str = "availability zone is being evacuated";
/// Reason for the refusal of a start whose order has expired.
const START_EXPIRED: &str = "start order has expired";
/// Reason for the report of a run that was listed before.
const END_LOST: &str = "run is gone, and its end is lost";
/// Reason for the stop of an accepted start that isn't listed.
const NEVER_LISTED: &str = "start was accepted, but isn't listed";
/// Longest time for which a start order, or a lease, counts as valid.
const MAX_ORDER_VALIDITY: Duration = Duration::from_secs(3_600);
/// Number of failed tries of a stop call between two log entries.
const STOP_LOG_INTERVAL: u32 = 8;
/// Kind of a heartbeat that the worker's responses refute, in the reports of odd entries.
const REFUTED_HEARTBEAT: &str = "refuted_heartbeat";
/// Lead of a heartbeat's clock over the expected one up to which the worker isn't asked.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(250);
/// Fraction by which the worker's clock may be slow.
const MAX_CLOCK_DRIFT: f64 = 0.02;

/// Heartbeat of a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// Sequence number within the worker's incarnation.
    pub number: u64,
    /// Status of the worker.
    pub status: WorkerStatus,
    /// Reading of the worker's clock, in milliseconds.
    pub clock_ms: u64,
}

/// Reading of the worker's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// Time of the worker's clock, in milliseconds; 0 before the first reading.
    pub clock_ms: u64,
    /// Time at which the agent received it.
    pub received_at: Instant,
}

/// Event for an agent's async task.
#[derive(Debug)]
pub enum AgentEvent {
    /// The worker sent a heartbeat.
    Heartbeat(Heartbeat),
    /// A sync call completed.
    Synced {
        /// Sequence number of the call.
        number: u64,
        /// Time at which the call was sent.
        sent_at: Instant,
        /// Result of the call.
        result: Result<WorkerResponse, WorkerError>,
    },
    /// A report call completed.
    Reported {
        /// Worker incarnation that was reported.
        incarnation: WorkerIncarnation,
        /// Whether the report waited for an update.
        is_poll: bool,
        /// Number of refused starts in the report.
        refused_count: usize,
        /// Time at which the report was sent.
        sent_at: Instant,
        /// Reading of the worker's clock in the report, to which a granted lease refers.
        clock: ClockReading,
        /// Response, if it arrived in time.
        response: Option<Box<ReportResponse>>,
    },
    /// A start call completed.
    Started {
        /// Session of the call.
        session: SessionToken,
        /// The order.
        order: Box<StartOrder>,
        /// Result of the call.
        result: Result<WorkerResponse, WorkerError>,
    },
    /// A stop call completed.
    Stopped {
        /// Session of the call.
        session: SessionToken,
        /// The task.
        task: TaskName,
        /// Its attempt.
        attempt: AttemptNumber,
        /// Result of the call.
        result: Result<WorkerResponse, WorkerError>,
    },
    /// A pace call completed.
    Paced {
        /// Session of the call.
        session: SessionToken,
        /// The pace.
        change: PaceChange,
        /// Result of the call.
        result: Result<WorkerResponse, WorkerError>,
    },
    /// A call that verifies a heartbeat completed.
    Identified {
        /// The heartbeat.
        key: HeartbeatKey,
        /// Time at which the call was sent.
        sent_at: Instant,
        /// Result of the call.
        result: Result<WorkerResponse, WorkerError>,
    },
}

/// Dependencies of an agent.
#[derive(Clone)]
pub struct AgentContext {
    /// Cell of the agent.
    pub cell: CellId,
    /// Instance of the agent.
    pub instance: InstanceId,
    /// Address of the process's internal port.
    pub address: String,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// Transport for calls to the worker.
    pub worker: WorkerAdapter,
    /// The clock.
    pub clock: SharedClock,
    /// Last known owner of the cell.
    pub known_owner: watch::Receiver<KnownOwner>,
    /// Publishes the time of the last response from an owner that can commit; `None` once the owner
    /// reports that it can't.
    pub owner_contact: watch::Sender<Option<Instant>>,
    /// Publishes whether the agent has ends that the owner hasn't committed.
    pub has_uncommitted_ends: watch::Sender<bool>,
    /// Logger for decisions.
    pub logger: Logger,
    /// Metrics.
    pub metrics: Metrics,
}

/// State of an agent.
struct Agent {
    context: AgentContext,
    client: CellClient,
    events: mpsc::Sender<AgentEvent>,
    calls: CallQueue,
    /// Cancelled at the end of the session; ends its calls.
    session_end: CancellationToken,
    /// Status in effect.
    status: Option<WorkerStatus>,
    announced_status: AnnouncedStatus,
    /// Newest known state of the zone.
    evacuation: EvacuationNotice,
    /// Current incarnation of the worker; empty until the worker has responded.
    incarnation: WorkerIncarnation,
    /// Time at which the last call to which the incarnation has responded was sent.
    identified_at: Option<Instant>,
    unverified_heartbeats: UnverifiedHeartbeats,
    refuted_heartbeats: OddEntries,
    /// Clock and number of the last heartbeat of the incarnation.
    last_heartbeat: Option<(u64, u64)>,
    /// Highest reading of the incarnation.
    clock: ClockReading,
    /// Latest end of a lease that an earlier process of this agent may have passed on; `None` until
    /// the worker has responded to this one.
    earlier_leases_until_ms: Option<u64>,
    epoch: u64,
    session: SessionToken,
    lease_until_ms: Option<u64>,
    /// Earliest time at which the lease may have expired; the owner waits longer.
    lease_end: Option<Instant>,
    forget_until: u64,
    accepted_order: u64,
    running: Vec<RunningTask>,
    ended: Vec<EndedTask>,
    has_listing: bool,
    is_reachable: bool,
    refused: Vec<RefusedStart>,
    unconfirmed_starts: UnconfirmedStarts,
    started_runs: StartedRuns,
    pacer: Pacer,
    sync_number: u64,
    is_syncing: bool,
    next_sync_at: Instant,
    is_reporting: bool,
    is_polling: bool,
    needs_report: bool,
    has_sent_estimates: bool,
    next_full_report_at: Instant,
    next_report_at: Instant,
}

/// Runs an agent until `closing` is cancelled; `events` is the sender of the channel of `inbox`.
pub async fn run_agent(
    context: AgentContext,
    events: mpsc::Sender<AgentEvent>,
    mut inbox: mpsc::Receiver<AgentEvent>,
    closing: CancellationToken,
) {
    let now = context.clock.now();
    let mut agent = Agent::new(context, events, now);
    loop {
        let now = agent.context.clock.now();
        let delay = agent.next_wake(now).saturating_duration_since(now);
        tokio::select! {
            Some(event) = inbox.recv() => {
                agent.handle_event(event);
                while let Ok(event) = inbox.try_recv() {
                    agent.handle_event(event);
                }
            }
            () = sleep(delay) => {}
            () = closing.cancelled() => return,
        }
        agent.send_due_calls();
    }
}

impl Agent {
    fn new(context: AgentContext, events: mpsc::Sender<AgentEvent>, now: Instant) -> Self {
        let refuted_heartbeats = OddEntries::new(context.metrics.clone(), context.logger.clone());
        Self {
            context,
            client: CellClient::default(),
            events,
            calls: CallQueue::default(),
            session_end: CancellationToken::new(),
            status: None,
            announced_status: AnnouncedStatus::default(),
            evacuation: EvacuationNotice::default(),
            incarnation: WorkerIncarnation::new(),
            identified_at: None,
            unverified_heartbeats: UnverifiedHeartbeats::default(),
            refuted_heartbeats,
            last_heartbeat: None,
            clock: ClockReading { clock_ms: 0, received_at: now },
            earlier_leases_until_ms: None,
            epoch: 0,
            session: 0,
            lease_until_ms: None,
            lease_end: None,
            forget_until: 0,
            accepted_order: 0,
            running: Vec::new(),
            ended: Vec::new(),
            has_listing: false,
            is_reachable: true,
            refused: Vec::new(),
            unconfirmed_starts: UnconfirmedStarts::default(),
            started_runs: StartedRuns::default(),
            pacer: Pacer::new(PACING),
            sync_number: 0,
            is_syncing: false,
            next_sync_at: now,
            is_reporting: false,
            is_polling: false,
            needs_report: true,
            has_sent_estimates: false,
            next_full_report_at: now,
            next_report_at: now,
        }
    }

    fn next_wake(&self, now: Instant) -> Instant {
        let mut wake = now + FULL_REPORT_INTERVAL;
        if !self.is_syncing && self.session != 0 {
            wake = wake.min(self.next_sync_at);
        }
        if !self.is_reporting || !self.is_polling {
            wake = wake.min(self.next_report_at.max(now + Duration::from_millis(1)));
        }
        if let Some(retry_at) = self.calls.next_retry_at() {
            wake = wake.min(retry_at.max(now + Duration::from_millis(1)));
        }
        if let Some(call_at) = self.unverified_heartbeats.next_call_at() {
            wake = wake.min(call_at);
        }
        wake
    }

    fn handle_event(&mut self, event: AgentEvent) {
        match event {
            AgentEvent::Heartbeat(heartbeat) => self.handle_heartbeat(heartbeat),
            AgentEvent::Synced { number, sent_at, result } => {
                self.handle_sync_result(number, sent_at, result);
            }
            AgentEvent::Reported {
                incarnation,
                is_poll,
                refused_count,
                sent_at,
                clock,
                response,
            } => {
                // A response about an earlier incarnation must not discard unprocessed ends of the
                // current one.
                let response = response.filter(|_| incarnation == self.incarnation);
                self.handle_report_response(is_poll, refused_count, sent_at, clock, response);
            }
            AgentEvent::Started { session, order, result } => {
                self.calls.start_completed();
                if session == self.session {
                    self.handle_start_result(*order, result);
                }
            }
            AgentEvent::Stopped { session, task, attempt, result } => {
                self.calls.other_completed();
                if session == self.session {
                    self.handle_stop_result(&task, attempt, result);
                }
            }
            AgentEvent::Paced { session, change, result } => {
                self.calls.other_completed();
                self.handle_pace_result(session, &change, result);
            }
            AgentEvent::Identified { key, sent_at, result } => {
                self.handle_identify_result(key, sent_at, &result);
            }
        }
    }

    fn send_due_calls(&mut self) {
        let now = self.context.clock.now();
        let has_uncommitted_ends = !self.ended.is_empty();
        self.context.has_uncommitted_ends.send_if_modified(|published| {
            std::mem::replace(published, has_uncommitted_ends) != has_uncommitted_ends
        });
        if self.session != 0 && !self.is_syncing && now >= self.next_sync_at {
            self.send_sync(now);
        }
        self.send_queued_calls(now);
        self.send_identify_calls(now);
        if now < self.next_report_at {
            return;
        }
        let Some(owner) = self.context.known_owner.borrow().address else { return };
        if now >= self.next_full_report_at {
            self.needs_report = true;
        }
        if self.needs_report && !self.is_reporting {
            self.is_reporting = true;
            self.needs_report = false;
            let report = self.build_report(true, now);
            self.send_report(owner, report);
        }
        if !self.is_polling && self.session != 0 {
            self.is_polling = true;
            let report = self.build_report(false, now);
            self.send_report(owner, report);
        }
    }

    fn handle_heartbeat(&mut self, heartbeat: Heartbeat) {
        let now = self.context.clock.now();
        let is_current = heartbeat.status.incarnation() == self.incarnation;
        if is_current && heartbeat.clock_ms <= self.highest_clock_ms(now) {
            self.apply_heartbeat(heartbeat);
        } else {
            self.unverified_heartbeats.push(heartbeat, now);
        }
    }

    /// Takes the status from a heartbeat of the current incarnation, unless a later one has overtaken it.
    fn apply_heartbeat(&mut self, heartbeat: Heartbeat) {
        let Heartbeat { number, status, clock_ms } = heartbeat;
        let order = (clock_ms, number);
        if self.last_heartbeat.is_some_and(|last| order < last) {
            return;
        }
        self.last_heartbeat = Some(order);
        if self.clock.clock_ms > 0 {
            let lowest_ms = self.lowest_clock_ms(self.context.clock.now());
            self.note_clock(Some(clock_ms.min(lowest_ms)));
        }
        let status = self.announced_status.announce(status);
        if self.status.as_ref() != Some(&status) {
            if status.is_draining {
                info!(self.context.logger, "worker is draining"; "worker" => &self.incarnation,
                    "remaining_ms" => status.remaining_ms);
            }
            self.needs_report = true;
            self.status = Some(status);
        }
    }

    fn send_identify_calls(&mut self, now: Instant) {
        while let Some((key, heartbeat)) = self.unverified_heartbeats.next_due(now) {
            let worker = heartbeat.status.worker.clone();
            let call = AddressedCall { worker, session: self.session, call: WorkerCall::Identify };
            let (limit, adapter) = (call.call.timeout(), self.context.worker.clone());
            let events = self.events.clone();
            tokio::spawn(async move {
                let result = with_timeout(limit, adapter(call)).await;
                drop(events.send(AgentEvent::Identified { key, sent_at: now, result }).await);
            });
        }
    }

    fn handle_identify_result(
        &mut self,
        key: HeartbeatKey,
        sent_at: Instant,
        result: &Result<WorkerResponse, WorkerError>,
    ) {
        let now = self.context.clock.now();
        let Some(heartbeat) = self.unverified_heartbeats.get(key) else { return };
        let known_worker = (!self.incarnation.is_empty()).then(|| worker_of(&self.incarnation));
        let is_current = heartbeat.status.incarnation() == self.incarnation;
        // The current incarnation may have started after the response was sent.
        let is_outdated = self.identified_at.is_some_and(|identified_at| sent_at < identified_at);
        match verify(heartbeat, result, known_worker) {
            Verdict::Confirmed if is_outdated && !is_current => {
                self.unverified_heartbeats.retry(key, now);
            }
            Verdict::Confirmed => {
                let Some(heartbeat) = self.unverified_heartbeats.take(key) else { return };
                if !is_current {
                    let incarnation = heartbeat.status.incarnation();
                    info!(self.context.logger, "worker incarnation started";
                        "worker" => &incarnation, "earlier_life" => &self.incarnation);
                    self.start_incarnation(incarnation);
                }
                self.identified_at = self.identified_at.max(Some(sent_at));
                self.note_clock(result.as_ref().ok().and_then(|response| response.clock_ms));
                self.apply_heartbeat(heartbeat);
            }
            Verdict::Refuted(field) => {
                let Some(heartbeat) = self.unverified_heartbeats.take(key) else { return };
                self.context.metrics.count("heartbeats_refuted");
                let worker = &heartbeat.status.worker;
                self.refuted_heartbeats.report(
                    REFUTED_HEARTBEAT,
                    (worker, field),
                    worker,
                    format!("{field}: denied by the worker {}", self.incarnation),
                );
            }
            Verdict::Unknown => self.unverified_heartbeats.retry(key, now),
        }
    }

    /// Highest reading that the worker's clock can have reached by now.
    fn highest_clock_ms(&self, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.clock.received_at) + CLOCK_TOLERANCE;
        self.clock.clock_ms.saturating_add(elapsed.as_millis() as u64)
    }

    /// Reading that the worker's clock has reached by now.
    fn lowest_clock_ms(&self, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.clock.received_at);
        let elapsed = elapsed.mul_f64(1.0 - MAX_CLOCK_DRIFT);
        self.clock.clock_ms.saturating_add(elapsed.as_millis() as u64)
    }

    /// Keeps the highest reading of the worker's clock. A single wrong one must not hide all later ones.
    fn note_clock(&mut self, clock_ms: Option<u64>) {
        let Some(clock_ms) = clock_ms else { return };
        let now = self.context.clock.now();
        let is_first = self.clock.clock_ms == 0;
        let clock_ms = if is_first { clock_ms } else { clock_ms.min(self.highest_clock_ms(now)) };
        if clock_ms > self.clock.clock_ms {
            self.clock = ClockReading { clock_ms, received_at: now };
        }
    }

    fn start_incarnation(&mut self, incarnation: WorkerIncarnation) {
        self.context.metrics.count("worker_incarnations");
        self.incarnation = incarnation;
        self.identified_at = None;
        self.last_heartbeat = None;
        self.announced_status = AnnouncedStatus::default();
        self.clock = ClockReading { clock_ms: 0, received_at: self.context.clock.now() };
        self.earlier_leases_until_ms = None;
        self.session = 0;
        self.lease_until_ms = None;
        self.lease_end = None;
        self.forget_until = 0;
        self.ended.clear();
        self.is_reachable = true;
        self.pacer = Pacer::new(PACING);
        self.reset_session_state();
    }

    fn reset_session_state(&mut self) {
        self.calls.clear();
        std::mem::take(&mut self.session_end).cancel();
        self.accepted_order = 0;
        self.running.clear();
        self.has_listing = false;
        self.refused.clear();
        self.unconfirmed_starts = UnconfirmedStarts::default();
        self.started_runs = StartedRuns::default();
        self.has_sent_estimates = false;
        self.is_syncing = false;
        self.sync_number += 1;
        self.next_sync_at = self.context.clock.now();
    }

    fn send_sync(&mut self, now: Instant) {
        self.is_syncing = true;
        self.sync_number += 1;
        let number = self.sync_number;
        let wait = if self.has_listing { SYNC_WAIT } else { Duration::ZERO };
        // A worker that has restarted since its last response would take the lease, and the
        // acknowledgement of ends, for its own.
        let lease_until_ms = self.lease_until_ms.filter(|_| self.is_reachable);
        let forget_until = if self.is_reachable { self.forget_until } else { 0 };
        let call = WorkerCall::Sync { lease_until_ms, forget_until, wait };
        let (limit, call) = (call.timeout(), self.addressed(call));
        let (worker, events) = (self.context.worker.clone(), self.events.clone());
        tokio::spawn(async move {
            let result = with_timeout(limit, worker(call)).await;
            drop(events.send(AgentEvent::Synced { number, sent_at: now, result }).await);
        });
    }

    fn handle_sync_result(
        &mut self,
        number: u64,
        sent_at: Instant,
        result: Result<WorkerResponse, WorkerError>,
    ) {
        if number != self.sync_number {
            return;
        }
        self.is_syncing = false;
        let now = self.context.clock.now();
        let response = match result {
            Ok(response) => response,
            Err(error) => {
                self.context.metrics.count("worker_calls_failed");
                if matches!(&error, WorkerError::Refused { reason } if reason == OTHER_WORKER) {
                    self.context.metrics.count("worker_identity_conflicts");
                }
                if self.is_reachable {
                    warn!(self.context.logger, "worker unreachable"; "worker" => &self.incarnation,
                        "error" => %error);
                }
                self.needs_report |= self.is_reachable;
                self.is_reachable = false;
                self.next_sync_at = now + WORKER_RETRY_DELAY;
                return;
            }
        };
        let known_started_unix_ms = self.status.as_ref().map(|status| status.started_unix_ms);
        if response.started_unix_ms.is_some() && response.started_unix_ms != known_started_unix_ms {
            self.handle_worker_restart(&response, sent_at);
            return;
        }
        self.identified_at = self.identified_at.max(Some(sent_at));
        if !self.is_reachable {
            info!(self.context.logger, "worker reachable again"; "worker" => &self.incarnation);
            self.is_reachable = true;
            self.needs_report = true;
        }
        self.note_clock(response.clock_ms);
        // An earlier process had leases for earlier readings only.
        if let Some(clock_ms) = response.clock_ms.filter(|_| response.started_unix_ms.is_some()) {
            let until_ms = clock_ms.saturating_add(MAX_LEASE.as_millis() as u64);
            self.earlier_leases_until_ms.get_or_insert(until_ms);
        }
        self.next_sync_at = now;
        if let Some(listing) = response.listing {
            self.process_listing(listing, response.has_missing_rows, sent_at, now);
        }
        if !self.has_listing {
            self.next_sync_at = now + WORKER_RETRY_DELAY;
        }
    }

    /// Handles a response from another incarnation than the current one, under the same identifier.
    fn handle_worker_restart(&mut self, response: &WorkerResponse, sent_at: Instant) {
        let (Some(status), Some(started_unix_ms)) =
            (self.status.as_mut(), response.started_unix_ms)
        else {
            return;
        };
        status.started_unix_ms = started_unix_ms;
        // The new incarnation may have another capacity; its first heartbeat tells.
        status.capacity = Resources::default();
        let incarnation = status.incarnation();
        info!(self.context.logger, "worker restarted"; "worker" => &incarnation);
        self.start_incarnation(incarnation);
        self.identified_at = Some(sent_at);
        self.note_clock(response.clock_ms);
        self.needs_report = true;
    }

    fn process_listing(
        &mut self,
        listing: WorkerListing,
        has_missing_rows: bool,
        sent_at: Instant,
        now: Instant,
    ) {
        let mut listing = listing;
        listing.ended.retain(|end| end.number > self.forget_until);
        let last_known = self.ended.last().map_or(self.forget_until, |end| end.number);
        let last_listed = listing.ended.last().map_or(0, |end| end.number);
        if last_listed > last_known || !self.has_listing {
            self.needs_report = true;
        } else if !listing.ended.is_empty() {
            self.next_sync_at = now + UNCOMMITTED_ENDS_DELAY;
        }
        for end in &listing.ended {
            self.calls.remove_stop(&end.task, end.attempt);
        }
        let earlier_ends = std::mem::replace(&mut self.ended, listing.ended);
        if has_missing_rows {
            self.keep_unlisted_ends(earlier_ends);
        }
        self.started_runs.remove_ended(&self.ended);
        // Without a list of the current runs, nothing is known of a run that isn't listed.
        if let Some(running) = listing.running {
            // The owner takes a run that the first list of a session lacks for one that never started, so
            // it gets only ends until there is a complete one. Their acknowledgement shortens the list.
            self.has_listing |= !has_missing_rows;
            if !self.has_listing {
                self.context.metrics.count("listings_incomplete");
            }
            let earlier = std::mem::replace(&mut self.running, running);
            self.started_runs.add_listed(&self.running, now);
            if has_missing_rows {
                self.keep_unlisted_runs(earlier);
            } else {
                self.report_missing_runs(sent_at, now);
            }
        }
        let capacity = self.status.as_ref().map_or(0, |status| status.capacity.cpu_milli);
        let was_paused = self.pacer.is_paused();
        let changes = self.pacer.observe(&self.running, capacity, now);
        if self.pacer.is_paused() != was_paused {
            info!(self.context.logger, "best-effort tasks paused or resumed";
                "worker" => &self.incarnation, "is_paused" => self.pacer.is_paused(),
                "tail_to_target" => self.pacer.tail_to_target(), "tasks" => changes.len());
        }
        let metrics = &self.context.metrics;
        metrics.gauge("tail_to_target_percent", (100.0 * self.pacer.tail_to_target()) as u64);
        metrics.gauge("runs", self.running.len() as u64);
        for change in changes {
            self.context.metrics.count("paces_set");
            self.calls.push_pace(change);
        }
    }

    /// Keeps the ends that a listing with missing rows may lack: without them, the owner would take runs
    /// that have ended for lost.
    fn keep_unlisted_ends(&mut self, earlier: Vec<EndedTask>) {
        let is_listed = |end: &EndedTask| self.ended.iter().any(|other| other.number == end.number);
        let is_open = |end: &EndedTask| end.number > self.forget_until && !is_listed(end);
        let unlisted: Vec<EndedTask> = earlier.into_iter().filter(is_open).collect();
        self.ended.extend(unlisted);
        self.ended.sort_by_key(|end| end.number);
    }

    /// Keeps the runs that a listing with missing rows may lack, so that the owner doesn't take them for
    /// ended.
    fn keep_unlisted_runs(&mut self, earlier: Vec<RunningTask>) {
        let is_listed = |run: &RunningTask| {
            self.running.iter().any(|other| other.task == run.task)
                || self.ended.iter().any(|end| end.task == run.task && end.attempt == run.attempt)
        };
        let unlisted: Vec<RunningTask> =
            earlier.into_iter().filter(|run| !is_listed(run)).collect();
        self.running.extend(unlisted);
    }

    /// Reports the attempts that a complete listing shows not to run, now or later: runs whose ends are
    /// lost, and starts that were stopped. An accepted start that it lacks is stopped first.
    fn report_missing_runs(&mut self, requested_at: Instant, now: Instant) {
        let mut gone = Vec::new();
        for run in self.started_runs.take_missing(&self.running, requested_at) {
            let MissingRun { task, attempt, was_listed } = run;
            let reason = if was_listed { END_LOST } else { NEVER_LISTED };
            warn!(self.context.logger, "run is missing"; "request_id" => &task.job,
                "task" => %task, "attempt" => attempt, "reason" => reason);
            self.context.metrics.count("runs_missing");
            if was_listed {
                gone.push(RefusedStart { task, attempt, reason: reason.to_owned() });
            } else {
                self.unconfirmed_starts.add(&task, attempt, now);
                self.calls.push_stop(task, attempt, now);
            }
        }
        let not_started = self.unconfirmed_starts.resolve(&self.running, &self.ended, requested_at);
        for start in &not_started {
            info!(self.context.logger, "start never ran"; "request_id" => &start.task.job,
                "task" => %start.task, "attempt" => start.attempt, "reason" => &start.reason);
        }
        gone.extend(not_started);
        self.needs_report |= !gone.is_empty();
        self.refused.extend(gone);
    }

    fn build_report(&mut self, is_full: bool, now: Instant) -> Report {
        // Ends stay valid under a new session, and the worker may fail or shut down before it lists
        // them again.
        let has_content = self.has_listing || !self.ended.is_empty();
        let listing = (is_full && has_content).then(|| WorkerListing {
            running: (self.has_listing && now >= self.next_full_report_at)
                .then(|| self.running.clone()),
            ended: self.ended.clone(),
        });
        if listing.as_ref().is_some_and(|listing| listing.running.is_some()) {
            self.next_full_report_at = now + FULL_REPORT_INTERVAL;
        }
        let estimates =
            (listing.is_some() && !self.has_sent_estimates).then(|| self.pacer.estimates().clone());
        self.has_sent_estimates |= listing.is_some();
        if is_full {
            let metrics = &self.context.metrics;
            let longest_wait = self.unconfirmed_starts.longest_wait(now);
            metrics.gauge("starts_unconfirmed", self.unconfirmed_starts.len() as u64);
            metrics.gauge("start_unconfirmed_ms", longest_wait.as_millis() as u64);
            metrics.gauge("starts_waiting", self.calls.waiting_start_count() as u64);
            metrics.gauge("stops_pending", self.calls.pending_stop_count() as u64);
        }
        Report {
            cell: self.context.cell,
            agent: self.context.instance.clone(),
            started_unix_ms: self.context.started_unix_ms,
            address: self.context.address.clone(),
            session: self.session,
            status: self.status.clone(),
            worker_clock_ms: self.clock.clock_ms,
            is_worker_reachable: self.is_reachable,
            listing,
            refused: if is_full { self.refused.clone() } else { Vec::new() },
            accepted_order: self.accepted_order,
            forgot_until: self.forget_until,
            interference_version: self.pacer.estimates().version,
            interference: estimates,
            wait_ms: if is_full { 0 } else { REPORT_WAIT.as_millis() as u64 },
            known_leases: self.known_leases(now),
        }
    }

    /// The leases of the worker, if they are all known and the owner can read them.
    fn known_leases(&self, now: Instant) -> Option<KnownLeases> {
        if !self.context.known_owner.borrow().reads_known_leases {
            return None;
        }
        let lease_until_ms = self.earlier_leases_until_ms?.max(self.lease_until_ms.unwrap_or(0));
        let reading_age = now.saturating_duration_since(self.clock.received_at);
        Some(KnownLeases { lease_until_ms, reading_age_ms: reading_age.as_millis() as u64 })
    }

    fn send_report(&self, owner: std::net::SocketAddr, report: Report) {
        let (client, events) = (self.client.clone(), self.events.clone());
        let (is_poll, refused_count) = (report.wait_ms > 0, report.refused.len());
        let incarnation = self.incarnation.clone();
        let (sent_at, clock) = (self.context.clock.now(), self.clock);
        tokio::spawn(async move {
            let response = client.report(owner, report).await.map(Box::new);
            let event = AgentEvent::Reported {
                incarnation,
                is_poll,
                refused_count,
                sent_at,
                clock,
                response,
            };
            drop(events.send(event).await);
        });
    }

    fn handle_report_response(
        &mut self,
        is_poll: bool,
        refused_count: usize,
        sent_at: Instant,
        clock: ClockReading,
        response: Option<Box<ReportResponse>>,
    ) {
        if is_poll {
            self.is_polling = false;
        } else {
            self.is_reporting = false;
        }
        let now = self.context.clock.now();
        let Some(response) = response.filter(|response| response.epoch >= self.epoch.max(1)) else {
            self.needs_report = true;
            self.next_report_at = now + RETRY_DELAY;
            return;
        };
        self.epoch = response.epoch;
        self.context.owner_contact.send_replace((!response.is_store_lost).then_some(now));
        let start_by = self.apply_evacuation_notice(response.evacuation, sent_at);
        if response.session > self.session {
            info!(self.context.logger, "session started"; "worker" => &self.incarnation,
                "session" => response.session, "epoch" => response.epoch);
            self.session = response.session;
            self.reset_session_state();
            self.next_full_report_at = now;
        } else if response.session == self.session {
            self.refused.drain(..refused_count.min(self.refused.len()));
        }
        if response.session != self.session || response.session == 0 {
            return;
        }
        if let Some(estimates) = response.interference {
            debug!(self.context.logger, "interference estimates updated";
                "version" => estimates.version, "pairs" => estimates.pairs.len());
            self.pacer.set_estimates(estimates);
        }
        self.note_lease(response.lease_until_ms, clock);
        if response.forget_until > self.forget_until {
            self.forget_until = response.forget_until;
            self.ended.retain(|end| end.number > response.forget_until);
            self.next_sync_at = now;
        }
        for (number, order) in (response.first_order..).zip(response.orders) {
            if number == self.accepted_order + 1 {
                self.accepted_order = number;
                self.execute_order(order, start_by);
            }
        }
    }

    /// Keeps the newest state of the zone, since responses may overtake each other. Returns the time by
    /// which start calls must be sent, if there is a limit.
    fn apply_evacuation_notice(
        &mut self,
        notice: EvacuationNotice,
        sent_at: Instant,
    ) -> Option<Instant> {
        let known = self.evacuation;
        if notice.version >= known.version {
            if notice.is_evacuated != known.is_evacuated {
                info!(self.context.logger, "evacuation of the worker's availability zone changed";
                    "worker" => &self.incarnation, "is_evacuated" => notice.is_evacuated);
            }
            self.evacuation = notice;
        }
        let valid_for = notice.valid_for_ms.map(Duration::from_millis);
        valid_for.map(|valid_for| sent_at + valid_for.min(MAX_ORDER_VALIDITY))
    }

    /// Records a lease that was granted for a reading of the worker's clock.
    fn note_lease(&mut self, lease_until_ms: Option<u64>, clock: ClockReading) {
        let Some(lease_until_ms) = lease_until_ms else { return };
        self.lease_until_ms = self.lease_until_ms.max(Some(lease_until_ms));
        let lease = Duration::from_millis(lease_until_ms.saturating_sub(clock.clock_ms));
        let end = clock.received_at + lease.min(MAX_ORDER_VALIDITY);
        self.lease_end = self.lease_end.max(Some(end));
    }

    fn execute_order(&mut self, order: Order, start_by: Option<Instant>) {
        match order {
            Order::Start(order) => self.calls.push_start(WaitingStart { order, start_by }),
            Order::Stop(task, attempt) => {
                info!(self.context.logger, "stop order received"; "request_id" => &task.job,
                    "task" => %task, "attempt" => attempt);
                match self.calls.remove_start(&task, attempt) {
                    Some(start) => self.record_refusal(&start, STOPPED),
                    None => self.calls.push_stop(task, attempt, self.context.clock.now()),
                }
            }
            Order::Traits(traits) => self.pacer.set_traits(traits),
        }
    }

    /// Sends the calls that are due, and refuses the starts that must not be sent any more.
    fn send_queued_calls(&mut self, now: Instant) {
        while let Some((task, attempt)) = self.calls.next_stop(now) {
            self.send_stop(task, attempt);
        }
        while let Some(change) = self.calls.next_pace() {
            self.send_pace(change);
        }
        let mut calls = std::mem::take(&mut self.calls);
        for (order, reason) in calls.refuse_starts(|start| self.start_refusal(start, now)) {
            self.record_refusal(&order, reason);
        }
        self.calls = calls;
        // A new run works at full pace until it is listed, so that starts during a pause would undo it.
        let pacer = &self.pacer;
        let is_held = |order: &StartOrder| pacer.is_paused() && pacer.is_best_effort(&order.task);
        while let Some(order) = self.calls.next_start(is_held) {
            self.send_start(order);
        }
    }

    /// Reason for which a start must not be sent now.
    fn start_refusal(&self, start: &WaitingStart, now: Instant) -> Option<&'static str> {
        let Some(status) = self.status.as_ref() else { return Some(NO_LEASE) };
        let arrives_by = now + WORKER_CALL_TIMEOUT;
        if status.is_draining {
            return Some(DRAINING);
        }
        if !self.is_reachable {
            return Some(UNREACHABLE);
        }
        // The owner reclaims the task once the lease has expired.
        if self.lease_end.is_none_or(|lease_end| lease_end < arrives_by) {
            return Some(NO_LEASE);
        }
        // The owner has counted all that runs or is about to run against `planned_capacity`, so the
        // start is safe as long as the worker has at least that.
        if !status.capacity.can_fit(&start.order.planned_capacity) {
            return Some(CAPACITY_SHRANK);
        }
        if self.evacuation.is_evacuated {
            return Some(EVACUATED);
        }
        start.start_by.filter(|start_by| *start_by < now).map(|_| START_EXPIRED)
    }

    fn send_start(&self, order: StartOrder) {
        let session = self.session;
        let lease_until_ms = self.lease_until_ms.unwrap_or(0);
        let call = WorkerCall::Start { order: order.clone(), lease_until_ms };
        self.send_call(call, move |result| AgentEvent::Started {
            session,
            order: Box::new(order),
            result,
        });
    }

    fn handle_start_result(
        &mut self,
        order: StartOrder,
        result: Result<WorkerResponse, WorkerError>,
    ) {
        match result {
            Ok(response) => {
                self.note_clock(response.clock_ms);
                let now = self.context.clock.now();
                self.started_runs.add(&order.task, order.attempt, now);
            }
            Err(WorkerError::Refused { reason }) if reason == "old" => {
                // The worker refuses the attempt as outdated; a later listing shows whether it ran.
                let now = self.context.clock.now();
                self.unconfirmed_starts.add(&order.task, order.attempt, now);
                self.unconfirmed_starts.stop_accepted(&order.task, order.attempt, now);
            }
            Err(WorkerError::Refused { reason }) => self.record_refusal(&order, &reason),
            Err(WorkerError::Unavailable { message }) => {
                warn!(self.context.logger, "start call failed; stopping the attempt";
                    "request_id" => &order.task.job, "task" => %order.task,
                    "attempt" => order.attempt, "error" => message);
                let now = self.context.clock.now();
                self.unconfirmed_starts.add(&order.task, order.attempt, now);
                self.calls.push_stop(order.task, order.attempt, now);
            }
        }
    }

    fn record_refusal(&mut self, order: &StartOrder, reason: &str) {
        self.context.metrics.count("starts_refused");
        info!(self.context.logger, "start refused"; "request_id" => &order.task.job,
            "task" => %order.task, "attempt" => order.attempt, "reason" => reason);
        self.refused.push(RefusedStart {
            task: order.task.clone(),
            attempt: order.attempt,
            reason: reason.to_owned(),
        });
        self.needs_report = true;
    }

    fn send_stop(&self, task: TaskName, attempt: AttemptNumber) {
        let session = self.session;
        let call = WorkerCall::Stop { task: task.clone(), attempt };
        self.send_call(call, move |result| AgentEvent::Stopped { session, task, attempt, result });
    }

    fn handle_stop_result(
        &mut self,
        task: &TaskName,
        attempt: AttemptNumber,
        result: Result<WorkerResponse, WorkerError>,
    ) {
        let now = self.context.clock.now();
        match result {
            Ok(_) => {
                self.calls.remove_stop(task, attempt);
                self.unconfirmed_starts.stop_accepted(task, attempt, now);
            }
            // Only an accepted stop shows that the attempt won't start any more.
            Err(error) => {
                self.context.metrics.count("stops_failed");
                let Some(failure_count) = self.calls.retry_stop(task, attempt, now) else { return };
                if failure_count % STOP_LOG_INTERVAL == 1 {
                    warn!(self.context.logger, "stop call failed; retrying";
                        "request_id" => &task.job, "task" => %task, "attempt" => attempt,
                        "tries" => failure_count, "error" => %error);
                }
            }
        }
    }

    fn send_pace(&self, change: PaceChange) {
        let session = self.session;
        let call = WorkerCall::Pace {
            task: change.task.clone(),
            attempt: change.attempt,
            percent: change.percent,
        };
        self.send_call(call, move |result| AgentEvent::Paced { session, change, result });
    }

    fn handle_pace_result(
        &mut self,
        session: SessionToken,
        change: &PaceChange,
        result: Result<WorkerResponse, WorkerError>,
    ) {
        match result {
            Ok(_) if session == self.session => self.pacer.confirm(change),
            Ok(_) => self.pacer.mark_uncertain(change),
            Err(error) => {
                if matches!(error, WorkerError::Unavailable { .. }) {
                    self.pacer.mark_uncertain(change);
                }
                warn!(self.context.logger, "pace not confirmed"; "task" => %change.task,
                    "attempt" => change.attempt, "error" => %error);
            }
        }
    }

    /// Sends a call of the session; it ends without a response once the session does.
    fn send_call(
        &self,
        call: WorkerCall,
        event: impl FnOnce(Result<WorkerResponse, WorkerError>) -> AgentEvent + Send + 'static,
    ) {
        let (limit, call) = (call.timeout(), self.addressed(call));
        let (worker, events) = (self.context.worker.clone(), self.events.clone());
        let session_end = self.session_end.clone();
        tokio::spawn(async move {
            let result = tokio::select! {
                biased;
                () = session_end.cancelled() => {
                    Err(WorkerError::Unavailable { message: "session has ended".to_owned() })
                }
                result = with_timeout(limit, worker(call)) => result,
            };
            drop(events.send(event(result)).await);
        });
    }

    fn addressed(&self, call: WorkerCall) -> AddressedCall {
        let worker = self.status.as_ref().map_or(String::new(), |status| status.worker.clone());
        AddressedCall { worker, session: self.session, call }
    }
}

async fn with_timeout(
    limit: Duration,
    call: impl Future<Output = Result<WorkerResponse, WorkerError>>,
) -> Result<WorkerResponse, WorkerError> {
    timeout(limit, call).await.unwrap_or_else(|_| {
        Err(WorkerError::Unavailable { message: format!("no response within {limit:?}") })
    })
}

/// Capacity of an agent's event channel.
pub const AGENT_MAILBOX_SIZE: usize = 256;
