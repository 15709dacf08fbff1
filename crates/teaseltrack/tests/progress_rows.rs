//! Form of a job's progress in the store, whose rows have a maximum size.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use teaseltrack::cell::{
    job::{JobSpec, Schedule, Stage},
    progress::{JobProgress, JobState, MAX_ATTEMPT, RunRecord, TaskPhase, TaskProgress},
};

/// Values of at most 64 KiB in base64.
const MAX_BYTES: usize = 49_152;

/// Progress as an earlier build reads it.
#[derive(Debug, Deserialize, PartialEq)]
struct EarlierProgress {
    state: JobState,
    #[serde(default)]
    occurrences: Vec<Vec<Vec<TaskProgress>>>,
}

/// Job of 1,000 tasks that run on 80 workers, with everything that a task's progress may have.
fn largest_progress() -> JobProgress {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut worker = || format!("i-{:010x}@1765000000{:03}", rng.random_range(0..80) * 7_919, 7);
    let mut tasks = Vec::new();
    for _ in 0..1_000 {
        tasks.push(TaskProgress {
            phase: TaskPhase::Assigned(worker()),
            other_runs: vec![RunRecord { attempt: MAX_ATTEMPT - 3, worker: worker() }],
            ..TaskProgress::default()
        });
    }
    for task in &mut tasks {
        task.checkpoint = format!("{:016x}", rng.random::<u64>());
        task.attempt = MAX_ATTEMPT - rng.random_range(0..100);
        task.ended_attempt = task.attempt - 1;
        (task.failure_count, task.crash_count, task.hand_over) = (2, 1, 4);
    }
    JobProgress {
        state: JobState::Active,
        first_occurrence: 70_000,
        occurrences: vec![vec![tasks]],
    }
}

/// Guards against a progress row that the store rejects, so that its owner can't commit any more.
#[test]
fn to_row_of_the_largest_job_fits() {
    let progress = largest_progress();
    let row = progress.to_row(MAX_BYTES).unwrap();
    assert!(row.text.len() <= MAX_BYTES, "{} bytes", row.text.len());
    assert!(!row.lacks_checkpoints);
    assert_eq!(serde_json::from_str::<JobProgress>(&row.text).unwrap(), progress);
}

/// Guards against the same for checkpoints that are longer than those of the platform.
#[test]
fn to_row_leaves_out_checkpoints_without_room() {
    let mut progress = largest_progress();
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    for task in &mut progress.occurrences[0][0] {
        task.checkpoint = (0..40).map(|_| format!("{:x}", rng.random::<u64>())).collect();
    }
    let row = progress.to_row(MAX_BYTES).unwrap();
    assert!(row.text.len() <= MAX_BYTES && row.lacks_checkpoints);
    let stored: JobProgress = serde_json::from_str(&row.text).unwrap();
    for task in &mut progress.occurrences[0][0] {
        task.checkpoint.clear();
    }
    assert_eq!(stored, progress);
}

/// Guards against an earlier build that starts tasks of a row again which it can't read, or that can't
/// read rows which have room for all tasks.
#[test]
fn to_row_is_safe_to_read_for_earlier_builds() {
    let packed = largest_progress().to_row(MAX_BYTES).unwrap().text;
    let earlier: EarlierProgress = serde_json::from_str(&packed).unwrap();
    assert_eq!(earlier, EarlierProgress { state: JobState::Cancelled, occurrences: Vec::new() });
    let small = JobProgress {
        state: JobState::Active,
        occurrences: vec![vec![vec![TaskProgress::default(); 3]]],
        ..JobProgress::default()
    };
    let earlier: EarlierProgress =
        serde_json::from_str(&small.to_row(MAX_BYTES).unwrap().text).unwrap();
    let EarlierProgress { state, occurrences } = earlier;
    assert_eq!(JobProgress { state, occurrences, ..JobProgress::default() }, small);
}

/// Guards against crash counts that another build can't read, or that are lost in its rows.
#[test]
fn to_row_with_crashed_workers_is_read_by_other_builds() {
    let earlier = r#"{"state":"active","occurrences":[[[{"p":"w","n":2,"k":3,"s":1}]]]}"#;
    let mut progress: JobProgress = serde_json::from_str(earlier).unwrap();
    assert_eq!(progress.to_row(MAX_BYTES).unwrap().text, earlier);
    let task = &mut progress.occurrences[0][0][0];
    assert_eq!((task.crash_count, task.sole_crash_count), (3, 1));
    task.crashed_workers = vec!["i-1".to_owned()];
    // Earlier builds ignore the additional field.
    let present =
        r#"{"state":"active","occurrences":[[[{"p":"w","n":2,"k":3,"s":1,"b":["i-1"]}]]]}"#;
    assert_eq!(progress.to_row(MAX_BYTES).unwrap().text, present);
    assert_eq!(serde_json::from_str::<JobProgress>(present).unwrap(), progress);
}

/// Guards against a progress row that the store rejects because many tasks are suspects at the same time.
#[test]
fn to_row_of_the_largest_job_of_suspects_fits() {
    let mut progress = largest_progress();
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    for task in &mut progress.occurrences[0][0] {
        let agent = || format!("i-{:010x}", rng.random_range(0..80) * 7_919);
        task.crashed_workers = std::iter::repeat_with(agent).take(3).collect();
    }
    let row = progress.to_row(MAX_BYTES).unwrap();
    assert!(row.text.len() <= MAX_BYTES, "{} bytes", row.text.len());
}

/// Guards against rows of another writer that stop the owner.
#[test]
fn packed_progress_of_another_writer_is_unreadable() {
    for packed in ["\"@\"", "\"AAAA\"", "\"\"", "5", "null"] {
        let text = format!("{{\"packed\":{packed}}}");
        assert!(serde_json::from_str::<JobProgress>(&text).is_err(), "{text}");
    }
}

#[test]
fn progress_is_valid_with_finished_occurrences() {
    let schedule = Schedule { first_unix_ms: 0, interval_ms: 1, occurrence_count: 3 };
    let stages = vec![Stage { task_count: 1, ..Stage::default() }];
    let spec = JobSpec { stages, schedule: Some(schedule), ..JobSpec::default() };
    let open = vec![vec![TaskProgress::default()]];
    let is_valid = |first_occurrence, occurrences: Vec<Vec<Vec<TaskProgress>>>| {
        JobProgress { first_occurrence, occurrences, ..JobProgress::default() }.is_valid(&spec)
    };
    assert!(is_valid(1, vec![open.clone(), Vec::new()]));
    assert!(!is_valid(2, vec![open.clone(), Vec::new()]));
    assert!(!is_valid(u32::MAX, vec![open]));
}
