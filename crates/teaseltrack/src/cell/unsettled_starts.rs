//! Limit of the wait for the outcome of a start: the run is listed, or the start is refused.
//!
//! An agent stops a start that its worker hasn't answered or listed, and reports it as refused once the
//! worker has accepted the stop and lists no run. That may take for as long as the worker refuses the
//! stop. The owner then starts a new session with the agent, which settles the start whatever its agent
//! knows of it: with the session's first call, the worker has a higher token and refuses all that is late
//! from earlier sessions, and the response shows whether the start was carried out before. A task is
//! reclaimed only if a complete listing of the new session lacks its run, so that it doesn't run twice. A
//! worker that doesn't respond to the session gets no lease, and its tasks are reclaimed once the last one
//! has expired.

use std::time::{Duration, Instant};

use crate::cell::{Cell, Run, WorkerKey, worker::TaskKey};

/// Time for which listings may lack a run: longer than an agent takes to settle a start without a
/// response, by a stop and the listing after it.
const START_TIMEOUT: Duration = Duration::from_millis(3_500);
/// The same for best-effort tasks, whose starts an agent holds back while it pauses them.
const BEST_EFFORT_START_TIMEOUT: Duration = Duration::from_millis(6_000);

impl Cell {
    /// Starts a new session with the agent of a reconciled worker if a start order stays without an
    /// outcome.
    pub(super) fn limit_wait_for_starts(&mut self, key: WorkerKey, now: Instant) {
        if !self.workers[key].is_reachable {
            return;
        }
        let tasks: Vec<TaskKey> = self.workers[key].tasks.iter().copied().collect();
        let mut is_overdue = false;
        for task_key in tasks {
            let limit = if self.stage(task_key).is_best_effort {
                BEST_EFFORT_START_TIMEOUT
            } else {
                START_TIMEOUT
            };
            let Some(task) = self.task_mut(task_key) else { continue };
            let copy = task.copy.as_mut().map(|copy| &mut copy.run);
            let mut runs = task.run.iter_mut().chain(copy);
            let is_unsettled =
                |run: &&mut Run| run.worker == key && run.is_ordered && !run.is_listed;
            let Some(run) = runs.find(is_unsettled) else { continue };
            let unsettled_since = *run.unsettled_since.get_or_insert(now);
            if now.duration_since(unsettled_since) >= limit {
                task.avoided_worker = Some(key);
                is_overdue = true;
            }
        }
        let worker = &self.workers[key];
        if is_overdue && let Some(agent) = worker.agent.clone() {
            self.begin_session(key, worker.agent_started_unix_ms, &agent);
            self.workers[key].is_settling_starts = true;
        }
    }
}
