//! Async task that allocates the target's slots and owns the request queue.
//!
//! A slot is freed when the target has responded or closed the connection, not when the caller
//! stops waiting: the slots of a hung target stay occupied until it recovers or its process is
//! replaced.

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

/// Capacity of the task's message channel.
const CHANNEL_CAPACITY: usize = 4_096;
/// Interval between checks for an expired announcement.
const ANNOUNCEMENT_CHECK_PERIOD: Duration = Duration::from_millis(200);
/// Advised retry delay of refusals that don't come from admission control.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// Permission to use one slot of the target.
#[derive(Clone, Debug)]
pub struct Permit {
    /// The slot.
    pub key: PermitKey,
    /// Generation of the target that the slot belongs to.
    pub generation: u64,
    /// Address on which the target accepts requests.
    pub target: SocketAddr,
}

/// A request that asks for admission.
#[derive(Debug)]
pub struct RequestOffer {
    /// Service that the request is for.
    pub service: String,
    /// Attributes that admission control uses.
    pub meta: RequestMeta,
    /// Receives the permit or the refusal.
    pub reply: oneshot::Sender<Result<Permit, Refusal>>,
}

/// A message to the task.
#[derive(Debug)]
pub enum CapacityMessage {
    /// Admit a request.
    Offer(RequestOffer),
    /// A request has ended; with its latency if the target's response was complete.
    Release(Permit, Option<Duration>),
    /// The target announced itself or renewed its announcement.
    Announce(TargetAnnouncement),
    /// The target withdraws; the reply is sent when its requests have ended.
    Withdraw(oneshot::Sender<()>),
    /// The agent shuts down; the reply is sent when all requests have ended.
    Drain(oneshot::Sender<()>),
}

/// Counts for the status report.
#[derive(Clone, Copy, Debug, Default)]
pub struct CapacityStatus {
    /// Current load.
    pub load: LoadReport,
    /// Requests started so far.
    pub started: u64,
    /// Requests refused so far.
    pub refused: u64,
    /// Highest number of requests that ran concurrently.
    pub max_in_flight: u32,
    /// Ratio of the smoothed service latency to its baseline.
    pub latency_ratio: f64,
}

/// Handle to the task; cheap to clone.
#[derive(Clone, Debug)]
pub struct CapacityHandle {
    sender: mpsc::Sender<CapacityMessage>,
    status: watch::Receiver<CapacityStatus>,
}

impl CapacityHandle {
    /// Sends a message.
    pub async fn send(&self, message: CapacityMessage) {
        self.sender.send(message).await.ok();
    }

    /// Sends a message and waits for the reply; `None` if the task has ended.
    pub async fn request<T>(
        &self,
        message: impl FnOnce(oneshot::Sender<T>) -> CapacityMessage,
    ) -> Option<T> {
        let (reply, response) = oneshot::channel();
        self.sender.send(message(reply)).await.ok()?;
        response.await.ok()
    }

    /// Last published status.
    pub fn status(&self) -> CapacityStatus {
        *self.status.borrow()
    }

    /// Last published load.
    pub fn load(&self) -> LoadReport {
        self.status().load
    }
}

/// Limits of the target, from the settings.
#[derive(Clone, Copy, Debug)]
pub struct CapacityLimits {
    /// Maximum number of concurrent requests.
    pub max_slots: u32,
    /// Maximum number of queued requests per class.
    pub queue_per_class: usize,
    /// Time after the last announcement at which the target is considered gone.
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
    pending_replies: HashMap<TicketKey, oneshot::Sender<Result<Permit, Refusal>>>,
    drain_waiters: Vec<oneshot::Sender<()>>,
    is_shutting_down: bool,
    counts: CapacityStatus,
    status: watch::Sender<CapacityStatus>,
}

/// Dependencies of the task.
pub struct CapacityContext {
    /// Logger.
    pub logger: Logger,
    /// Clock.
    pub clock: SharedClock,
    /// Metrics.
    pub metrics: Metrics,
    /// The node, which announces the target to the fleet.
    pub node: NodeHandle,
    /// Clients of control calls.
    pub clients: ControlClients,
}

/// Starts the task.
pub fn spawn_capacity(limits: CapacityLimits, context: CapacityContext) -> CapacityHandle {
    let (sender, receiver) = mpsc::channel(CHANNEL_CAPACITY);
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
        pending_replies: HashMap::new(),
        drain_waiters: Vec::new(),
        is_shutting_down: false,
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
        let mut ticks = interval(ANNOUNCEMENT_CHECK_PERIOD);
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
            self.finish_iteration();
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
                self.drain_waiters.push(reply);
                self.withdraw("withdrawn by the target").await;
            }
            CapacityMessage::Drain(reply) => {
                self.drain_waiters.push(reply);
                self.is_shutting_down = true;
                self.withdraw("agent shutting down").await;
            }
        }
    }

    fn offer(&mut self, offer: RequestOffer) {
        let refusal = |kind| Refusal { kind, retry_after: RETRY_AFTER };
        if self.is_shutting_down {
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
                self.pending_replies.insert(ticket, offer.reply);
            }
            AdmissionDecision::Refused(refusal) => self.refuse(offer.reply, refusal),
        }
    }

    fn refuse(&mut self, reply: oneshot::Sender<Result<Permit, Refusal>>, refusal: Refusal) {
        self.counts.refused += 1;
        self.metrics.count_tagged("requests_refused", "kind", refusal.kind.name());
        reply.send(Err(refusal)).ok();
    }

    /// Grants free slots to queued requests, skipping requests whose caller is gone.
    fn dispatch(&mut self) {
        let Some(target) = self.target.as_ref().map(|target| target.announcement.address) else {
            return;
        };
        while let Some(Dispatched { ticket, permit: key }) = self.admission.dispatch() {
            let permit = Permit { key, generation: self.generation, target };
            let reply = self.pending_replies.remove(&ticket);
            let is_accepted = reply.is_some_and(|reply| reply.send(Ok(permit)).is_ok());
            if is_accepted {
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
            if let Some(reply) = self.pending_replies.remove(&ticket) {
                self.refuse(reply, Refusal { kind, retry_after: RETRY_AFTER });
            }
        }
    }

    async fn announce(&mut self, announcement: TargetAnnouncement) {
        let renewed_at = Instant::now();
        if self.is_shutting_down {
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
            self.refuse_queued();
            self.admission = new_admission(&self.limits, announcement.slots);
        }
        info!(self.logger, "target announced"; "service" => &announcement.service,
            "slots" => announcement.slots, "generation" => self.generation);
        let published =
            Announcement { service: announcement.service.clone(), slots: announcement.slots };
        self.target = Some(AnnouncedTarget { announcement, renewed_at, is_present: true });
        self.publish_target(Some(published)).await;
    }

    async fn withdraw(&mut self, reason: &'static str) {
        if let Some(target) = &mut self.target
            && target.is_present
        {
            target.is_present = false;
            info!(self.logger, "target withdrawn"; "reason" => reason);
        }
        self.publish_target(None).await;
    }

    async fn check_announcement(&mut self) {
        let ttl = self.limits.announcement_ttl;
        let is_overdue = self
            .target
            .as_ref()
            .is_some_and(|target| target.is_present && target.renewed_at.elapsed() >= ttl);
        if is_overdue {
            warn!(self.logger, "target announcement expired");
            self.withdraw("announcement expired").await;
        }
        self.publish();
    }

    async fn publish_target(&self, target: Option<Announcement>) {
        self.node.send(NodeMessage::Announce(target)).await;
        let (node, clients) = (self.node.clone(), self.clients.clone());
        tokio::spawn(async move { push_announcement(&node, &clients).await });
    }

    fn refuse_queued(&mut self) {
        let pending_replies: Vec<_> = self.pending_replies.drain().collect();
        for (ticket, reply) in pending_replies {
            self.admission.cancel(ticket);
            self.refuse(reply, Refusal { kind: ErrorKind::NoTarget, retry_after: RETRY_AFTER });
        }
    }

    /// Publishes the status, and replies to pending drains when no request is left.
    fn finish_iteration(&mut self) {
        let in_flight = self.admission.in_flight();
        self.counts.max_in_flight = self.counts.max_in_flight.max(in_flight);
        self.publish();
        if in_flight == 0 && self.admission.queued() == 0 {
            for reply in self.drain_waiters.drain(..) {
                reply.send(()).ok();
            }
        }
    }

    fn publish(&mut self) {
        self.counts.load = LoadReport {
            in_flight: self.admission.in_flight(),
            queued: self.admission.queued(),
            limit: self.admission.limit(),
            is_draining: self.is_shutting_down
                || self.target.as_ref().is_none_or(|target| !target.is_present),
        };
        self.counts.latency_ratio = self.admission.latency_ratio();
        self.status.send_replace(self.counts);
    }
}

/// Sleeps until the instant; never returns if there is none.
async fn sleep_until(instant: Option<std::time::Instant>) {
    match instant {
        Some(instant) => tokio::time::sleep_until(instant.into()).await,
        None => std::future::pending().await,
    }
}
