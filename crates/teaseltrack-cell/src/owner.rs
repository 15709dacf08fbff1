//! Owner of a cell: a single async task that holds the cell's state.
//!
//! Reports, queries and submissions arrive as messages. [`committer`] commits decisions one batch
//! at a time; [`loader`] reads the stored state.

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
    constants::{MAX_COMMIT_ROWS, OWNER_TICK_INTERVAL, RENEWAL_INTERVAL, STORE_LOST_TIMEOUT},
    owner::{
        committer::{Committer, OwnershipLost},
        loader::{JobUpdate, LoadedCell, follow_jobs, load},
    },
};

pub mod committer;
pub mod loader;

/// Capacity of the owner's mailbox, in calls.
const MAILBOX_SIZE: usize = 512;
/// Capacity of the queue of job updates.
const UPDATE_QUEUE_SIZE: usize = 16;

/// Maximum share of the owner's time spent on planning; the rest is for reports and commits.
const MAX_PLANNING_SHARE: f64 = 0.4;

/// Dependencies of the owner task.
#[derive(Clone)]
pub struct OwnerContext {
    /// The store.
    pub store: Store,
    /// The clock.
    pub clock: SharedClock,
    /// Wall clock.
    pub wall_now: fn() -> SystemTime,
    /// Settings of the cell.
    pub cell: CellSettings,
    /// Timing of ownership.
    pub ownership: OwnershipSettings,
    /// Source of the queue configuration.
    pub configuration: ConfigurationSource<QueueConfiguration>,
    /// Publishes the owner's mailbox to the RPC server.
    pub mailbox: watch::Sender<Option<mpsc::Sender<InboundCall>>>,
    /// Logger for decisions.
    pub logger: Logger,
    /// Metrics.
    pub metrics: Metrics,
}

/// Report that waits for an update.
#[derive(Debug)]
struct ParkedReport {
    reply: oneshot::Sender<ReportResponse>,
    respond_by: Instant,
    accepted_order: u64,
    forgot_until: u64,
    lease_until_ms: Option<u64>,
}

/// Commit in flight; returns the committer.
type CommitTask = JoinHandle<(Committer, Result<(), OwnershipLost>)>;

/// Receivers of an owner's messages.
struct Inboxes {
    calls: mpsc::Receiver<InboundCall>,
    updates: mpsc::Receiver<JobUpdate>,
    configuration: watch::Receiver<Option<Arc<QueueConfiguration>>>,
}

struct Owner {
    context: OwnerContext,
    cell: Cell,
    parked: HashMap<InstanceId, ParkedReport>,
    renewed_at: Instant,
    next_plan_at: Instant,
    is_stopping: bool,
}

/// Runs a cell until it has another owner or `closing` is cancelled.
///
/// `previous_grants_end` is the latest time at which the previous owner may have granted a lease.
pub async fn run_owner(
    context: OwnerContext,
    mut committer: Committer,
    previous_grants_end: Instant,
    closing: CancellationToken,
) {
    let Some(loaded) = load_while_renewing(&context, &mut committer).await else { return };
    let epoch = committer.record.epoch;
    let mut cell =
        Cell::new(context.cell, epoch, QueueConfiguration::default(), previous_grants_end);
    let now = context.clock.now();
    let job_count = loaded.jobs.len();
    for job in loaded.jobs {
        cell.admit(job, now);
    }
    info!(context.logger, "cell loaded"; "epoch" => epoch, "jobs" => job_count,
        "open_jobs" => cell.open_count());
    let (mailbox, calls) = mpsc::channel(MAILBOX_SIZE);
    let (update_sender, updates) = mpsc::channel(UPDATE_QUEUE_SIZE);
    let job_follower = tokio::spawn(follow_jobs(
        context.store.clone(),
        loaded.version,
        update_sender,
        context.wall_now,
        context.logger.clone(),
    ));
    let (configuration_sender, configuration) = watch::channel(None);
    let configuration_follower = tokio::spawn(follow_configuration(
        context.store.clone(),
        context.configuration.clone(),
        configuration_sender,
        context.logger.clone(),
    ));
    context.mailbox.send_replace(Some(mailbox));
    let renewed_at = committer.renewed_at;
    let next_plan_at = context.clock.now();
    let parked = HashMap::new();
    let mut owner = Owner { context, cell, parked, renewed_at, next_plan_at, is_stopping: false };
    owner.run(committer, Inboxes { calls, updates, configuration }, closing).await;
    owner.context.mailbox.send_replace(None);
    job_follower.abort();
    configuration_follower.abort();
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
            warn!(context.logger, "ownership lost while loading the cell");
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
        let mut idle_committer = Some(committer);
        let mut committing: Option<CommitTask> = None;
        let mut ticks = interval(OWNER_TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(call) = inboxes.calls.recv() => {
                    self.handle_call(call);
                    while let Ok(call) = inboxes.calls.try_recv() {
                        self.handle_call(call);
                    }
                }
                Some(update) = inboxes.updates.recv() => self.handle_update(update),
                done = commit_result(&mut committing) => {
                    committing = None;
                    let Some((committer, Ok(()))) = done else {
                        info!(self.context.logger, "ownership lost";
                            "epoch" => self.cell.epoch());
                        return;
                    };
                    self.renewed_at = committer.renewed_at;
                    let commit_time = self.context.clock.now().duration_since(self.renewed_at);
                    self.context.metrics.time("commit", commit_time);
                    self.cell.commit_succeeded();
                    idle_committer = Some(committer);
                }
                _ = ticks.tick() => self.cell.tick(self.context.clock.now()),
                Ok(()) = inboxes.configuration.changed() => {
                    let active = inboxes.configuration.borrow_and_update().as_deref().cloned();
                    if let Some(active) = active {
                        self.cell.apply_configuration(active);
                    }
                }
                () = closing.cancelled(), if !self.is_stopping => self.is_stopping = true,
            }
            self.plan();
            committing = match (committing, idle_committer.take()) {
                (None, Some(committer)) => match self.start_commit(committer) {
                    Ok(task) => Some(task),
                    Err(committer) => {
                        idle_committer = Some(*committer);
                        None
                    }
                },
                (committing, committer) => {
                    idle_committer = committer;
                    committing
                }
            };
            self.respond_to_parked();
            self.log_events();
            if self.is_stopping && committing.is_none() {
                if let Some(mut committer) = idle_committer
                    && committer.release().await.is_ok()
                {
                    info!(self.context.logger, "cell released"; "epoch" => self.cell.epoch());
                }
                return;
            }
        }
    }

    fn handle_call(&mut self, call: InboundCall) {
        match call {
            InboundCall::Report(report, reply) => self.handle_report(*report, reply),
            InboundCall::JobState(job, reply) => {
                let lookup = self.cell.state(&job).map_or(JobLookup::Unknown, JobLookup::State);
                reply.send(lookup).ok();
            }
            InboundCall::PendingCount(queue, reply) => {
                reply.send(Some(self.cell.pending_count(&queue) as u64)).ok();
            }
        }
    }

    fn handle_report(&mut self, report: Report, reply: oneshot::Sender<ReportResponse>) {
        let now = self.context.clock.now();
        let may_grant = now < self.renewed_at + self.context.ownership.grant_period;
        let wait = Duration::from_millis(report.wait_ms);
        let (agent, session) = (report.agent.clone(), report.session);
        let (accepted_order, forgot_until) = (report.accepted_order, report.forgot_until);
        let mut response = self.cell.handle_report(report, may_grant, now);
        response.is_store_lost = self.is_store_lost(now);
        let has_update = !response.orders.is_empty()
            || response.forget_until > forgot_until
            || response.session != session;
        if wait.is_zero() || has_update || response.is_store_lost {
            drop(reply.send(response));
            return;
        }
        let parked = ParkedReport {
            reply,
            respond_by: now + wait,
            accepted_order,
            forgot_until,
            lease_until_ms: response.lease_until_ms,
        };
        if let Some(superseded) = self.parked.insert(agent.clone(), parked) {
            drop(superseded.reply.send(self.cell.pending_update(&agent)));
        }
    }

    fn is_store_lost(&self, now: Instant) -> bool {
        self.is_stopping || now.duration_since(self.renewed_at) > STORE_LOST_TIMEOUT
    }

    fn handle_update(&mut self, update: JobUpdate) {
        let now = self.context.clock.now();
        for job in update.jobs {
            debug!(self.context.logger, "job received from the store"; "request_id" => &job.id,
                "queue" => &job.spec.queue, "stages" => job.spec.stages.len());
            self.cell.admit(job, now);
        }
        for job in update.cancelled {
            let is_known = self.cell.cancel(&job);
            debug!(self.context.logger, "cancellation received from the store";
                "request_id" => &job, "is_known" => is_known);
        }
    }

    /// Plans, unless planning has used up its share of the time.
    fn plan(&mut self) {
        let started_at = self.context.clock.now();
        if !self.cell.needs_plan() || started_at < self.next_plan_at {
            return;
        }
        self.cell.plan(unix_ms((self.context.wall_now)()), started_at);
        let plan_time = self.context.clock.now().duration_since(started_at);
        self.context.metrics.time("plan", plan_time);
        self.next_plan_at = started_at + plan_time.mul_f64(1.0 / MAX_PLANNING_SHARE);
    }

    /// Starts the next commit, or returns the committer if there is nothing to commit.
    fn start_commit(&mut self, mut committer: Committer) -> Result<CommitTask, Box<Committer>> {
        let is_renewal_due =
            self.context.clock.now().duration_since(self.renewed_at) >= RENEWAL_INTERVAL;
        let rows = match self.cell.next_commit(MAX_COMMIT_ROWS) {
            Some(batch) => batch.rows,
            None if is_renewal_due => Vec::new(),
            None => return Err(Box::new(committer)),
        };
        Ok(tokio::spawn(async move {
            let result = committer.commit(&rows).await;
            (committer, result)
        }))
    }

    fn respond_to_parked(&mut self) {
        let now = self.context.clock.now();
        let is_store_lost = self.is_store_lost(now);
        let cell = &self.cell;
        let ready: Vec<InstanceId> = self
            .parked
            .iter()
            .filter(|(agent, parked)| {
                parked.respond_by <= now
                    || is_store_lost
                    || cell.has_pending_update(agent, parked.accepted_order, parked.forgot_until)
            })
            .map(|(agent, _)| agent.clone())
            .collect();
        for agent in ready {
            let Some(parked) = self.parked.remove(&agent) else { continue };
            let mut response = self.cell.pending_update(&agent);
            response.lease_until_ms = parked.lease_until_ms;
            response.is_store_lost = is_store_lost;
            drop(parked.reply.send(response));
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
                    info!(logger, "stalled run is being stopped"; "request_id" => &task.job,
                        "task" => %task, "attempt" => attempt, "worker" => worker);
                }
                CellEvent::Moved { task, attempt, worker } => {
                    info!(logger, "serving task is being moved"; "request_id" => &task.job,
                        "task" => %task, "attempt" => attempt, "worker" => worker);
                }
                CellEvent::Reclaimed { task, attempt, worker, reason } => {
                    info!(logger, "task reclaimed"; "request_id" => &task.job, "task" => %task,
                        "attempt" => attempt, "worker" => worker, "reason" => reason);
                }
                CellEvent::State { job, state } => {
                    info!(logger, "job ended"; "request_id" => job, "state" => ?state);
                }
                CellEvent::Session { worker, agent, session } => {
                    info!(logger, "session started"; "worker" => worker, "agent" => agent,
                        "session" => session);
                }
            }
        }
    }
}

async fn commit_result(
    committing: &mut Option<CommitTask>,
) -> Option<(Committer, Result<(), OwnershipLost>)> {
    match committing {
        Some(task) => task.await.ok(),
        None => pending().await,
    }
}
