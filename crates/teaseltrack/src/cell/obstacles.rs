//! Why serving tasks wait: what keeps each worker from running a task that was placed nowhere.
//!
//! Serving tasks wait last among the tasks that reserve CPU, and nothing ends to make room for them.
//! The reasons are reported for the task that has waited longest, so that an operator can tell a
//! full service from capacity that isn't used.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use crate::cell::{
    Cell, CellEvent, WorkerKey,
    planning::{Candidate, TaskKind},
    worker::{TaskKey, reserved_resources},
};

/// Waiting time from which a serving task is reported.
const MIN_REPORTED_WAIT: Duration = Duration::from_millis(1_500);
/// Time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// Numbers of a service's workers by what keeps them from running a task; each worker counts once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Obstacles {
    /// Draining, unreachable, silent, not reconciled or evacuated.
    pub ineligible: u32,
    /// In a back-off after a refused start, or on probation.
    pub excluded: u32,
    /// Kept for tasks that may crash their worker, or running one.
    pub isolated: u32,
    /// Without a required label, or with as many tasks of the stage as are allowed.
    pub constrained: u32,
    /// With enough CPU but for batch tasks, which end soon and are replaced by others.
    pub batch: u32,
    /// Without enough CPU beside its serving tasks.
    pub cpu: u32,
    /// With enough free CPU, but not memory or accelerators.
    pub memory: u32,
    /// With enough capacity, which is held for other tasks.
    pub held: u32,
    /// Able to run the task.
    pub none: u32,
}

/// Serving tasks that wait to be placed. The times include waits in cells that have handed the tasks
/// over, but not those under earlier owners.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServingWaits {
    /// Number of tasks.
    pub count: usize,
    /// Longest wait.
    pub longest: Duration,
    /// Longest wait since another cell was found to have room for the task.
    pub longest_beside_room: Duration,
}

impl Cell {
    /// Serving tasks that wait to be placed.
    pub fn waiting_serving_tasks(&self, now: Instant) -> ServingWaits {
        let waiting = self.serving_waits(now);
        let room_found = waiting.iter().filter_map(|(_, key)| self.task(*key)?.room_found_at);
        ServingWaits {
            count: waiting.len(),
            longest: waiting.iter().map(|(wait, _)| *wait).max().unwrap_or_default(),
            longest_beside_room: room_found
                .min()
                .map_or(Duration::ZERO, |since| now.saturating_duration_since(since)),
        }
    }

    /// Reports the serving task of the candidates that has waited longest, with the obstacles to its
    /// placement.
    pub(super) fn report_obstacles(
        &mut self,
        candidates: &[Candidate],
        open_workers: &[WorkerKey],
        eligible_workers: &[WorkerKey],
        now: Instant,
    ) {
        let is_due =
            self.obstacles_reported_at.is_none_or(|at| now.duration_since(at) >= REPORT_INTERVAL);
        if !is_due || !candidates.iter().any(|candidate| candidate.kind() == TaskKind::Serving) {
            return;
        }
        let stages: HashSet<TaskKey> =
            candidates.iter().map(|candidate| candidate.first_task).collect();
        let mut waiting = self.serving_waits(now);
        waiting.retain(|(_, key)| stages.contains(&TaskKey { index: 0, ..*key }));
        let longest = waiting.iter().max_by_key(|(wait, _)| *wait);
        let Some(&(waited, key)) = longest.filter(|(wait, _)| *wait >= MIN_REPORTED_WAIT) else {
            return;
        };
        let Some(task) = self.name_of(key) else { return };
        self.obstacles_reported_at = Some(now);
        let free = eligible_workers.iter().map(|worker| self.workers[*worker].available());
        self.events.push(CellEvent::Unplaced {
            task,
            waited,
            count: waiting.len(),
            required: self.stage(key).resources,
            free: free.max_by_key(|free| free.cpu_milli).unwrap_or_default(),
            obstacles: self.obstacles(key, open_workers, eligible_workers, now),
        });
    }

    fn serving_waits(&self, now: Instant) -> Vec<(Duration, TaskKey)> {
        let open = self.open_jobs.iter().filter(|key| {
            let job = &self.jobs[**key];
            !job.state.is_final() && job.spec.is_long_running()
        });
        let tasks = open.flat_map(|key| self.task_keys(*key));
        tasks
            .filter(|key| self.stage(*key).is_long_running)
            .filter_map(|key| {
                let since = self.task(key).filter(|task| task.is_waiting())?.unplaced_since?;
                Some((now.duration_since(since), key))
            })
            .collect()
    }

    fn obstacles(
        &self,
        key: TaskKey,
        open_workers: &[WorkerKey],
        eligible_workers: &[WorkerKey],
        now: Instant,
    ) -> Obstacles {
        let mut obstacles = Obstacles::default();
        let stage = self.stage(key);
        let (service, priority) =
            (&self.jobs[key.job].queue.service, self.jobs[key.job].queue.priority);
        let required = reserved_resources(stage);
        for (worker_key, worker) in &self.workers {
            let Some(status) = worker.status.as_ref().filter(|status| status.service == *service)
            else {
                continue;
            };
            let reserved = worker.reserved.plus(&required);
            let count = if worker.exclusion.is_some_and(|exclusion| exclusion.until > now) {
                &mut obstacles.excluded
            } else if !eligible_workers.contains(&worker_key) {
                &mut obstacles.ineligible
            } else if !open_workers.contains(&worker_key) {
                &mut obstacles.isolated
            } else if !self.meets_constraints(worker, service, (key, stage)) {
                &mut obstacles.constrained
            } else if reserved.cpu_milli.saturating_sub(worker.demand.batch_milli)
                > status.capacity.cpu_milli
            {
                &mut obstacles.cpu
            } else if reserved.cpu_milli > status.capacity.cpu_milli {
                &mut obstacles.batch
            } else if !status.capacity.can_fit(&reserved) {
                &mut obstacles.memory
            } else if !worker.can_fit_beside_held_rooms(key, priority, stage) {
                &mut obstacles.held
            } else {
                &mut obstacles.none
            };
            *count += 1;
        }
        obstacles
    }
}
