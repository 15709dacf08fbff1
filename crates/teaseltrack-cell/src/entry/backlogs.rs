//! What an entry knows of the cells' backlogs, which decides whether it asks their owners before it
//! stores a job.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use teaseltrack::cell::partition::CellId;

use crate::constants::{BACKLOG_CHECK_INTERVAL, BACKLOG_TIMEOUT, REJECTED_RETURN_TIME};

#[derive(Clone, Copy, Debug, Default)]
struct KnownBacklog {
    asked_at: Option<Instant>,
    /// Last time at which the owner had a backlog.
    backlogged_at: Option<Instant>,
}

/// How an entry submits a job to a cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmissionMode {
    /// The entry waits for the owner's decision.
    Ask,
    /// The entry stores the job at once, and asks the owner for its backlog meanwhile.
    Check,
    /// The entry stores the job at once.
    Store,
}

/// Last known backlogs of all cells; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct KnownBacklogs {
    cells: Arc<Mutex<BTreeMap<CellId, KnownBacklog>>>,
}

impl KnownBacklogs {
    /// Chooses how to submit a job, and counts an inquiry as sent.
    pub fn next_mode(&self, cell: CellId, now: Instant) -> SubmissionMode {
        let mut cells = self.lock();
        let known = cells.entry(cell).or_default();
        let is_within = |at: Option<Instant>, limit| {
            at.is_some_and(|at| now.saturating_duration_since(at) < limit)
        };
        if is_within(known.backlogged_at, BACKLOG_TIMEOUT) {
            return SubmissionMode::Ask;
        }
        if is_within(known.asked_at, BACKLOG_CHECK_INTERVAL) {
            return SubmissionMode::Store;
        }
        known.asked_at = Some(now);
        SubmissionMode::Check
    }

    /// Notes that an owner has a backlog.
    pub fn note_backlog(&self, cell: CellId, now: Instant) {
        self.lock().entry(cell).or_default().backlogged_at = Some(now);
    }

    /// Whether a job that is submitted now may have been rejected before.
    pub fn may_have_rejected(&self, now: Instant) -> bool {
        self.lock().values().any(|known| {
            let backlogged_at = known.backlogged_at;
            backlogged_at.is_some_and(|at| now.saturating_duration_since(at) < REJECTED_RETURN_TIME)
        })
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<CellId, KnownBacklog>> {
        self.cells.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
