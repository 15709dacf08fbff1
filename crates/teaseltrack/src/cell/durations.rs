//! Expected run times of tasks.

use std::time::Duration;

use crate::cell::{Cell, JobKey};

impl Cell {
    /// Expected run time of a task of the stage from its beginning, on a sound worker.
    pub(super) fn expected_run_time(&self, job: JobKey, stage: usize) -> Duration {
        Duration::from_millis(self.jobs[job].spec.stages[stage].estimate_ms)
    }
}
