//! Starts without an answer, until it is certain that they can't take effect.
//!
//! A worker refuses a start once it has taken the stop of that attempt. If the attempt is then
//! neither listed as running nor as ended, it never ran and never will.

use std::{collections::HashMap, time::Instant};

use teaseltrack::{
    cell::protocol::{EndedTask, RefusedStart, RunningTask, TaskName},
    ids::AttemptNumber,
};

use crate::constants::VOID_AFTER;

/// Attempts whose start is being made void, with when the worker took the stop.
#[derive(Clone, Debug, Default)]
pub struct Voiding {
    attempts: HashMap<(TaskName, AttemptNumber), Option<Instant>>,
}

impl Voiding {
    /// A start got no answer.
    pub fn begin(&mut self, task: &TaskName, attempt: AttemptNumber) {
        self.attempts.entry((task.clone(), attempt)).or_insert(None);
    }

    /// The worker took the stop of an attempt.
    pub fn stop_taken(&mut self, task: &TaskName, attempt: AttemptNumber, now: Instant) {
        if let Some(taken_at) = self.attempts.get_mut(&(task.clone(), attempt)) {
            taken_at.get_or_insert(now);
        }
    }

    /// Attempts that are void by a listing that was asked for at `asked_at`.
    pub fn settle(
        &mut self,
        running: &[RunningTask],
        ended: &[EndedTask],
        asked_at: Instant,
    ) -> Vec<RefusedStart> {
        let mut void = Vec::new();
        self.attempts.retain(|(task, attempt), taken_at| {
            let has_ended = ended.iter().any(|end| end.task == *task && end.attempt == *attempt);
            if has_ended {
                return false;
            }
            let is_running = running.iter().any(|run| run.task == *task && run.attempt == *attempt);
            let is_certain = taken_at.is_some_and(|taken| asked_at >= taken + VOID_AFTER);
            if is_running || !is_certain {
                return true;
            }
            void.push(RefusedStart {
                task: task.clone(),
                attempt: *attempt,
                reason: "no answer, then stopped".to_owned(),
            });
            false
        });
        void
    }
}
