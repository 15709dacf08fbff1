//! Workers whose lease is no longer extended, because they or their agents have stopped reporting.
//!
//! Such a worker keeps its tasks until its lease has expired.

use std::time::Instant;

use crate::cell::{Cell, CellEvent, WorkerKey};

impl Cell {
    /// Number of tasks that are assigned to silent workers.
    pub fn silent_task_count(&self) -> usize {
        let silent = self.workers.values().filter(|worker| worker.is_silent);
        silent.map(|worker| worker.tasks.len()).sum()
    }

    /// Marks workers with tasks as silent once their lease hasn't been extended for
    /// `silence_timeout`.
    pub(super) fn detect_silent_workers(&mut self, now: Instant) {
        let timeout = self.settings.silence_timeout;
        let silent: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, worker)| {
                let elapsed = now.duration_since(worker.lease_extended_at);
                !worker.is_silent && !worker.tasks.is_empty() && elapsed >= timeout
            })
            .map(|(key, _)| key)
            .collect();
        for key in silent {
            let worker = &mut self.workers[key];
            worker.is_silent = true;
            let lease_end = worker.lease_end.unwrap_or(now);
            self.events.push(CellEvent::Silent {
                worker: worker.incarnation.clone(),
                task_count: worker.tasks.len(),
                lease_remaining: lease_end.saturating_duration_since(now),
            });
        }
    }
}
