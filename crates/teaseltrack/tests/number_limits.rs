//! Numbers and times near the end of their type, from rows and reports.

use std::time::{Duration, Instant};

use teaseltrack::{
    cell::{
        delegation::{Delegation, TaskWait},
        job::{JobSpec, Queue, Schedule, Stage},
        ownership::{MAX_EPOCH, OwnerRecord, SilentWorkerRecord},
        progress::{JobProgress, MAX_ATTEMPT, TaskProgress},
        protocol::TaskName,
    },
    placement::Resources,
};
use yare::parameterized;

const GRANT_PERIOD: Duration = Duration::from_secs(4);

/// Guards against a new owner that starts no task for years.
#[parameterized(
    end_of_the_type = { u64::MAX, 8_000 },
    a_year = { 31_536_000_000, 8_000 },
    a_grant_period = { 4_001, 4_001 },
    none = { 0, 0 },
)]
fn previous_grants_end_is_near(remaining_ms: u64, expected_ms: u64) {
    let now = Instant::now();
    let previous_grants_remaining_ms = Some(remaining_ms);
    let record = OwnerRecord { previous_grants_remaining_ms, ..OwnerRecord::default() };
    let end = record.previous_grants_end(now, GRANT_PERIOD);
    assert_eq!(end.duration_since(now), Duration::from_millis(expected_ms));
}

/// Guards against leases of an owner of an earlier or later build, which grants them for longer, and against
/// a wait for years.
#[parameterized(
    unrecorded = { None, 4_000 },
    recorded = { Some(2_500), 2_500 },
    longer = { Some(5_000), 5_000 },
    a_year = { Some(31_536_000_000), 60_000 },
)]
fn own_grant_period_is_that_of_the_owner(grant_period_ms: Option<u64>, expected_ms: u64) {
    let record = OwnerRecord { grant_period_ms, ..OwnerRecord::default() };
    let grant_period = record.own_grant_period(Duration::from_millis(2_500));
    assert_eq!(grant_period, Duration::from_millis(expected_ms));
}

/// Guards against a worker that is waited for for years, and against one that gets no lease since none of
/// its readings is higher than the recorded one.
#[parameterized(
    end_of_the_type = { u64::MAX, u64::MAX, 120_000, 0 },
    a_year = { 31_536_000_000, 1 << 47, 120_000, 0 },
    sane = { 9_400, 482_113, 9_400, 482_113 },
)]
fn restore_of_a_silent_worker_is_near(
    lease_remaining_ms: u64,
    clock_ms: u64,
    expected_ms: u64,
    expected_clock_ms: u64,
) {
    let now = Instant::now();
    let incarnation = "worker-1@1".to_owned();
    let silent = SilentWorkerRecord { incarnation, lease_remaining_ms, clock_ms }.restore(now);
    assert_eq!(silent.lease_end.duration_since(now), Duration::from_millis(expected_ms));
    assert_eq!(silent.clock_ms, expected_clock_ms);
}

/// Guards against epochs of which the sessions' and attempts' numbers overflow.
#[test]
fn owner_record_is_valid_up_to_the_highest_epoch() {
    let record = |epoch, sequence| OwnerRecord { epoch, sequence, ..OwnerRecord::default() };
    assert!(record(MAX_EPOCH, 5).is_valid());
    assert!(!record(MAX_EPOCH + 1, 5).is_valid());
    assert!(!record(5, u64::MAX).is_valid());
}

/// Guards against a job whose occurrences are all due at once and take all memory, and against a
/// delegated task in one of them.
#[test]
fn occurrences_are_limited() {
    let stage = Stage { task_count: 10, is_long_running: true, ..Stage::default() };
    let schedule =
        |occurrence_count| Schedule { first_unix_ms: 0, interval_ms: 0, occurrence_count };
    let spec = |count| JobSpec {
        stages: vec![stage.clone()],
        schedule: Some(schedule(count)),
        ..JobSpec::default()
    };
    assert_eq!(spec(u32::MAX).max_occurrence_count(), 10_000);
    assert_eq!(spec(3).max_occurrence_count(), 3);
    assert_eq!(JobSpec { schedule: None, ..spec(3) }.max_occurrence_count(), 1);
    let delegation = |occurrence, attempt, hand_over| Delegation {
        cell: 0,
        task: TaskName { job: "a".to_owned(), occurrence, stage: 0, index: 0 },
        hand_over,
        attempt,
        checkpoint: String::new(),
        crash_count: 0,
        sole_crash_count: 0,
        wait: TaskWait::default(),
        spec: spec(u32::MAX),
        queue: Queue::default(),
    };
    assert!(delegation(9_999, MAX_ATTEMPT, 1).is_valid());
    assert!(!delegation(10_000, 1, 1).is_valid());
    assert!(!delegation(0, u32::MAX, 1).is_valid());
    assert!(!delegation(0, 1, u32::MAX).is_valid());
}

/// Guards against the progress of another job, with stages or tasks that this one doesn't have, and
/// against numbers that can't be increased.
#[test]
fn progress_is_valid_for_its_job() {
    let stage = Stage { task_count: 2, ..Stage::default() };
    let spec = JobSpec { stages: vec![stage; 2], ..JobSpec::default() };
    let task = TaskProgress::default();
    let is_valid = |occurrences: Vec<Vec<Vec<TaskProgress>>>| {
        JobProgress { occurrences, ..JobProgress::default() }.is_valid(&spec)
    };
    let stages = |stage_count, task_count| vec![vec![task.clone(); task_count]; stage_count];
    assert!(is_valid(Vec::new()));
    assert!(is_valid(vec![stages(2, 2)]));
    assert!(!is_valid(vec![stages(3, 2)]));
    assert!(!is_valid(vec![stages(1, 2)]));
    assert!(!is_valid(vec![stages(2, 3)]));
    assert!(!is_valid(vec![stages(2, 2), stages(2, 2)]));
    let last = TaskProgress { attempt: u32::MAX, ..TaskProgress::default() };
    assert!(!is_valid(vec![vec![vec![last; 2], vec![task.clone(); 2]]]));
    let last = TaskProgress { hand_over: u32::MAX, ..TaskProgress::default() };
    assert!(!is_valid(vec![vec![vec![last; 2], vec![task.clone(); 2]]]));
}

/// Guards against sums that wrap to a small number, so that everything fits.
#[test]
fn sums_end_at_the_highest_number() {
    let all = Resources { cpu_milli: u64::MAX, memory_mib: u64::MAX, accelerators: u64::MAX };
    assert_eq!(all.plus(&all), all);
    let stage = Stage { task_count: 1, estimate_ms: u64::MAX, ..Stage::default() };
    let after = Stage { after: vec![0], ..stage.clone() };
    let spec = JobSpec { stages: vec![stage, after], ..JobSpec::default() };
    assert_eq!(spec.critical_path_ms(), u64::MAX);
}
