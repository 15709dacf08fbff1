//! The agent beside a worker: one task that knows the worker and the owner's orders.
//!
//! It keeps the worker's lease with hold calls, which also list what runs and has ended; it reports
//! that to the owner, and carries out orders. Calls run on their own and come back as events. A
//! start without an answer is made void by a stop of the same attempt ([`voiding`]).

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use slog::{Logger, debug, info, warn};
use teaseltrack::{
    cell::{
        pacing::{PaceChange, Pacer},
        progress::WorkerIncarnation,
        protocol::{
            EndedTask, Order, RefusedStart, Report, ReportResponse, RunningTask, SessionToken,
            StartOrder, TaskName, WorkerListing, WorkerStatus,
        },
    },
    clock::SharedClock,
    ids::{AttemptNumber, InstanceId},
};
use teaseltrack_daemon::metrics::Metrics;
use tokio::{
    sync::{Semaphore, mpsc, watch},
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use crate::{
    agent::voiding::Voiding,
    calls::{CellClient, KnownOwner},
    constants::{
        CALL_TIMEOUT, FULL_REPORT_INTERVAL, HOLD_WAIT, PACING, REPORT_WAIT, RETRY_PAUSE,
        WORKER_CALL_TIMEOUT,
    },
    worker_port::{AddressedCall, WorkerAdapter, WorkerCall, WorkerError, WorkerResponse},
};

pub mod voiding;

/// Pause before the next listing while the owner hasn't committed the ends of the last.
const UNFORGOTTEN_PAUSE: Duration = Duration::from_millis(25);
/// Pause after a worker didn't answer.
const WORKER_RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Starts, stops and paces at the worker at once; each takes a connection.
const MAX_WORKER_CALLS: usize = 6;
/// Tries of a stop; the owner repeats a stop whose run is still listed.
const STOP_TRIES: u32 = 20;

/// What a worker says of itself, and its clock as it said so.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// The worker.
    pub status: WorkerStatus,
    /// Its clock; `None` where it didn't say.
    pub clock_ms: Option<u64>,
}

/// Events of an agent.
#[derive(Debug)]
pub enum AgentEvent {
    /// The worker announced itself.
    Heartbeat(Heartbeat),
    /// A hold came back.
    Held {
        /// Number of the hold.
        number: u64,
        /// When it was sent.
        sent_at: Instant,
        /// Its result.
        result: Result<WorkerResponse, WorkerError>,
    },
    /// A report came back.
    Reported {
        /// Life of the worker that it was about.
        life: WorkerIncarnation,
        /// Whether it waited for news.
        is_poll: bool,
        /// Refused starts that it told of.
        refused_count: usize,
        /// The answer, if one came in time.
        answer: Option<Box<ReportResponse>>,
    },
    /// A start came back.
    Started {
        /// The session that it was sent under.
        session: SessionToken,
        /// The order.
        order: Box<StartOrder>,
        /// Its result.
        result: Result<WorkerResponse, WorkerError>,
    },
    /// A stop came back.
    Stopped {
        /// The session that it was sent under.
        session: SessionToken,
        /// The task.
        task: TaskName,
        /// Its attempt.
        attempt: AttemptNumber,
        /// Whether the worker took it.
        is_taken: bool,
    },
    /// A pace was set.
    Paced(PaceChange),
}

/// What an agent needs.
#[derive(Clone)]
pub struct AgentContext {
    /// The instance.
    pub instance: InstanceId,
    /// Address of the process's inner port.
    pub address: String,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// The worker.
    pub worker: WorkerAdapter,
    /// The clock.
    pub clock: SharedClock,
    /// Who owns the cell.
    pub known_owner: watch::Receiver<KnownOwner>,
    /// When an owner that can commit was last heard; `None` once it says that it can't.
    pub owner_contact: watch::Sender<Option<Instant>>,
    /// Whether ends are known that the owner hasn't committed.
    pub has_uncommitted_ends: watch::Sender<bool>,
    /// Where decisions are told.
    pub logger: Logger,
    /// What is counted.
    pub metrics: Metrics,
}

/// The agent's state.
struct Agent {
    context: AgentContext,
    client: CellClient,
    events: mpsc::Sender<AgentEvent>,
    permits: Arc<Semaphore>,
    status: Option<WorkerStatus>,
    life: WorkerIncarnation,
    clock_ms: u64,
    epoch: u64,
    session: SessionToken,
    lease_until_ms: Option<u64>,
    forget_until: u64,
    taken_order: u64,
    running: Vec<RunningTask>,
    ended: Vec<EndedTask>,
    has_listing: bool,
    is_reachable: bool,
    refused: Vec<RefusedStart>,
    voiding: Voiding,
    pacer: Pacer,
    hold_number: u64,
    is_holding: bool,
    hold_at: Instant,
    is_reporting: bool,
    is_polling: bool,
    needs_report: bool,
    has_told_disturbances: bool,
    full_report_at: Instant,
    report_at: Instant,
}

/// Runs the agent until `closing` is cancelled; `inbox` and `events` are two ends of one channel.
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
        let pause = agent.next_wake(now).saturating_duration_since(now);
        tokio::select! {
            Some(event) = inbox.recv() => {
                agent.take(event);
                while let Ok(event) = inbox.try_recv() {
                    agent.take(event);
                }
            }
            () = sleep(pause) => {}
            () = closing.cancelled() => return,
        }
        agent.act();
    }
}

impl Agent {
    fn new(context: AgentContext, events: mpsc::Sender<AgentEvent>, now: Instant) -> Self {
        Self {
            context,
            client: CellClient::default(),
            events,
            permits: Arc::new(Semaphore::new(MAX_WORKER_CALLS)),
            status: None,
            life: WorkerIncarnation::new(),
            clock_ms: 0,
            epoch: 0,
            session: 0,
            lease_until_ms: None,
            forget_until: 0,
            taken_order: 0,
            running: Vec::new(),
            ended: Vec::new(),
            has_listing: false,
            is_reachable: true,
            refused: Vec::new(),
            voiding: Voiding::default(),
            pacer: Pacer::new(PACING),
            hold_number: 0,
            is_holding: false,
            hold_at: now,
            is_reporting: false,
            is_polling: false,
            needs_report: true,
            has_told_disturbances: false,
            full_report_at: now,
            report_at: now,
        }
    }

    fn next_wake(&self, now: Instant) -> Instant {
        let mut wake = now + FULL_REPORT_INTERVAL;
        if !self.is_holding && self.session != 0 {
            wake = wake.min(self.hold_at);
        }
        if !self.is_reporting || !self.is_polling {
            wake = wake.min(self.report_at.max(now + Duration::from_millis(1)));
        }
        wake
    }

    fn take(&mut self, event: AgentEvent) {
        match event {
            AgentEvent::Heartbeat(announcement) => self.take_announcement(announcement),
            AgentEvent::Held { number, sent_at, result } => self.take_hold(number, sent_at, result),
            AgentEvent::Reported { life, is_poll, refused_count, answer } => {
                // An answer about an earlier life would make ends of this one forgotten unread.
                let answer = answer.filter(|_| life == self.life);
                self.take_answer(is_poll, refused_count, answer);
            }
            AgentEvent::Started { session, order, result } => {
                self.take_start_result(session, *order, result);
            }
            AgentEvent::Stopped { session, task, attempt, is_taken } => {
                if session == self.session && is_taken {
                    self.voiding.stop_taken(&task, attempt, self.context.clock.now());
                }
            }
            AgentEvent::Paced(change) => self.pacer.confirm(&change),
        }
    }

    fn act(&mut self) {
        let now = self.context.clock.now();
        let has_uncommitted_ends = !self.ended.is_empty();
        self.context.has_uncommitted_ends.send_if_modified(|known| {
            std::mem::replace(known, has_uncommitted_ends) != has_uncommitted_ends
        });
        if self.session != 0 && !self.is_holding && now >= self.hold_at {
            self.send_hold(now);
        }
        if now < self.report_at {
            return;
        }
        let Some(owner) = self.context.known_owner.borrow().address else { return };
        if now >= self.full_report_at {
            self.needs_report = true;
        }
        if self.needs_report && !self.is_reporting {
            self.is_reporting = true;
            self.needs_report = false;
            let report = self.report(true, now);
            self.send_report(owner, report);
        }
        if !self.is_polling && self.session != 0 {
            self.is_polling = true;
            let report = self.report(false, now);
            self.send_report(owner, report);
        }
    }

    fn take_announcement(&mut self, announcement: Heartbeat) {
        let Heartbeat { status, clock_ms } = announcement;
        let known_born = self.status.as_ref().map_or(0, |known| known.started_unix_ms);
        if status.started_unix_ms < known_born {
            return;
        }
        let life = status.incarnation();
        if life != self.life {
            info!(self.context.logger, "worker announced itself"; "worker" => &life,
                "earlier_life" => &self.life);
            self.begin_life(life);
        }
        if let Some(clock_ms) = clock_ms {
            self.clock_ms = self.clock_ms.max(clock_ms);
        }
        if self.status.as_ref() != Some(&status) {
            if status.is_draining {
                info!(self.context.logger, "worker is draining"; "worker" => &self.life,
                    "remaining_ms" => status.remaining_ms);
            }
            self.needs_report = true;
            self.status = Some(status);
        }
    }

    fn begin_life(&mut self, life: WorkerIncarnation) {
        self.life = life;
        self.clock_ms = 0;
        self.session = 0;
        self.lease_until_ms = None;
        self.forget_until = 0;
        self.ended.clear();
        self.is_reachable = true;
        self.pacer = Pacer::new(PACING);
        self.drop_session_state();
    }

    fn drop_session_state(&mut self) {
        self.taken_order = 0;
        self.running.clear();
        self.has_listing = false;
        self.refused.clear();
        self.voiding = Voiding::default();
        self.has_told_disturbances = false;
        self.is_holding = false;
        self.hold_number += 1;
        self.hold_at = self.context.clock.now();
    }

    fn send_hold(&mut self, now: Instant) {
        self.is_holding = true;
        self.hold_number += 1;
        let number = self.hold_number;
        let wait = if self.has_listing { HOLD_WAIT } else { Duration::ZERO };
        let call = self.addressed(WorkerCall::Sync {
            lease_until_ms: self.lease_until_ms,
            forget_until: self.forget_until,
            wait,
        });
        let (worker, events) = (self.context.worker.clone(), self.events.clone());
        tokio::spawn(async move {
            let result = within(wait + CALL_TIMEOUT, worker(call)).await;
            drop(events.send(AgentEvent::Held { number, sent_at: now, result }).await);
        });
    }

    fn take_hold(
        &mut self,
        number: u64,
        sent_at: Instant,
        result: Result<WorkerResponse, WorkerError>,
    ) {
        if number != self.hold_number {
            return;
        }
        self.is_holding = false;
        let now = self.context.clock.now();
        let answer = match result {
            Ok(answer) => answer,
            Err(error) => {
                self.context.metrics.count("worker_calls_failed");
                if self.is_reachable {
                    warn!(self.context.logger, "worker lost"; "worker" => &self.life,
                        "error" => %error);
                }
                self.needs_report |= self.is_reachable;
                self.is_reachable = false;
                self.hold_at = now + WORKER_RETRY_PAUSE;
                return;
            }
        };
        let born = self.status.as_ref().map(|status| status.started_unix_ms);
        if answer.started_unix_ms.is_some() && answer.started_unix_ms != born {
            self.take_rebirth(answer.started_unix_ms);
            return;
        }
        if !self.is_reachable {
            info!(self.context.logger, "worker regained"; "worker" => &self.life);
            self.is_reachable = true;
            self.needs_report = true;
        }
        self.clock_ms = self.clock_ms.max(answer.clock_ms.unwrap_or(0));
        self.hold_at = now;
        if let Some(listing) = answer.listing {
            self.take_listing(listing, sent_at, now);
        }
    }

    /// A worker that answers from a later life than it announced.
    fn take_rebirth(&mut self, born_unix_ms: Option<u64>) {
        let (Some(status), Some(born_unix_ms)) = (self.status.as_mut(), born_unix_ms) else {
            return;
        };
        if born_unix_ms < status.started_unix_ms {
            return;
        }
        status.started_unix_ms = born_unix_ms;
        let life = status.incarnation();
        info!(self.context.logger, "worker answered from a new life"; "worker" => &life);
        self.begin_life(life);
        self.needs_report = true;
    }

    fn take_listing(&mut self, listing: WorkerListing, sent_at: Instant, now: Instant) {
        let mut listing = listing;
        listing.ended.retain(|end| end.number > self.forget_until);
        let last_known = self.ended.last().map_or(self.forget_until, |end| end.number);
        let last_listed = listing.ended.last().map_or(0, |end| end.number);
        if last_listed > last_known || !self.has_listing {
            self.needs_report = true;
        } else if !listing.ended.is_empty() {
            self.hold_at = now + UNFORGOTTEN_PAUSE;
        }
        self.has_listing = true;
        self.ended = listing.ended;
        if let Some(running) = listing.running {
            self.running = running;
        }
        let void = self.voiding.settle(&self.running, &self.ended, sent_at);
        self.needs_report |= !void.is_empty();
        self.refused.extend(void);
        let capacity = self.status.as_ref().map_or(0, |status| status.capacity.cpu_milli);
        let was_paused = self.pacer.is_paused();
        let changes = self.pacer.observe(&self.running, capacity, now);
        if self.pacer.is_paused() != was_paused {
            info!(self.context.logger, "best-effort tasks paused or resumed";
                "worker" => &self.life, "is_paused" => self.pacer.is_paused(),
                "tail_to_target" => self.pacer.tail_to_target(), "tasks" => changes.len());
        }
        let sharing = &self.context.metrics;
        sharing.gauge("tail_to_target_percent", (100.0 * self.pacer.tail_to_target()) as u64);
        sharing.gauge("runs", self.running.len() as u64);
        for change in changes {
            self.context.metrics.count("paces_set");
            self.send_pace(change);
        }
    }

    fn report(&mut self, is_full: bool, now: Instant) -> Report {
        // Ends stay true under a new session, and the worker may be gone before it lists them again.
        let has_news = self.has_listing || !self.ended.is_empty();
        let listing = (is_full && has_news).then(|| WorkerListing {
            running: (self.has_listing && now >= self.full_report_at).then(|| self.running.clone()),
            ended: self.ended.clone(),
        });
        if listing.as_ref().is_some_and(|listing| listing.running.is_some()) {
            self.full_report_at = now + FULL_REPORT_INTERVAL;
        }
        let disturbances = (listing.is_some() && !self.has_told_disturbances)
            .then(|| self.pacer.estimates().clone());
        self.has_told_disturbances |= listing.is_some();
        Report {
            agent: self.context.instance.clone(),
            started_unix_ms: self.context.started_unix_ms,
            address: self.context.address.clone(),
            session: self.session,
            status: self.status.clone(),
            worker_clock_ms: self.clock_ms,
            is_worker_reachable: self.is_reachable,
            listing,
            refused: if is_full { self.refused.clone() } else { Vec::new() },
            accepted_order: self.taken_order,
            forgot_until: self.forget_until,
            interference_version: self.pacer.estimates().version,
            interference: disturbances,
            wait_ms: if is_full { 0 } else { REPORT_WAIT.as_millis() as u64 },
        }
    }

    fn send_report(&self, owner: std::net::SocketAddr, report: Report) {
        let (client, events) = (self.client.clone(), self.events.clone());
        let (is_poll, refused_count) = (report.wait_ms > 0, report.refused.len());
        let life = self.life.clone();
        tokio::spawn(async move {
            let answer = client.report(owner, report).await.map(Box::new);
            let event = AgentEvent::Reported { life, is_poll, refused_count, answer };
            drop(events.send(event).await);
        });
    }

    fn take_answer(
        &mut self,
        is_poll: bool,
        refused_count: usize,
        answer: Option<Box<ReportResponse>>,
    ) {
        if is_poll {
            self.is_polling = false;
        } else {
            self.is_reporting = false;
        }
        let now = self.context.clock.now();
        let Some(answer) = answer.filter(|answer| answer.epoch >= self.epoch.max(1)) else {
            self.needs_report = true;
            self.report_at = now + RETRY_PAUSE;
            return;
        };
        self.epoch = answer.epoch;
        self.context.owner_contact.send_replace((!answer.is_store_lost).then_some(now));
        if answer.session > self.session {
            info!(self.context.logger, "session begun"; "worker" => &self.life,
                "session" => answer.session, "epoch" => answer.epoch);
            self.session = answer.session;
            self.drop_session_state();
            self.full_report_at = now;
        } else if answer.session == self.session {
            self.refused.drain(..refused_count.min(self.refused.len()));
        }
        if answer.session != self.session || answer.session == 0 {
            return;
        }
        if let Some(known) = answer.interference {
            debug!(self.context.logger, "disturbances learned"; "version" => known.version,
                "pairs" => known.pairs.len());
            self.pacer.set_estimates(known);
        }
        self.lease_until_ms = self.lease_until_ms.max(answer.lease_until_ms);
        if answer.forget_until > self.forget_until {
            self.forget_until = answer.forget_until;
            self.ended.retain(|end| end.number > answer.forget_until);
            self.hold_at = now;
        }
        for (number, order) in (answer.first_order..).zip(answer.orders) {
            if number == self.taken_order + 1 {
                self.taken_order = number;
                self.carry_out(order);
            }
        }
    }

    fn carry_out(&mut self, order: Order) {
        match order {
            Order::Start(start) => self.start(start),
            Order::Stop(task, attempt) => {
                info!(self.context.logger, "stop ordered"; "request_id" => &task.job,
                    "task" => %task, "attempt" => attempt);
                self.send_stop(task, attempt);
            }
            Order::Traits(traits) => self.pacer.set_traits(traits),
        }
    }

    fn start(&mut self, order: StartOrder) {
        let is_draining = self.status.as_ref().is_some_and(|status| status.is_draining);
        let Some(lease_until_ms) = self.lease_until_ms.filter(|_| !is_draining) else {
            let reason = if is_draining { "worker is draining" } else { "no lease" };
            self.refuse(&order, reason);
            return;
        };
        let session = self.session;
        let call = self.addressed(WorkerCall::Start { order: order.clone(), lease_until_ms });
        let (worker, events) = (self.context.worker.clone(), self.events.clone());
        let permits = self.permits.clone();
        tokio::spawn(async move {
            let permit = permits.acquire().await;
            let result = within(WORKER_CALL_TIMEOUT, worker(call)).await;
            drop(permit);
            let event = AgentEvent::Started { session, order: Box::new(order), result };
            drop(events.send(event).await);
        });
    }

    fn take_start_result(
        &mut self,
        session: SessionToken,
        order: StartOrder,
        result: Result<WorkerResponse, WorkerError>,
    ) {
        if session != self.session {
            return;
        }
        match result {
            Ok(answer) => {
                self.clock_ms = self.clock_ms.max(answer.clock_ms.unwrap_or(0));
            }
            Err(WorkerError::Refused { reason }) if reason == "old" => {
                let now = self.context.clock.now();
                self.voiding.begin(&order.task, order.attempt);
                self.voiding.stop_taken(&order.task, order.attempt, now);
            }
            Err(WorkerError::Refused { reason }) => self.refuse(&order, &reason),
            Err(WorkerError::Unavailable { message }) => {
                warn!(self.context.logger, "start without an answer";
                    "request_id" => &order.task.job, "task" => %order.task,
                    "attempt" => order.attempt, "error" => message);
                self.voiding.begin(&order.task, order.attempt);
                self.send_stop(order.task, order.attempt);
            }
        }
    }

    fn refuse(&mut self, order: &StartOrder, reason: &str) {
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
        let call = self.addressed(WorkerCall::Stop { task: task.clone(), attempt });
        let (worker, events) = (self.context.worker.clone(), self.events.clone());
        let permits = self.permits.clone();
        tokio::spawn(async move {
            let mut is_taken = false;
            for _ in 0..STOP_TRIES {
                let permit = permits.acquire().await;
                let result = within(WORKER_CALL_TIMEOUT, worker(call.clone())).await;
                drop(permit);
                is_taken = result.is_ok();
                if is_taken || matches!(result, Err(WorkerError::Refused { .. })) {
                    break;
                }
                sleep(RETRY_PAUSE).await;
            }
            let event = AgentEvent::Stopped { session, task, attempt, is_taken };
            drop(events.send(event).await);
        });
    }

    fn send_pace(&self, change: PaceChange) {
        let call = self.addressed(WorkerCall::Pace {
            task: change.task.clone(),
            attempt: change.attempt,
            percent: change.percent,
        });
        let (worker, events) = (self.context.worker.clone(), self.events.clone());
        let (permits, logger) = (self.permits.clone(), self.context.logger.clone());
        tokio::spawn(async move {
            let permit = permits.acquire().await;
            let result = within(WORKER_CALL_TIMEOUT, worker(call)).await;
            drop(permit);
            match result {
                Ok(_) => drop(events.send(AgentEvent::Paced(change)).await),
                Err(error) => warn!(logger, "pace not taken"; "task" => %change.task,
                    "attempt" => change.attempt, "error" => %error),
            }
        });
    }

    fn addressed(&self, call: WorkerCall) -> AddressedCall {
        let worker = self.status.as_ref().map_or(String::new(), |status| status.worker.clone());
        AddressedCall { worker, session: self.session, call }
    }
}

async fn within(
    limit: Duration,
    call: impl Future<Output = Result<WorkerResponse, WorkerError>>,
) -> Result<WorkerResponse, WorkerError> {
    timeout(limit, call).await.unwrap_or_else(|_| {
        Err(WorkerError::Unavailable { message: format!("nothing within {limit:?}") })
    })
}

/// Orders that an agent's channel may hold.
pub const AGENT_MAILBOX_SIZE: usize = 256;
