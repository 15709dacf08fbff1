//! Rooms for long-running tasks that wait in other cells.
//!
//! The owner of a cell in which tasks wait asks the owners of the other cells how many of them each
//! can run, and hands over as many. A room is promised for as long as a hand-over takes, so that it
//! isn't offered to a second cell meanwhile. Promises don't bind planning: a task that finds its
//! room taken is handed over again.
//!
//! Rooms on restricted workers, and rooms that batch tasks will make, are promised to tasks for which no
//! cell had other room before. They may use the former by the time they arrive ([`restrictions`]), and the
//! latter is held for them then ([`serving_room`]).
//!
//! [`restrictions`]: crate::cell::restrictions
//! [`serving_room`]: crate::cell::serving_room

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use slotmap::SecondaryMap;

use crate::{
    cell::{
        Cell, JobKey, WorkerKey,
        delegation::UnplacedTasks,
        job::JobId,
        partition::CellId,
        planning::TaskKind,
        protocol::TaskName,
        quote::StageDemand,
        worker::{HeldRoom, TaskKey, Worker, reserved_resources},
    },
    ids::ServiceName,
    placement::Resources,
};

/// Time for which a room is promised.
const PROMISE_TIME: Duration = Duration::from_millis(500);
/// Time for which a task that may use restricted workers in its own cell waits for other room elsewhere.
pub(super) const MIN_SEARCH_TIME: Duration = Duration::from_millis(500);

/// Request for rooms for the waiting tasks of a stage. Leaves out no field but the last one when
/// serialized, as formats without field names need.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoomRequest {
    /// Service whose workers can run the tasks.
    pub service: ServiceName,
    /// Priority of their queue.
    pub priority: u32,
    /// Job of the stage.
    pub job: JobId,
    /// Number of the occurrence, from 0.
    pub occurrence: u32,
    /// Number of the stage, from 0.
    pub stage: u32,
    /// Whether only room for all tasks is of use.
    pub is_gang: bool,
    /// What the waiting tasks require.
    pub demand: StageDemand,
    /// Whether the tasks may also use restricted workers and room that batch tasks will make. Comes last and
    /// is left out unless they may, so that owners of earlier builds can read the rest.
    #[serde(default, skip_serializing_if = "is_false")]
    pub is_overdue: bool,
}

fn is_false(value: &bool) -> bool {
    !value
}

impl RoomRequest {
    /// Request for the tasks; `None` if there are none.
    pub fn of(unplaced: &UnplacedTasks) -> Option<Self> {
        let TaskName { job, occurrence, stage, .. } = unplaced.tasks.first()?.clone();
        Some(Self {
            service: unplaced.service.clone(),
            priority: unplaced.priority,
            job,
            occurrence,
            stage,
            is_gang: unplaced.stage.is_gang,
            demand: StageDemand::of(&unplaced.stage),
            is_overdue: unplaced.is_overdue,
        })
    }

    fn is_for(&self, promise: &RoomPromise) -> bool {
        (&self.job, self.occurrence, self.stage)
            == (&promise.job, promise.occurrence, promise.stage)
    }
}

/// Room on a worker that another cell was told of.
#[derive(Clone, Debug)]
pub(super) struct RoomPromise {
    job: JobId,
    occurrence: u32,
    stage: u32,
    worker: WorkerKey,
    required: Resources,
    until: Instant,
}

impl Cell {
    /// Promises rooms for the tasks of other cells and returns their number for each request, at most
    /// its task count. A repeated request gets no room that was promised before: tasks for it may be
    /// on the way.
    pub fn promise_rooms(&mut self, requests: &[RoomRequest], now: Instant) -> Vec<u32> {
        self.room_promises.retain(|promise| promise.until > now);
        let mut promised: SecondaryMap<WorkerKey, Resources> = SecondaryMap::new();
        for promise in &self.room_promises {
            add_promised(&mut promised, promise.worker, &promise.required);
        }
        let (mut open, mut restricted) = self.workers_for_others(now);
        // As in planning, workers are filled up, so that others keep room for larger tasks.
        for workers in [&mut open, &mut restricted] {
            workers.sort_by_key(|key| (self.workers[*key].available().cpu_milli, *key));
        }
        // The cell's own tasks that planning hasn't had the time to place come first.
        for own in self.own_requests(requests, now) {
            for worker in self.rooms(&own, (&open, &[]), &promised) {
                add_promised(&mut promised, worker, &own.demand.reserved);
            }
        }
        requests
            .iter()
            .map(|request| {
                let rooms = self.rooms(request, (&open, &restricted), &promised);
                for worker in &rooms {
                    add_promised(&mut promised, *worker, &request.demand.reserved);
                }
                let promises = rooms.iter().map(|worker| RoomPromise {
                    job: request.job.clone(),
                    occurrence: request.occurrence,
                    stage: request.stage,
                    worker: *worker,
                    required: request.demand.reserved,
                    until: now + PROMISE_TIME,
                });
                self.room_promises.extend(promises);
                rooms.len() as u32
            })
            .collect()
    }

    /// The cell's own new tasks of the services of the requests, as requests.
    fn own_requests(&self, requests: &[RoomRequest], now: Instant) -> Vec<RoomRequest> {
        let services: HashSet<&str> =
            requests.iter().map(|request| request.service.as_str()).collect();
        let stages = self.new_serving_stages(now);
        let wanted = stages.filter(|(first_task, _)| {
            services.contains(self.jobs[first_task.job].queue.service.as_str())
        });
        let request = |(first_task, task_count): (TaskKey, u32)| {
            let job = &self.jobs[first_task.job];
            let stage = self.stage(first_task);
            RoomRequest {
                service: job.queue.service.clone(),
                priority: job.queue.priority,
                job: job.id.clone(),
                occurrence: first_task.occurrence,
                stage: first_task.stage,
                is_gang: stage.is_gang,
                demand: StageDemand { task_count, ..StageDemand::of(stage) },
                is_overdue: false,
            }
        };
        wanted.map(request).collect()
    }

    /// Workers with room for tasks of the request beside what is promised, once for each task; none for a
    /// part of a gang.
    fn rooms(
        &self,
        request: &RoomRequest,
        (open, restricted): (&[WorkerKey], &[WorkerKey]),
        promised: &SecondaryMap<WorkerKey, Resources>,
    ) -> Vec<WorkerKey> {
        let wanted = request.demand.task_count as usize;
        let job = self.by_id.get(&request.job).copied();
        if job.is_some_and(|job| self.jobs[job].state.is_final()) {
            return Vec::new();
        }
        let rooms_of = |workers: &[WorkerKey]| -> Vec<(WorkerKey, u32)> {
            let room = |key: WorkerKey| {
                let taken = promised.get(key).copied().unwrap_or_default();
                self.room_on(key, request, job, (taken, Resources::default()))
            };
            workers.iter().map(|key| (*key, room(*key))).collect()
        };
        let mut counts = rooms_of(open);
        if request.is_overdue {
            let more = rooms_of(restricted);
            let total = counts
                .iter()
                .chain(&more)
                .fold(0, |sum: u32, (_, count)| sum.saturating_add(*count));
            // The last room of a restricted worker may be left to batch tasks.
            if total >= 2 {
                counts.extend(more);
            }
            if !request.is_gang {
                counts.extend(self.rooms_after_batch(request, job, open, promised));
            }
        }
        let mut rooms = Vec::new();
        for (key, count) in counts {
            let count = (count as usize).min(wanted - rooms.len());
            rooms.extend(std::iter::repeat_n(key, count));
        }
        let is_useful = !request.is_gang || rooms.len() == wanted;
        if is_useful { rooms } else { Vec::new() }
    }

    /// Workers on which batch tasks are expected to end soon, with the number of tasks of the request for
    /// which that makes room. Such a room is held for a task that waits for it in this cell, and as for the
    /// cell's own tasks, on a part of the workers at a time.
    fn rooms_after_batch(
        &self,
        request: &RoomRequest,
        job: Option<JobKey>,
        open: &[WorkerKey],
        promised: &SecondaryMap<WorkerKey, Resources>,
    ) -> Vec<(WorkerKey, u32)> {
        let workers = self.workers_of(&request.service, open);
        let limit = (workers.len() as f64 * self.settings.planning.max_held_share).ceil() as usize;
        let is_in_use = |key: &WorkerKey| self.holds_room(*key) || promised.contains_key(*key);
        let (in_use, others): (Vec<WorkerKey>, _) = workers.into_iter().partition(is_in_use);
        let rooms = others.into_iter().filter_map(|key| {
            let capacity = self.workers[key].status.as_ref()?.capacity;
            let reserve_milli = capacity.cpu_milli as f64 * self.settings.planning.batch_reserve;
            let reserve = Resources { cpu_milli: reserve_milli as u64, ..Resources::default() };
            let room = self.room_on(key, request, job, (reserve, self.freed_by_batch(key)));
            let present = self.room_on(key, request, job, Default::default());
            (room > present).then(|| (key, room - present))
        });
        rooms.take(limit.saturating_sub(in_use.len())).collect()
    }

    /// What a worker's batch tasks reserve that are expected to end within the time for which room is held.
    fn freed_by_batch(&self, worker: WorkerKey) -> Resources {
        let max_wait = self.settings.planning.max_held_time;
        let ends_soon = |task: &&TaskKey| {
            TaskKind::of(self.stage(**task)) == TaskKind::Batch
                && self.expected_remaining(**task).is_some_and(|remaining| remaining <= max_wait)
        };
        let ending = self.workers[worker].tasks.iter().filter(ends_soon);
        ending.fold(Resources::default(), |sum, task| {
            sum.plus(&reserved_resources(self.stage(*task)))
        })
    }

    /// Number of tasks of the request for which a worker has room beside what is taken, once some is freed.
    fn room_on(
        &self,
        key: WorkerKey,
        request: &RoomRequest,
        job: Option<JobKey>,
        (taken, freed): (Resources, Resources),
    ) -> u32 {
        let worker = &self.workers[key];
        let room = worker.room_beside(request, taken, &freed);
        let Some(max_count) = request.demand.max_per_worker.filter(|_| room > 0) else {
            return room;
        };
        let running = job.map_or(0, |job| {
            let RoomRequest { occurrence, stage, .. } = *request;
            worker.stage_task_count(TaskKey { job, occurrence, stage, index: 0 })
        });
        let is_coming = |promise: &&RoomPromise| promise.worker == key && request.is_for(promise);
        let coming = self.room_promises.iter().filter(is_coming).count() as u32;
        room.min(max_count.saturating_sub(running.saturating_add(coming)))
    }

    /// Workers that any task may use, and those that are restricted: on probation, kept for suspects, or
    /// warming up with as many starts as they may have.
    fn workers_for_others(&self, now: Instant) -> (Vec<WorkerKey>, Vec<WorkerKey>) {
        let is_open = |key: &WorkerKey| {
            let worker = &self.workers[*key];
            worker.active_exclusion(now).is_none()
                && !worker.is_quarantined
                && !self.is_cold_limit_reached(worker)
        };
        self.usable_workers(now).into_iter().partition(is_open)
    }

    /// Ends the promise of the room for a task that was handed over to this cell.
    pub(super) fn end_room_promise(&mut self, task: &TaskName) {
        let is_for = |promise: &RoomPromise| {
            (&promise.job, promise.occurrence, promise.stage)
                == (&task.job, task.occurrence, task.stage)
        };
        if let Some(index) = self.room_promises.iter().position(is_for) {
            self.room_promises.swap_remove(index);
        }
    }
}

/// Distributes waiting tasks over the rooms that cells have promised for each stage. The members of a
/// gang go to the first cell that has room for all of them.
pub fn distribute(
    unplaced: Vec<UnplacedTasks>,
    rooms: &[(CellId, Vec<u32>)],
) -> Vec<(TaskName, CellId)> {
    let mut found = Vec::new();
    for (index, UnplacedTasks { stage, mut tasks, .. }) in unplaced.into_iter().enumerate() {
        for (cell, counts) in rooms {
            let room = counts.get(index).map_or(0, |count| *count as usize).min(tasks.len());
            if stage.is_gang && room < tasks.len() {
                continue;
            }
            found.extend(tasks.drain(..room).map(|task| (task, *cell)));
        }
    }
    found
}

fn add_promised(
    promised: &mut SecondaryMap<WorkerKey, Resources>,
    worker: WorkerKey,
    required: &Resources,
) {
    let sum = promised.get(worker).copied().unwrap_or_default().plus(required);
    promised.insert(worker, sum);
}

impl Worker {
    /// Number of tasks of the request that fit beside promised and held rooms, once some room is freed.
    fn room_beside(&self, request: &RoomRequest, promised: Resources, freed: &Resources) -> u32 {
        let is_of_service =
            self.status.as_ref().is_some_and(|status| status.service == request.service);
        if !is_of_service {
            return 0;
        }
        let is_in_the_way =
            |held: &&HeldRoom| held.priority <= request.priority && !held.is_open_to_serving;
        let held = self.held_rooms.iter().filter(is_in_the_way);
        let taken = held.fold(promised, |sum, held| sum.plus(&held.required));
        self.room_after(&request.demand, &taken, freed)
    }
}
