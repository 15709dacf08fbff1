//! Calls that wait to be sent to the worker.
//!
//! The number of concurrent calls is limited. What a call relies on may change while it waits, so
//! the agent decides at the time of sending whether it still applies. Starts have a limit of their
//! own: stops don't wait for the response to a start.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use teaseltrack::{
    cell::{
        pacing::PaceChange,
        protocol::{StartOrder, TaskName},
    },
    ids::AttemptNumber,
};

use crate::constants::RETRY_DELAY;

/// Maximum delay before a stop is retried.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(480);
/// Maximum number of concurrent starts, and of concurrent stops and paces; each uses a connection.
const MAX_CONCURRENT_CALLS: usize = 6;

/// Start that hasn't been sent.
#[derive(Clone, Debug)]
pub struct WaitingStart {
    /// The order.
    pub order: StartOrder,
    /// Time after which it must not be sent; `None` for no limit.
    pub start_by: Option<Instant>,
}

/// Stop that the worker hasn't accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingStop {
    /// The task.
    pub task: TaskName,
    /// Its attempt.
    pub attempt: AttemptNumber,
    /// Number of failed tries.
    failure_count: u32,
    /// Time of the next try.
    next_try_at: Instant,
    is_in_flight: bool,
}

/// Calls of one session.
#[derive(Clone, Debug, Default)]
pub struct CallQueue {
    starts: VecDeque<WaitingStart>,
    stops: Vec<PendingStop>,
    paces: Vec<PaceChange>,
    start_count_in_flight: usize,
    /// Number of stops and paces in flight.
    other_count_in_flight: usize,
}

impl CallQueue {
    /// Drops all calls that wait. Those in flight still count against the limits.
    pub fn clear(&mut self) {
        self.starts.clear();
        self.stops.clear();
        self.paces.clear();
    }

    /// Appends a start.
    pub fn push_start(&mut self, start: WaitingStart) {
        self.starts.push_back(start);
    }

    /// Removes the start of an attempt, if it hasn't been sent.
    pub fn remove_start(&mut self, task: &TaskName, attempt: AttemptNumber) -> Option<StartOrder> {
        let is_removed =
            |start: &WaitingStart| start.order.task == *task && start.order.attempt == attempt;
        let index = self.starts.iter().position(is_removed)?;
        self.starts.remove(index).map(|start| start.order)
    }

    /// Removes the starts that `refusal` returns a reason for.
    pub fn refuse_starts(
        &mut self,
        refusal: impl Fn(&WaitingStart) -> Option<&'static str>,
    ) -> Vec<(StartOrder, &'static str)> {
        let mut refused = Vec::new();
        self.starts.retain(|start| {
            let reason = refusal(start);
            refused.extend(reason.map(|reason| (start.order.clone(), reason)));
            reason.is_none()
        });
        refused
    }

    /// Takes the next start to send that isn't held back, unless too many are in flight.
    pub fn next_start(&mut self, is_held: impl Fn(&StartOrder) -> bool) -> Option<StartOrder> {
        if self.start_count_in_flight >= MAX_CONCURRENT_CALLS {
            return None;
        }
        let index = self.starts.iter().position(|start| !is_held(&start.order))?;
        let start = self.starts.remove(index)?;
        self.start_count_in_flight += 1;
        Some(start.order)
    }

    /// Number of starts that haven't been sent.
    pub fn waiting_start_count(&self) -> usize {
        self.starts.len()
    }

    /// Records the end of a start call.
    pub fn start_completed(&mut self) {
        self.start_count_in_flight -= 1;
    }

    /// Adds a stop, unless there is already one of the attempt.
    pub fn push_stop(&mut self, task: TaskName, attempt: AttemptNumber, now: Instant) {
        if self.stop_index(&task, attempt).is_none() {
            let (failure_count, is_in_flight) = (0, false);
            let stop = PendingStop { task, attempt, failure_count, next_try_at: now, is_in_flight };
            self.stops.push(stop);
        }
    }

    /// Returns the next stop to send, unless too many calls are in flight.
    pub fn next_stop(&mut self, now: Instant) -> Option<(TaskName, AttemptNumber)> {
        if self.other_count_in_flight >= MAX_CONCURRENT_CALLS {
            return None;
        }
        let is_due = |stop: &&mut PendingStop| !stop.is_in_flight && stop.next_try_at <= now;
        let stop = self.stops.iter_mut().find(is_due)?;
        stop.is_in_flight = true;
        self.other_count_in_flight += 1;
        Some((stop.task.clone(), stop.attempt))
    }

    /// Removes the stop of an attempt, which was accepted or is no longer needed.
    pub fn remove_stop(&mut self, task: &TaskName, attempt: AttemptNumber) {
        self.stops.retain(|stop| stop.task != *task || stop.attempt != attempt);
    }

    /// Schedules the next try of a stop after a failed one, with an exponential delay; returns the
    /// number of failed tries.
    pub fn retry_stop(
        &mut self,
        task: &TaskName,
        attempt: AttemptNumber,
        now: Instant,
    ) -> Option<u32> {
        let index = self.stop_index(task, attempt)?;
        let stop = &mut self.stops[index];
        let delay = RETRY_DELAY * 2_u32.pow(stop.failure_count.min(8));
        stop.is_in_flight = false;
        stop.failure_count = stop.failure_count.saturating_add(1);
        stop.next_try_at = now + delay.min(MAX_RETRY_DELAY);
        Some(stop.failure_count)
    }

    /// Number of stops that the worker hasn't accepted.
    pub fn pending_stop_count(&self) -> usize {
        self.stops.len()
    }

    /// Adds a pace; replaces one of the same run that hasn't been sent.
    pub fn push_pace(&mut self, change: PaceChange) {
        self.paces.retain(|waiting| waiting.task != change.task);
        self.paces.push(change);
    }

    /// Takes the next pace to send, unless too many calls are in flight.
    pub fn next_pace(&mut self) -> Option<PaceChange> {
        if self.paces.is_empty() || self.other_count_in_flight >= MAX_CONCURRENT_CALLS {
            return None;
        }
        self.other_count_in_flight += 1;
        Some(self.paces.remove(0))
    }

    /// Records the end of a stop or pace call.
    pub fn other_completed(&mut self) {
        self.other_count_in_flight -= 1;
    }

    /// Time of the next try of a stop that has failed; `None` if there is none, or if too many calls
    /// are in flight.
    pub fn next_retry_at(&self) -> Option<Instant> {
        if self.other_count_in_flight >= MAX_CONCURRENT_CALLS {
            return None;
        }
        let waiting = self.stops.iter().filter(|stop| !stop.is_in_flight);
        waiting.map(|stop| stop.next_try_at).min()
    }

    fn stop_index(&self, task: &TaskName, attempt: AttemptNumber) -> Option<usize> {
        self.stops.iter().position(|stop| stop.task == *task && stop.attempt == attempt)
    }
}
