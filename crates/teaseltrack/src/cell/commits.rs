//! Commits of a cell's decisions, and the effects that are deferred until a commit has succeeded.
//!
//! A start order is sent, and an end confirmed, only once the progress that it follows from is
//! committed.

use crate::{
    cell::{
        Cell, CommitBatch, JobKey, PendingEffects, Task, UncommittedStart, WorkerKey,
        job::JobId,
        progress::{JobProgress, TaskPhase, TaskProgress, WorkerRecord},
        protocol::{Order, SharingTraits, StartOrder, TaskName},
        worker::TaskKey,
    },
    ids::InstanceId,
    placement::Resources,
};

/// Maximum size of a commit's progress rows, in bytes; the platform accepts 1 MB per transaction, in
/// which rows take four thirds of their size.
const MAX_COMMIT_BYTES: usize = 600_000;

impl Cell {
    /// Returns the next batch to commit, of at most `max_rows` rows; `None` if there is nothing to
    /// commit or a commit is in flight.
    pub fn next_commit(&mut self, max_rows: usize) -> Option<CommitBatch> {
        let has_dirty = self.dirty_jobs().next().is_some();
        let has_ends =
            self.workers.values().any(|worker| worker.processed_end > worker.committed_end);
        if !has_dirty && !has_ends && !self.has_silence_changes() {
            return None;
        }
        self.renewal(max_rows)
    }

    /// Returns the next batch to commit, which may be empty; `None` if a commit is in flight.
    pub fn renewal(&mut self, max_rows: usize) -> Option<CommitBatch> {
        if self.pending_effects.is_some() {
            return None;
        }
        let workers = self.list_unrecorded_workers(max_rows);
        let max_rows = max_rows - workers.len();
        let dirty: Vec<JobKey> = self.dirty_jobs().collect();
        let rows = self.list_progress(&dirty, max_rows);
        let are_all_jobs_stored = rows.len() == dirty.len();
        let silent_workers = self.list_silent_workers(are_all_jobs_stored);
        let returned = self.returned_workers(&silent_workers);
        let mut effects = PendingEffects { returned, ..Default::default() };
        let mut batch = CommitBatch { workers, silent_workers, ..Default::default() };
        // A worker discards the record of an ended run once the end is committed, so ends are
        // confirmed only by a batch that contains the progress of all dirty jobs.
        if are_all_jobs_stored {
            effects.ends =
                self.workers.iter().map(|(key, worker)| (key, worker.processed_end)).collect();
        }
        for (key, progress) in rows {
            let job = &mut self.jobs[key];
            job.is_dirty = false;
            effects.starts.append(&mut job.uncommitted_starts);
            effects.hand_overs.append(&mut job.uncommitted_hand_overs);
            effects.states.push((key, job.state));
            batch.rows.push((job.id.clone(), progress));
        }
        self.pending_effects = Some(effects);
        Some(batch)
    }

    /// Progress of the first of the jobs, as much as a commit may have.
    fn list_progress(&self, jobs: &[JobKey], max_rows: usize) -> Vec<(JobKey, JobProgress)> {
        let mut rows = Vec::new();
        let mut total_bytes = 0;
        for &key in jobs.iter().take(max_rows) {
            let progress = self.progress_of(key);
            total_bytes += progress.estimated_bytes();
            if total_bytes > MAX_COMMIT_BYTES && !rows.is_empty() {
                break;
            }
            rows.push((key, progress));
        }
        rows
    }

    /// Workers with tasks whose row isn't stored, at most half of the rows of a batch.
    fn list_unrecorded_workers(&mut self, max_rows: usize) -> Vec<(InstanceId, WorkerRecord)> {
        let unrecorded = self.workers.values_mut().filter_map(|worker| {
            let started_unix_ms = worker.status.as_ref()?.started_unix_ms;
            let agent = worker.agent.clone()?;
            let is_due = !worker.is_recorded && !worker.tasks.is_empty();
            is_due.then(|| {
                worker.is_recorded = true;
                let incarnation = worker.incarnation.clone();
                let agent_started_unix_ms = worker.agent_started_unix_ms;
                (agent, WorkerRecord { incarnation, started_unix_ms, agent_started_unix_ms })
            })
        });
        unrecorded.take(max_rows / 2).collect()
    }

    fn dirty_jobs(&self) -> impl Iterator<Item = JobKey> {
        let is_dirty = |key: &JobKey| self.jobs.get(*key).is_some_and(|job| job.is_dirty);
        self.open_jobs.iter().copied().filter(is_dirty)
    }

    /// Withdraws the effects of the in-flight commit on jobs whose rows the store has rejected for good.
    /// Their tasks don't start until a later row is accepted; it may be shorter.
    pub fn commit_rejected(&mut self, jobs: &[JobId]) {
        let rejected: Vec<JobKey> =
            jobs.iter().filter_map(|id| self.by_id.get(id).copied()).collect();
        let Some(effects) = self.pending_effects.as_mut().filter(|_| !rejected.is_empty()) else {
            return;
        };
        effects.states.retain(|(key, _)| !rejected.contains(key));
        effects.hand_overs.retain(|hand_over| !rejected.contains(&hand_over.task.job));
        let is_rejected = |start: &mut UncommittedStart| rejected.contains(&start.task.job);
        let withdrawn: Vec<UncommittedStart> = effects.starts.extract_if(.., is_rejected).collect();
        for UncommittedStart { worker, task, .. } in withdrawn {
            self.select_run(task, worker);
            self.reclaim_task(task, "the store rejects the job's progress");
        }
        for key in rejected {
            let job = &mut self.jobs[key];
            job.is_rejected = true;
            job.is_dirty = false;
        }
    }

    /// Applies the effects deferred until the in-flight commit, which has succeeded.
    pub fn commit_succeeded(&mut self) {
        let Some(effects) = self.pending_effects.take() else { return };
        for (key, state) in effects.states {
            let previous = std::mem::replace(&mut self.jobs[key].committed_state, state);
            self.jobs[key].is_rejected = false;
            if previous != state {
                self.announce_end(key);
            }
        }
        for (worker, end) in effects.ends {
            if let Some(worker) = self.workers.get_mut(worker) {
                let committed_end = worker.committed_end.max(end.min(worker.processed_end));
                worker.has_update |= committed_end > worker.committed_end;
                worker.committed_end = committed_end;
            }
        }
        for worker in effects.returned {
            if let Some(worker) = self.workers.get_mut(worker) {
                worker.is_recorded_silent = false;
                (worker.is_lease_due, worker.has_update) = (true, true);
            }
        }
        for start in effects.starts {
            self.enqueue_start(start);
        }
        self.commit_hand_overs(effects.hand_overs);
        self.open_jobs.retain(|key| {
            let job = &self.jobs[*key];
            !(job.committed_state.is_final() && !job.is_dirty && job.occurrences.is_empty())
        });
    }

    fn progress_of(&self, key: JobKey) -> JobProgress {
        let job = &self.jobs[key];
        let begun = job.occurrences.since_first().map(|(_, occurrence)| {
            let stages = occurrence.stages.iter();
            stages
                .map(|tasks| tasks.iter().map(|task| self.progress_to_commit(task)).collect())
                .collect()
        });
        let mut progress = JobProgress {
            state: job.state,
            first_occurrence: job.occurrences.first(),
            occurrences: begun.collect(),
        };
        progress.expand_finished(&job.spec);
        progress
    }

    fn progress_to_commit(&self, task: &Task) -> TaskProgress {
        let mut progress = task.progress.clone();
        progress.other_runs = task
            .other_runs(|worker| self.workers.get(worker).map(|worker| worker.incarnation.clone()));
        if let Some(worker) = task.run.as_ref().and_then(|run| self.workers.get(run.worker))
            && progress.phase != TaskPhase::Done
        {
            progress.phase = TaskPhase::Assigned(worker.incarnation.clone());
        }
        progress
    }

    /// Sends the start order of a committed assignment, unless the task has been assigned anew since.
    fn enqueue_start(&mut self, start: UncommittedStart) {
        let UncommittedStart { worker: worker_key, task: key, attempt } = start;
        self.select_run(key, worker_key);
        let Some(name) = self.name_of(key) else { return };
        let Some(worker) = self.workers.get(worker_key) else { return };
        let Some(status) = worker.status.as_ref() else { return };
        let session = worker.session;
        let job = &self.jobs[key.job];
        let Some(task) = self.task(key) else { return };
        let is_current = task.progress.attempt == attempt
            && task
                .run
                .as_ref()
                .is_some_and(|run| run.worker == worker_key && run.session == session);
        if !is_current {
            return;
        }
        if task.run.as_ref().is_some_and(|run| run.is_stopping) {
            self.reclaim_task(key, "stopped before its start order was sent");
            return self.finalize_if_done(key.job);
        }
        // The capacity may have shrunk since the assignment.
        if !worker.can_fit(&Resources::default()) {
            return self.reclaim_with_gang(key, "worker is over its capacity");
        }
        let start = StartOrder {
            task: name.clone(),
            attempt,
            payload: job.spec.payload.clone(),
            checkpoint: task.progress.checkpoint.clone(),
            planned_capacity: status.capacity,
        };
        self.enqueue_traits(worker_key, &name, Some(key));
        if let Some(run) = self.task_mut(key).and_then(|task| task.run.as_mut()) {
            run.is_ordered = true;
        }
        if let Some(worker) = self.workers.get_mut(worker_key) {
            worker.enqueue_order(Order::Start(start));
        }
    }

    pub(super) fn enqueue_traits(
        &mut self,
        worker: WorkerKey,
        name: &TaskName,
        key: Option<TaskKey>,
    ) {
        let Some(key) = key else { return };
        let stage = self.stage(key);
        if !stage.is_best_effort && stage.target_tail_ms.is_none() {
            return;
        }
        let traits = SharingTraits {
            task: name.clone(),
            image: stage.image.clone(),
            is_best_effort: stage.is_best_effort,
            target_tail_ms: stage.target_tail_ms,
        };
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.enqueue_order(Order::Traits(traits));
        }
    }
}
