//! Which worker suits a task.
//!
//! Tasks that last are packed onto few workers, next to others that the same best-effort images
//! disturb: an image that disturbs some of them then finds workers where it disturbs nobody.
//! Best-effort tasks go where no tail is pushed beyond its aim.

use crate::cell::{
    Cell, WorkerKey,
    interference::ImageName,
    job::Stage,
    planning::Kind,
    worker::{TaskKey, Worker, held},
};

/// Least effect of an image on a tail; keeps shares finite.
const LEAST_EFFECT: f64 = 0.01;

/// How well a worker suits a task; the highest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Suitability {
    /// Data nearby, against slowness and earlier failures there.
    preference: i64,
    /// Company that suits the task.
    pub(super) company: Company,
    /// Processor time to compare by, in thousandths of a core.
    cpu_milli: i64,
}

/// What runs beside a task that lasts; the last is the best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Company {
    /// Tasks of one image that other best-effort images disturb, or of which that isn't known.
    Other,
    /// Nothing that lasts.
    Empty,
    /// Tasks of several images already.
    Mixed,
    /// Tasks that the same best-effort images disturb.
    Alike,
}

impl Cell {
    /// The best worker for a task; `None` if it can go nowhere now.
    ///
    /// `reserve` is the share of a worker that a task that lasts must leave free.
    pub(super) fn choose_worker(
        &self,
        key: TaskKey,
        stage: &Stage,
        workers: &[WorkerKey],
        reserve: f64,
    ) -> Option<WorkerKey> {
        let service = &self.jobs[key.job].queue.service;
        workers
            .iter()
            .filter_map(|&candidate| {
                let worker = &self.workers[candidate];
                let suitability = self.suitability(worker, service, (key, stage), reserve)?;
                Some((candidate, suitability))
            })
            .max_by_key(|(_, suitability)| *suitability)
            .map(|(worker, _)| worker)
    }

    /// The worker with the most spare processors among those that a best-effort task may go to,
    /// whatever it disturbs there.
    pub(super) fn roomiest_worker(
        &self,
        key: TaskKey,
        stage: &Stage,
        workers: &[WorkerKey],
    ) -> Option<WorkerKey> {
        let service = &self.jobs[key.job].queue.service;
        let allowed = workers
            .iter()
            .copied()
            .filter(|worker| self.may_hold(&self.workers[*worker], service, (key, stage)));
        allowed.max_by_key(|worker| self.spare_milli(&self.workers[*worker]))
    }

    /// Whether a worker has room for a task and the task may run there.
    fn may_hold(&self, worker: &Worker, service: &str, (key, stage): (TaskKey, &Stage)) -> bool {
        let Some(status) = worker.status.as_ref().filter(|status| status.service == service) else {
            return false;
        };
        let is_labelled =
            stage.required_label.as_ref().is_none_or(|label| status.labels.contains(label));
        let is_below_limit =
            stage.max_per_worker.is_none_or(|most| worker.count_of_stage(key) < most);
        is_labelled && is_below_limit && worker.room().can_fit(&held(stage))
    }

    /// How well a task would go on a worker; `None` if it can't go there.
    pub(super) fn suitability(
        &self,
        worker: &Worker,
        service: &str,
        (key, stage): (TaskKey, &Stage),
        reserve: f64,
    ) -> Option<Suitability> {
        if !self.may_hold(worker, service, (key, stage)) {
            return None;
        }
        let status = worker.status.as_ref()?;
        let room = worker.room();
        let left_milli = room.cpu_milli as i64 - stage.resources.cpu_milli as i64;
        let (company, cpu_milli) = match Kind::of(stage) {
            // Workers without serving tasks are left to the images that disturb them.
            Kind::Batch if worker.headrooms.is_empty() => (Company::Empty, left_milli),
            Kind::Batch => (Company::Mixed, left_milli),
            Kind::Serving => {
                let reserve_milli = (status.capacity.cpu_milli as f64 * reserve) as i64;
                let has_room = left_milli >= reserve_milli;
                has_room.then(|| (self.company(worker, stage), -left_milli))?
            }
            Kind::BestEffort => {
                let floor = self.settings.planning.best_effort_floor;
                let floor_milli = (stage.resources.cpu_milli as f64 * floor) as i64;
                let spare_milli = self.spare_milli(worker);
                let usable_milli = (spare_milli >= floor_milli)
                    .then(|| spare_milli.min(self.bearable_milli(worker, stage)))?;
                (usable_milli >= floor_milli).then_some((Company::Empty, usable_milli))?
            }
        };
        let is_near = stage.data_rack.as_ref().is_some_and(|rack| status.labels.contains(rack));
        let is_slow = worker.slowness > self.settings.health.avoided_slowness;
        let is_avoided = self.task(key).and_then(|task| task.avoided).is_some_and(|avoided| {
            self.workers.get(avoided).is_some_and(|avoided| avoided.life == worker.life)
        });
        let preference = i64::from(is_near) - i64::from(is_slow) - 2 * i64::from(is_avoided);
        Some(Suitability { preference, company, cpu_milli })
    }

    /// What a task that lasts would find on a worker.
    fn company(&self, worker: &Worker, stage: &Stage) -> Company {
        let image = stage.image.as_deref().unwrap_or_default();
        let present = &worker.serving_images;
        let is_alike = |other: &ImageName| {
            other == image || self.interference.estimates().have_same_interferers(image, other)
        };
        match present.len() {
            0 => Company::Empty,
            _ if present.keys().all(is_alike) => Company::Alike,
            1 => Company::Other,
            _ => Company::Mixed,
        }
    }

    /// Processor time that no task uses or is about to use.
    fn spare_milli(&self, worker: &Worker) -> i64 {
        let capacity_milli = worker.status.as_ref().map_or(0, |status| status.capacity.cpu_milli);
        let serving = worker.demand.serving_milli as f64 * self.settings.planning.serving_load;
        let arriving: u64 = worker.arriving.iter().map(|arrival| arrival.cpu_milli).sum();
        let taken_milli = worker.demand.batch_milli
            + serving as u64
            + worker.best_effort_used_milli.min(worker.demand.best_effort_milli)
            + arriving;
        capacity_milli as i64 - taken_milli as i64
    }

    /// Works out what serving tasks on a worker can bear on top of what is there already.
    pub(super) fn update_headrooms(&mut self, key: WorkerKey) {
        let known = self.interference.estimates();
        let worker = &self.workers[key];
        let capacity_milli = worker.status.as_ref().map_or(0, |status| status.capacity.cpu_milli);
        let growth = |serving: &str| -> f64 {
            let asked = worker.best_effort_images.iter();
            let growths = asked.map(|(image, asked)| {
                let share = asked.cpu_milli as f64 / capacity_milli.max(1) as f64;
                known.utilization_growth(serving, image) * share
            });
            growths.sum()
        };
        let left = worker.headrooms.iter();
        let left = left.map(|(serving, headroom)| (serving.clone(), headroom - growth(serving)));
        self.workers[key].left_headrooms = left.collect();
    }

    /// Processor time that a best-effort task may use, beside those that are there already, without
    /// pushing a tail beyond the aim.
    ///
    /// Images whose effect isn't clear yet are tried with few tasks.
    fn bearable_milli(&self, worker: &Worker, stage: &Stage) -> i64 {
        let known = self.interference.estimates();
        let image = stage.image.as_deref().unwrap_or_default();
        let capacity_milli = worker.status.as_ref().map_or(0, |status| status.capacity.cpu_milli);
        let task_count = worker.best_effort_images.get(image).map_or(0, |asked| asked.task_count);
        let is_tried = task_count >= self.settings.planning.tasks_on_trial
            && worker.headrooms.keys().any(|serving| known.is_inconclusive(serving, image));
        if is_tried {
            return 0;
        }
        let shares = worker.left_headrooms.iter().map(|(serving, left)| {
            left / known.utilization_growth(serving, image).max(LEAST_EFFECT)
        });
        (shares.fold(1.0, f64::min) * capacity_milli as f64) as i64
    }
}
