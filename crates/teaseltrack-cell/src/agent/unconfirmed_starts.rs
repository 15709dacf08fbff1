//! Starts without a response, until their outcome is known.
//!
//! A worker refuses a start after it has accepted the stop of the same attempt. If a later listing
//! contains the attempt neither as running nor as ended, the attempt never ran and never will.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use teaseltrack::{
    cell::protocol::{EndedTask, RefusedStart, RunningTask, TaskName},
    ids::AttemptNumber,
};

use crate::constants::STOP_SETTLE_TIME;

/// Attempts with an unknown start outcome.
#[derive(Clone, Debug, Default)]
pub struct UnconfirmedStarts {
    attempts: HashMap<(TaskName, AttemptNumber), Unconfirmed>,
}

#[derive(Clone, Copy, Debug)]
struct Unconfirmed {
    since: Instant,
    /// Time at which the worker accepted the stop.
    stopped_at: Option<Instant>,
}

impl UnconfirmedStarts {
    /// Adds an attempt whose start got no response.
    pub fn add(&mut self, task: &TaskName, attempt: AttemptNumber, now: Instant) {
        let unconfirmed = Unconfirmed { since: now, stopped_at: None };
        self.attempts.entry((task.clone(), attempt)).or_insert(unconfirmed);
    }

    /// Number of the attempts.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Time since the start of the attempt that has been unconfirmed for longest.
    pub fn longest_wait(&self, now: Instant) -> Duration {
        let first = self.attempts.values().map(|unconfirmed| unconfirmed.since).min();
        first.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Records that the worker has accepted the stop of an attempt.
    pub fn stop_accepted(&mut self, task: &TaskName, attempt: AttemptNumber, now: Instant) {
        if let Some(unconfirmed) = self.attempts.get_mut(&(task.clone(), attempt)) {
            unconfirmed.stopped_at.get_or_insert(now);
        }
    }

    /// Removes the attempts whose outcome follows from a listing that was requested at
    /// `requested_at`; returns those that never ran.
    pub fn resolve(
        &mut self,
        running: &[RunningTask],
        ended: &[EndedTask],
        requested_at: Instant,
    ) -> Vec<RefusedStart> {
        let mut not_started = Vec::new();
        self.attempts.retain(|(task, attempt), unconfirmed| {
            let has_ended = ended.iter().any(|end| end.task == *task && end.attempt == *attempt);
            if has_ended {
                return false;
            }
            let is_running = running.iter().any(|run| run.task == *task && run.attempt == *attempt);
            let is_settled = unconfirmed
                .stopped_at
                .is_some_and(|stopped_at| requested_at >= stopped_at + STOP_SETTLE_TIME);
            if is_running || !is_settled {
                return true;
            }
            not_started.push(RefusedStart {
                task: task.clone(),
                attempt: *attempt,
                reason: "no answer, then stopped".to_owned(),
            });
            false
        });
        not_started
    }
}
