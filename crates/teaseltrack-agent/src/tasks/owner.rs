//! Owner of one job shard.
//!
//! A round processes commands and reports, places tasks, commits all decisions in one transaction
//! and only then acts on them: it sends starts and stops and acknowledges reports. Messages that
//! arrive during a commit are batched into the next round, so that there is one write to the store
//! per round regardless of how many tasks start. If the head of the stream was changed by another
//! process, the shard is lost and its state is discarded.

pub(super) mod leases;
mod orders;
mod placement;

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use slog::{Logger, info, warn};
use teaseltrack::{
    clock::SharedClock,
    ids::{InstanceId, ShardNumber},
    journal::{EntryBody, Owner, SEGMENT_ENTRIES},
    lease::{LeaseWatches, SilenceRow},
    outcome::ErrorKind,
    shard::{ShardState, stream_of},
    task::{Decision, TaskId},
};
use teaseltrack_daemon::metrics::Metrics;
use teaseltrack_node::{clients::ControlClients, node::NodeHandle};
use teaseltrack_platform::{
    history::Archive,
    inbox::{InboxPage, read_inbox},
    keys,
    shard_state::{load_shard, write_snapshot},
    store::{Condition, Store, StoreError, Write},
    stream::{Append, AppendOutcome, Stream},
};
use teaseltrack_wire::control::{AttemptEvent, AttemptReport, ReportBatch, StopCause, StopOrder};
use tokio::{
    sync::{mpsc, oneshot},
    time::{MissedTickBehavior, interval, sleep},
};
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::tasks::{owner::orders::Orders, placer::Placer};

/// Interval between rounds without a message.
const TICK_PERIOD: Duration = Duration::from_millis(250);
/// Ticks between reads of the inbox without a wake-up.
const INBOX_TICKS: u32 = 4;
/// Ticks between refreshes of the capacity hints, checks of leases and archiving.
const MAINTENANCE_TICKS: u32 = 4;
/// Ticks between checks of the shard's head.
const HEAD_CHECK_TICKS: u32 = 20;
/// Ticks between resends of the starts of all placed attempts.
const RESEND_TICKS: u32 = 40;
/// Maximum number of messages that a round processes after its first one.
const MAX_ROUND_MESSAGES: usize = 512;
/// Number of failed attempts after which a task fails, unless the last instance is on probation.
const MAX_FAILURES: u32 = 3;
/// Time for which releasing the shard is retried in a graceful shutdown.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before a shard is read again after a failed read.
const LOAD_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Dependencies shared by all owners of an agent.
pub struct OwnerContext {
    /// Logger.
    pub logger: Logger,
    /// Metrics.
    pub metrics: Metrics,
    /// Clock.
    pub clock: SharedClock,
    /// The store.
    pub store: Store,
    /// The node.
    pub node: NodeHandle,
    /// Clients of control calls.
    pub clients: ControlClients,
    /// This agent, as written into the heads of its shards.
    pub owner: Owner,
}

/// A message to an owner.
#[derive(Debug)]
pub enum OwnerMessage {
    /// The inbox has new commands.
    Wake,
    /// An agent reports events; the reply is sent after they are committed.
    Report(ReportBatch, oneshot::Sender<Result<(), ErrorKind>>),
    /// Release the shard, since the agent shuts down.
    Release,
}

/// Parameters of an owner's async task.
pub struct ShardOwnerTask {
    /// The shard.
    pub shard: ShardNumber,
    /// Dependencies shared by all owners.
    pub context: Arc<OwnerContext>,
    /// What this agent has measured, before it owned the shard, of the leases that earlier owners
    /// wait for.
    pub lease_watches: LeaseWatches,
    /// Receiver of messages.
    pub receiver: mpsc::Receiver<OwnerMessage>,
}

/// Work of one round, collected before its commit.
#[derive(Default)]
struct Round {
    decisions: Vec<Decision>,
    conditions: Vec<Condition>,
    writes: Vec<Write>,
    stops: BTreeMap<InstanceId, Vec<StopOrder>>,
    replies: Vec<oneshot::Sender<Result<(), ErrorKind>>>,
    is_releasing: bool,
    /// Whether the round was triggered by a tick rather than by a message.
    is_tick: bool,
}

struct ShardLost;

struct OwnedShard {
    shard: ShardNumber,
    context: Arc<OwnerContext>,
    stream: Stream,
    state: ShardState,
    archive: Archive,
    placer: Placer,
    lease_watches: LeaseWatches,
    /// The lease watches as last recorded for the next owner.
    recorded_silence: SilenceRow,
    preempted_at: Option<Instant>,
    is_inbox_due: bool,
    tick: u32,
    /// Cancels the sending of orders when the shard is lost or released.
    orders_cancellation: CancellationToken,
    /// Cancels `orders_cancellation` when the shard is dropped.
    _orders_guard: DropGuard,
}

/// Acquires the shard and owns it until it is lost or released.
pub async fn run_owner(task: ShardOwnerTask) {
    let ShardOwnerTask { shard, context, lease_watches, mut receiver } = task;
    let logger = context.logger.clone();
    let Some(mut owned) = OwnedShard::acquire(shard, context, lease_watches).await else {
        info!(logger, "shard not acquired"; "shard" => shard);
        return;
    };
    owned.resend_starts();
    let mut ticks = interval(TICK_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let mut round = Round::default();
        tokio::select! {
            message = receiver.recv() => match message {
                Some(message) => owned.handle_message(message, &mut round),
                None => return,
            },
            _ = ticks.tick() => {
                owned.tick = owned.tick.wrapping_add(1);
                round.is_tick = true;
            }
        }
        for _ in 0..MAX_ROUND_MESSAGES {
            let Ok(message) = receiver.try_recv() else { break };
            owned.handle_message(message, &mut round);
        }
        let is_releasing = round.is_releasing;
        if owned.run_round(round).await.is_err() {
            warn!(logger, "shard ownership lost"; "shard" => shard);
            return;
        }
        if is_releasing {
            owned.release().await;
            return;
        }
    }
}

impl OwnedShard {
    /// Writes this agent into the shard's head and loads the state; `None` if the write failed,
    /// usually because another agent wrote first.
    async fn acquire(
        shard: ShardNumber,
        context: Arc<OwnerContext>,
        mut lease_watches: LeaseWatches,
    ) -> Option<Self> {
        let name = stream_of(shard);
        let mut stream = loop {
            match Stream::open(&context.store, &name).await {
                Ok(stream) => break stream,
                Err(_) => sleep(LOAD_RETRY_DELAY).await,
            }
        };
        let owner = Some(context.owner.clone());
        let append = Append {
            author: context.owner.instance.clone(),
            body: EntryBody::Ownership { owner: owner.clone(), reason: "no live owner".to_owned() },
            epoch: stream.head().epoch + 1,
            owner,
            conditions: Vec::new(),
            writes: Vec::new(),
            retry_deadline: None,
        };
        let appended = stream.append(&context.store, &context.clock, append).await;
        if !matches!(appended, Ok(AppendOutcome::Committed(_))) {
            return None;
        }
        let loaded = loop {
            match load_shard(&context.store, shard).await {
                Ok(loaded) => break loaded,
                Err(error) => {
                    warn!(context.logger, "failed to load the shard"; "shard" => shard,
                        "error" => %error);
                    sleep(LOAD_RETRY_DELAY).await;
                }
            }
        };
        // An earlier owner can't record anything after the change of the head.
        let recorded_silence =
            leases::adopt_recorded_silence(&context, shard, &mut lease_watches).await;
        info!(context.logger, "shard acquired"; "shard" => shard, "epoch" => stream.head().epoch,
            "jobs" => loaded.state.jobs().len(), "entries" => loaded.sequence,
            "watched_leases" => lease_watches.len());
        let orders_cancellation = CancellationToken::new();
        let placer = Placer::new(context.node.clone(), context.clients.clone());
        Some(Self {
            shard,
            context,
            stream,
            state: loaded.state,
            archive: loaded.archive,
            placer,
            lease_watches,
            recorded_silence,
            preempted_at: None,
            is_inbox_due: true,
            tick: 0,
            _orders_guard: orders_cancellation.clone().drop_guard(),
            orders_cancellation,
        })
    }

    fn handle_message(&mut self, message: OwnerMessage, round: &mut Round) {
        match message {
            OwnerMessage::Wake => self.is_inbox_due = true,
            OwnerMessage::Report(batch, reply) => {
                let ReportBatch { instance, incarnation, capacity, available, reports, .. } = batch;
                self.placer.record_report(&instance, incarnation, capacity, available);
                for report in reports {
                    self.handle_report(&instance, report, round);
                }
                round.replies.push(reply);
            }
            OwnerMessage::Release => round.is_releasing = true,
        }
    }

    /// Converts a report into a decision; a report about an attempt other than the current one is
    /// ignored.
    fn handle_report(&mut self, instance: &str, report: AttemptReport, round: &mut Round) {
        let AttemptReport { task, attempt, event } = report;
        let is_current = self.state.task(&task).is_some_and(|current| {
            current.attempt == attempt
                && current.state.placement().is_some_and(|placement| placement.instance == instance)
        });
        if !is_current {
            // An attempt that was started although it isn't the current one is stopped.
            if event == AttemptEvent::Started {
                let order = StopOrder { task, attempt, cause: StopCause::Cancel };
                round.stops.entry(instance.to_owned()).or_default().push(order);
            }
            return;
        }
        let now = self.context.clock.now();
        let decision = match event {
            AttemptEvent::Started => Decision::Started { task, attempt },
            AttemptEvent::Done => {
                self.placer.record_end(instance, &task.job, true, now);
                Decision::Done { task, attempt }
            }
            AttemptEvent::Evicted { checkpoint, reason } => {
                Decision::Evicted { task, attempt, checkpoint, reason }
            }
            AttemptEvent::Released { reason } => Decision::Released { task, attempt, reason },
            AttemptEvent::Failed { reason } => {
                self.placer.record_end(instance, &task.job, false, now);
                let failures = self.state.task(&task).map_or(0, |current| current.failures);
                let is_final =
                    failures + 1 >= MAX_FAILURES && !self.placer.is_on_probation(instance, now);
                Decision::AttemptFailed { task, attempt, is_final, reason }
            }
        };
        self.decide(decision, round);
    }

    /// Applies a decision to the state before its commit; it has no external effect until then.
    fn decide(&mut self, decision: Decision, round: &mut Round) {
        if self.state.apply(&decision).is_ok() {
            round.decisions.push(decision);
        }
    }

    async fn run_round(&mut self, mut round: Round) -> Result<(), ShardLost> {
        let (is_tick, tick) = (round.is_tick, self.tick);
        let is_due = |ticks: u32| is_tick && tick.is_multiple_of(ticks);
        self.process_inbox(&mut round).await;
        if is_due(MAINTENANCE_TICKS) {
            self.placer.refresh_hints(self.context.clock.now()).await;
        }
        self.park_and_unpark(&mut round);
        if !round.is_releasing && self.state.waiting_count() > 0 {
            self.place(&mut round).await;
        }
        self.commit(round).await?;
        // The first tick counts as well: an owner may be replaced before its first maintenance.
        if is_due(MAINTENANCE_TICKS) || (is_tick && tick == 1) {
            self.check_leases().await?;
        }
        if is_due(MAINTENANCE_TICKS) {
            self.archive().await;
        }
        if is_due(HEAD_CHECK_TICKS) {
            self.check_head().await?;
        }
        if is_due(RESEND_TICKS) {
            self.resend_starts();
        }
        Ok(())
    }

    async fn process_inbox(&mut self, round: &mut Round) {
        let is_due = self.is_inbox_due || (round.is_tick && self.tick.is_multiple_of(INBOX_TICKS));
        if !is_due {
            return;
        }
        match read_inbox(&self.context.store, self.shard).await {
            Ok(InboxPage { decisions, keys }) => {
                self.is_inbox_due = false;
                for decision in decisions {
                    self.queue_stops(&decision, round);
                    self.decide(decision, round);
                }
                round.writes.extend(keys.into_iter().map(Write::delete));
            }
            Err(error) => {
                warn!(self.context.logger, "failed to read the inbox"; "shard" => self.shard,
                    "error" => %error);
            }
        }
    }

    /// Queues stop orders for the attempts that a command ends.
    fn queue_stops(&self, decision: &Decision, round: &mut Round) {
        let (job, kept) = match decision {
            Decision::JobCancelled { job, .. } => (job, 0),
            Decision::JobAmended { job, spec, .. } => (job, spec.tasks as usize),
            _ => return,
        };
        let Some(current) = self.state.jobs().get(job) else { return };
        for (index, task) in current.tasks.iter().enumerate().skip(kept) {
            let Some(placement) = task.state.placement() else { continue };
            let order = StopOrder {
                task: TaskId { job: job.clone(), index: index as u32 },
                attempt: task.attempt,
                cause: StopCause::Cancel,
            };
            round.stops.entry(placement.instance.clone()).or_default().push(order);
        }
    }

    async fn commit(&mut self, round: Round) -> Result<(), ShardLost> {
        let Round { decisions, conditions, writes, stops, replies, .. } = round;
        if !decisions.is_empty() || !writes.is_empty() {
            let count = decisions.len();
            let body = EntryBody::Decisions(decisions.clone());
            let append = self.append(body, Some(self.context.owner.clone()), conditions, writes);
            let started_at = self.context.clock.now();
            let appended =
                self.stream.append(&self.context.store, &self.context.clock, append).await;
            let Ok(AppendOutcome::Committed(_)) = appended else { return Err(ShardLost) };
            if self.stream.head().owner.as_ref() != Some(&self.context.owner) {
                return Err(ShardLost);
            }
            let elapsed = self.context.clock.now().duration_since(started_at);
            self.context.metrics.time("shard_commit", elapsed);
            self.context.metrics.gauge("shard_commit_decisions", count as u64);
        }
        for reply in replies {
            reply.send(Ok(())).ok();
        }
        self.send_starts(&decisions);
        for (instance, orders) in stops {
            self.send_orders(instance, Orders::Stop(orders));
        }
        Ok(())
    }

    fn append(
        &self,
        body: EntryBody,
        owner: Option<Owner>,
        conditions: Vec<Condition>,
        writes: Vec<Write>,
    ) -> Append {
        Append {
            author: self.context.owner.instance.clone(),
            body,
            epoch: self.stream.head().epoch,
            owner,
            conditions,
            writes,
            retry_deadline: None,
        }
    }

    /// Detects that another agent has replaced this owner, without waiting for the next commit.
    async fn check_head(&self) -> Result<(), ShardLost> {
        let Ok(row) = self.context.store.read(&keys::head(self.stream.name())).await else {
            return Ok(());
        };
        let is_own = row.is_some_and(|row| row.version == self.stream.version());
        if is_own { Ok(()) } else { Err(ShardLost) }
    }

    /// Writes a snapshot and archives a segment of the journal, if a full segment is available.
    async fn archive(&mut self) {
        let sequence = self.stream.head().sequence;
        if sequence < self.archive.mark.through_sequence + SEGMENT_ENTRIES {
            return;
        }
        if let Err(error) = self.try_archive(sequence).await {
            warn!(self.context.logger, "failed to archive the journal"; "shard" => self.shard,
                "error" => %error);
        }
    }

    async fn try_archive(&mut self, sequence: u64) -> Result<(), StoreError> {
        let store = &self.context.store;
        write_snapshot(store, self.shard, &self.state, sequence).await?;
        let author = &self.context.owner.instance;
        let stream = stream_of(self.shard);
        self.archive.move_segment(store, &stream, author, sequence, sequence).await?;
        Ok(())
    }

    /// Releases the shard by removing its owner from the head.
    async fn release(&mut self) {
        let body =
            EntryBody::Ownership { owner: None, reason: "planned stop of the owner".to_owned() };
        let mut append = self.append(body, None, Vec::new(), Vec::new());
        append.retry_deadline = Some(self.context.clock.now() + RELEASE_TIMEOUT);
        let appended = self.stream.append(&self.context.store, &self.context.clock, append).await;
        info!(self.context.logger, "shard released"; "shard" => self.shard,
            "committed" => matches!(appended, Ok(AppendOutcome::Committed(_))));
    }
}
