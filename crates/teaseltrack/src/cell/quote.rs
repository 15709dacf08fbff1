//! Quotes: how soon a cell could run a job, for the choice of a cell.
//!
//! A long-running job needs room for all of its tasks at once, for as long as it runs. All other
//! jobs wait for the work that is ahead of them, if the cell has workers that can run them.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::{
    cell::{
        Cell, JobKey, Task,
        feasibility::fitting_count,
        job::Stage,
        planning::TaskKind,
        progress::TaskPhase,
        protocol::WorkerStatus,
        worker::{TaskKey, Worker, reserved_resources},
    },
    placement::Resources,
};

/// What a stage requires, for a quote. Unlike [`Stage`], it leaves out no field when serialized, as
/// formats without field names need.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageDemand {
    /// Number of tasks.
    pub task_count: u32,
    /// Resources that each task reserves.
    pub reserved: Resources,
    /// Whether tasks run until the job is cancelled.
    pub is_long_running: bool,
    /// Maximum number of tasks on one worker.
    pub max_per_worker: Option<u32>,
    /// Label that a worker must have. Comes last and is left out if there is none, so that owners of
    /// earlier builds can read the rest.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub required_label: Option<String>,
}

impl StageDemand {
    /// Demand of a stage.
    pub fn of(stage: &Stage) -> Self {
        Self {
            task_count: stage.task_count,
            reserved: reserved_resources(stage),
            is_long_running: stage.is_long_running,
            max_per_worker: stage.max_per_worker,
            required_label: stage.required_label.clone(),
        }
    }

    /// Whether a worker without any tasks could run a task of the stage.
    fn is_met_by(&self, status: &WorkerStatus) -> bool {
        let has_label =
            self.required_label.as_ref().is_none_or(|label| status.labels.contains(label));
        has_label && status.capacity.can_fit(&self.reserved)
    }
}

/// How soon a cell could run a job; the lowest quote is the best.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(default)]
pub struct Quote {
    /// Number of tasks of the job that no worker of the cell could run even without other tasks, and
    /// of long-running ones for which there is no room now.
    pub unplaceable_count: u32,
    /// Share of the cell's CPU that is reserved, in permille, if the job has long-running tasks;
    /// otherwise 0.
    pub reserved_permille: u32,
    /// Time that the cell needs for all accepted work, if nothing interferes, in milliseconds.
    pub backlog_ms: u64,
}

impl Quote {
    /// Whether the entry asks further cells for quotes, given the best quote so far: if that leaves out
    /// tasks or, for a long-running job, if there is none.
    pub fn needs_other_cells(best: Option<&Self>, is_long_running: bool) -> bool {
        best.map_or(is_long_running, |quote| quote.unplaceable_count > 0)
    }
}

impl Cell {
    /// Quote for a job with the given stages. Serving tasks that have just begun to wait count as
    /// placed first; those that have waited for longer don't fit into the free capacity.
    pub fn quote(&self, stages: &[StageDemand], service: &str, now: Instant) -> Quote {
        let workers: Vec<&Worker> = self
            .workers
            .iter()
            .filter(|(key, worker)| worker.is_available_to(service) && !self.is_evacuated(*key))
            .map(|(_, worker)| worker)
            .collect();
        let waiting_count = self.new_serving_count(service, now);
        let unplaceable_count = stages
            .iter()
            .map(|stage| {
                let mut statuses = workers.iter().filter_map(|worker| worker.status.as_ref());
                if !stage.is_long_running {
                    let is_possible = statuses.any(|status| stage.is_met_by(status));
                    return if is_possible { 0 } else { stage.task_count };
                }
                let rooms =
                    workers.iter().map(|worker| worker.room_for(stage, &Resources::default()));
                let room = rooms.fold(0, u32::saturating_add);
                stage.task_count.saturating_sub(room.saturating_sub(waiting_count))
            })
            .fold(0, u32::saturating_add);
        let is_serving = stages.iter().any(|stage| stage.is_long_running);
        let reserved_permille =
            if is_serving { (1_000.0 * self.reserved_share(service)) as u32 } else { 0 };
        let backlog_ms = self.backlog(&workers).as_millis() as u64;
        Quote { unplaceable_count, reserved_permille, backlog_ms }
    }

    /// Number of serving tasks that have waited for less than `reserve_wait`, or were handed over to
    /// this cell within that time.
    fn new_serving_count(&self, service: &str, now: Instant) -> u32 {
        let stages = self.new_serving_stages(now);
        let of_service = stages.filter(|(key, _)| self.jobs[key.job].queue.service == service);
        of_service.map(|(_, count)| count).sum()
    }

    /// Stages with such tasks, by the key of their first task, with their number.
    pub(super) fn new_serving_stages(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (TaskKey, u32)> + '_ {
        let reserve_wait = self.settings.planning.reserve_wait;
        let is_new = move |task: &&Task| {
            let since = task.received_at.or(task.waiting_since).or(task.unplaced_since);
            task.is_waiting()
                && since.is_none_or(|since| now.saturating_duration_since(since) < reserve_wait)
        };
        let stages = self.unfinished_jobs().flat_map(|key| self.stages_of(key));
        stages.filter_map(move |(first_task, stage)| {
            let job = &self.jobs[first_task.job];
            let occurrence = job.occurrences.get(first_task.occurrence)?;
            let is_waiting =
                TaskKind::of(stage) == TaskKind::Serving && job.is_ready(occurrence, stage);
            let tasks = occurrence.stages.get(first_task.stage as usize)?;
            let count = tasks.iter().filter(is_new).count() as u32;
            (is_waiting && count > 0).then_some((first_task, count))
        })
    }

    /// Time in which the workers would finish all accepted work with the CPU that serving tasks
    /// leave.
    fn backlog(&self, workers: &[&Worker]) -> Duration {
        let remaining_core_ms: u64 = self
            .unfinished_jobs()
            .flat_map(|key| self.tasks_of(key))
            .filter(|(stage, task)| {
                !stage.is_long_running && task.progress.phase != TaskPhase::Done
            })
            .map(|(stage, _)| stage.estimate_ms.saturating_mul(stage.resources.cpu_milli) / 1_000)
            .fold(0, u64::saturating_add);
        let utilization = self.settings.planning.serving_utilization;
        let spare_milli: f64 = workers
            .iter()
            .map(|worker| {
                let capacity = worker.status.as_ref().map_or(0, |status| status.capacity.cpu_milli);
                capacity as f64 - worker.demand.serving_milli as f64 * utilization
            })
            .sum();
        // A cell without workers can't tell when its work will be done.
        let backlog_s = remaining_core_ms as f64 / spare_milli.max(1.0);
        Duration::try_from_secs_f64(backlog_s).unwrap_or(Duration::MAX)
    }

    fn unfinished_jobs(&self) -> impl Iterator<Item = JobKey> + '_ {
        let is_unfinished =
            |key: &JobKey| self.jobs.get(*key).is_some_and(|job| !job.state.is_final());
        self.open_jobs.iter().copied().filter(is_unfinished)
    }

    fn tasks_of(&self, key: JobKey) -> impl Iterator<Item = (&Stage, &Task)> + '_ {
        let job = &self.jobs[key];
        job.occurrences.iter().flat_map(|(_, occurrence)| {
            let stages = job.spec.stages.iter().zip(&occurrence.stages);
            stages.flat_map(|(stage, tasks)| tasks.iter().map(move |task| (stage, task)))
        })
    }
}

impl Worker {
    fn is_available_to(&self, service: &str) -> bool {
        self.is_reachable
            && self
                .status
                .as_ref()
                .is_some_and(|status| status.service == service && !status.is_draining)
    }

    /// Number of tasks of a stage that fit into the free capacity, beside what is `taken`.
    pub(super) fn room_for(&self, stage: &StageDemand, taken: &Resources) -> u32 {
        self.room_after(stage, taken, &Resources::default())
    }

    /// The same once runs that reserve `freed` have ended.
    pub(super) fn room_after(
        &self,
        stage: &StageDemand,
        taken: &Resources,
        freed: &Resources,
    ) -> u32 {
        let required = stage.reserved;
        let Some(status) = self.status.as_ref().filter(|status| stage.is_met_by(status)) else {
            return 0;
        };
        let reserved = self.reserved.minus(freed);
        if !status.capacity.can_fit(&reserved.plus(&required).plus(taken)) {
            return 0;
        }
        let room = fitting_count(&status.capacity.minus(&reserved).minus(taken), &required);
        room.min(stage.max_per_worker.unwrap_or(u32::MAX))
    }
}
