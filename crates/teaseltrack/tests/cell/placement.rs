//! Placement of batch tasks, compared with a plain search over all workers for each task.

use std::{cmp::Reverse, collections::BTreeMap, time::Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use teaseltrack::{
    cell::{
        Cell, CellEvent,
        job::{Queue, Stage},
        protocol::{
            EndCause, EndedTask, Report, RunningTask, TaskName, WorkerListing, WorkerStatus,
        },
    },
    placement::Resources,
};
use yare::parameterized;

use crate::{
    fleet::{STEP, configuration, queue, stage, stored_job},
    util::CELL_SETTINGS,
};

/// Rounds for which each run lasts.
const RUN_ROUNDS: u64 = 3;

/// Worker that each waiting task avoids, by stage and index.
type WaitingTasks = BTreeMap<(u32, u32), Option<usize>>;

struct PlainRun {
    worker: usize,
    attempt: u32,
    end_round: u64,
}

/// Waiting and running tasks, each placed on the worker that then has the most free CPU.
#[derive(Default)]
struct PlainSearch {
    capacities: Vec<Resources>,
    /// Jobs in the order of submission, with their stages and waiting tasks.
    waiting: Vec<(String, Vec<Stage>, WaitingTasks)>,
    running: BTreeMap<TaskName, PlainRun>,
}

impl PlainSearch {
    fn resources(&self, task: &TaskName) -> Resources {
        let (_, stages, _) = self.waiting.iter().find(|(id, ..)| *id == task.job).unwrap();
        stages[task.stage as usize].resources
    }

    fn available(&self, worker: usize) -> Resources {
        let runs = self.running.iter().filter(|(_, run)| run.worker == worker);
        runs.fold(self.capacities[worker], |free, (task, _)| free.minus(&self.resources(task)))
    }

    /// Places the waiting tasks; returns them with their workers.
    fn plan(&mut self, round: u64) -> Vec<(TaskName, usize)> {
        let mut placed = Vec::new();
        for job in 0..self.waiting.len() {
            let (id, stages, waiting) = self.waiting[job].clone();
            for (&(stage, index), &avoided) in &waiting {
                let task = TaskName { job: id.clone(), occurrence: 0, stage, index };
                let is_open = |dependency: &usize| {
                    let dependency = *dependency as u32;
                    waiting.keys().any(|(stage, _)| *stage == dependency)
                        || self.running.keys().any(|t| t.job == id && t.stage == dependency)
                };
                if stages[stage as usize].after.iter().any(is_open) {
                    continue;
                }
                let required = stages[stage as usize].resources;
                let workers = (0..self.capacities.len())
                    .filter(|worker| self.available(*worker).can_fit(&required));
                let chosen = workers.max_by_key(|worker| {
                    (Reverse(avoided == Some(*worker)), self.available(*worker).cpu_milli, *worker)
                });
                if let Some(worker) = chosen {
                    let run = PlainRun { worker, attempt: 0, end_round: round + RUN_ROUNDS };
                    self.running.insert(task.clone(), run);
                    self.waiting[job].2.remove(&(stage, index));
                    placed.push((task, worker));
                }
            }
        }
        placed
    }
}

fn report(
    cell: &mut Cell,
    session: u64,
    worker: usize,
    search: &PlainSearch,
    ended: &[EndedTask],
    now: Instant,
) -> u64 {
    let runs = search.running.iter().filter(|(_, run)| run.worker == worker);
    let running = runs.map(|(task, run)| RunningTask {
        task: task.clone(),
        attempt: run.attempt,
        checkpoint: String::new(),
        percent: 10,
        gauge: 1,
    });
    let listing = WorkerListing { running: Some(running.collect()), ended: ended.to_vec() };
    let report = Report {
        agent: format!("agent-{worker}"),
        started_unix_ms: 1,
        session,
        status: Some(WorkerStatus {
            worker: format!("worker-{worker}"),
            service: "service".to_owned(),
            capacity: search.capacities[worker],
            ..WorkerStatus::default()
        }),
        is_worker_reachable: true,
        listing: (session != 0).then_some(listing),
        ..Report::default()
    };
    cell.handle_report(report, true, now).session
}

/// Load: stages of many sizes that compete for little room, and runs that fail now and then.
#[parameterized(
    seed_1 = { 1 },
    seed_2 = { 2 },
    seed_3 = { 3 },
    seed_4 = { 4 },
    seed_5 = { 5 },
    seed_6 = { 6 },
)]
fn plan_places_tasks_like_a_plain_search(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut now = Instant::now();
    let mut cell = Cell::new(0, CELL_SETTINGS, 1, configuration(), now);
    let capacity = |cpu_milli| Resources { cpu_milli, memory_mib: 9_000, accelerators: 0 };
    let mut search = PlainSearch {
        capacities: (0..5).map(|_| capacity(rng.random_range(4_000..12_000))).collect(),
        ..PlainSearch::default()
    };
    let mut sessions = vec![0; search.capacities.len()];
    let mut ended: Vec<Vec<EndedTask>> = vec![Vec::new(); search.capacities.len()];
    for _ in 0..2 {
        for (worker, session) in sessions.iter_mut().enumerate() {
            *session = report(&mut cell, *session, worker, &search, &[], now);
        }
    }
    let mut placed_count = 0;
    for round in 0_u64..300 {
        now += STEP;
        if round < 80 && rng.random_bool(0.4) {
            let id = format!("{round:016x}");
            let mut sized = |after| Stage {
                resources: capacity(rng.random_range(500..4_000)),
                estimate_ms: 600_000,
                after,
                ..stage(rng.random_range(1..6))
            };
            let mut stages = vec![sized(Vec::new()), sized(vec![0]), sized(Vec::new())];
            stages.iter_mut().for_each(|stage| stage.resources.memory_mib = 500);
            let mut job = stored_job(&id, stages.clone());
            // Each job has its own priority, so that the order is that of submission.
            job.spec.queue.clone_from(&id);
            job.queue = Queue { name: id.clone(), priority: round as u32, ..queue() };
            cell.admit(job, now);
            let tasks = stages.iter().zip(0..).flat_map(|(stage, number)| {
                (0..stage.task_count).map(move |index| ((number, index), None))
            });
            let tasks = tasks.collect();
            search.waiting.push((id, stages, tasks));
        }
        let due = search.running.extract_if(.., |_, run| run.end_round <= round);
        for (task, run) in due.collect::<Vec<_>>() {
            let ends = &mut ended[run.worker];
            let may_fail =
                run.attempt == 1 && ends.last().is_some_and(|end| end.cause == EndCause::Done);
            let has_failed = may_fail && rng.random_bool(0.1);
            let cause = if has_failed { EndCause::Failed } else { EndCause::Done };
            let number = ends.len() as u64 + 1;
            let end = EndedTask {
                number,
                task: task.clone(),
                attempt: run.attempt,
                cause,
                checkpoint: String::new(),
            };
            ends.push(end);
            if has_failed {
                let job = search.waiting.iter_mut().find(|(id, ..)| *id == task.job).unwrap();
                job.2.insert((task.stage, task.index), Some(run.worker));
            }
        }
        for (worker, session) in sessions.iter_mut().enumerate() {
            *session = report(&mut cell, *session, worker, &search, &ended[worker], now);
        }
        cell.plan(0, now);
        let expected = search.plan(round);
        let mut assigned: Vec<(TaskName, usize)> = Vec::new();
        for event in cell.take_events() {
            let CellEvent::Assigned { task, attempt, worker } = event else { continue };
            let number = worker.trim_start_matches("worker-").split('@').next().unwrap();
            search.running.get_mut(&task).expect("placed as well").attempt = attempt;
            assigned.push((task, number.parse().unwrap()));
        }
        assert_eq!(assigned, expected, "round {round}");
        placed_count += assigned.len();
        while cell.next_commit(50).is_some() {
            cell.commit_succeeded();
        }
    }
    assert!(placed_count > 100, "{placed_count} tasks were placed");
    assert_eq!(cell.open_count(), 0);
}
