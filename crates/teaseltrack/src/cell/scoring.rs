//! Choice of a worker for a task.
//!
//! Serving tasks are packed onto few workers, colocated with serving tasks that the same
//! best-effort images interfere with. A best-effort image that interferes with some serving images
//! can then run on workers where it interferes with none. Best-effort tasks go to workers where
//! they push no tail over its limit.

use crate::cell::{
    Cell, WorkerKey,
    interference::ImageName,
    job::Stage,
    planning::TaskKind,
    worker::{TaskKey, Worker},
};

/// Preference for a worker near the task's data: remote data takes about twice as long.
const LOCALITY_PREFERENCE: i64 = 2;
/// Penalty of a worker on which runs take much longer.
const SLOWNESS_PENALTY: i64 = 2;
/// Penalty of a worker that the task avoids.
const AVOIDANCE_PREFERENCE: i64 = 4;

/// Score of a worker for a task; the highest is chosen. Fields are compared in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PlacementScore {
    /// Data locality, less penalties for a slow worker and for one that the task avoids, in steps of half
    /// a doubling of the run time.
    preference: i64,
    /// Colocation with serving tasks.
    pub(super) colocation: Colocation,
    /// For a batch task, the negated doubt about the worker, in steps of half a doubling of the run time.
    reliability: i64,
    /// In millicores: for a batch task the CPU that remains free, for a serving task the same
    /// negated, so that workers are filled up, and for a best-effort task the CPU that it may use.
    pub(super) cpu_milli: i64,
}

/// Serving tasks that a serving task would be colocated with; the last variant is the best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Colocation {
    /// Tasks of one image with other interfering best-effort images, or whose interfering images
    /// are not known.
    Dissimilar,
    /// No serving tasks.
    Empty,
    /// Tasks of several images, not all of them similar.
    Mixed,
    /// Tasks of the same image, or of images with the same interfering best-effort images.
    Similar,
}

/// Scores of the workers for the tasks of one stage that avoid no worker; `None` for workers that
/// can't run any. Empty before the first task.
#[derive(Debug, Default)]
pub(super) struct StageScores {
    scores: Vec<(WorkerKey, Option<PlacementScore>)>,
    batch_reserve: f64,
}

impl StageScores {
    fn are_of(&self, workers: &[WorkerKey], batch_reserve: f64) -> bool {
        self.batch_reserve == batch_reserve
            && self.scores.len() == workers.len()
            && self.scores.iter().map(|(key, _)| key).eq(workers)
    }
}

impl Cell {
    /// Returns the worker with the best score for a task; `None` if no worker can run it now.
    ///
    /// `batch_reserve` is the share of a worker's CPU that a serving task must leave free.
    pub(super) fn choose_worker(
        &self,
        key: TaskKey,
        stage: &Stage,
        workers: &[WorkerKey],
        batch_reserve: f64,
    ) -> Option<WorkerKey> {
        let service = &self.jobs[key.job].queue.service;
        workers
            .iter()
            .filter_map(|&candidate| {
                let worker = &self.workers[candidate];
                let score = self.score(worker, service, (key, stage), batch_reserve)?;
                Some((candidate, score))
            })
            .max_by_key(|(_, score)| *score)
            .map(|(worker, _)| worker)
    }

    /// Like [`Self::choose_worker`], for the tasks of one stage in turn: only the first task of a
    /// planning round pays for the score of each worker.
    pub(super) fn choose_worker_by(
        &self,
        scores: &mut StageScores,
        key: TaskKey,
        stage: &Stage,
        workers: &[WorkerKey],
        batch_reserve: f64,
    ) -> Option<WorkerKey> {
        // The score of a worker that the task avoids differs from the other tasks' scores.
        if self.task(key).is_some_and(|task| task.avoided_worker.is_some()) {
            return self.choose_worker(key, stage, workers, batch_reserve);
        }
        if !scores.are_of(workers, batch_reserve) {
            let service = &self.jobs[key.job].queue.service;
            let score = |candidate: &WorkerKey| {
                let worker = &self.workers[*candidate];
                (*candidate, self.score(worker, service, (key, stage), batch_reserve))
            };
            scores.scores = workers.iter().map(score).collect();
            scores.batch_reserve = batch_reserve;
        }
        let placeable = scores.scores.iter().filter_map(|(key, score)| score.map(|s| (*key, s)));
        placeable.max_by_key(|(_, score)| *score).map(|(worker, _)| worker)
    }

    /// Updates the score of the worker that has been assigned the task.
    pub(super) fn update_score(
        &self,
        scores: &mut StageScores,
        key: TaskKey,
        stage: &Stage,
        assigned: WorkerKey,
    ) {
        let service = &self.jobs[key.job].queue.service;
        let batch_reserve = scores.batch_reserve;
        if let Some((_, score)) = scores.scores.iter_mut().find(|(key, _)| *key == assigned) {
            // The next task may not avoid the worker, as this one may.
            let other = TaskKey { index: u32::MAX, ..key };
            let worker = &self.workers[assigned];
            *score = self.score(worker, service, (other, stage), batch_reserve);
        }
    }

    /// Returns the worker with the most spare CPU among those that can run a best-effort task,
    /// regardless of interference.
    pub(super) fn least_loaded_worker(
        &self,
        key: TaskKey,
        stage: &Stage,
        workers: &[WorkerKey],
    ) -> Option<WorkerKey> {
        let service = &self.jobs[key.job].queue.service;
        let allowed = workers
            .iter()
            .copied()
            .filter(|worker| self.can_place(&self.workers[*worker], service, (key, stage)));
        allowed.max_by_key(|worker| self.spare_milli(&self.workers[*worker]))
    }

    /// Whether a worker has enough free capacity for a task and meets its constraints.
    pub(super) fn can_place(
        &self,
        worker: &Worker,
        service: &str,
        (key, stage): (TaskKey, &Stage),
    ) -> bool {
        let priority = self.jobs[key.job].queue.priority;
        self.meets_constraints(worker, service, (key, stage))
            && worker.can_fit_beside_held_rooms(key, priority, stage)
    }

    /// Whether a worker meets a task's constraints other than its size, and may start another task.
    pub(super) fn meets_constraints(
        &self,
        worker: &Worker,
        service: &str,
        (key, stage): (TaskKey, &Stage),
    ) -> bool {
        self.meets_stage_constraints(worker, service, (key, stage))
            && !self.is_cold_limit_reached(worker)
    }

    /// Whether a worker meets a task's constraints other than its size.
    pub(super) fn meets_stage_constraints(
        &self,
        worker: &Worker,
        service: &str,
        (key, stage): (TaskKey, &Stage),
    ) -> bool {
        let Some(status) = worker.status.as_ref().filter(|status| status.service == service) else {
            return false;
        };
        let has_label =
            stage.required_label.as_ref().is_none_or(|label| status.labels.contains(label));
        let is_below_limit =
            stage.max_per_worker.is_none_or(|max| worker.stage_task_count(key) < max);
        has_label && is_below_limit
    }

    /// Scores a worker for a task; `None` if the task can't be placed there.
    pub(super) fn score(
        &self,
        worker: &Worker,
        service: &str,
        (key, stage): (TaskKey, &Stage),
        batch_reserve: f64,
    ) -> Option<PlacementScore> {
        let can_place = self.can_place(worker, service, (key, stage));
        can_place.then(|| self.placement_score(worker, (key, stage), batch_reserve))?
    }

    /// Scores a worker that has the capacity for a task; `None` if the task can't be placed there.
    pub(super) fn placement_score(
        &self,
        worker: &Worker,
        (key, stage): (TaskKey, &Stage),
        batch_reserve: f64,
    ) -> Option<PlacementScore> {
        let status = worker.status.as_ref()?;
        let available = worker.available();
        let remaining_milli = available.cpu_milli as i64 - stage.resources.cpu_milli as i64;
        let (colocation, cpu_milli) = match TaskKind::of(stage) {
            // Keeps workers without serving tasks free for best-effort images that interfere.
            TaskKind::Batch if worker.headrooms.is_empty() => (Colocation::Empty, remaining_milli),
            TaskKind::Batch => (Colocation::Mixed, remaining_milli),
            TaskKind::Serving => {
                let reserve_milli = (status.capacity.cpu_milli as f64 * batch_reserve) as i64;
                let has_capacity = remaining_milli >= reserve_milli;
                has_capacity.then(|| (self.colocation(worker, stage), -remaining_milli))?
            }
            TaskKind::BestEffort => {
                let min_share = self.settings.planning.best_effort_min_share;
                let min_milli = (stage.resources.cpu_milli as f64 * min_share) as i64;
                let spare_milli = self.spare_milli(worker);
                let usable_milli = (spare_milli >= min_milli)
                    .then(|| spare_milli.min(self.interference_limit_milli(worker, stage)))?;
                (usable_milli >= min_milli).then_some((Colocation::Empty, usable_milli))?
            }
        };
        let is_data_local =
            stage.data_rack.as_ref().is_some_and(|rack| status.labels.contains(rack));
        let preference = LOCALITY_PREFERENCE * i64::from(is_data_local)
            - AVOIDANCE_PREFERENCE * i64::from(self.avoids(key, worker))
            - SLOWNESS_PENALTY * i64::from(worker.is_slow())
            - i64::from(self.is_warming_up(worker));
        // Serving and best-effort tasks depend on their neighbours more than on the worker.
        let reliability = match TaskKind::of(stage) {
            TaskKind::Batch => -worker.doubt(&self.settings.health),
            TaskKind::Serving | TaskKind::BestEffort => 0,
        };
        Some(PlacementScore { preference, colocation, reliability, cpu_milli })
    }

    /// Whether the last run of the task has failed or stalled on the worker, or was moved away from it.
    pub(super) fn avoids(&self, key: TaskKey, worker: &Worker) -> bool {
        let avoided = self.task(key).and_then(|task| self.workers.get(task.avoided_worker?));
        avoided.is_some_and(|avoided| avoided.incarnation == worker.incarnation)
    }

    /// Colocation of a serving task with the serving tasks on a worker.
    fn colocation(&self, worker: &Worker, stage: &Stage) -> Colocation {
        let image = stage.image.as_deref().unwrap_or_default();
        let present = &worker.serving_images;
        let is_similar = |other: &ImageName| {
            other == image || self.interference.estimates().have_same_interferers(image, other)
        };
        match present.len() {
            0 => Colocation::Empty,
            _ if present.keys().all(is_similar) => Colocation::Similar,
            1 => Colocation::Dissimilar,
            _ => Colocation::Mixed,
        }
    }

    /// CPU that no task uses or is about to use, in millicores.
    fn spare_milli(&self, worker: &Worker) -> i64 {
        let capacity_milli = worker.status.as_ref().map_or(0, |status| status.capacity.cpu_milli);
        let serving_milli =
            worker.demand.serving_milli as f64 * self.settings.planning.serving_utilization;
        let recent_milli: u64 =
            worker.recent_assignments.iter().map(|assignment| assignment.cpu_milli).sum();
        let committed_milli = worker.demand.batch_milli
            + serving_milli as u64
            + worker.best_effort_used_milli.min(worker.demand.best_effort_milli)
            + recent_milli;
        capacity_milli as i64 - committed_milli as i64
    }

    /// Updates the remaining headrooms that new tails, tasks or estimates have changed.
    pub(super) fn update_stale_headrooms(&mut self, workers: &[WorkerKey]) {
        let version = self.interference.estimates().version;
        if self.headrooms_version != version {
            self.workers.values_mut().for_each(|worker| worker.are_headrooms_stale = true);
            self.headrooms_version = version;
        }
        for &worker in workers {
            if self.workers[worker].are_headrooms_stale {
                self.update_remaining_headrooms(worker);
            }
        }
    }

    /// Computes the headrooms that the best-effort tasks assigned to a worker leave.
    pub(super) fn update_remaining_headrooms(&mut self, key: WorkerKey) {
        let estimates = self.interference.estimates();
        let worker = &self.workers[key];
        let capacity_milli = worker.status.as_ref().map_or(0, |status| status.capacity.cpu_milli);
        let growth = |serving: &str| -> f64 {
            let images = worker.best_effort_images.iter();
            let growths = images.map(|(image, demand)| {
                let share = demand.cpu_milli as f64 / capacity_milli.max(1) as f64;
                estimates.utilization_growth(serving, image) * share
            });
            growths.sum()
        };
        let headrooms = worker.headrooms.iter();
        let remaining =
            headrooms.map(|(serving, headroom)| (serving.clone(), headroom - growth(serving)));
        let remaining_headrooms = remaining.collect();
        let worker = &mut self.workers[key];
        worker.remaining_headrooms = remaining_headrooms;
        worker.are_headrooms_stale = false;
    }

    /// CPU that another best-effort task may use without pushing a colocated tail over its limit,
    /// in millicores.
    ///
    /// The number of tasks is limited for images whose interference estimate is inconclusive.
    fn interference_limit_milli(&self, worker: &Worker, stage: &Stage) -> i64 {
        let estimates = self.interference.estimates();
        let image = stage.image.as_deref().unwrap_or_default();
        let capacity_milli = worker.status.as_ref().map_or(0, |status| status.capacity.cpu_milli);
        let task_count = worker.best_effort_images.get(image).map_or(0, |demand| demand.task_count);
        let is_trial_full = task_count >= self.settings.planning.trial_tasks_per_worker
            && worker.headrooms.keys().any(|serving| estimates.is_inconclusive(serving, image));
        if is_trial_full {
            return 0;
        }
        let shares = worker
            .remaining_headrooms
            .iter()
            .map(|(serving, remaining)| (estimates.utilization_growth(serving, image), remaining))
            .filter(|(growth, _)| *growth > 0.0)
            .map(|(growth, remaining)| remaining / growth);
        (shares.fold(1.0, f64::min) * capacity_milli as f64) as i64
    }
}
