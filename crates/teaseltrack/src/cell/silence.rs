//! Workers whose lease is no longer extended, because they or their agents have stopped reporting.
//!
//! Such a worker keeps its tasks until its lease has expired. A new owner doesn't know when the
//! previous one last granted a lease, and has to assume the latest possible time. If each owner
//! waited for that long anew, a series of owners would never start the tasks again. An owner
//! therefore records silent workers in its row, with the ends of their leases, and grants a recorded
//! worker no lease until a commit has removed it from the row.
//!
//! A new owner hasn't granted anything to a worker that hasn't responded to it. Its first commit after the
//! takeover therefore lists all workers with stored tasks that haven't, with the latest end of their
//! leases from earlier owners, and it grants no lease before that commit. A series of owners of which
//! each ends too early to take a worker for silent waits for the leases of the first one only.
//!
//! An owner that ends before it has recorded a worker that fell silent under it leaves nothing to its
//! successor. The worker's agent knows more ([`KnownLeases`]): leases reach the worker through its agent only. A reading of
//! the worker's clock proves that the clock had at least that reading when the agent received it,
//! however late. A lease therefore ends, in real time, at most its distance from the reading, times
//! the drift, after that receipt ([`Cell::limit_lease_end`]). This holds for all leases:
//! - Those from earlier owners are in the agent's report, since an agent that reports under a session
//!   of this owner obeys no earlier epoch any more.
//! - Those that this owner has granted may still be in transit to the agent, so that they count from the
//!   readings that they were granted for.
//! - Those of an earlier process of the agent were granted for readings that precede the first response
//!   of the worker to the present one. A later process finds the owner in the store, and so obeys none
//!   that precedes this one.
//!
//! [`KnownLeases`]: crate::cell::protocol::KnownLeases

use std::time::{Duration, Instant};

use crate::cell::{
    Cell, CellEvent, WorkerKey, progress::WorkerIncarnation, protocol::Report, worker::Worker,
};

/// Worker that no owner grants a lease to until it is removed from the owner's row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SilentWorker {
    /// The worker incarnation.
    pub incarnation: WorkerIncarnation,
    /// Time by which its lease has expired for certain.
    pub lease_end: Instant,
    /// Highest reported reading of its clock, in milliseconds; an agent whose worker doesn't respond
    /// repeats it.
    pub clock_ms: u64,
}

impl Cell {
    /// Adopts the silent workers that the previous owner has recorded; must precede
    /// [`Cell::admit`].
    pub fn adopt_silent_workers(&mut self, silent_workers: Vec<SilentWorker>) {
        self.listed_silent_workers.clone_from(&silent_workers);
        self.silent_workers
            .extend(silent_workers.into_iter().map(|silent| (silent.incarnation.clone(), silent)));
    }

    /// Number of tasks that are assigned to silent workers.
    pub fn silent_task_count(&self) -> usize {
        let silent = self.workers.values().filter(|worker| worker.is_silent);
        silent.map(|worker| worker.tasks.len()).sum()
    }

    /// Marks workers with tasks as silent once there was no new reading of their clock for
    /// `silence_timeout`. A worker that reports while the owner may not grant leases isn't silent.
    pub(super) fn detect_silent_workers(&mut self, now: Instant) {
        let timeout = self.settings.silence_timeout;
        let silent: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, worker)| {
                let elapsed = now.duration_since(worker.clock_reported_at);
                !worker.is_silent && !worker.tasks.is_empty() && elapsed >= timeout
            })
            .map(|(key, _)| key)
            .collect();
        for key in silent {
            let worker = &mut self.workers[key];
            worker.is_silent = true;
            // Without a lease from this owner, tasks can run under one from a previous owner.
            let lease_end = *worker.lease_end.get_or_insert(self.previous_leases_end.max(now));
            self.events.push(CellEvent::Silent {
                worker: worker.incarnation.clone(),
                task_count: worker.tasks.len(),
                lease_remaining: lease_end.saturating_duration_since(now),
            });
        }
    }

    /// Limits the wait for the worker's lease by what its agent knows, for a report under a session of
    /// this owner.
    pub(super) fn limit_lease_end(&mut self, key: WorkerKey, report: &Report, now: Instant) {
        let Some(known) = report.known_leases else { return };
        let worker = &mut self.workers[key];
        let Some(lease_end) = worker.lease_end else { return };
        let lease_ms = self.settings.lease.as_millis() as u64;
        let granted_until_ms =
            if worker.clock_ms > 0 { worker.clock_ms.saturating_add(lease_ms) } else { 0 };
        let until_ms = known.lease_until_ms.max(granted_until_ms);
        let remaining_ms = until_ms.saturating_sub(report.worker_clock_ms);
        // Longer than any wait for a lease.
        let remaining = Duration::from_millis(remaining_ms.min(u64::from(u32::MAX)));
        let wait = remaining.mul_f64(1.0 + self.settings.clock_drift) + self.settings.lease_margin;
        let age = Duration::from_millis(known.reading_age_ms);
        worker.lease_end = Some(lease_end.min(now + wait.saturating_sub(age)));
    }

    /// Whether the list in the owner's row is outdated.
    pub(super) fn has_silence_changes(&self) -> bool {
        self.workers.values().any(|worker| worker.is_recorded_silent != is_listed(worker))
    }

    /// Silent workers for the owner's row. From now on they count as recorded, since the commit may
    /// take effect at any time.
    ///
    /// Unless `are_all_jobs_stored` by the commit, rows may still assign tasks to a worker that they were
    /// reclaimed from. It stays listed, as long as it doesn't report again.
    pub(super) fn list_silent_workers(&mut self, are_all_jobs_stored: bool) -> Vec<SilentWorker> {
        let mut silent_workers = Vec::new();
        for worker in self.workers.values_mut().filter(|worker| is_listed(worker)) {
            worker.is_recorded_silent = true;
            silent_workers.extend(worker.lease_end.map(|lease_end| SilentWorker {
                incarnation: worker.incarnation.clone(),
                lease_end,
                clock_ms: worker.reported_clock_ms,
            }));
        }
        let listed = std::mem::take(&mut self.listed_silent_workers);
        if !are_all_jobs_stored {
            let worker_of = |silent: &SilentWorker| {
                self.by_incarnation.get(&silent.incarnation).map(|key| &self.workers[*key])
            };
            let is_kept = |silent: &SilentWorker| {
                worker_of(silent).is_none_or(|worker| has_no_lease(worker) && !is_listed(worker))
            };
            silent_workers.extend(listed.into_iter().filter(is_kept));
        }
        self.listed_silent_workers.clone_from(&silent_workers);
        silent_workers
    }

    /// Workers that the owner's row may list as silent, and that the new list lacks.
    pub(super) fn returned_workers(&self, silent_workers: &[SilentWorker]) -> Vec<WorkerKey> {
        let is_listed = |worker: &Worker| {
            silent_workers.iter().any(|silent| silent.incarnation == worker.incarnation)
        };
        let returned = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.is_recorded_silent && !is_listed(worker));
        returned.map(|(key, _)| key).collect()
    }
}

/// Whether the owner has stopped extending the worker's lease, or has never begun to.
fn has_no_lease(worker: &Worker) -> bool {
    worker.is_silent || worker.is_unconfirmed
}

fn is_listed(worker: &Worker) -> bool {
    has_no_lease(worker) && worker.lease_end.is_some() && !worker.tasks.is_empty()
}
