//! Owner of a cell: a single async task that holds the cell's state.
//!
//! Agents' reports and other calls arrive through the mailbox; submissions and cancellations arrive
//! from the store. [`committer`] commits decisions one batch at a time; [`loader`] loads the stored
//! state and then follows submissions and cancellations.

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
        evacuation::Evacuations,
        job::{JobId, QueueConfiguration},
        obstacles::ServingWaits,
        ownership::OwnershipSettings,
        partition::CellId,
        protocol::{Report, ReportResponse},
        succession::{OwnerLeases, Predecessor},
    },
    clock::{SharedClock, unix_ms},
    ids::InstanceId,
};
use teaseltrack_daemon::metrics::Metrics;
use teaseltrack_platform::store::Store;
use teaseltrack_wire::cell::JobLookup;
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{MissedTickBehavior, interval, sleep},
};
use tokio_util::{sync::CancellationToken, task::AbortOnDropHandle};

use crate::{
    calls::{CellClients, InboundCall},
    constants::{
        CANDIDATE_CHECK_INTERVAL, DELEGATION_WAIT, MAX_COMMIT_ROWS, OWNER_TICK_INTERVAL,
        RENEWAL_INTERVAL, REPORT_WAIT, STORE_LOST_TIMEOUT,
    },
    evacuation::{OperatorSenders, OperatorSource, follow_operator},
    local_owner::LocalOwner,
    owner::{
        committer::{Committer, OwnershipLost},
        delegator::{FoundCells, find_cells, next_stages, store_delegations, store_ends},
        loader::{JobChanges, LoadedCell, follow_jobs, load},
        predecessor::{ReceivedAnswer, ask_predecessor},
        withdrawals::delete_withdrawn_jobs,
    },
};

pub mod committer;
pub mod delegator;
pub mod loader;
pub mod predecessor;
pub mod withdrawals;

/// Capacity of the owner's mailbox, the channel for inbound calls, in calls.
const MAILBOX_SIZE: usize = 512;
/// Capacity of the channel for job changes from the store, in batches.
const JOB_CHANGES_CHANNEL_SIZE: usize = 16;

/// Maximum time between two planning rounds while a commit is in flight, for decisions that need no
/// commit: short compared with the time in which a worker must be emptied.
const MAX_PLAN_DELAY: Duration = Duration::from_millis(50);

/// Minimum time between the starts of two searches for room in other cells.
const SEARCH_INTERVAL: Duration = Duration::from_millis(200);
/// Minimum time between two log entries of searches without success.
const SEARCH_LOG_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum share of the owner's time spent on planning; the rest is for reports and commits.
const MAX_PLANNING_SHARE: f64 = 0.4;

/// Dependencies of the owner task.
#[derive(Clone)]
pub struct OwnerContext {
    /// The cell.
    pub cell_id: CellId,
    /// Number of cells of the fleet.
    pub cell_count: CellId,
    /// The store.
    pub store: Store,
    /// Monotonic clock.
    pub clock: SharedClock,
    /// Wall clock.
    pub wall_now: fn() -> SystemTime,
    /// Settings of the cell.
    pub cell: CellSettings,
    /// Takeover timeout and grant period of the ownership.
    pub ownership: OwnershipSettings,
    /// Source of the queue configuration and of the requested evacuations.
    pub operator: OperatorSource<QueueConfiguration>,
    /// Publishes the owner's mailbox to the RPC server.
    pub mailbox: watch::Sender<Option<mpsc::Sender<InboundCall>>>,
    /// The owner that runs in this process, for its successors.
    pub local_owner: LocalOwner,
    /// Logger.
    pub logger: Logger,
    /// Metrics.
    pub metrics: Metrics,
}

impl OwnerContext {
    /// Sets the gauges of waiting long-running tasks, by cell.
    fn record_serving_waits(&self, waits: ServingWaits) {
        let ServingWaits { count, longest, longest_beside_room } = waits;
        let cell = self.cell_id.to_string();
        let gauge = |name, value| self.metrics.gauge_tagged(name, "cell", &cell, value);
        gauge("serving_tasks_waiting", count as u64);
        gauge("serving_task_wait_ms", longest.as_millis() as u64);
        gauge("serving_task_wait_beside_room_ms", longest_beside_room.as_millis() as u64);
    }
}

/// Report whose response is delayed until there is a pending update for its agent (long poll).
#[derive(Debug)]
struct ParkedReport {
    reply: oneshot::Sender<ReportResponse>,
    respond_by: Instant,
    accepted_order: u64,
    forgot_until: u64,
    lease_until_ms: Option<u64>,
    is_evacuated: bool,
}

/// Commit in flight; returns the committer with the result.
type CommitTask = AbortOnDropHandle<(Committer, Result<Vec<JobId>, OwnershipLost>)>;
/// Search for cells with room for waiting tasks in progress.
type SearchTask = AbortOnDropHandle<FoundCells>;
/// Call to the predecessor in progress.
type PredecessorTask = AbortOnDropHandle<Option<ReceivedAnswer>>;

/// Receiving ends of the owner's channels.
struct Receivers {
    calls: mpsc::Receiver<InboundCall>,
    job_changes: mpsc::Receiver<JobChanges>,
    configuration: watch::Receiver<Option<Arc<QueueConfiguration>>>,
    evacuations: watch::Receiver<Option<Evacuations>>,
}

struct Owner {
    context: OwnerContext,
    cell: Cell,
    parked: HashMap<InstanceId, ParkedReport>,
    /// Time at which the last successful commit, which also renewed the ownership, was first sent.
    renewed_at: Instant,
    /// Whether a batch has been committed since the takeover.
    has_committed: bool,
    next_plan_at: Instant,
    /// Start of the last planning round.
    planned_at: Instant,
    clients: CellClients,
    searching: Option<SearchTask>,
    search_count: usize,
    next_search_at: Instant,
    search_logged_at: Option<Instant>,
    is_stopping: bool,
    predecessor: Option<Predecessor>,
    asking: Option<PredecessorTask>,
}

/// Runs a cell until it has another owner or `closing` is cancelled.
pub async fn run_owner(context: OwnerContext, committer: Committer, closing: CancellationToken) {
    let (local_owner, cell, epoch) =
        (context.local_owner.clone(), context.cell_id, committer.record.epoch);
    if !local_owner.begin(cell, epoch) {
        info!(context.logger, "a later owner has called; not running the cell"; "cell" => cell,
            "epoch" => epoch);
        // The row may name this process until the later owner's takeover is visible.
        sleep(CANDIDATE_CHECK_INTERVAL).await;
        return;
    }
    let leases = run_cell(context, committer, closing).await;
    local_owner.end(cell, leases);
}

/// Runs a cell and returns the leases that it has granted; `None` if it wasn't loaded.
async fn run_cell(
    context: OwnerContext,
    mut committer: Committer,
    closing: CancellationToken,
) -> Option<OwnerLeases> {
    let epoch = committer.record.epoch;
    let predecessor = committer.predecessor.clone();
    let asking = predecessor.clone().map(|predecessor| {
        let leases_end = committer.previous_grants_end + context.cell.worst_case_lease();
        let clock = context.clock.clone();
        let call = ask_predecessor(predecessor, context.cell_id, epoch, leases_end, clock);
        AbortOnDropHandle::new(tokio::spawn(call))
    });
    let local_owner = context.local_owner.clone();
    let superseded = local_owner.wait_until_superseded(context.cell_id, epoch);
    tokio::pin!(superseded);
    let loaded = tokio::select! {
        () = &mut superseded => {
            info!(context.logger, "superseded while loading the cell; returning to candidate";
                "cell" => context.cell_id, "epoch" => epoch);
            return None;
        }
        loaded = load_while_renewing(&context, &mut committer) => loaded?,
    };
    let mut cell = Cell::new(
        context.cell_id,
        context.cell,
        epoch,
        QueueConfiguration::default(),
        committer.previous_grants_end,
    );
    cell.adopt_silent_workers(committer.silent_workers.clone());
    cell.adopt_workers(loaded.workers);
    let now = context.clock.now();
    let job_count = loaded.jobs.len();
    for job in loaded.jobs {
        cell.admit(job, now);
    }
    for delegation in loaded.delegations {
        cell.admit_delegation(delegation, now);
    }
    loaded.handed_over.iter().for_each(|job| cell.note_hand_over(job));
    info!(context.logger, "cell loaded"; "cell" => context.cell_id, "epoch" => epoch, "jobs" => job_count,
        "open_jobs" => cell.open_count());
    let (mailbox, calls) = mpsc::channel(MAILBOX_SIZE);
    let (job_changes_sender, job_changes) = mpsc::channel(JOB_CHANGES_CHANNEL_SIZE);
    let job_follower = tokio::spawn(follow_jobs(
        context.cell_id,
        context.store.clone(),
        loaded.version,
        job_changes_sender,
        context.wall_now,
        context.logger.clone(),
    ));
    let withdrawal_cleaner = (context.cell_id == 0).then(|| {
        tokio::spawn(delete_withdrawn_jobs(context.store.clone(), context.logger.clone()))
    });
    let (configuration_sender, configuration) = watch::channel(None);
    let (evacuation_sender, evacuations) = watch::channel(None);
    let operator_follower = tokio::spawn(follow_operator(
        context.store.clone(),
        context.clock.clone(),
        context.operator.clone(),
        OperatorSenders { configuration: configuration_sender, evacuations: evacuation_sender },
        context.logger.clone(),
    ));
    context.mailbox.send_replace(Some(mailbox));
    let renewed_at = committer.renewed_at;
    let next_plan_at = context.clock.now();
    let planned_at = next_plan_at;
    let parked = HashMap::new();
    let mut owner = Owner {
        context,
        cell,
        parked,
        renewed_at,
        has_committed: false,
        next_plan_at,
        planned_at,
        clients: CellClients::default(),
        searching: None,
        search_count: 0,
        next_search_at: next_plan_at,
        search_logged_at: None,
        is_stopping: false,
        predecessor,
        asking,
    };
    let receivers = Receivers { calls, job_changes, configuration, evacuations };
    let is_superseded = tokio::select! {
        biased;
        // Aborts the commit in flight, which a cut off store may keep for long; it would fail.
        () = &mut superseded => true,
        () = owner.run(committer, receivers, closing) => false,
    };
    owner.context.mailbox.send_replace(None);
    // The next owner reports its own.
    owner.context.record_serving_waits(ServingWaits::default());
    job_follower.abort();
    operator_follower.abort();
    if let Some(cleaner) = withdrawal_cleaner {
        cleaner.abort();
    }
    let Owner { context, cell, .. } = owner;
    let leases = cell.into_leases();
    if is_superseded {
        let remaining = leases.leases_end.saturating_duration_since(context.clock.now());
        info!(context.logger, "superseded by a later owner; returning to candidate";
            "cell" => context.cell_id, "epoch" => epoch, "workers" => leases.workers.len(),
            "lease_remaining_ms" => remaining.as_millis() as u64);
        context.metrics.count("owners_superseded");
    }
    Some(leases)
}

async fn load_while_renewing(
    context: &OwnerContext,
    committer: &mut Committer,
) -> Option<LoadedCell> {
    let (store, logger) = (context.store.clone(), context.logger.clone());
    let loading = load(context.cell_id, store, context.wall_now, logger);
    let mut loading = AbortOnDropHandle::new(tokio::spawn(loading));
    loop {
        tokio::select! {
            loaded = &mut loading => return loaded.ok(),
            () = sleep(RENEWAL_INTERVAL) => {}
        }
        if committer.renew().await.is_err() {
            warn!(context.logger, "ownership lost while loading the cell; returning to candidate");
            return None;
        }
    }
}

impl Owner {
    async fn run(
        &mut self,
        committer: Committer,
        mut receivers: Receivers,
        closing: CancellationToken,
    ) {
        let mut idle_committer = Some(committer);
        let mut committing: Option<CommitTask> = None;
        let mut ticks = interval(OWNER_TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(call) = receivers.calls.recv() => {
                    self.handle_call(call);
                    while let Ok(call) = receivers.calls.try_recv() {
                        self.handle_call(call);
                    }
                }
                Some(changes) = receivers.job_changes.recv() => self.handle_job_changes(changes),
                done = task_result(&mut committing) => {
                    committing = None;
                    let Some((committer, Ok(rejected_jobs))) = done else {
                        info!(self.context.logger,
                            "ownership lost or commit task failed; returning to candidate";
                            "epoch" => self.cell.epoch());
                        return;
                    };
                    // The time at which this commit was first sent.
                    self.renewed_at = committer.renewed_at;
                    self.has_committed = true;
                    let commit_time = self.context.clock.now().duration_since(self.renewed_at);
                    self.context.metrics.time("commit", commit_time);
                    self.cell.commit_rejected(&rejected_jobs);
                    self.cell.commit_succeeded();
                    self.store_delegations();
                    self.store_ends();
                    idle_committer = Some(committer);
                }
                _ = ticks.tick() => {
                    self.cell.tick(self.context.clock.now());
                    self.store_ends();
                    self.record_evacuations();
                    self.record_waiting_tasks();
                    self.search_cells();
                }
                found = task_result(&mut self.searching) => {
                    self.searching = None;
                    self.delegate(found.unwrap_or_default());
                }
                answer = task_result(&mut self.asking) => {
                    self.asking = None;
                    self.handle_predecessor(answer.flatten());
                }
                Ok(()) = receivers.configuration.changed() => {
                    let active = receivers.configuration.borrow_and_update().as_deref().cloned();
                    if let Some(active) = active {
                        self.cell.apply_configuration(active);
                    }
                }
                Ok(()) = receivers.evacuations.changed() => {
                    let requested = receivers.evacuations.borrow_and_update().clone();
                    if let Some(requested) = requested {
                        self.cell.apply_evacuations(requested, self.context.clock.now());
                    }
                }
                () = closing.cancelled(), if !self.is_stopping => self.is_stopping = true,
            }
            self.plan(committing.is_some());
            // The committer is either idle here or owned by the commit in flight. An idle one
            // starts the next commit, and stays idle if there is nothing to commit.
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
            self.record_events();
            // While stopping, decisions are committed until none is left; then the cell is
            // released.
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
            InboundCall::Quote(cell, service, stages, reply) => {
                let now = self.context.clock.now();
                let is_owned = cell == self.context.cell_id;
                let quote = is_owned.then(|| self.cell.quote(&stages, &service, now));
                reply.send(quote).ok();
            }
            InboundCall::PendingCount(queue, reply) => {
                reply.send(Some(self.cell.pending_count(&queue) as u64)).ok();
            }
            InboundCall::PromiseRooms(cell, requests, reply) => {
                let now = self.context.clock.now();
                let is_owned = cell == self.context.cell_id && !self.is_stopping;
                let rooms = is_owned.then(|| self.cell.promise_rooms(&requests, now));
                reply.send(rooms).ok();
            }
        }
    }

    fn handle_report(&mut self, report: Report, reply: oneshot::Sender<ReportResponse>) {
        let now = self.context.clock.now();
        let may_grant =
            self.has_committed && now < self.renewed_at + self.context.ownership.grant_period;
        let wait = Duration::from_millis(report.wait_ms).min(REPORT_WAIT);
        let (agent, session) = (report.agent.clone(), report.session);
        let (accepted_order, forgot_until) = (report.accepted_order, report.forgot_until);
        let mut response = self.cell.handle_report(report, may_grant, now);
        response.is_store_lost = self.is_takeover_advised(now);
        let has_pending_update = !response.orders.is_empty()
            || response.forget_until > forgot_until
            || response.session != session;
        if wait.is_zero() || has_pending_update || response.is_store_lost {
            drop(reply.send(response));
            return;
        }
        let parked = ParkedReport {
            reply,
            respond_by: now + wait,
            accepted_order,
            forgot_until,
            lease_until_ms: response.lease_until_ms,
            is_evacuated: response.evacuation.is_evacuated,
        };
        if let Some(superseded) = self.parked.insert(agent.clone(), parked) {
            drop(superseded.reply.send(self.cell.pending_update(&agent, now)));
        }
    }

    /// Whether agents should check for another owner: commits have failed for too long, or this
    /// owner is stopping. Sent as `is_store_lost` in both cases.
    fn is_takeover_advised(&self, now: Instant) -> bool {
        self.is_stopping || now.duration_since(self.renewed_at) > STORE_LOST_TIMEOUT
    }

    /// Looks for other cells with room for long-running tasks that have none here.
    fn search_cells(&mut self) {
        if self.context.cell_count < 2 || self.searching.is_some() || self.is_stopping {
            return;
        }
        let now = self.context.clock.now();
        if now < self.next_search_at {
            return;
        }
        self.next_search_at = now + SEARCH_INTERVAL;
        let unplaced = self.cell.unplaced_tasks(DELEGATION_WAIT, now);
        if unplaced.is_empty() {
            return;
        }
        let unplaced = next_stages(unplaced, self.search_count);
        self.search_count += 1;
        let own = self.context.cell_id;
        let count = self.context.cell_count;
        // Each cell starts with another one, so that they don't all choose the same.
        let others: Vec<CellId> = (1..count).map(|step| (own + step) % count).collect();
        let (store, logger) = (self.context.store.clone(), self.context.logger.clone());
        let search = find_cells(others, unplaced, store, self.clients.clone(), logger);
        self.searching = Some(AbortOnDropHandle::new(tokio::spawn(search)));
    }

    /// Shortens the waits for leases by the predecessor's answer.
    fn handle_predecessor(&mut self, answer: Option<ReceivedAnswer>) {
        let OwnerContext { logger, metrics, .. } = &self.context;
        let (Some(predecessor), Some((answer, received_at))) = (self.predecessor.take(), answer)
        else {
            return;
        };
        let shortened = self.cell.shorten_inherited_leases(&predecessor, &answer, received_at);
        let Some(shortened) = shortened else { return };
        info!(logger, "predecessor has ended and has told what leases it has granted";
            "predecessor" => &predecessor.instance, "epoch" => predecessor.epoch,
            "has_run" => answer.leases.is_some(), "workers_shortened" => shortened.worker_count,
            "lease_remaining_ms" => shortened.longest_remaining.as_millis() as u64);
        metrics.count("predecessors_answered");
    }

    /// Hands over tasks to the cells that have promised room for them.
    fn delegate(&mut self, found: FoundCells) {
        let OwnerContext { logger, metrics, clock, cell_count, .. } = &self.context;
        let now = clock.now();
        let FoundCells { tasks, sought_count, response_count } = found;
        let found_count = tasks.len();
        for (task, cell) in tasks {
            self.cell.delegate(&task, cell, now);
        }
        if found_count > 0 {
            metrics.count("searches_with_room");
        } else {
            metrics.count("searches_without_room");
        }
        let is_due = self.search_logged_at.is_none_or(|at| now >= at + SEARCH_LOG_INTERVAL);
        if found_count < sought_count && is_due {
            self.search_logged_at = Some(now);
            info!(logger, "other cells have too little room for waiting long-running tasks";
                "tasks" => sought_count, "with_room" => found_count,
                "cells" => cell_count - 1, "cells_responded" => response_count);
        }
    }

    fn store_delegations(&mut self) {
        let delegations = self.cell.take_delegations();
        if !delegations.is_empty() {
            let (store, logger) = (self.context.store.clone(), self.context.logger.clone());
            tokio::spawn(store_delegations(delegations, store, logger));
        }
    }

    /// Stores the ends of jobs for other cells. An owner learns of hand-overs by its predecessors without
    /// any commit, so ticks call this as well.
    fn store_ends(&mut self) {
        let jobs = self.cell.take_ended_jobs();
        if !jobs.is_empty() {
            let (store, logger) = (self.context.store.clone(), self.context.logger.clone());
            tokio::spawn(store_ends(jobs, store, logger));
        }
    }

    fn handle_job_changes(&mut self, changes: JobChanges) {
        let now = self.context.clock.now();
        for job in changes.jobs {
            debug!(self.context.logger, "job received from the store"; "request_id" => &job.id,
                "queue" => &job.spec.queue, "stages" => job.spec.stages.len());
            self.cell.admit(job, now);
        }
        for delegation in changes.delegations {
            info!(self.context.logger, "delegated task received"; "task" => %delegation.task,
                "request_id" => &delegation.task.job, "hand_over" => delegation.hand_over,
                "waited_ms" => delegation.wait.waited_ms);
            self.cell.admit_delegation(delegation, now);
        }
        changes.handed_over.iter().for_each(|job| self.cell.note_hand_over(job));
        changes.ended.iter().for_each(|job| self.cell.end_partial_job(job));
        for job in changes.cancelled {
            let is_known = self.cell.cancel(&job);
            debug!(self.context.logger, "cancellation received from the store";
                "request_id" => &job, "is_known" => is_known);
        }
    }

    /// Plans, unless planning has used up its share of the time. Decisions of a round wait for the
    /// commit in flight, so that the next round waits for it too, unless it takes long.
    fn plan(&mut self, is_committing: bool) {
        let started_at = self.context.clock.now();
        if !self.cell.needs_plan() || started_at < self.next_plan_at {
            return;
        }
        if is_committing && started_at < self.planned_at + MAX_PLAN_DELAY {
            return;
        }
        self.planned_at = started_at;
        self.cell.plan(unix_ms((self.context.wall_now)()), started_at);
        let plan_time = self.context.clock.now().duration_since(started_at);
        self.context.metrics.time("plan", plan_time);
        self.next_plan_at = started_at + plan_time.mul_f64(1.0 / MAX_PLANNING_SHARE);
    }

    /// Starts the next commit, which has no rows if only a renewal of the ownership is due; returns
    /// the committer if there is nothing to commit. The first one is due at once, since leases wait for
    /// it.
    fn start_commit(&mut self, mut committer: Committer) -> Result<CommitTask, Box<Committer>> {
        let is_renewal_due = !self.has_committed
            || self.context.clock.now().duration_since(self.renewed_at) >= RENEWAL_INTERVAL;
        let batch = if is_renewal_due {
            self.cell.renewal(MAX_COMMIT_ROWS)
        } else {
            self.cell.next_commit(MAX_COMMIT_ROWS)
        };
        let Some(batch) = batch else { return Err(Box::new(committer)) };
        Ok(AbortOnDropHandle::new(tokio::spawn(async move {
            let result = committer.commit(batch).await;
            (committer, result)
        })))
    }

    /// Responds to the parked reports that have waited long enough or whose agent has a pending
    /// update.
    fn respond_to_parked(&mut self) {
        let now = self.context.clock.now();
        let is_takeover_advised = self.is_takeover_advised(now);
        let mut ready = self.cell.take_updated_agents();
        ready.retain(|agent| {
            self.parked.get(agent).is_some_and(|parked| {
                self.cell.is_agent_evacuated(agent) != parked.is_evacuated
                    || self.cell.has_pending_update(
                        agent,
                        parked.accepted_order,
                        parked.forgot_until,
                    )
            })
        });
        let has_waited = |parked: &ParkedReport| parked.respond_by <= now || is_takeover_advised;
        let overdue = self.parked.iter().filter(|(_, parked)| has_waited(parked));
        ready.extend(overdue.map(|(agent, _)| agent.clone()));
        for agent in ready {
            let Some(parked) = self.parked.remove(&agent) else { continue };
            let mut response = self.cell.pending_update(&agent, now);
            // The lease that was granted when the report arrived; waiting doesn't extend it.
            response.lease_until_ms = parked.lease_until_ms;
            response.is_store_lost = is_takeover_advised;
            drop(parked.reply.send(response));
        }
    }

    fn record_evacuations(&self) {
        let OwnerContext { metrics, clock, .. } = &self.context;
        let evacuation_time = self.cell.evacuation_time(clock.now());
        metrics.gauge("zones_evacuated", self.cell.evacuated_zone_count() as u64);
        metrics.gauge("tasks_in_evacuated_zones", self.cell.evacuated_task_count() as u64);
        metrics.gauge("evacuation_ms", evacuation_time.as_millis() as u64);
    }

    fn record_waiting_tasks(&self) {
        let waits = self.cell.waiting_serving_tasks(self.context.clock.now());
        self.context.record_serving_waits(waits);
    }

    /// Logs the cell's events and records them in metrics, with the gauges of the cell.
    fn record_events(&mut self) {
        let OwnerContext { logger, metrics, .. } = &self.context;
        metrics.gauge("jobs_open", self.cell.open_count() as u64);
        metrics.gauge("tasks_on_silent_workers", self.cell.silent_task_count() as u64);
        for (cause, count) in self.cell.idle_task_counts() {
            metrics.gauge_tagged("serving_tasks_idle", "cause", cause.name(), count as u64);
        }
        metrics.gauge("stages_infeasible", self.cell.infeasible_stage_count() as u64);
        metrics.gauge("workers_doubted", self.cell.doubted_worker_count() as u64);
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
                CellEvent::Doubt { worker, is_doubted, expected_slowdown } => {
                    let message = if is_doubted {
                        "worker is slow or unreliable; preferring others"
                    } else {
                        "worker is no longer slow or unreliable"
                    };
                    info!(logger, "{}", message; "worker" => worker,
                        "expected_slowdown" => format!("{expected_slowdown:.2}"));
                }
                CellEvent::Moved { task, attempt, worker } => {
                    info!(logger, "task is being moved to another worker"; "request_id" => &task.job,
                        "task" => %task, "attempt" => attempt, "worker" => worker);
                }
                CellEvent::Preempted { task, attempt, worker, newcomer, gain, cost } => {
                    info!(logger, "run is being stopped for a waiting task of higher priority";
                        "request_id" => &task.job, "task" => %task, "attempt" => attempt,
                        "worker" => worker, "waiting" => %newcomer, "gain" => gain, "cost" => cost);
                }
                CellEvent::CopyStarted { task, attempt, worker, remaining, copy_time } => {
                    info!(logger, "copy of a slow run assigned"; "request_id" => &task.job,
                        "task" => %task, "attempt" => attempt, "worker" => worker,
                        "run_remaining_ms" => remaining.as_millis() as u64,
                        "copy_ms" => copy_time.as_millis() as u64);
                }
                CellEvent::CopySettled { task, attempt, worker, is_copy_first, lost_core_ms } => {
                    metrics.time("copy_lost_core", Duration::from_millis(lost_core_ms));
                    info!(logger, "one of two runs is done; stopping the other";
                        "request_id" => &task.job, "task" => %task, "attempt" => attempt,
                        "worker" => worker, "is_copy_first" => is_copy_first,
                        "lost_core_ms" => lost_core_ms);
                }
                CellEvent::Reclaimed { task, attempt, worker, reason } => {
                    info!(logger, "task reclaimed"; "request_id" => &task.job, "task" => %task,
                        "attempt" => attempt, "worker" => worker, "reason" => reason);
                }
                CellEvent::Suspected {
                    task,
                    worker,
                    crash_count,
                    sole_crash_count,
                    is_given_up,
                } => {
                    let message = if is_given_up {
                        "worker crashed; giving up the task that it was running"
                    } else {
                        "worker crashed; suspecting a task that it was running"
                    };
                    warn!(logger, "{}", message; "request_id" => &task.job, "task" => %task,
                        "worker" => worker, "crashes" => crash_count,
                        "crashes_alone" => sole_crash_count);
                }
                CellEvent::Silent { worker, task_count, lease_remaining } => {
                    warn!(logger, "worker stopped reporting; waiting for its lease to expire";
                        "worker" => worker, "tasks" => task_count,
                        "lease_remaining_ms" => lease_remaining.as_millis() as u64);
                }
                CellEvent::Unplaced { task, waited, count, required, free, obstacles } => {
                    warn!(logger, "long-running tasks wait for a worker";
                        "request_id" => &task.job, "task" => %task,
                        "waited_ms" => waited.as_millis() as u64, "waiting" => count,
                        "cpu_milli" => required.cpu_milli, "memory_mib" => required.memory_mib,
                        "free_cpu_milli" => free.cpu_milli, "free_memory_mib" => free.memory_mib,
                        "workers_ineligible" => obstacles.ineligible,
                        "workers_excluded" => obstacles.excluded,
                        "workers_isolated" => obstacles.isolated,
                        "workers_constrained" => obstacles.constrained,
                        "workers_with_batch" => obstacles.batch,
                        "workers_without_cpu" => obstacles.cpu,
                        "workers_without_memory" => obstacles.memory,
                        "workers_held" => obstacles.held, "workers_usable" => obstacles.none);
                }
                CellEvent::Idle {
                    task,
                    attempt,
                    worker,
                    cause,
                    idle,
                    cause_time,
                    beside_room,
                    count,
                    rooms,
                } => {
                    warn!(logger, "long-running task has no run"; "request_id" => &task.job,
                        "task" => %task, "attempt" => attempt, "worker" => worker,
                        "cause" => cause.name(), "cause_ms" => cause_time.as_millis() as u64,
                        "idle_ms" => idle.as_millis() as u64,
                        "beside_room_ms" => beside_room.as_millis() as u64, "tasks" => count,
                        "rooms" => rooms.total(), "rooms_unlisted" => rooms.unlisted,
                        "rooms_refusing" => rooms.refusing, "rooms_probation" => rooms.probation,
                        "rooms_isolated" => rooms.isolated, "rooms_held" => rooms.held,
                        "rooms_open" => rooms.open);
                }
                CellEvent::ProbationBegun { worker, failed_task_count, task_count } => {
                    info!(logger, "worker is on probation after failed runs"; "worker" => worker,
                        "failed_tasks" => failed_task_count, "tasks" => task_count);
                }
                CellEvent::ProbationEnded { worker } => {
                    info!(logger, "probation of a worker has ended"; "worker" => worker);
                }
                CellEvent::Infeasible { task, task_count, required, room_count, stage_count } => {
                    warn!(logger, "stage can't be placed on the present workers";
                        "request_id" => &task.job, "task" => %task, "tasks" => task_count,
                        "cpu_milli" => required.cpu_milli, "memory_mib" => required.memory_mib,
                        "room_for" => room_count, "stages" => stage_count);
                }
                CellEvent::State { job, state } => {
                    info!(logger, "job ended"; "request_id" => job, "state" => ?state);
                }
                CellEvent::EvacuationStarted { zone, worker_count, task_count } => {
                    info!(logger, "evacuation of an availability zone started"; "zone" => zone,
                        "workers" => worker_count, "tasks" => task_count);
                }
                CellEvent::EvacuationEmptied { zone, elapsed } => {
                    info!(logger, "evacuated availability zone has no tasks left"; "zone" => zone,
                        "elapsed_ms" => elapsed.as_millis() as u64);
                }
                CellEvent::EvacuationEnded { zone, task_count, elapsed } => {
                    info!(logger, "evacuation of an availability zone ended"; "zone" => zone,
                        "tasks" => task_count, "elapsed_ms" => elapsed.as_millis() as u64);
                }
                CellEvent::EvacuationUnknown { zone } => {
                    warn!(logger, "no worker of the cell is in an evacuated availability zone";
                        "zone" => zone);
                }
                CellEvent::ForeignReport { agent, cell } => {
                    warn!(logger, "report of another cell's agent ignored"; "agent" => agent,
                        "agent_cell" => cell);
                }
                CellEvent::Session { worker, agent, session } => {
                    info!(logger, "session started"; "worker" => worker, "agent" => agent,
                        "session" => session);
                }
            }
        }
    }
}

/// Result of a task; `None` if it failed. Never completes without a task.
async fn task_result<T>(running: &mut Option<AbortOnDropHandle<T>>) -> Option<T> {
    match running {
        Some(task) => task.await.ok(),
        None => pending().await,
    }
}
