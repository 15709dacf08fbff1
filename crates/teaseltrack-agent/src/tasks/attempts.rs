//! Async task that manages the instance's resources and the attempts on its worker.
//!
//! Each attempt number is accepted at most once. The end of an attempt is reported to the shard's
//! owner until it is committed. Only then does the worker drop the attempt, so that a restarted
//! agent finds unacknowledged ends again.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use slog::{Logger, debug, info, warn};
use teaseltrack::{
    clock::SharedClock,
    ids::{AttemptNumber, Incarnation},
    outcome::ErrorKind,
    placement::{ReservationLedger, Resources},
    shard::shard_of,
    task::TaskId,
    throttle::Throttle,
};
use teaseltrack_platform::{
    keys,
    store::Store,
    worker::{
        AttemptKey, StartRequest, SyncResponse, WorkerAttempt, WorkerAttemptState, WorkerClient,
    },
};
use teaseltrack_wire::control::{
    AttemptEvent, AttemptReport, ReservationRequest, ReservationResponse, ShardOwner, StartOrder,
    StopCause, StopOrder,
};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{MissedTickBehavior, interval},
};

use crate::{
    requests::capacity::CapacityHandle,
    tasks::{lease_keeper::LeaseView, reporter::ReportMessage},
};

/// Capacity of the attempt manager's message channel.
pub const CHANNEL_CAPACITY: usize = 1_024;
/// Interval between syncs with the worker.
const SYNC_PERIOD: Duration = Duration::from_millis(100);
/// Time after which a reservation without a start order expires.
const RESERVATION_TTL: Duration = Duration::from_secs(10);
/// Time for which the number of an ended attempt is kept, so that a repeated start is ignored.
const ACCEPTED_TTL: Duration = Duration::from_secs(3_600);

/// A message to the attempt manager.
#[derive(Debug)]
pub enum AttemptMessage {
    /// Reserve capacity.
    Reserve(Vec<ReservationRequest>, oneshot::Sender<Result<ReservationResponse, ErrorKind>>),
    /// Start attempts of committed assignments.
    Start(ShardOwner, Vec<StartOrder>, oneshot::Sender<Result<(), ErrorKind>>),
    /// Stop attempts.
    Stop(ShardOwner, Vec<StopOrder>, oneshot::Sender<Result<(), ErrorKind>>),
    /// The ends of attempts are committed.
    Acknowledged(Vec<AttemptKey>),
    /// The checkpoint of a stopped attempt is stored; with its key and the reason of the stop.
    Checkpointed(AttemptKey, String, String),
    /// Evict all attempts before shutdown; the reply is sent when their ends are committed.
    Drain(oneshot::Sender<()>),
}

/// Counts for the status report.
#[derive(Clone, Debug, Default)]
pub struct AttemptStatus {
    /// Attempts that occupy capacity.
    pub running: u64,
    /// Attempts started so far.
    pub started: u64,
    /// Attempts evicted so far.
    pub evicted: u64,
    /// Free capacity.
    pub available: Resources,
    /// Fraction of full speed at which batch work runs.
    pub share: f64,
}

/// Dependencies of the attempt manager.
pub struct AttemptContext {
    /// Logger.
    pub logger: Logger,
    /// Clock.
    pub clock: SharedClock,
    /// The store, for checkpoints.
    pub store: Store,
    /// The worker.
    pub worker: WorkerClient,
    /// Capacity of the instance for tasks.
    pub capacity: Resources,
    /// The instance's lease.
    pub lease: watch::Receiver<Option<LeaseView>>,
    /// Handle from which the target's latency ratio is read, to throttle batch work.
    pub requests: CapacityHandle,
    /// Sender of reports.
    pub reports: mpsc::Sender<ReportMessage>,
    /// Publishes the status.
    pub status: watch::Sender<AttemptStatus>,
    /// Sender to the attempt manager itself, for the completion of background work.
    pub sender: mpsc::Sender<AttemptMessage>,
}

/// Manager of the instance's resources and attempts.
pub struct Attempts {
    context: AttemptContext,
    ledger: ReservationLedger,
    synced_incarnation: Option<Incarnation>,
    running: BTreeSet<AttemptKey>,
    reported_started: BTreeSet<AttemptKey>,
    ended: BTreeSet<AttemptKey>,
    stopping: BTreeMap<AttemptKey, StopCause>,
    /// Stopped attempts whose checkpoint is being uploaded to the store.
    uploading: BTreeSet<AttemptKey>,
    accepted: BTreeMap<TaskId, (AttemptNumber, Instant)>,
    forget: Vec<AttemptKey>,
    throttle: Throttle,
    is_draining: bool,
    drain_reply: Option<oneshot::Sender<()>>,
    status: AttemptStatus,
}

impl Attempts {
    /// Creates a manager without attempts; those on the worker are adopted by the first sync.
    pub fn new(context: AttemptContext) -> Self {
        Self {
            ledger: ReservationLedger::new(context.capacity),
            context,
            synced_incarnation: None,
            running: BTreeSet::new(),
            reported_started: BTreeSet::new(),
            ended: BTreeSet::new(),
            stopping: BTreeMap::new(),
            uploading: BTreeSet::new(),
            accepted: BTreeMap::new(),
            forget: Vec::new(),
            throttle: Throttle::default(),
            is_draining: false,
            drain_reply: None,
            status: AttemptStatus::default(),
        }
    }

    /// Runs until all senders are dropped.
    pub async fn run(mut self, mut receiver: mpsc::Receiver<AttemptMessage>) {
        let mut ticks = interval(SYNC_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = receiver.recv() => match message {
                    Some(message) => self.handle(message).await,
                    None => return,
                },
                _ = ticks.tick() => self.sync().await,
            }
            self.finish_iteration();
        }
    }

    async fn handle(&mut self, message: AttemptMessage) {
        match message {
            AttemptMessage::Reserve(requests, reply) => {
                reply.send(Ok(self.reserve(&requests))).ok();
            }
            AttemptMessage::Start(owner, orders, reply) => {
                debug!(self.context.logger, "received start orders"; "shard" => owner.shard);
                reply.send(self.start_all(orders).await).ok();
            }
            AttemptMessage::Stop(_, orders, reply) => {
                reply.send(self.stop_all(orders).await).ok();
            }
            AttemptMessage::Acknowledged(keys) => {
                for key in keys {
                    self.ended.remove(&key);
                    self.reported_started.remove(&key);
                    self.forget.push(key);
                }
            }
            AttemptMessage::Checkpointed(key, checkpoint, reason) => {
                self.uploading.remove(&key);
                self.status.evicted += 1;
                self.end(&key, AttemptEvent::Evicted { checkpoint, reason }).await;
            }
            AttemptMessage::Drain(reply) => {
                self.is_draining = true;
                self.drain_reply = Some(reply);
                for key in self.running.clone() {
                    self.stop(key, StopCause::Evict).await;
                }
            }
        }
    }

    fn lease(&self) -> Option<LeaseView> {
        *self.context.lease.borrow()
    }

    fn reserve(&mut self, requests: &[ReservationRequest]) -> ReservationResponse {
        let now = self.context.clock.now();
        self.ledger.expire(now);
        let lease = self.lease().filter(|lease| lease.deadline > now && !self.is_draining);
        let mut granted = Vec::with_capacity(requests.len());
        for request in requests {
            let is_new = self
                .accepted
                .get(&request.task)
                .is_none_or(|(accepted, _)| *accepted < request.attempt);
            let is_granted = lease.is_some()
                && is_new
                && self.ledger.reserve(
                    &request.task,
                    request.attempt,
                    request.resources,
                    now + RESERVATION_TTL,
                );
            granted.push(is_granted);
        }
        ReservationResponse {
            granted,
            incarnation: lease.map(|lease| lease.incarnation),
            capacity: if lease.is_some() { self.ledger.capacity() } else { Resources::default() },
            available: if lease.is_some() { self.ledger.available() } else { Resources::default() },
        }
    }

    /// The incarnation of the lease, if the worker was synced under it; an error otherwise.
    ///
    /// An agent that has just started, or whose lease has just changed, doesn't know yet which
    /// attempts its worker runs, and so can't handle orders for them.
    fn require_synced(&self) -> Result<Incarnation, ErrorKind> {
        let held = self.lease().map(|lease| lease.incarnation);
        self.synced_incarnation.filter(|synced| held == Some(*synced)).ok_or(ErrorKind::Draining)
    }

    async fn start_all(&mut self, orders: Vec<StartOrder>) -> Result<(), ErrorKind> {
        let synced = self.require_synced()?;
        if orders.iter().any(|order| order.incarnation > synced) {
            return Err(ErrorKind::Draining);
        }
        for order in orders {
            self.start(order, synced).await;
        }
        Ok(())
    }

    async fn stop_all(&mut self, orders: Vec<StopOrder>) -> Result<(), ErrorKind> {
        self.require_synced()?;
        for StopOrder { task, attempt, cause } in orders {
            self.stop(AttemptKey { task, attempt }, cause).await;
        }
        Ok(())
    }

    /// Starts a committed attempt once, or reports why it will never start on this instance.
    async fn start(&mut self, order: StartOrder, synced: Incarnation) {
        let StartOrder { task, attempt, incarnation, spec, checkpoint } = order;
        let now = self.context.clock.now();
        let key = AttemptKey { task, attempt };
        if self.accepted.get(&key.task).is_some_and(|(accepted, _)| *accepted >= attempt) {
            return;
        }
        self.accepted.insert(key.task.clone(), (attempt, now));
        if incarnation < synced || self.is_draining {
            self.release(&key, "the lease changed or the agent stops").await;
            return;
        }
        let resources = Resources::declared(&spec);
        let is_reserved = self.ledger.reserve(&key.task, attempt, resources, now + RESERVATION_TTL)
            && self.ledger.confirm(&key.task, attempt);
        if !is_reserved {
            self.release(&key, "no room").await;
            return;
        }
        let checkpoint = match self.read_checkpoint(checkpoint).await {
            Ok(checkpoint) => checkpoint,
            Err(reason) => {
                self.ledger.release(&key.task, attempt);
                self.release(&key, &reason).await;
                return;
            }
        };
        let call = StartRequest {
            holder: self.context.worker.holder(),
            incarnation,
            key: key.clone(),
            resources,
            run_ms: spec.run_ms,
            checkpoint,
            not_after_ms: self.context.worker.start_deadline_ms(),
        };
        self.running.insert(key.clone());
        self.status.started += 1;
        if let Err(error) = self.context.worker.start(call).await {
            warn!(self.context.logger, "worker did not confirm the start"; "task" => %key.task,
                "attempt" => attempt, "error" => %error);
        }
    }

    async fn read_checkpoint(&self, key: Option<String>) -> Result<Option<String>, String> {
        let Some(key) = key else { return Ok(None) };
        match self.context.store.get_object(&key).await {
            Ok(Some(content)) => Ok(Some(content)),
            Ok(None) => Err(format!("checkpoint {key} is missing")),
            Err(error) => Err(format!("checkpoint {key}: {error}")),
        }
    }

    async fn release(&mut self, key: &AttemptKey, reason: &str) {
        self.end(key, AttemptEvent::Released { reason: reason.to_owned() }).await;
    }

    async fn stop(&mut self, key: AttemptKey, cause: StopCause) {
        if !self.running.contains(&key) {
            return;
        }
        self.stopping.insert(key.clone(), cause);
        self.try_stop(key, cause).await;
    }

    /// Stops an attempt on the worker; the next sync retries if there is no response.
    async fn try_stop(&mut self, key: AttemptKey, cause: StopCause) {
        let is_checkpointed = cause == StopCause::Evict;
        let Ok(response) = self.context.worker.stop(key.clone(), is_checkpointed).await else {
            return;
        };
        self.stopping.remove(&key);
        if matches!(response.state, WorkerAttemptState::Done | WorkerAttemptState::Failed(_)) {
            return;
        }
        self.running.remove(&key);
        self.ledger.release(&key.task, key.attempt);
        match (cause, response.checkpoint) {
            (StopCause::Evict, Some(content)) => self.store_checkpoint(key, content),
            (StopCause::Evict, None) => self.release(&key, "stopped without a checkpoint").await,
            (StopCause::Cancel, _) => self.forget.push(key),
        }
    }

    /// Uploads a checkpoint, retrying until the store accepts it; the worker keeps it until then.
    fn store_checkpoint(&mut self, key: AttemptKey, content: String) {
        self.uploading.insert(key.clone());
        let store = self.context.store.clone();
        let sender = self.context.sender.clone();
        let object = keys::checkpoint(&key.task.job, key.task.index, key.attempt);
        tokio::spawn(async move {
            while store.put_object(object.clone(), content.clone()).await.is_err() {
                tokio::time::sleep(Duration::from_millis(500)).await;
            }
            let reason = "evicted".to_owned();
            sender.send(AttemptMessage::Checkpointed(key, object, reason)).await.ok();
        });
    }

    async fn sync(&mut self) {
        let lease = self.lease();
        let incarnation = lease.map(|lease| lease.incarnation);
        if self.synced_incarnation.is_some() && incarnation != self.synced_incarnation {
            self.discard_attempts();
        }
        let deadline = lease.map(|lease| lease.deadline);
        if let Some(share) = self.throttle.record(self.context.requests.status().latency_ratio) {
            info!(self.context.logger, "batch share changed"; "share" => share);
        }
        let forget = std::mem::take(&mut self.forget);
        let share = self.throttle.share();
        let response = self.context.worker.sync(incarnation, deadline, share, forget.clone()).await;
        match response {
            Ok(response) => {
                self.synced_incarnation = incarnation;
                self.process_sync(response).await;
            }
            Err(error) => {
                debug!(self.context.logger, "worker sync failed"; "error" => %error);
                self.forget.extend(forget);
            }
        }
        self.prune();
    }

    /// Discards the attempts of an ended incarnation; the worker drops them with the next sync.
    fn discard_attempts(&mut self) {
        if !self.running.is_empty() {
            warn!(self.context.logger, "lease changed; discarding attempts";
                "count" => self.running.len());
        }
        for key in std::mem::take(&mut self.running) {
            self.ledger.release(&key.task, key.attempt);
        }
        self.stopping.clear();
        self.uploading.clear();
        self.ended.clear();
        self.reported_started.clear();
    }

    async fn process_sync(&mut self, response: SyncResponse) {
        let is_current = response.incarnation == self.synced_incarnation;
        if !is_current {
            return;
        }
        let mut listed = BTreeSet::new();
        for attempt in response.attempts {
            listed.insert(attempt.key.clone());
            self.process_attempt(attempt).await;
        }
        let missing: Vec<AttemptKey> = self.running.difference(&listed).cloned().collect();
        // The start request of an attempt that isn't listed may still be in transit, so the attempt
        // is stopped: the worker remembers the stop and refuses a later start of the attempt.
        for key in missing {
            self.stopping.entry(key).or_insert(StopCause::Evict);
        }
        for (key, cause) in self.stopping.clone() {
            self.try_stop(key, cause).await;
        }
    }

    async fn process_attempt(&mut self, attempt: WorkerAttempt) {
        let WorkerAttempt { key, state, resources, .. } = attempt;
        if self.ended.contains(&key) || self.forget.contains(&key) {
            return;
        }
        match state {
            WorkerAttemptState::Running | WorkerAttemptState::Paused => {
                self.adopt(&key, resources);
                if self.reported_started.insert(key.clone()) {
                    self.report(&key, AttemptEvent::Started).await;
                }
            }
            WorkerAttemptState::Stopped => self.adopt_stopped(key).await,
            WorkerAttemptState::Done => self.finish(&key, AttemptEvent::Done).await,
            WorkerAttemptState::Failed(reason) => {
                self.finish(&key, AttemptEvent::Failed { reason }).await;
            }
        }
    }

    /// Adopts an attempt that an earlier agent process started.
    fn adopt(&mut self, key: &AttemptKey, resources: Resources) {
        if !self.running.insert(key.clone()) {
            return;
        }
        let now = self.context.clock.now();
        self.accepted.insert(key.task.clone(), (key.attempt, now));
        let is_reserved =
            self.ledger.reserve(&key.task, key.attempt, resources, now + RESERVATION_TTL)
                && self.ledger.confirm(&key.task, key.attempt);
        if !is_reserved {
            warn!(self.context.logger, "adopted attempt exceeds the free capacity";
                "task" => %key.task);
        }
    }

    /// Handles a stopped attempt: one that this process stopped is ignored, and one that an earlier
    /// agent process stopped is stopped again, so that its checkpoint is stored.
    async fn adopt_stopped(&mut self, key: AttemptKey) {
        let is_known =
            self.accepted.get(&key.task).is_some_and(|(accepted, _)| *accepted >= key.attempt);
        if is_known {
            return;
        }
        self.accepted.insert(key.task.clone(), (key.attempt, self.context.clock.now()));
        self.try_stop(key, StopCause::Evict).await;
    }

    async fn finish(&mut self, key: &AttemptKey, event: AttemptEvent) {
        self.running.remove(key);
        self.stopping.remove(key);
        self.ledger.release(&key.task, key.attempt);
        self.accepted.insert(key.task.clone(), (key.attempt, self.context.clock.now()));
        self.end(key, event).await;
    }

    async fn end(&mut self, key: &AttemptKey, event: AttemptEvent) {
        self.ended.insert(key.clone());
        self.report(key, event).await;
    }

    async fn report(&self, key: &AttemptKey, event: AttemptEvent) {
        let AttemptKey { task, attempt } = key.clone();
        let message = ReportMessage {
            shard: shard_of(&task.job),
            report: AttemptReport { task, attempt, event },
            capacity: self.ledger.capacity(),
            available: self.ledger.available(),
            incarnation: self.synced_incarnation.unwrap_or(0),
        };
        self.context.reports.send(message).await.ok();
    }

    fn prune(&mut self) {
        let now = self.context.clock.now();
        self.ledger.expire(now);
        let running = &self.running;
        self.accepted.retain(|task, (attempt, at)| {
            let key = AttemptKey { task: task.clone(), attempt: *attempt };
            running.contains(&key) || now.saturating_duration_since(*at) < ACCEPTED_TTL
        });
    }

    fn finish_iteration(&mut self) {
        self.status.running = self.running.len() as u64;
        self.status.available = self.ledger.available();
        self.status.share = self.throttle.share();
        self.context.status.send_replace(self.status.clone());
        let is_drained =
            self.running.is_empty() && self.uploading.is_empty() && self.ended.is_empty();
        if is_drained && let Some(reply) = self.drain_reply.take() {
            reply.send(()).ok();
        }
    }
}
