//! What the heartbeats of the worker's incarnation say of it.
//!
//! A single wrong heartbeat must not bring starts that the worker has no room or no label for. What a
//! worker is (its service, availability zone, capacity and labels) rarely changes within an
//! incarnation, so a change takes effect once two heartbeats in a row say so. A smaller capacity and
//! the announcement of a shutdown take effect at once, since a delay could do harm.

use teaseltrack::{cell::protocol::WorkerStatus, placement::Resources};

/// Status of the worker, as it is announced and as it is in effect.
#[derive(Clone, Debug, Default)]
pub struct AnnouncedStatus {
    /// The first status of the incarnation, or the last one that was announced twice in a row.
    established: Option<WorkerStatus>,
    /// A different one, if the last heartbeat had it.
    unrepeated: Option<WorkerStatus>,
}

impl AnnouncedStatus {
    /// Takes the status from the next heartbeat; returns the one in effect.
    pub fn announce(&mut self, status: WorkerStatus) -> WorkerStatus {
        let Some(established) = &self.established else {
            self.established = Some(status.clone());
            return status;
        };
        let is_repeated =
            self.unrepeated.as_ref().is_some_and(|last| has_same_traits(last, &status));
        if is_repeated || has_same_traits(established, &status) {
            self.unrepeated = None;
            self.established = Some(status.clone());
            return status;
        }
        let in_effect = WorkerStatus {
            service: established.service.clone(),
            zone: established.zone.clone(),
            capacity: smaller(&established.capacity, &status.capacity),
            labels: established.labels.clone(),
            ..status.clone()
        };
        self.unrepeated = Some(status);
        in_effect
    }
}

fn has_same_traits(first: &WorkerStatus, second: &WorkerStatus) -> bool {
    first.service == second.service
        && first.zone == second.zone
        && first.capacity == second.capacity
        && first.labels == second.labels
}

fn smaller(first: &Resources, second: &Resources) -> Resources {
    Resources {
        cpu_milli: first.cpu_milli.min(second.cpu_milli),
        memory_mib: first.memory_mib.min(second.memory_mib),
        accelerators: first.accelerators.min(second.accelerators),
    }
}
