//! Learned run times, and placement on workers that are slow, fail or go down and up.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use teaseltrack::cell::{
    Cell,
    job::Stage,
    protocol::{
        EndCause, EndedTask, Order, Report, RunningTask, TaskName, WorkerListing, WorkerStatus,
    },
};

use crate::{
    fleet::{CAPACITY, STEP, configuration, stage, stored_job},
    util::CELL_SETTINGS,
};

#[derive(Default)]
struct ScriptedRun {
    attempt: u32,
    worked_ms: f64,
}

/// Worker whose runs progress at a speed, at a pace, and fail with a probability.
struct ScriptedWorker {
    incarnation: u64,
    session: u64,
    speed: f64,
    pace: f64,
    failing_share: f64,
    running: BTreeMap<TaskName, ScriptedRun>,
    ended: Vec<EndedTask>,
    end_count: u64,
    accepted_order: u64,
    start_count: u32,
}

struct ScriptedFleet {
    cell: Cell,
    rng: ChaCha8Rng,
    now: Instant,
    clock_ms: u64,
    /// Run time of each task at full speed.
    work_ms: f64,
    workers: Vec<ScriptedWorker>,
    job_count: u64,
}

impl ScriptedFleet {
    fn new(worker_count: usize, work_ms: f64) -> Self {
        let now = Instant::now();
        let worker = |_| ScriptedWorker {
            incarnation: 1,
            session: 0,
            speed: 1.0,
            pace: 1.0,
            failing_share: 0.0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            end_count: 0,
            accepted_order: 0,
            start_count: 0,
        };
        let mut fleet = Self {
            cell: Cell::new(0, CELL_SETTINGS, 1, configuration(), now),
            rng: ChaCha8Rng::seed_from_u64(1),
            now,
            clock_ms: 1_000,
            work_ms,
            workers: (0..worker_count).map(worker).collect(),
            job_count: 0,
        };
        fleet.run_steps(3);
        fleet
    }

    fn submit(&mut self, stage: Stage) -> String {
        self.job_count += 1;
        let id = format!("{:016x}", self.job_count);
        self.cell.admit(stored_job(&id, vec![stage]), self.now);
        id
    }

    fn run_steps(&mut self, count: usize) {
        for _ in 0..count {
            self.now += STEP;
            self.clock_ms += STEP.as_millis() as u64;
            for index in 0..self.workers.len() {
                self.work(index);
                self.exchange_report(index);
            }
            self.cell.tick(self.now);
            if self.cell.needs_plan() {
                self.cell.plan(0, self.now);
            }
            while self.cell.next_commit(50).is_some() {
                self.cell.commit_succeeded();
            }
        }
    }

    /// Submits a stage every `interval` steps, and returns the starts by worker meanwhile.
    fn run_load(&mut self, step_count: usize, interval: usize, stage: &Stage) -> Vec<u32> {
        let before: Vec<u32> = self.workers.iter().map(|worker| worker.start_count).collect();
        for step in 0..step_count {
            if step % interval == 0 {
                self.submit(stage.clone());
            }
            self.run_steps(1);
        }
        let workers = self.workers.iter().zip(before);
        workers.map(|(worker, before)| worker.start_count - before).collect()
    }

    fn work(&mut self, index: usize) {
        let worker = &mut self.workers[index];
        let step_ms = STEP.as_millis() as f64 * worker.speed * worker.pace;
        worker.running.values_mut().for_each(|run| run.worked_ms += step_ms);
        let work_ms = self.work_ms;
        let due = worker.running.extract_if(.., |_, run| run.worked_ms >= work_ms);
        for (task, run) in due.collect::<Vec<_>>() {
            let has_failed = self.rng.random_bool(worker.failing_share);
            let cause = if has_failed { EndCause::Failed } else { EndCause::Done };
            end(worker, task, run.attempt, cause);
        }
    }

    /// Ends all runs of a worker by a restart.
    fn restart(&mut self, index: usize) {
        let worker = &mut self.workers[index];
        worker.incarnation += 1;
        (worker.session, worker.accepted_order, worker.end_count) = (0, 0, 0);
        worker.running.clear();
        worker.ended.clear();
    }

    fn exchange_report(&mut self, index: usize) {
        let worker = &mut self.workers[index];
        let running = worker.running.iter().map(|(task, run)| RunningTask {
            task: task.clone(),
            attempt: run.attempt,
            checkpoint: String::new(),
            percent: (100.0 * run.worked_ms / self.work_ms) as u32,
            gauge: (2_000.0 * worker.pace) as u64,
        });
        let listing =
            WorkerListing { running: Some(running.collect()), ended: worker.ended.clone() };
        let report = Report {
            agent: format!("agent-{index}"),
            started_unix_ms: 1,
            session: worker.session,
            status: Some(WorkerStatus {
                worker: format!("worker-{index}"),
                started_unix_ms: worker.incarnation,
                service: "service".to_owned(),
                capacity: CAPACITY,
                ..WorkerStatus::default()
            }),
            worker_clock_ms: self.clock_ms,
            is_worker_reachable: true,
            listing: (worker.session != 0).then_some(listing),
            accepted_order: worker.accepted_order,
            ..Report::default()
        };
        let response = self.cell.handle_report(report, true, self.now);
        if response.session != worker.session {
            (worker.session, worker.accepted_order) = (response.session, 0);
            return;
        }
        worker.ended.retain(|end| end.number > response.forget_until);
        for (number, order) in (response.first_order..).zip(response.orders) {
            worker.accepted_order = number;
            match order {
                Order::Start(start) => {
                    worker.start_count += 1;
                    let run = ScriptedRun { attempt: start.attempt, worked_ms: 0.0 };
                    worker.running.insert(start.task, run);
                }
                Order::Stop(task, attempt) => {
                    if worker.running.remove(&task).is_some() {
                        end(worker, task, attempt, EndCause::Stopped);
                    }
                }
                Order::Traits(_) => {}
            }
        }
    }
}

fn end(worker: &mut ScriptedWorker, task: TaskName, attempt: u32, cause: EndCause) {
    worker.end_count += 1;
    let checkpoint = String::new();
    worker.ended.push(EndedTask { number: worker.end_count, task, attempt, cause, checkpoint });
}

fn assert_about(estimate: Option<Duration>, expected_ms: f64) {
    let estimate_ms = estimate.expect("known").as_secs_f64() * 1_000.0;
    let ratio = estimate_ms / expected_ms;
    assert!((0.75..1.33).contains(&ratio), "{estimate_ms} ms, not {expected_ms} ms");
}

/// Load: a wide stage whose tasks take four times the declared estimate.
#[test]
fn run_time_estimate_follows_done_siblings() {
    let mut fleet = ScriptedFleet::new(2, 2_000.0);
    let id = fleet.submit(stage(16));
    assert_eq!(fleet.cell.run_time_estimate(&id, 0), Some(Duration::from_millis(500)));
    fleet.run_steps(60);
    assert_about(fleet.cell.run_time_estimate(&id, 0), 2_000.0);
}

/// Load: many small jobs of one queue whose estimates are too long.
#[test]
fn run_time_estimate_carries_over_to_later_jobs() {
    let mut fleet = ScriptedFleet::new(4, 600.0);
    let long = Stage { estimate_ms: 3_000, ..stage(4) };
    fleet.run_load(200, 15, &long);
    fleet.run_steps(40);
    let other = Stage { image: Some("other".to_owned()), ..long.clone() };
    let (next, other) = (fleet.submit(long), fleet.submit(other));
    assert_about(fleet.cell.run_time_estimate(&next, 0), 600.0);
    assert_eq!(fleet.cell.run_time_estimate(&other, 0), Some(Duration::from_millis(3_000)));
}

/// Load: best-effort tasks that are paced down to a third by their neighbours.
#[test]
fn run_time_estimate_leaves_pacing_out() {
    let mut fleet = ScriptedFleet::new(2, 1_000.0);
    fleet.workers.iter_mut().for_each(|worker| worker.pace = 0.35);
    let id = fleet.submit(Stage { is_best_effort: true, ..stage(12) });
    fleet.run_steps(75);
    assert_about(fleet.cell.run_time_estimate(&id, 0), 1_000.0);
}

/// Load: a task that takes six times its estimate, with no other to learn from.
#[test]
fn remaining_estimate_follows_progress() {
    let mut fleet = ScriptedFleet::new(1, 3_000.0);
    let id = fleet.submit(stage(1));
    fleet.run_steps(34);
    let task = fleet.workers[0].running.first_key_value().map(|(task, _)| task.clone());
    let task = task.expect("the task runs");
    assert_eq!(task.job, id);
    let left_ms = 3_000.0 - fleet.workers[0].running[&task].worked_ms;
    assert_about(fleet.cell.remaining_estimate(&task), left_ms);
}

/// Load: a fifth of the workers is four times slower, and half of the fleet is enough.
#[test]
fn plan_avoids_a_fifth_of_slow_workers_and_returns_to_them() {
    let mut fleet = ScriptedFleet::new(10, 500.0);
    fleet.workers[2].speed = 0.25;
    fleet.workers[7].speed = 0.25;
    fleet.run_load(100, 5, &stage(5));
    let starts = fleet.run_load(200, 5, &stage(5));
    let slow_share = f64::from(starts[2] + starts[7]) / f64::from(starts.iter().sum::<u32>());
    // A quarter of the starts of a sound worker is what equal filling gives.
    assert!(slow_share < 0.03, "{starts:?}");
    assert!(starts[2] + starts[7] > 0, "whether they have recovered is never found out");
    fleet.workers.iter_mut().for_each(|worker| worker.speed = 1.0);
    fleet.run_load(200, 5, &stage(5));
    let starts = fleet.run_load(100, 5, &stage(5));
    let share = f64::from(starts[2] + starts[7]) / f64::from(starts.iter().sum::<u32>());
    assert!(share > 0.12, "{starts:?}");
}

/// Load: more tasks than the sound workers have room for.
#[test]
fn plan_uses_doubtful_workers_when_others_are_full() {
    let mut fleet = ScriptedFleet::new(4, 500.0);
    fleet.workers[1].speed = 0.2;
    fleet.run_load(100, 5, &stage(3));
    fleet.submit(stage(40));
    fleet.run_steps(5);
    assert_eq!(fleet.workers[1].running.len(), 4, "all of its room is used");
}

/// Load: one worker fails 40% of its work, and half of the fleet is enough. Failures aren't in a row.
#[test]
fn plan_avoids_a_worker_that_fails_two_of_five_runs() {
    let mut fleet = ScriptedFleet::new(5, 400.0);
    fleet.workers[3].failing_share = 0.4;
    fleet.run_load(100, 6, &stage(5));
    let starts = fleet.run_load(400, 6, &stage(5));
    let share = f64::from(starts[3]) / f64::from(starts.iter().sum::<u32>());
    assert!(share < 0.1, "{starts:?}");
    assert!(starts[3] > 0, "whether it has recovered is never found out");
}

/// Load: jobs with a task that fails on any worker, among jobs that are sound.
#[test]
fn note_failure_blames_no_worker_for_tasks_that_fail_everywhere() {
    let mut fleet = ScriptedFleet::new(6, 300.0);
    for _ in 0..20 {
        fleet.submit(stage(8));
        let poisoned = fleet.submit(stage(1));
        for _ in 0..20 {
            fleet.run_steps(1);
            for worker in &mut fleet.workers {
                let failing = worker.running.extract_if(.., |task, _| task.job == poisoned);
                for (task, run) in failing.collect::<Vec<_>>() {
                    end(worker, task, run.attempt, EndCause::Failed);
                }
            }
        }
        assert_eq!(fleet.cell.doubted_worker_count(), 0);
    }
}

/// Load: a worker that goes down and up by turns, as soon as it has work.
#[test]
fn plan_trusts_a_flapping_worker_gradually() {
    let mut fleet = ScriptedFleet::new(5, 400.0);
    let mut starts = vec![0; 5];
    for _ in 0..20 {
        let more = fleet.run_load(28, 7, &stage(5));
        starts.iter_mut().zip(more).for_each(|(starts, more)| *starts += more);
        fleet.restart(4);
    }
    let share = f64::from(starts[4]) / f64::from(starts.iter().sum::<u32>());
    assert!(share < 0.1, "{starts:?}");
    fleet.run_load(200, 7, &stage(5));
    let starts = fleet.run_load(200, 7, &stage(5));
    let share = f64::from(starts[4]) / f64::from(starts.iter().sum::<u32>());
    assert!(share > 0.1, "{starts:?}");
}
