//! Evacuation of availability zones: nothing starts on the workers of an evacuated zone until the
//! operator takes the request back.
//!
//! An owner that can't read the requests doesn't know of new ones. Its knowledge therefore expires,
//! and it assigns nothing without it. Every response to an agent states for how long start orders
//! may be carried out ([`EvacuationNotice`]), so that the bound also holds for orders in transit.
//!
//! Tasks that run in an evacuated zone run on. Serving tasks, which don't end by themselves, move one
//! at a time while there is room for them elsewhere.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::{
    cell::{
        Cell, CellEvent, JobKey, WorkerKey,
        worker::{TaskKey, Worker},
    },
    ids::ZoneName,
};

/// Reason for the withdrawal of an assignment.
const EVACUATED: &str = "availability zone is being evacuated";

/// Settings of evacuations.
#[derive(Clone, Copy, Debug)]
pub struct EvacuationSettings {
    /// Time after which knowledge of the requested evacuations expires; `None` if it doesn't.
    pub max_age: Option<Duration>,
    /// Minimum time between two moves of serving tasks out of evacuated zones.
    pub move_interval: Duration,
    /// Time after which a zone without workers counts as unknown.
    pub unknown_zone_wait: Duration,
    /// Maximum number of tasks that are about to start on a cold worker of a zone that was evacuated.
    pub max_cold_starts: usize,
}

/// Evacuations that operators have requested.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evacuations {
    /// Version of the store.
    pub version: u64,
    /// The zones.
    pub zones: BTreeSet<ZoneName>,
    /// Time at which the requests were last known to be current.
    pub current_at: Instant,
}

/// What the owner knows of the evacuation of an agent's zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationNotice {
    /// Version of the store; the agent keeps the state with the highest one.
    pub version: u64,
    /// Whether nothing may start on the agent's worker.
    pub is_evacuated: bool,
    /// Time within which the start orders of the response must be carried out, from the sending of
    /// the agent's report, in milliseconds; `None` without a limit.
    pub valid_for_ms: Option<u64>,
}

/// Evacuations known to an owner.
#[derive(Clone, Debug, Default)]
pub(super) struct EvacuationState {
    version: u64,
    current_at: Option<Instant>,
    zones: BTreeMap<ZoneName, EvacuatedZone>,
    /// Zones that were evacuated before.
    reopened_zones: BTreeSet<ZoneName>,
    moved_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct EvacuatedZone {
    /// Time at which this owner learned of the request.
    since: Instant,
    is_reported_unknown: bool,
    is_reported_empty: bool,
}

impl Cell {
    /// Applies the requested evacuations; ignores older versions than the known one.
    pub fn apply_evacuations(&mut self, evacuations: Evacuations, now: Instant) {
        let Evacuations { version, zones, current_at } = evacuations;
        if version < self.evacuation.version {
            return;
        }
        self.needs_plan |= !self.knows_evacuations(now);
        self.evacuation.version = version;
        self.evacuation.current_at = self.evacuation.current_at.max(Some(current_at));
        let ended: Vec<ZoneName> =
            self.evacuation.zones.keys().filter(|zone| !zones.contains(*zone)).cloned().collect();
        for zone in ended {
            self.end_evacuation(zone, now);
        }
        for zone in zones {
            if !self.evacuation.zones.contains_key(&zone) {
                self.begin_evacuation(zone, now);
            }
        }
    }

    fn begin_evacuation(&mut self, zone: ZoneName, now: Instant) {
        let (worker_count, task_count) = self.count_in_zone(&zone);
        let evacuated =
            EvacuatedZone { since: now, is_reported_unknown: false, is_reported_empty: false };
        self.evacuation.reopened_zones.remove(&zone);
        self.evacuation.zones.insert(zone.clone(), evacuated);
        self.events.push(CellEvent::EvacuationStarted {
            zone: zone.clone(),
            worker_count,
            task_count,
        });
        self.notify_agents(&zone);
        self.withdraw_unsent_starts(&zone);
        self.needs_plan = true;
    }

    fn end_evacuation(&mut self, zone: ZoneName, now: Instant) {
        let Some(evacuated) = self.evacuation.zones.remove(&zone) else { return };
        let (_, task_count) = self.count_in_zone(&zone);
        self.notify_agents(&zone);
        self.evacuation.reopened_zones.insert(zone.clone());
        let elapsed = now.duration_since(evacuated.since);
        self.events.push(CellEvent::EvacuationEnded { zone, task_count, elapsed });
        self.needs_plan = true;
    }

    fn notify_agents(&mut self, zone: &str) {
        for worker in self.workers.values_mut().filter(|worker| worker.is_in_zone(zone)) {
            worker.has_update = true;
        }
    }

    /// Reclaims the zone's assignments whose start order hasn't been sent. A commit in flight that
    /// contains such an assignment sends none.
    fn withdraw_unsent_starts(&mut self, zone: &str) {
        let unsent: Vec<(WorkerKey, TaskKey)> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.is_in_zone(zone))
            .flat_map(|(key, worker)| worker.tasks.iter().map(move |task| (key, *task)))
            .filter(|(worker, task)| {
                let run = self.task(*task).and_then(|task| task.run_on(*worker));
                run.is_some_and(|run| !run.is_ordered && !run.is_listed)
            })
            .collect();
        for (worker, task) in unsent {
            self.select_run(task, worker);
            self.reclaim_with_gang(task, EVACUATED);
        }
    }

    /// Whether nothing may start on the worker because its zone is being evacuated.
    pub fn is_evacuated(&self, worker: WorkerKey) -> bool {
        self.workers.get(worker).is_some_and(|worker| self.is_in_evacuated_zone(worker))
    }

    /// Whether nothing may start on the worker of the agent because its zone is being evacuated.
    pub fn is_agent_evacuated(&self, agent: &str) -> bool {
        self.by_agent.get(agent).is_some_and(|worker| self.is_evacuated(*worker))
    }

    fn is_in_evacuated_zone(&self, worker: &Worker) -> bool {
        let status = worker.status.as_ref();
        status.is_some_and(|status| self.evacuation.zones.contains_key(&status.zone))
    }

    /// Whether the requested evacuations are known well enough to assign tasks.
    pub(super) fn knows_evacuations(&self, now: Instant) -> bool {
        let Some(settings) = self.settings.evacuation else { return true };
        let Some(current_at) = self.evacuation.current_at else { return false };
        settings.max_age.is_none_or(|max_age| now.saturating_duration_since(current_at) <= max_age)
    }

    /// Notice for the agent of a worker.
    pub(super) fn evacuation_notice(&self, worker: WorkerKey, now: Instant) -> EvacuationNotice {
        let max_age = self.settings.evacuation.and_then(|settings| settings.max_age);
        let valid_for_ms = max_age.map(|max_age| {
            let expires_at = self.evacuation.current_at.map_or(now, |at| at + max_age);
            expires_at.saturating_duration_since(now).as_millis() as u64
        });
        let is_evacuated = self.is_evacuated(worker);
        EvacuationNotice { version: self.evacuation.version, is_evacuated, valid_for_ms }
    }

    /// Reports evacuated zones that are empty, and those that have no workers at all.
    pub(super) fn review_evacuations(&mut self, now: Instant) {
        let Some(settings) = self.settings.evacuation else { return };
        let zones: Vec<(ZoneName, EvacuatedZone)> =
            self.evacuation.zones.iter().map(|(zone, state)| (zone.clone(), *state)).collect();
        for (zone, state) in zones {
            let elapsed = now.duration_since(state.since);
            let (worker_count, task_count) = self.count_in_zone(&zone);
            let Some(evacuated) = self.evacuation.zones.get_mut(&zone) else { continue };
            // Agents of a new owner's cell may not have reported yet.
            if elapsed < settings.unknown_zone_wait {
                continue;
            }
            if worker_count == 0 && !state.is_reported_unknown {
                evacuated.is_reported_unknown = true;
                self.events.push(CellEvent::EvacuationUnknown { zone });
            } else if worker_count > 0 && task_count == 0 && !state.is_reported_empty {
                evacuated.is_reported_empty = true;
                self.events.push(CellEvent::EvacuationEmptied { zone, elapsed });
            }
        }
    }

    /// Number of evacuated zones.
    pub fn evacuated_zone_count(&self) -> usize {
        self.evacuation.zones.len()
    }

    /// Number of tasks on the workers of evacuated zones.
    pub fn evacuated_task_count(&self) -> usize {
        let zones = self.evacuation.zones.keys();
        zones.map(|zone| self.count_in_zone(zone).1).sum()
    }

    /// Time since the owner learned of the oldest request; zero without one.
    pub fn evacuation_time(&self, now: Instant) -> Duration {
        let since = self.evacuation.zones.values().map(|zone| zone.since).min();
        since.map_or(Duration::ZERO, |since| now.duration_since(since))
    }

    /// Numbers of workers and of their tasks in a zone.
    fn count_in_zone(&self, zone: &str) -> (usize, usize) {
        let workers = self.workers.values().filter(|worker| worker.is_in_zone(zone));
        workers.fold((0, 0), |(count, tasks), worker| (count + 1, tasks + worker.tasks.len()))
    }

    /// Workers in evacuated zones.
    pub(super) fn evacuated_workers(&self) -> Vec<WorkerKey> {
        if self.evacuation.zones.is_empty() {
            return Vec::new();
        }
        self.workers.keys().filter(|key| self.is_evacuated(*key)).collect()
    }

    /// Stops the next serving task of an evacuated zone that can be placed on one of `workers`.
    pub(super) fn move_evacuated_task(&mut self, workers: &[WorkerKey], now: Instant) {
        let Some(settings) = self.settings.evacuation else { return };
        let is_due = self
            .evacuation
            .moved_at
            .is_none_or(|at| now.duration_since(at) >= settings.move_interval);
        if !is_due || self.evacuation.zones.is_empty() {
            return;
        }
        let Some((task, from)) = self.next_evacuated_task(workers) else { return };
        self.evacuation.moved_at = Some(now);
        self.move_task(task, from, now);
    }

    /// Next serving task to move and its worker: of the most urgent queue first, then of the job that
    /// was accepted first.
    fn next_evacuated_task(&self, workers: &[WorkerKey]) -> Option<(TaskKey, WorkerKey)> {
        let urgency = |key: JobKey| (self.jobs[key].queue.priority, self.jobs[key].accepted_at);
        let mut serving: Vec<(TaskKey, WorkerKey)> = self
            .evacuated_workers()
            .into_iter()
            .flat_map(|from| self.workers[from].tasks.iter().map(move |task| (*task, from)))
            .filter(|(task, _)| {
                let stage = self.stage(*task);
                stage.is_long_running && !stage.is_gang && self.tolerates_move(*task)
            })
            .collect();
        serving.sort_by_key(|(task, _)| (urgency(task.job), *task));
        let batch_reserve = self.settings.planning.batch_reserve;
        let has_room = |task: &TaskKey| {
            self.choose_worker(*task, self.stage(*task), workers, batch_reserve).is_some()
        };
        serving.into_iter().find(|(task, _)| has_room(task))
    }

    /// Whether the worker is cold since the evacuation of its zone was taken back.
    pub(super) fn is_warming_up(&self, worker: &Worker) -> bool {
        let status = worker.status.as_ref();
        status.is_some_and(|status| {
            status.is_cold && self.evacuation.reopened_zones.contains(&status.zone)
        })
    }

    /// Whether a worker that is warming up has as many tasks about to start as it may have.
    pub(super) fn is_cold_limit_reached(&self, worker: &Worker) -> bool {
        let Some(settings) = self.settings.evacuation else { return false };
        let is_starting = |key: &&TaskKey| {
            let run = self.task(**key).and_then(|task| task.run.as_ref());
            run.is_some_and(|run| !run.is_listed)
        };
        self.is_warming_up(worker)
            && worker.tasks.iter().filter(is_starting).count() >= settings.max_cold_starts
    }
}

impl Worker {
    fn is_in_zone(&self, zone: &str) -> bool {
        self.status.as_ref().is_some_and(|status| status.zone == zone)
    }
}
