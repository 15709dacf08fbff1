//! Placement of waiting tasks, eviction for urgent tasks, and parking of infeasible tasks.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use slog::info;
use teaseltrack::{
    admission::Class,
    placement::Resources,
    task::{Decision, TaskId, TaskState},
};
use teaseltrack_wire::control::{StopCause, StopOrder};

use crate::tasks::owner::{MAINTENANCE_TICKS, OwnedShard, Round};

/// Ticks between checks whether parked tasks have become feasible.
const UNPARK_TICKS: u32 = 40;
/// Minimum interval between evictions for urgent tasks.
const PREEMPTION_COOLDOWN: Duration = Duration::from_secs(1);

impl OwnedShard {
    pub(super) fn park_and_unpark(&mut self, round: &mut Round) {
        let mut infeasible: Vec<TaskId> = Vec::new();
        let mut feasibility: BTreeMap<&str, bool> = BTreeMap::new();
        for id in self.state.waiting() {
            let Some(job) = self.state.jobs().get(&id.job) else { continue };
            let is_feasible = *feasibility
                .entry(id.job.as_str())
                .or_insert_with(|| self.placer.is_feasible(&Resources::declared(&job.spec)));
            if !is_feasible {
                infeasible.push(id.clone());
            }
        }
        for task in infeasible {
            let reason = "larger than the capacity of every known instance".to_owned();
            self.decide(Decision::Parked { task, reason }, round);
        }
        // The interval starts with each owner, so that a new one looks as soon as it has queried the
        // capacity of other instances.
        let is_unpark_due =
            self.tick.is_multiple_of(UNPARK_TICKS) || self.tick == MAINTENANCE_TICKS;
        if round.is_tick && is_unpark_due {
            for task in self.tasks_to_unpark() {
                let reason = "an instance could hold it now".to_owned();
                self.decide(Decision::Unparked { task, reason }, round);
            }
        }
    }

    fn tasks_to_unpark(&self) -> Vec<TaskId> {
        let mut tasks = Vec::new();
        for (name, job) in self.state.jobs() {
            if !self.placer.is_feasible(&Resources::declared(&job.spec)) {
                continue;
            }
            for (index, task) in job.tasks.iter().enumerate() {
                if task.state == TaskState::Parked {
                    tasks.push(TaskId { job: name.clone(), index: index as u32 });
                }
            }
        }
        tasks
    }

    pub(super) async fn place(&mut self, round: &mut Round) {
        let now = self.context.clock.now();
        let placed = self.placer.place(&self.state, now).await;
        for decision in placed.decisions {
            self.decide(decision, round);
        }
        if let Some(task) = placed.urgent_unplaced.first() {
            self.preempt(task, now, round);
        }
    }

    /// Evicts attempts that aren't urgent from one instance, so that an urgent task fits there.
    fn preempt(&mut self, urgent: &TaskId, now: Instant, round: &mut Round) {
        let is_too_soon =
            self.preempted_at.is_some_and(|at| now.duration_since(at) < PREEMPTION_COOLDOWN);
        let Some(job) = self.state.jobs().get(&urgent.job) else { return };
        if is_too_soon {
            return;
        }
        let needed = Resources::declared(&job.spec);
        let victims = self.state.instances().find_map(|instance| {
            self.victims(instance, &needed).map(|orders| (instance.clone(), orders))
        });
        if let Some((instance, orders)) = victims {
            info!(self.context.logger, "evicting attempts for an urgent task"; "task" => %urgent,
                "instance" => &instance, "count" => orders.len());
            self.preempted_at = Some(now);
            round.stops.entry(instance).or_default().extend(orders);
        }
    }

    /// Stop orders for attempts on an instance that aren't urgent and together free the needed
    /// resources; `None` if they don't free enough.
    fn victims(&self, instance: &str, needed: &Resources) -> Option<Vec<StopOrder>> {
        let mut freed = Resources::default();
        let mut orders = Vec::new();
        for id in self.state.placed_on(instance) {
            let (Some(job), Some(task)) = (self.state.jobs().get(&id.job), self.state.task(id))
            else {
                continue;
            };
            if Class::from_urgency(job.spec.urgency) == Class::Urgent {
                continue;
            }
            freed = freed.plus(&Resources::declared(&job.spec));
            let order =
                StopOrder { task: id.clone(), attempt: task.attempt, cause: StopCause::Evict };
            orders.push(order);
            if freed.can_fit(needed) {
                return Some(orders);
            }
        }
        None
    }
}
