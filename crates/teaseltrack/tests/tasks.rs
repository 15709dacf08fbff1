//! Task transitions, journal replay, capacity reservations and probation.

mod util;

use std::time::{Duration, Instant};

use proptest::prelude::*;
use teaseltrack::{
    placement::{Probation, ReservationLedger, Resources},
    record::JobSpec,
    shard::ShardState,
    task::{Decision, Placement, Task, TaskId, TaskState},
};
use yare::parameterized;

const TASKS: u32 = 3;

fn spec(tasks: u32) -> JobSpec {
    JobSpec {
        tasks,
        cpu_milli: 1_000,
        memory_mib: 64,
        accelerators: 0,
        run_ms: 100,
        team: "a".to_owned(),
        urgency: 6,
    }
}

fn id(index: u32) -> TaskId {
    TaskId { job: "job".to_owned(), index }
}

fn placement(instance: u8) -> Placement {
    Placement { instance: format!("agent-{instance}"), incarnation: 1 }
}

fn state() -> ShardState {
    let mut state = ShardState::default();
    state
        .apply(&Decision::JobAdded { job: "job".to_owned(), revision: 1, spec: spec(TASKS) })
        .unwrap();
    state
}

fn assigned(attempt: u32, instance: u8) -> Decision {
    Decision::Assigned {
        task: id(0),
        attempt,
        placement: placement(instance),
        reason: String::new(),
    }
}

fn released(attempt: u32) -> Decision {
    Decision::Released { task: id(0), attempt, reason: String::new() }
}

fn evicted(attempt: u32) -> Decision {
    Decision::Evicted {
        task: id(0),
        attempt,
        checkpoint: format!("checkpoint-{attempt}"),
        reason: String::new(),
    }
}

#[parameterized(
    second_placement_while_running = { vec![assigned(1, 1)], assigned(2, 2) },
    attempt_skipped = { vec![], assigned(2, 1) },
    attempt_repeated = { vec![assigned(1, 1), released(1)], assigned(1, 2) },
    late_start = { vec![assigned(1, 1), released(1), assigned(2, 2)], Decision::Started { task: id(0), attempt: 1 } },
    late_end = { vec![assigned(1, 1), evicted(1), assigned(2, 2)], Decision::Done { task: id(0), attempt: 1 } },
    evicted_twice = { vec![assigned(1, 1), evicted(1)], evicted(1) },
    done_twice = { vec![assigned(1, 1), Decision::Done { task: id(0), attempt: 1 }], Decision::Done { task: id(0), attempt: 1 } },
    resumed_after_done = { vec![assigned(1, 1), Decision::Done { task: id(0), attempt: 1 }], assigned(2, 2) },
    started_after_cancel = { vec![Decision::JobCancelled { job: "job".to_owned(), revision: 2 }], assigned(1, 1) },
    parked_while_running = { vec![assigned(1, 1)], Decision::Parked { task: id(0), reason: String::new() } },
    unknown_task = { vec![], Decision::Parked { task: id(9), reason: String::new() } },
    unknown_job = { vec![], Decision::Done { task: TaskId { job: "other".to_owned(), index: 0 }, attempt: 1 } },
    old_revision = { vec![], Decision::JobCancelled { job: "job".to_owned(), revision: 1 } },
)]
fn apply_rejected(before: Vec<Decision>, decision: Decision) {
    let mut state = state();
    for decision in &before {
        state.apply(decision).unwrap();
    }
    let unchanged = state.clone();
    assert!(state.apply(&decision).is_err());
    assert_eq!(state, unchanged);
}

#[test]
fn apply_resumes_from_checkpoint() {
    let mut state = state();
    for decision in [assigned(1, 1), evicted(1), assigned(2, 2), released(2)] {
        state.apply(&decision).unwrap();
    }
    let task = state.task(&id(0)).unwrap();
    assert_eq!(task.state, TaskState::Evicted);
    assert_eq!(task.checkpoint.as_deref(), Some("checkpoint-1"));
}

#[test]
fn apply_smaller_job_cancels_excess_tasks() {
    let mut state = state();
    state
        .apply(&Decision::JobAmended { job: "job".to_owned(), revision: 2, spec: spec(1) })
        .unwrap();
    let states: Vec<&str> =
        (0..TASKS).map(|index| state.task(&id(index)).unwrap().state.name()).collect();
    assert_eq!(states, ["pending", "cancelled", "cancelled"]);
    assert_eq!(state.waiting_count(), 1);
}

fn decision() -> impl Strategy<Value = Decision> {
    let task = (0..TASKS).prop_map(id);
    let attempt = 1..6_u32;
    let reason = String::new();
    (task, attempt, 0..3_u8, 0..9_u8, 1..9_u64).prop_map(
        move |(task, attempt, variant, kind, revision)| {
            let reason = reason.clone();
            match kind {
                0 | 1 => {
                    Decision::Assigned { task, attempt, placement: placement(variant), reason }
                }
                2 => Decision::Started { task, attempt },
                3 => Decision::Released { task, attempt, reason },
                4 => {
                    Decision::Evicted { task, attempt, checkpoint: format!("c-{attempt}"), reason }
                }
                5 => Decision::Done { task, attempt },
                6 => Decision::AttemptFailed { task, attempt, is_final: variant == 0, reason },
                7 if variant == 0 => Decision::JobCancelled { job: "job".to_owned(), revision },
                7 => Decision::Parked { task, reason },
                _ => Decision::Unparked { task, reason },
            }
        },
    )
}

fn check_task(before: &Task, after: &Task) -> Result<(), TestCaseError> {
    prop_assert!(after.attempt == before.attempt || after.attempt == before.attempt + 1);
    if before.state.is_final() {
        prop_assert_eq!(before, after);
    }
    let (Some(was), Some(is)) = (before.state.placement(), after.state.placement()) else {
        return Ok(());
    };
    prop_assert!(
        was == is && before.attempt == after.attempt,
        "placement changed while the attempt was active"
    );
    Ok(())
}

proptest! {
    #![proptest_config(util::config(400))]

    #[test]
    fn apply_random_decisions(decisions in prop::collection::vec(decision(), 1..200)) {
        let mut state = state();
        let mut applied = Vec::new();
        for decision in decisions {
            let before = state.clone();
            if state.apply(&decision).is_err() {
                prop_assert_eq!(&state, &before);
                continue;
            }
            applied.push(decision);
            for index in 0..TASKS {
                check_task(before.task(&id(index)).unwrap(), state.task(&id(index)).unwrap())?;
            }
        }
        let mut replayed = self::state();
        for decision in &applied {
            prop_assert!(replayed.apply(decision).is_ok());
        }
        prop_assert_eq!(&replayed, &state);
        let text = serde_json::to_string(&state).unwrap();
        let mut restored: ShardState = serde_json::from_str(&text).unwrap();
        restored.reindex();
        prop_assert_eq!(&restored, &state);
    }

    #[test]
    fn reservation_ledger_random_steps(steps in prop::collection::vec((0..4_u8, 0..12_u32, 1..4_u32, 0..5_000_u64), 1..300)) {
        let start = Instant::now();
        let capacity = Resources { cpu_milli: 8_000, memory_mib: 1_024, accelerators: 1 };
        let mut ledger = ReservationLedger::new(capacity);
        for (number, (kind, index, attempt, size)) in steps.into_iter().enumerate() {
            let now = start + Duration::from_millis(number as u64 * 100);
            let resources = Resources { cpu_milli: size, memory_mib: size / 10, accelerators: u64::from(size % 7 == 0) };
            let available = ledger.available();
            match kind {
                0 | 1 => {
                    let is_reserved = ledger.reserve(&id(index), attempt, resources, now + Duration::from_secs(1));
                    let is_reduced = ledger.available() != available;
                    prop_assert!(!is_reduced || (is_reserved && available.can_fit(&resources)));
                }
                2 => drop(ledger.confirm(&id(index), attempt)),
                _ => ledger.release(&id(index), attempt),
            }
            ledger.expire(now);
            prop_assert!(capacity.can_fit(&ledger.available()));
        }
    }
}

#[test]
fn probation_for_consecutive_failures() {
    let now = Instant::now();
    let mut probation = Probation::default();
    for job in ["a", "b", "c"] {
        probation.record_success("agent-1", job);
        probation.record_failure("agent-0", job, now);
    }
    assert!(probation.is_on_probation("agent-0", now));
    assert!(!probation.is_on_probation("agent-1", now));
    assert!(!probation.is_on_probation("agent-0", now + Duration::from_secs(60)));
}

#[test]
fn probation_not_for_failing_job() {
    let now = Instant::now();
    let mut probation = Probation::default();
    for _ in 0..10 {
        probation.record_failure("agent-0", "failing", now);
        probation.record_failure("agent-1", "failing", now);
    }
    assert!(!probation.is_on_probation("agent-0", now));
}
