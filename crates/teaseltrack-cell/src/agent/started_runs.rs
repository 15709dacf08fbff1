//! Runs that the worker has started in the session, until their ends are listed.
//!
//! A worker lists a run from its start until its end, and then the end until it is acknowledged. If a
//! listing lacks both, the end is lost: a worker that has restarted forgets it by a late acknowledgement
//! for its earlier incarnation, for example. An attempt that has ended never runs again there.

use std::{collections::HashMap, time::Instant};

use teaseltrack::{
    cell::protocol::{EndedTask, RunningTask, TaskName},
    ids::AttemptNumber,
};

use crate::constants::STOP_SETTLE_TIME;

/// Attempts that the worker has started.
#[derive(Clone, Debug, Default)]
pub struct StartedRuns {
    attempts: HashMap<(TaskName, AttemptNumber), Started>,
}

#[derive(Clone, Copy, Debug)]
struct Started {
    /// Time by which it had started.
    by: Instant,
    is_listed: bool,
}

/// Attempt that a listing lacks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MissingRun {
    /// The task.
    pub task: TaskName,
    /// Its attempt.
    pub attempt: AttemptNumber,
    /// Whether an earlier listing had it, so that it has ended.
    pub was_listed: bool,
}

impl StartedRuns {
    /// Adds an attempt whose start the worker has accepted.
    pub fn add(&mut self, task: &TaskName, attempt: AttemptNumber, now: Instant) {
        let started = Started { by: now, is_listed: false };
        self.attempts.entry((task.clone(), attempt)).or_insert(started);
    }

    /// Adds the attempts of a list of runs that was received at `now`.
    pub fn add_listed(&mut self, running: &[RunningTask], now: Instant) {
        for run in running {
            let key = (run.task.clone(), run.attempt);
            let started = Started { by: now, is_listed: true };
            self.attempts.entry(key).or_insert(started).is_listed = true;
        }
    }

    /// Removes the attempts whose end is listed.
    pub fn remove_ended(&mut self, ended: &[EndedTask]) {
        for end in ended {
            self.attempts.remove(&(end.task.clone(), end.attempt));
        }
    }

    /// Removes and returns the attempts that a complete list of runs should have, and lacks. It was
    /// requested at `requested_at`.
    pub fn take_missing(
        &mut self,
        running: &[RunningTask],
        requested_at: Instant,
    ) -> Vec<MissingRun> {
        let is_running = |task: &TaskName, attempt: AttemptNumber| {
            running.iter().any(|run| run.task == *task && run.attempt == attempt)
        };
        let missing = self.attempts.extract_if(|(task, attempt), started| {
            let must_be_listed = started.is_listed || requested_at >= started.by + STOP_SETTLE_TIME;
            must_be_listed && !is_running(task, *attempt)
        });
        missing
            .map(|((task, attempt), Started { is_listed, .. })| MissingRun {
                task,
                attempt,
                was_listed: is_listed,
            })
            .collect()
    }
}
