//! Changes of what heartbeats of one incarnation say of the worker.

use teaseltrack::{cell::protocol::WorkerStatus, placement::Resources};
use teaseltrack_cell::agent::announced_status::AnnouncedStatus;

const CAPACITY: Resources = Resources { cpu_milli: 8_000, memory_mib: 16_000, accelerators: 0 };

fn status() -> WorkerStatus {
    WorkerStatus {
        worker: "worker".to_owned(),
        capacity: CAPACITY,
        labels: vec!["a".to_owned(), "r1-3".to_owned()],
        ..WorkerStatus::default()
    }
}

fn larger() -> WorkerStatus {
    WorkerStatus { capacity: Resources { cpu_milli: 64_000, ..CAPACITY }, ..status() }
}

fn smaller() -> WorkerStatus {
    WorkerStatus { capacity: Resources { cpu_milli: 4_000, ..CAPACITY }, ..status() }
}

fn relabelled() -> WorkerStatus {
    WorkerStatus { labels: vec!["b".to_owned()], ..status() }
}

fn draining() -> WorkerStatus {
    WorkerStatus { is_draining: true, remaining_ms: Some(900), ..status() }
}

/// Guards against starts over a worker's capacity, or on one without the required label, because of a single
/// wrong heartbeat.
#[yare::parameterized(
    larger_once = { &[larger()], status() },
    larger_twice = { &[larger(), larger()], larger() },
    larger_interrupted = { &[larger(), status(), larger()], status() },
    relabelled_once = { &[relabelled()], status() },
    relabelled_twice = { &[relabelled(), relabelled()], relabelled() },
    different_ones = { &[larger(), relabelled()], status() },
    smaller_at_once = { &[smaller()], smaller() },
    smaller_once = { &[smaller(), status()], status() },
    draining_at_once = { &[draining()], draining() },
    draining_once = { &[draining(), status()], status() },
)]
fn announce_waits_for_a_repetition(announced: &[WorkerStatus], expected: WorkerStatus) {
    let mut announced_status = AnnouncedStatus::default();
    assert_eq!(announced_status.announce(status()), status());
    let in_effect = announced.iter().cloned().map(|status| announced_status.announce(status));
    assert_eq!(in_effect.last(), Some(expected));
}
