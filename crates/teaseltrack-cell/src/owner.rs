//! The owner of a cell: one task that holds the cell's state.
//!
//! Reports, questions and submissions come as messages. Decisions are committed one batch at a
//! time by [`committer`]; [`loader`] reads what is stored.

use std::{
    collections::HashMap,
    future::pending,
    sync::Arc,
    time::{Duration, Instant, SystemTime},
};

use slog::{Logger, debug, info, warn};
use teaseltrack::{
    cell::{
        Cell, CellEvent, CellSettings,
        job::QueueConfiguration,
        ownership::OwnershipSettings,
        protocol::{Report, ReportResponse},
    },
    clock::{SharedClock, unix_ms},
    ids::InstanceId,
};
use teaseltrack_daemon::metrics::Metrics;
use teaseltrack_platform::store::Store;
use teaseltrack_wire::cell::JobLookup;
use tokio::{
    sync::{mpsc, oneshot, watch},
    task::JoinHandle,
    time::{MissedTickBehavior, interval, sleep},
};
use tokio_util::sync::CancellationToken;

use crate::{
    calls::InboundCall,
    configuration::{ConfigurationSource, follow_configuration},
    constants::{MAX_COMMIT_ROWS, OWNER_TICK, RENEWAL_INTERVAL, STORE_LOST_AFTER},
    owner::{
        committer::{Committer, OwnershipLost},
        loader::{JobNews, LoadedCell, follow_jobs, load},
    },
};

pub mod committer;
pub mod loader;

/// Messages that may wait for the owner.
const MAILBOX_SIZE: usize = 512;
/// Batches of submissions that may wait for the owner.
const NEWS_SIZE: usize = 16;

/// Share of an owner's time that planning may take; reports and commits need the rest.
const PLAN_SHARE: f64 = 0.4;

/// What an owner needs.
#[derive(Clone)]
pub struct OwnerContext {
    /// The store.
    pub store: Store,
    /// The clock.
    pub clock: SharedClock,
    /// Time of day.
    pub wall_now: fn() -> SystemTime,
    /// Bounds of the cell.
    pub cell: CellSettings,
    /// Bounds of ownership.
    pub ownership: OwnershipSettings,
    /// Where the queues in force are read.
    pub configuration: ConfigurationSource<QueueConfiguration>,
    /// Where calls find the owner.
    pub mailbox: watch::Sender<Option<mpsc::Sender<InboundCall>>>,
    /// Where decisions are told.
    pub logger: Logger,
    /// What is counted.
    pub metrics: Metrics,
}

/// A report that waits for news.
#[derive(Debug)]
struct ParkedReport {
    reply: oneshot::Sender<ReportResponse>,
    answer_by: Instant,
    taken_order: u64,
    forgot_until: u64,
    lease_until_ms: Option<u64>,
}

/// A commit at work; gives the committer back.
type CommitTask = JoinHandle<(Committer, Result<(), OwnershipLost>)>;

/// Where an owner's messages come from.
struct Inboxes {
    calls: mpsc::Receiver<InboundCall>,
    news: mpsc::Receiver<JobNews>,
    configuration: watch::Receiver<Option<Arc<QueueConfiguration>>>,
}

struct Owner {
    context: OwnerContext,
    cell: Cell,
    parked: HashMap<InstanceId, ParkedReport>,
    renewed_at: Instant,
    plan_at: Instant,
    is_stopping: bool,
}

/// Runs a cell until it has another owner or `closing` is cancelled.
///
/// `foreign_grants_end` is when the owner before can have granted its last lease.
pub async fn run_owner(
    context: OwnerContext,
    mut committer: Committer,
    foreign_grants_end: Instant,
    closing: CancellationToken,
) {
    let Some(loaded) = load_while_renewing(&context, &mut committer).await else { return };
    let epoch = committer.record.epoch;
    let mut cell =
        Cell::new(context.cell, epoch, QueueConfiguration::default(), foreign_grants_end);
    let now = context.clock.now();
    let job_count = loaded.jobs.len();
    for job in loaded.jobs {
        cell.admit(job, now);
    }
    info!(context.logger, "cell owned"; "epoch" => epoch, "jobs" => job_count,
        "open_jobs" => cell.open_count());
    let (mailbox, calls) = mpsc::channel(MAILBOX_SIZE);
    let (news_sender, news) = mpsc::channel(NEWS_SIZE);
    let follower = tokio::spawn(follow_jobs(
        context.store.clone(),
        loaded.version,
        news_sender,
        context.wall_now,
        context.logger.clone(),
    ));
    let (configuration_sender, configuration) = watch::channel(None);
    let configurer = tokio::spawn(follow_configuration(
        context.store.clone(),
        context.configuration.clone(),
        configuration_sender,
        context.logger.clone(),
    ));
    context.mailbox.send_replace(Some(mailbox));
    let renewed_at = committer.renewed_at;
    let plan_at = context.clock.now();
    let parked = HashMap::new();
    let mut owner = Owner { context, cell, parked, renewed_at, plan_at, is_stopping: false };
    owner.run(committer, Inboxes { calls, news, configuration }, closing).await;
    owner.context.mailbox.send_replace(None);
    follower.abort();
    configurer.abort();
}

async fn load_while_renewing(
    context: &OwnerContext,
    committer: &mut Committer,
) -> Option<LoadedCell> {
    let mut loading =
        tokio::spawn(load(context.store.clone(), context.wall_now, context.logger.clone()));
    loop {
        tokio::select! {
            loaded = &mut loading => return loaded.ok(),
            () = sleep(RENEWAL_INTERVAL) => {}
        }
        if committer.commit(&[]).await.is_err() {
            loading.abort();
            warn!(context.logger, "cell lost while it was loaded");
            return None;
        }
    }
}

impl Owner {
    async fn run(
        &mut self,
        committer: Committer,
        mut inboxes: Inboxes,
        closing: CancellationToken,
    ) {
        let mut idle = Some(committer);
        let mut committing: Option<CommitTask> = None;
        let mut ticks = interval(OWNER_TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(call) = inboxes.calls.recv() => {
                    self.take_call(call);
                    while let Ok(call) = inboxes.calls.try_recv() {
                        self.take_call(call);
                    }
                }
                Some(news) = inboxes.news.recv() => self.take_news(news),
                done = finished(&mut committing) => {
                    committing = None;
                    let Some((committer, Ok(()))) = done else {
                        info!(self.context.logger, "cell has another owner";
                            "epoch" => self.cell.epoch());
                        return;
                    };
                    self.renewed_at = committer.renewed_at;
                    let commit_time = self.context.clock.now().duration_since(self.renewed_at);
                    self.context.metrics.time("commit", commit_time);
                    self.cell.commit_succeeded();
                    idle = Some(committer);
                }
                _ = ticks.tick() => self.cell.tick(self.context.clock.now()),
                Ok(()) = inboxes.configuration.changed() => {
                    let in_force = inboxes.configuration.borrow_and_update().as_deref().cloned();
                    if let Some(in_force) = in_force {
                        self.cell.apply_configuration(in_force);
                    }
                }
                () = closing.cancelled(), if !self.is_stopping => self.is_stopping = true,
            }
            self.plan();
            committing = match (committing, idle.take()) {
                (None, Some(committer)) => match self.start_commit(committer) {
                    Ok(task) => Some(task),
                    Err(committer) => {
                        idle = Some(*committer);
                        None
                    }
                },
                (committing, committer) => {
                    idle = committer;
                    committing
                }
            };
            self.answer_parked();
            self.log_events();
            if self.is_stopping && committing.is_none() {
                if let Some(mut committer) = idle
                    && committer.release().await.is_ok()
                {
                    info!(self.context.logger, "cell released"; "epoch" => self.cell.epoch());
                }
                return;
            }
        }
    }

    fn take_call(&mut self, call: InboundCall) {
        match call {
            InboundCall::Report(report, reply) => self.take_report(*report, reply),
            InboundCall::JobState(job, reply) => {
                let lookup = self.cell.state(&job).map_or(JobLookup::Unknown, JobLookup::State);
                reply.send(lookup).ok();
            }
            InboundCall::PendingCount(queue, reply) => {
                reply.send(Some(self.cell.pending_count(&queue) as u64)).ok();
            }
        }
    }

    fn take_report(&mut self, report: Report, reply: oneshot::Sender<ReportResponse>) {
        let now = self.context.clock.now();
        let may_grant = now < self.renewed_at + self.context.ownership.grant_period;
        let wait = Duration::from_millis(report.wait_ms);
        let (agent, session) = (report.agent.clone(), report.session);
        let (taken_order, forgot_until) = (report.accepted_order, report.forgot_until);
        let mut answer = self.cell.handle_report(report, may_grant, now);
        answer.is_store_lost = self.is_store_lost(now);
        let has_news = !answer.orders.is_empty()
            || answer.forget_until > forgot_until
            || answer.session != session;
        if wait.is_zero() || has_news || answer.is_store_lost {
            drop(reply.send(answer));
            return;
        }
        let parked = ParkedReport {
            reply,
            answer_by: now + wait,
            taken_order,
            forgot_until,
            lease_until_ms: answer.lease_until_ms,
        };
        if let Some(earlier) = self.parked.insert(agent.clone(), parked) {
            drop(earlier.reply.send(self.cell.pending_update(&agent)));
        }
    }

    fn is_store_lost(&self, now: Instant) -> bool {
        self.is_stopping || now.duration_since(self.renewed_at) > STORE_LOST_AFTER
    }

    fn take_news(&mut self, news: JobNews) {
        let now = self.context.clock.now();
        for job in news.jobs {
            debug!(self.context.logger, "job taken in"; "request_id" => &job.id,
                "queue" => &job.spec.queue, "stages" => job.spec.stages.len());
            self.cell.admit(job, now);
        }
        for job in news.cancelled {
            let is_known = self.cell.cancel(&job);
            debug!(self.context.logger, "cancellation taken in"; "request_id" => &job,
                "is_known" => is_known);
        }
    }

    /// Plans, unless planning would take more than its share of the time.
    fn plan(&mut self) {
        let started_at = self.context.clock.now();
        if !self.cell.needs_plan() || started_at < self.plan_at {
            return;
        }
        self.cell.plan(unix_ms((self.context.wall_now)()), started_at);
        let plan_time = self.context.clock.now().duration_since(started_at);
        self.context.metrics.time("plan", plan_time);
        self.plan_at = started_at + plan_time.mul_f64(1.0 / PLAN_SHARE);
    }

    /// Sends the next commit, or gives the committer back if there is nothing to commit.
    fn start_commit(&mut self, mut committer: Committer) -> Result<CommitTask, Box<Committer>> {
        let is_due = self.context.clock.now().duration_since(self.renewed_at) >= RENEWAL_INTERVAL;
        let rows = match self.cell.next_commit(MAX_COMMIT_ROWS) {
            Some(batch) => batch.rows,
            None if is_due => Vec::new(),
            None => return Err(Box::new(committer)),
        };
        Ok(tokio::spawn(async move {
            let result = committer.commit(&rows).await;
            (committer, result)
        }))
    }

    fn answer_parked(&mut self) {
        let now = self.context.clock.now();
        let is_store_lost = self.is_store_lost(now);
        let cell = &self.cell;
        let ready: Vec<InstanceId> = self
            .parked
            .iter()
            .filter(|(agent, parked)| {
                parked.answer_by <= now
                    || is_store_lost
                    || cell.has_pending_update(agent, parked.taken_order, parked.forgot_until)
            })
            .map(|(agent, _)| agent.clone())
            .collect();
        for agent in ready {
            let Some(parked) = self.parked.remove(&agent) else { continue };
            let mut answer = self.cell.pending_update(&agent);
            answer.lease_until_ms = parked.lease_until_ms;
            answer.is_store_lost = is_store_lost;
            drop(parked.reply.send(answer));
        }
    }

    fn log_events(&mut self) {
        let OwnerContext { logger, metrics, .. } = &self.context;
        metrics.gauge("jobs_open", self.cell.open_count() as u64);
        metrics.gauge("configuration_version", self.cell.configuration_version());
        for event in self.cell.take_events() {
            metrics.count_tagged("cell_events", "kind", event.name());
            match event {
                CellEvent::Assigned { task, attempt, worker } => {
                    info!(logger, "task assigned"; "request_id" => &task.job,
                        "task" => %task, "attempt" => attempt, "worker" => worker);
                }
                CellEvent::Ended { task, attempt, worker, cause } => {
                    info!(logger, "run ended"; "request_id" => &task.job, "task" => %task,
                        "attempt" => attempt, "worker" => worker, "cause" => ?cause);
                }
                CellEvent::Stalled { task, attempt, worker } => {
                    info!(logger, "run stands still and is stopped"; "request_id" => &task.job,
                        "task" => %task, "attempt" => attempt, "worker" => worker);
                }
                CellEvent::Moved { task, attempt, worker } => {
                    info!(logger, "serving task is moved"; "request_id" => &task.job,
                        "task" => %task, "attempt" => attempt, "worker" => worker);
                }
                CellEvent::Reclaimed { task, attempt, worker, reason } => {
                    info!(logger, "task taken back"; "request_id" => &task.job, "task" => %task,
                        "attempt" => attempt, "worker" => worker, "reason" => reason);
                }
                CellEvent::State { job, state } => {
                    info!(logger, "job ended"; "request_id" => job, "state" => ?state);
                }
                CellEvent::Session { worker, agent, session } => {
                    info!(logger, "session begun"; "worker" => worker, "agent" => agent,
                        "session" => session);
                }
            }
        }
    }
}

async fn finished(
    committing: &mut Option<CommitTask>,
) -> Option<(Committer, Result<(), OwnershipLost>)> {
    match committing {
        Some(task) => task.await.ok(),
        None => pending().await,
    }
}
