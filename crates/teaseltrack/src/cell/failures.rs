//! Failures of runs, as far as they count against a job's maximum number of attempts.
//!
//! The members of a gang share their attempts: a run of the gang has failed once, however many of its
//! members report a failure, and to whichever owner they do so. The attempts whose failure was counted are
//! therefore part of the committed progress, with the member that reported each.

use std::time::Instant;

use crate::{
    cell::{
        Cell, WorkerKey,
        progress::{JobState, TaskProgress},
        protocol::EndCause,
        worker::TaskKey,
    },
    ids::AttemptNumber,
};

/// Number of counted attempts that a task's progress lists; the oldest ones are dropped.
const MAX_LISTED_ATTEMPTS: usize = 32;

impl TaskProgress {
    fn list_failed_attempt(&mut self, attempt: AttemptNumber) {
        if self.failed_attempts.len() >= MAX_LISTED_ATTEMPTS {
            self.failed_attempts.remove(0);
        }
        self.failed_attempts.push(attempt);
    }
}

impl Cell {
    /// Counts the failure of an attempt, unless it is that of a gang and was counted for another member.
    /// The job fails with the last attempt.
    pub(super) fn record_failure(&mut self, key: TaskKey, attempt: AttemptNumber) {
        let job = &self.jobs[key.job];
        let stage = &job.spec.stages[key.stage as usize];
        if stage.is_long_running {
            return;
        }
        let max_attempts = job.queue.max_attempts.max(1);
        let members = if stage.is_gang { 0..stage.task_count } else { key.index..key.index + 1 };
        let members = members.map(|index| TaskKey { index, ..key });
        let is_counted = |member: TaskKey| {
            let task = self.task(member);
            task.is_some_and(|task| task.progress.failed_attempts.contains(&attempt))
        };
        if members.clone().any(is_counted) {
            return;
        }
        if let Some(task) = self.task_mut(key) {
            task.progress.list_failed_attempt(attempt);
        }
        let mut failure_count = 0;
        for member in members {
            if let Some(task) = self.task_mut(member) {
                task.progress.failure_count += 1;
                failure_count = failure_count.max(task.progress.failure_count);
            }
        }
        if failure_count >= max_attempts {
            self.finish(key.job, JobState::Failed);
        }
    }

    /// Updates what is known about a worker after the end of a run there. Further members of a gang that
    /// fail there in the same run say nothing new about it.
    pub(super) fn note_end_on_worker(
        &mut self,
        worker: WorkerKey,
        (key, attempt): (TaskKey, AttemptNumber),
        cause: EndCause,
        now: Instant,
    ) {
        let is_gang = self.stage(key).is_gang;
        if cause == EndCause::Failed && is_gang {
            let run = (TaskKey { index: 0, ..key }, attempt);
            if self.workers[worker].failed_gang_run.replace(run) == Some(run) {
                return;
            }
        }
        self.update_worker_health(worker, key, cause, now);
        if cause == EndCause::Failed && is_gang {
            self.avoid_with_gang(key, worker);
        }
    }

    /// Lets all members of a gang, which start again together, avoid a worker.
    fn avoid_with_gang(&mut self, key: TaskKey, worker: WorkerKey) {
        for index in 0..self.stage(key).task_count {
            if let Some(task) = self.task_mut(TaskKey { index, ..key }) {
                task.avoided_worker = Some(worker);
            }
        }
    }
}
