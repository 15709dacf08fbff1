//! Stops of runs of lower priority for a waiting job whose loss is imminent.
//!
//! Waiting batch and serving tasks that fit on no worker may stop runs of queues with a lower
//! priority. What the waiting caller gains by starting once the runs have stopped, instead of once
//! they have ended by themselves, must exceed what the callers of these runs lose, and the work that
//! is thrown away, by a margin. A batch job gains nothing unless all its waiting tasks start, so that
//! its room is made for all of them or for none. Serving tasks and members of gangs aren't stopped.
//!
//! What is being stopped still counts against the worker's capacity. The room is held for the waiting
//! task until the ends are listed: other tasks fit on the worker only beside it.

use std::time::{Duration, Instant};

use crate::{
    cell::{
        Cell, CellEvent, JobKey, Task, WorkerKey,
        job::Stage,
        loss::WaitingJob,
        planning::{Candidate, TaskKind},
        progress::TaskPhase,
        worker::{HeldRoom, TaskKey, reserved_resources},
    },
    placement::Resources,
};

/// Settings of pre-emption.
#[derive(Clone, Copy, Debug)]
pub struct PreemptionSettings {
    /// Factor by which the gain must exceed the loss.
    pub min_gain_ratio: f64,
    /// Expected time from the decision to stop a run until its room is free.
    pub stop_time: Duration,
    /// Work that is lost at the stop of a run with checkpoints, and time that its restoration takes.
    pub restore_time: Duration,
    /// Time for which a room is held for a waiting task.
    pub hold_time: Duration,
    /// Time for which a task that was pre-empted isn't pre-empted again.
    pub cooldown: Duration,
    /// Minimum time between two rounds.
    pub interval: Duration,
    /// Maximum number of stages for which room is sought in one round.
    pub max_stages_per_round: usize,
    /// Maximum number of runs stopped in one round.
    pub max_stops_per_round: usize,
}

/// Run that may be stopped, as far as its cost depends on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Victim {
    /// Job of the run.
    pub job: WaitingJob,
    /// Time after which the run ends by itself.
    pub remaining: Duration,
    /// Run time that is repeated after a stop.
    pub lost_time: Duration,
    /// CPU that the run uses, in cores.
    pub cores: f64,
}

/// Loss that a job avoids by starting after `stop_time` rather than after `wait`.
pub fn gain_by_stops(job: &WaitingJob, stop_time: Duration, wait: Duration, now: Instant) -> f64 {
    let path = job.remaining.critical_path;
    let loss_after = |delay: Duration| job.curve.loss_at(now + delay + path);
    (loss_after(wait) - loss_after(stop_time)).max(0.0)
}

/// Loss caused by a stop of a run that is started again after `absence`: that of its own caller, and
/// that of the waiting job's, if the work that is thrown away were its work.
pub fn cost_of_stop(
    victim: &Victim,
    newcomer: &WaitingJob,
    absence: Duration,
    now: Instant,
) -> f64 {
    let completion = now + victim.job.remaining.critical_path;
    let delayed = completion + absence + victim.lost_time;
    let delay_loss = victim.job.curve.loss_at(delayed) - victim.job.curve.loss_at(completion);
    let density = newcomer.curve.value / newcomer.remaining.core_s.max(f64::MIN_POSITIVE);
    let lost_core_s = victim.lost_time.as_secs_f64() * victim.cores;
    delay_loss + density * lost_core_s
}

/// Whether both contain some of the same resource.
fn has_common(a: &Resources, b: &Resources) -> bool {
    a.cpu_milli.min(b.cpu_milli) > 0
        || a.memory_mib.min(b.memory_mib) > 0
        || a.accelerators.min(b.accelerators) > 0
}

/// Stops on one worker that make room for one task.
#[derive(Clone, Debug)]
struct RoomPlan {
    worker: WorkerKey,
    victims: Vec<TaskKey>,
    cost: f64,
    /// Time until as much room would come free by itself.
    wait: Duration,
}

impl Cell {
    /// Stops runs for the first stages in the order that wait in vain and gain enough by it.
    pub(super) fn preempt(
        &mut self,
        candidates: &[Candidate],
        workers: &[WorkerKey],
        now: Instant,
    ) {
        let settings = self.settings.preemption;
        if self.preemption_checked_at.is_some_and(|at| now.duration_since(at) < settings.interval) {
            return;
        }
        self.preemption_checked_at = Some(now);
        let lowest_priority = self.lowest_priority();
        let (mut stage_count, mut stop_count) = (0, 0);
        for candidate in candidates {
            let priority = self.jobs[candidate.first_task.job].queue.priority;
            if lowest_priority.is_none_or(|lowest| priority >= lowest) {
                continue;
            }
            let Some((job, waiting)) = self.imminent_loss(candidate, now) else { continue };
            // Serving tasks aren't stopped.
            if !self.may_get_room(candidate, workers) {
                continue;
            }
            stage_count += 1;
            if stage_count > settings.max_stages_per_round {
                return;
            }
            let plan = self.plan_rooms(candidate, &job, &waiting, workers, now);
            let Some((rooms, gain)) = plan else { continue };
            let count: usize = rooms.iter().map(|(_, room)| room.victims.len()).sum();
            if stop_count + count > settings.max_stops_per_round {
                continue;
            }
            stop_count += count;
            for (task, room) in rooms {
                self.make_room(task, &room, gain, now);
            }
        }
    }

    /// Lowest priority of an open job; `None` without one.
    fn lowest_priority(&self) -> Option<u32> {
        let jobs = self.open_jobs.iter().filter_map(|key| self.jobs.get(*key));
        jobs.filter(|job| !job.state.is_final()).map(|job| job.queue.priority).max()
    }

    /// Job and waiting tasks of a batch or serving stage for which stops may be worth while: its loss
    /// grows if it waits for as long as a room is held.
    fn imminent_loss(
        &self,
        candidate: &Candidate,
        now: Instant,
    ) -> Option<(WaitingJob, Vec<TaskKey>)> {
        let settings = self.settings.preemption;
        let stage = self.stage(candidate.first_task);
        let is_serving = stage.is_long_running;
        let may_wait = |key: TaskKey| {
            let is_waiting = self.task(key).is_some_and(Task::is_waiting);
            let reserve_wait = self.settings.planning.reserve_wait;
            is_waiting && (!is_serving || self.has_waited(key, reserve_wait, now))
        };
        let waiting: Vec<TaskKey> = self
            .waiting_tasks(candidate.first_task, false, now)
            .filter(|key| may_wait(*key))
            .collect();
        let is_out_of_question = TaskKind::of(stage) == TaskKind::BestEffort
            || waiting.is_empty()
            || self.has_held_room(candidate.first_task.job);
        if is_out_of_question {
            return None;
        }
        let mut job = self.waiting_job(candidate.first_task);
        if is_serving {
            // A serving job loses by every moment of waiting.
            let time_to_lose = job.curve.worthless_after - job.curve.on_time_until;
            (job.curve.on_time_until, job.curve.worthless_after) = (now, now + time_to_lose);
        }
        let gain = gain_by_stops(&job, settings.stop_time, settings.hold_time, now);
        (gain > 0.0).then_some((job, waiting))
    }

    /// Rooms for the waiting tasks that are worth their stops, and what they gain: for all tasks of a
    /// batch stage, or for as many serving tasks as possible. `None` if there are none.
    fn plan_rooms(
        &self,
        candidate: &Candidate,
        job: &WaitingJob,
        waiting: &[TaskKey],
        workers: &[WorkerKey],
        now: Instant,
    ) -> Option<(Vec<(TaskKey, RoomPlan)>, f64)> {
        let settings = self.settings.preemption;
        let stage = self.stage(candidate.first_task);
        let is_serving = stage.is_long_running;
        let max_rooms = settings.max_stops_per_round;
        if !is_serving && waiting.len() > max_rooms {
            return None;
        }
        let mut rooms: Vec<(TaskKey, RoomPlan)> = Vec::new();
        for key in waiting.iter().copied().take(max_rooms) {
            let plans: Vec<RoomPlan> = workers
                .iter()
                .filter_map(|worker| self.plan_room((key, stage), job, *worker, &rooms, now))
                .collect();
            let wait = plans.iter().map(|room| room.wait).min();
            let best = plans.into_iter().min_by(|a, b| a.cost.total_cmp(&b.cost));
            let (Some(mut room), Some(wait)) = (best, wait) else {
                if is_serving {
                    break;
                }
                return None;
            };
            room.wait = wait;
            rooms.push((key, room));
        }
        let wait = rooms.iter().map(|(_, room)| room.wait).max()?;
        let mut gain = gain_by_stops(job, settings.stop_time, wait, now);
        if is_serving {
            gain *= rooms.len() as f64 / f64::from(stage.task_count.max(1));
        }
        let cost: f64 = rooms.iter().map(|(_, room)| room.cost).sum();
        (gain > 0.0 && gain >= settings.min_gain_ratio * cost).then_some((rooms, gain))
    }

    /// Cheapest stops on a worker that make room for the task beside the rooms that are planned already;
    /// `None` if there is no such room.
    fn plan_room(
        &self,
        (key, stage): (TaskKey, &Stage),
        newcomer: &WaitingJob,
        worker_key: WorkerKey,
        planned: &[(TaskKey, RoomPlan)],
        now: Instant,
    ) -> Option<RoomPlan> {
        let worker = &self.workers[worker_key];
        let service = &self.jobs[key.job].queue.service;
        let is_held = worker.held_rooms.iter().any(|held| held.priority <= newcomer.priority);
        if is_held || !self.meets_constraints(worker, service, (key, stage)) {
            return None;
        }
        let planned: Vec<&RoomPlan> =
            planned.iter().map(|(_, room)| room).filter(|room| room.worker == worker_key).collect();
        let count = worker.stage_task_count(key) + planned.len() as u32;
        if stage.max_per_worker.is_some_and(|max| count >= max) {
            return None;
        }
        let required = reserved_resources(stage);
        let mut needed = planned.iter().fold(required, |sum, _| sum.plus(&required));
        needed = needed.plus(&worker.reserved);
        for victim in planned.iter().flat_map(|room| &room.victims) {
            needed = needed.minus(&reserved_resources(self.stage(*victim)));
        }
        let capacity = worker.status.as_ref()?.capacity;
        let excess = needed.minus(&capacity);
        let absence = self.settings.preemption.stop_time
            + self.settings.preemption.restore_time
            + newcomer.remaining.critical_path;
        let mut victims: Vec<(f64, TaskKey, Duration, Resources)> = worker
            .tasks
            .iter()
            .filter(|task| !planned.iter().any(|room| room.victims.contains(task)))
            // Only a run that holds something that is short is worth a stop.
            .filter(|task| has_common(&reserved_resources(self.stage(**task)), &excess))
            .filter_map(|task| {
                let victim = self.victim((*task, worker_key), newcomer.priority, now)?;
                let cost = cost_of_stop(&victim, newcomer, absence, now);
                let freed = reserved_resources(self.stage(*task));
                Some((cost, *task, victim.remaining, freed))
            })
            .collect();
        victims.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut room =
            RoomPlan { worker: worker_key, victims: Vec::new(), cost: 0.0, wait: Duration::ZERO };
        let mut freed = Resources::default();
        for (cost, task, remaining, released) in victims {
            if capacity.can_fit(&needed.minus(&freed)) {
                break;
            }
            freed = freed.plus(&released);
            room.victims.push(task);
            room.cost += cost;
            room.wait = room.wait.max(remaining);
        }
        capacity.can_fit(&needed.minus(&freed)).then_some(room)
    }

    /// The run of a task on a worker, if it may be stopped for a job of the given priority.
    fn victim(
        &self,
        (key, worker): (TaskKey, WorkerKey),
        newcomer_priority: u32,
        now: Instant,
    ) -> Option<Victim> {
        let settings = self.settings.preemption;
        let stage = self.stage(key);
        let task = self.task(key)?;
        let run = task.run.as_ref().filter(|run| run.worker == worker)?;
        let is_cooling_down =
            task.preempted_at.is_some_and(|at| now.duration_since(at) < settings.cooldown);
        let is_allowed = self.jobs[key.job].queue.priority > newcomer_priority
            && !self.jobs[key.job].state.is_final()
            && task.progress.phase != TaskPhase::Done
            && run.is_listed
            && !run.is_stopping
            && !stage.is_gang
            && !stage.is_long_running
            && !is_cooling_down;
        if !is_allowed {
            return None;
        }
        let job = self.waiting_job(key);
        let run_time = self.expected_run_time(key.job, key.stage as usize);
        let done_share = f64::from(run.percent.min(100)) / 100.0;
        let done_time = run_time.mul_f64(done_share);
        let lost_time =
            if stage.is_checkpointing { settings.restore_time.min(done_time) } else { done_time };
        Some(Victim {
            job,
            remaining: run_time.saturating_sub(done_time),
            lost_time,
            cores: stage.resources.cpu_milli as f64 / 1_000.0,
        })
    }

    /// Stops the victims and holds their room for the task.
    fn make_room(&mut self, key: TaskKey, room: &RoomPlan, gain: f64, now: Instant) {
        let Some(newcomer) = self.name_of(key) else { return };
        for &victim in &room.victims {
            let Some(task) = self.name_of(victim) else { continue };
            let Some(stopped) = self.task_mut(victim) else { continue };
            stopped.preempted_at = Some(now);
            self.events.push(CellEvent::Preempted {
                task,
                attempt: self.task(victim).map_or(0, |task| task.progress.attempt),
                worker: self.workers[room.worker].incarnation.clone(),
                newcomer: newcomer.clone(),
                gain,
                cost: room.cost,
            });
            self.stop_run(victim);
        }
        let required = reserved_resources(self.stage(key));
        let until = now + self.settings.preemption.hold_time;
        let held = HeldRoom {
            task: key,
            required,
            priority: 0,
            until,
            is_open_to_serving: false,
            is_preempted: true,
        };
        self.workers[room.worker].held_rooms.push(held);
    }

    pub(super) fn has_waited(&self, key: TaskKey, wait: Duration, now: Instant) -> bool {
        let since = self.task(key).and_then(|task| task.waiting_since);
        since.is_some_and(|since| now.duration_since(since) >= wait)
    }

    /// Whether a room is held for a task of the job.
    pub(super) fn has_held_room(&self, job: JobKey) -> bool {
        let mut rooms = self.workers.values().flat_map(|worker| &worker.held_rooms);
        rooms.any(|held| held.task.job == job)
    }

    /// Releases rooms whose task waits no more, or that were held for long enough.
    pub(super) fn release_held_rooms(&mut self, now: Instant) {
        let jobs = &self.jobs;
        let is_needed = |held: &HeldRoom| {
            let TaskKey { job, occurrence, stage, index } = held.task;
            let Some(job) = jobs.get(job).filter(|job| !job.state.is_final()) else { return false };
            let task = job
                .occurrences
                .get(occurrence)
                .and_then(|occurrence| occurrence.stages.get(stage as usize)?.get(index as usize));
            held.until > now && task.is_some_and(Task::is_waiting)
        };
        for worker in self.workers.values_mut() {
            worker.held_rooms.retain(is_needed);
        }
    }
}
