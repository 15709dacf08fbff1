//! The task that owns the target's slots and queue.
//!
//! A slot is freed when the target has answered or closed the connection, not when the caller stops
//! waiting: a frozen target keeps its slots until it thaws or another process takes its place.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use slog::{Logger, info, warn};
use teaseltrack::{
    admission::{
        Admission, AdmissionDecision, AdmissionLimits, Dispatched, PermitKey, Refusal, RequestMeta,
        TicketKey,
    },
    clock::SharedClock,
    membership::Announcement,
    outcome::ErrorKind,
    routing::LoadReport,
};
use teaseltrack_daemon::metrics::Metrics;
use teaseltrack_node::{
    clients::ControlClients,
    gossip::push_announcement,
    node::{NodeHandle, NodeMessage},
};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{Instant, MissedTickBehavior, interval},
};

use crate::announce::TargetAnnouncement;

/// Messages that may wait for the task.
const INBOX_MESSAGES: usize = 4_096;
/// Time between looks for a lapsed announcement.
const TICK: Duration = Duration::from_millis(200);
/// Advice on when to try again after a refusal that isn't the queue's.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// A slot of the target.
#[derive(Clone, Debug)]
pub struct Permit {
    /// The slot.
    pub key: PermitKey,
    /// The life of the target that it belongs to.
    pub generation: u64,
    /// Where the target takes requests.
    pub target: SocketAddr,
}

/// A request that is offered.
#[derive(Debug)]
pub struct RequestOffer {
    /// Service that the request is for.
    pub service: String,
    /// What admission needs to know.
    pub meta: RequestMeta,
    /// Gets the slot or the refusal.
    pub reply: oneshot::Sender<Result<Permit, Refusal>>,
}

/// A message to the task.
#[derive(Debug)]
pub enum CapacityMessage {
    /// A request is offered.
    Offer(RequestOffer),
    /// A request has ended; with its latency if the target answered.
    Release(Permit, Option<Duration>),
    /// The target announced itself.
    Announce(TargetAnnouncement),
    /// The target leaves; answered when its requests have ended.
    Withdraw(oneshot::Sender<()>),
    /// The agent stops; answered when all requests have ended.
    Drain(oneshot::Sender<()>),
}

/// Counts for the status report.
#[derive(Clone, Copy, Debug, Default)]
pub struct CapacityStatus {
    /// Load at present.
    pub load: LoadReport,
    /// Requests started so far.
    pub started: u64,
    /// Requests refused so far.
    pub refused: u64,
    /// Most requests that ran at once.
    pub max_in_flight: u32,
    /// Smoothed service latency over its remembered minimum.
    pub latency_ratio: f64,
}

/// Sender to the task, cheap to clone.
#[derive(Clone, Debug)]
pub struct CapacityHandle {
    sender: mpsc::Sender<CapacityMessage>,
    status: watch::Receiver<CapacityStatus>,
}

impl CapacityHandle {
    /// Sends a message.
    pub async fn tell(&self, message: CapacityMessage) {
        self.sender.send(message).await.ok();
    }

    /// Sends a message and waits for the reply; `None` when the task has ended.
    pub async fn ask<T>(
        &self,
        message: impl FnOnce(oneshot::Sender<T>) -> CapacityMessage,
    ) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.sender.send(message(reply)).await.ok()?;
        answer.await.ok()
    }

    /// Counts as last published.
    pub fn status(&self) -> CapacityStatus {
        *self.status.borrow()
    }

    /// Load as last published.
    pub fn load(&self) -> LoadReport {
        self.status().load
    }
}

/// Bounds of the target, from the settings.
#[derive(Clone, Copy, Debug)]
pub struct CapacityLimits {
    /// Most requests at once.
    pub max_slots: u32,
    /// Requests of one class that may wait.
    pub queue_per_class: usize,
    /// Time after its last announcement when the target is taken to be gone.
    pub announcement_ttl: Duration,
}

struct AnnouncedTarget {
    announcement: TargetAnnouncement,
    renewed_at: Instant,
    is_present: bool,
}

struct CapacityTask {
    logger: Logger,
    clock: SharedClock,
    metrics: Metrics,
    limits: CapacityLimits,
    node: NodeHandle,
    clients: ControlClients,
    admission: Admission,
    generation: u64,
    target: Option<AnnouncedTarget>,
    waiting: HashMap<TicketKey, oneshot::Sender<Result<Permit, Refusal>>>,
    drained: Vec<oneshot::Sender<()>>,
    is_stopping: bool,
    counts: CapacityStatus,
    status: watch::Sender<CapacityStatus>,
}

/// What the task needs beside its limits.
pub struct CapacityContext {
    /// Logs.
    pub logger: Logger,
    /// Clock.
    pub clock: SharedClock,
    /// Metrics.
    pub metrics: Metrics,
    /// The node, which tells the fleet of the target.
    pub node: NodeHandle,
    /// Clients of control calls.
    pub clients: ControlClients,
}

/// Starts the task.
pub fn spawn_capacity(limits: CapacityLimits, context: CapacityContext) -> CapacityHandle {
    let (sender, receiver) = mpsc::channel(INBOX_MESSAGES);
    let (status, status_receiver) = watch::channel(CapacityStatus::default());
    let CapacityContext { logger, clock, metrics, node, clients } = context;
    let task = CapacityTask {
        logger,
        clock,
        metrics,
        limits,
        node,
        clients,
        admission: new_admission(&limits, limits.max_slots),
        generation: 0,
        target: None,
        waiting: HashMap::new(),
        drained: Vec::new(),
        is_stopping: false,
        counts: CapacityStatus::default(),
        status,
    };
    tokio::spawn(task.run(receiver));
    CapacityHandle { sender, status: status_receiver }
}

fn new_admission(limits: &CapacityLimits, slots: u32) -> Admission {
    let slots = slots.min(limits.max_slots);
    Admission::new(AdmissionLimits { slots, queue_per_class: limits.queue_per_class })
}

impl CapacityTask {
    async fn run(mut self, mut receiver: mpsc::Receiver<CapacityMessage>) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = receiver.recv() => match message {
                    Some(message) => self.handle(message).await,
                    None => return,
                },
                _ = ticks.tick() => self.check_announcement().await,
                () = sleep_until(self.admission.next_deadline()) => {}
            }
            self.expire();
            self.dispatch();
            self.settle();
        }
    }

    async fn handle(&mut self, message: CapacityMessage) {
        match message {
            CapacityMessage::Offer(offer) => self.offer(offer),
            CapacityMessage::Release(permit, latency) => {
                if permit.generation == self.generation {
                    self.admission.release(permit.key, latency);
                }
            }
            CapacityMessage::Announce(announcement) => self.announce(announcement).await,
            CapacityMessage::Withdraw(reply) => {
                self.drained.push(reply);
                self.withdraw("the target withdrew").await;
            }
            CapacityMessage::Drain(reply) => {
                self.drained.push(reply);
                self.is_stopping = true;
                self.withdraw("the agent stops").await;
            }
        }
    }

    fn offer(&mut self, offer: RequestOffer) {
        let refusal = |kind| Refusal { kind, retry_after: RETRY_AFTER };
        if self.is_stopping {
            self.refuse(offer.reply, refusal(ErrorKind::Draining));
            return;
        }
        let Some(target) = &self.target else {
            self.refuse(offer.reply, refusal(ErrorKind::NoTarget));
            return;
        };
        if !target.is_present || target.announcement.service != offer.service {
            self.refuse(offer.reply, refusal(ErrorKind::NoTarget));
            return;
        }
        match self.admission.offer(self.clock.now(), offer.meta) {
            AdmissionDecision::Queued(ticket) => {
                self.waiting.insert(ticket, offer.reply);
            }
            AdmissionDecision::Refused(refusal) => self.refuse(offer.reply, refusal),
        }
    }

    fn refuse(&mut self, reply: oneshot::Sender<Result<Permit, Refusal>>, refusal: Refusal) {
        self.counts.refused += 1;
        self.metrics.count_tagged("requests_refused", "kind", refusal.kind.name());
        reply.send(Err(refusal)).ok();
    }

    /// Starts what can start; a request whose caller has gone is dropped before it starts.
    fn dispatch(&mut self) {
        let Some(target) = self.target.as_ref().map(|target| target.announcement.address) else {
            return;
        };
        while let Some(Dispatched { ticket, permit: key }) = self.admission.dispatch() {
            let permit = Permit { key, generation: self.generation, target };
            let reply = self.waiting.remove(&ticket);
            let is_taken = reply.is_some_and(|reply| reply.send(Ok(permit)).is_ok());
            if is_taken {
                self.counts.started += 1;
            } else {
                self.admission.release(key, None);
            }
        }
    }

    /// Refuses queued requests whose deadline has passed.
    fn expire(&mut self) {
        let kind = ErrorKind::DeadlineExceeded;
        while let Some(ticket) = self.admission.expire(self.clock.now()) {
            if let Some(reply) = self.waiting.remove(&ticket) {
                self.refuse(reply, Refusal { kind, retry_after: RETRY_AFTER });
            }
        }
    }

    async fn announce(&mut self, announcement: TargetAnnouncement) {
        let renewed_at = Instant::now();
        if self.is_stopping {
            return;
        }
        if let Some(target) = &mut self.target
            && target.announcement == announcement
            && target.is_present
        {
            target.renewed_at = renewed_at;
            return;
        }
        let is_same_process = self
            .target
            .as_ref()
            .is_some_and(|target| target.announcement.process == announcement.process);
        if !is_same_process {
            self.generation += 1;
            self.refuse_waiting();
            self.admission = new_admission(&self.limits, announcement.slots);
        }
        info!(self.logger, "target announced"; "service" => &announcement.service,
            "slots" => announcement.slots, "generation" => self.generation);
        let told =
            Announcement { service: announcement.service.clone(), slots: announcement.slots };
        self.target = Some(AnnouncedTarget { announcement, renewed_at, is_present: true });
        self.tell_fleet(Some(told)).await;
    }

    async fn withdraw(&mut self, reason: &'static str) {
        if let Some(target) = &mut self.target
            && target.is_present
        {
            target.is_present = false;
            info!(self.logger, "target left"; "reason" => reason);
        }
        self.tell_fleet(None).await;
    }

    async fn check_announcement(&mut self) {
        let ttl = self.limits.announcement_ttl;
        let is_overdue = self
            .target
            .as_ref()
            .is_some_and(|target| target.is_present && target.renewed_at.elapsed() >= ttl);
        if is_overdue {
            warn!(self.logger, "target stopped announcing itself");
            self.withdraw("no announcement").await;
        }
        self.publish();
    }

    async fn tell_fleet(&self, target: Option<Announcement>) {
        self.node.send(NodeMessage::Announce(target)).await;
        let (node, clients) = (self.node.clone(), self.clients.clone());
        tokio::spawn(async move { push_announcement(&node, &clients).await });
    }

    fn refuse_waiting(&mut self) {
        let waiting: Vec<_> = self.waiting.drain().collect();
        for (ticket, reply) in waiting {
            self.admission.cancel(ticket);
            self.refuse(reply, Refusal { kind: ErrorKind::NoTarget, retry_after: RETRY_AFTER });
        }
    }

    /// Answers those who wait for the end of all requests.
    fn settle(&mut self) {
        let in_flight = self.admission.in_flight();
        self.counts.max_in_flight = self.counts.max_in_flight.max(in_flight);
        self.publish();
        if in_flight == 0 && self.admission.queued() == 0 {
            for reply in self.drained.drain(..) {
                reply.send(()).ok();
            }
        }
    }

    fn publish(&mut self) {
        self.counts.load = LoadReport {
            in_flight: self.admission.in_flight(),
            queued: self.admission.queued(),
            limit: self.admission.limit(),
            is_draining: self.is_stopping
                || self.target.as_ref().is_none_or(|target| !target.is_present),
        };
        self.counts.latency_ratio = self.admission.latency_ratio();
        self.status.send_replace(self.counts);
    }
}

/// Sleeps until the instant, or for ever without one.
async fn sleep_until(instant: Option<std::time::Instant>) {
    match instant {
        Some(instant) => tokio::time::sleep_until(instant.into()).await,
        None => std::future::pending().await,
    }
}
