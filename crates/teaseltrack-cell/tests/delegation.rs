//! Delegations as the owner of the other cell reads them from the store.

mod util;

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex},
    time::{Duration, SystemTime},
};

use teaseltrack::cell::{
    StoredJob,
    delegation::{Delegation, TaskWait, UnplacedTasks},
    job::{JobSpec, Queue, Stage},
    progress::{JobProgress, TaskPhase, TaskProgress},
    protocol::TaskName,
};
use teaseltrack_cell::{
    owner::{
        delegator::{MAX_SEARCHED_STAGES, next_stages, store_delegations, store_ends},
        loader::{follow_jobs, load},
    },
    rows::{Submission, cancellation_key, delegation_key, end_key, progress_key, submission_key},
};
use teaseltrack_daemon::logs::silent;
use tokio::{sync::mpsc, time::timeout};
use util::{Rows, store};

const JOB: &str = "00000000000000aa";

fn delegation(index: u32) -> Delegation {
    let stage = Stage { task_count: 4, is_long_running: true, ..Stage::default() };
    Delegation {
        cell: 1,
        task: TaskName { job: JOB.to_owned(), occurrence: 0, stage: 0, index },
        hand_over: 1,
        attempt: 3,
        checkpoint: String::new(),
        crash_count: 0,
        sole_crash_count: 0,
        wait: TaskWait::default(),
        spec: JobSpec { stages: vec![stage], ..JobSpec::default() },
        queue: Queue::default(),
    }
}

fn submitted() -> Arc<Mutex<Rows>> {
    let mut rows = Rows::default();
    let submission = Submission { spec: delegation(0).spec, ..Submission::default() };
    rows.put(&submission_key(JOB), &serde_json::to_string(&submission).unwrap());
    Arc::new(Mutex::new(rows))
}

/// Load pattern: more stages without room in any cell than one search covers.
#[test]
fn next_stages_reaches_all_stages_in_turn() {
    let count = 3 * MAX_SEARCHED_STAGES as u32 - 1;
    let unplaced: Vec<UnplacedTasks> = (0..count)
        .map(|index| UnplacedTasks {
            service: "service".to_owned(),
            priority: 0,
            stage: Stage::default(),
            tasks: vec![delegation(index).task],
            is_overdue: false,
        })
        .collect();
    let searched: BTreeSet<u32> = (0..3)
        .flat_map(|number| next_stages(unplaced.clone(), number))
        .map(|stage| stage.tasks[0].index)
        .collect();
    assert_eq!(searched.len(), count as usize);
    assert!(next_stages(unplaced, 0).len() <= MAX_SEARCHED_STAGES);
    assert_eq!(next_stages(Vec::new(), 5), []);
}

#[tokio::test(start_paused = true)]
async fn store_delegations_stores_each_once_with_lost_responses() {
    let rows = submitted();
    rows.lock().unwrap().lost_responses = 3;
    let delegations = vec![delegation(0), delegation(1)];
    store_delegations(delegations.clone(), store(&rows), silent()).await;
    store_delegations(delegations, store(&rows), silent()).await;
    for index in 0..2 {
        assert_eq!(rows.lock().unwrap().write_count(&delegation_key(&delegation(index).task)), 1);
    }
}

/// Guards against a second hand-over that is taken for the first one and dropped, and against a row
/// that is stored late in place of a later one.
#[tokio::test(start_paused = true)]
async fn store_delegations_replaces_earlier_hand_overs_alone() {
    let rows = submitted();
    let key = delegation_key(&delegation(0).task);
    let hand_over = |number, cell| Delegation { hand_over: number, cell, ..delegation(0) };
    for next in [hand_over(1, 1), hand_over(2, 2), hand_over(3, 1)] {
        rows.lock().unwrap().lost_responses = 1;
        store_delegations(vec![next.clone()], store(&rows), silent()).await;
        store_delegations(vec![hand_over(1, 1), hand_over(2, 2)], store(&rows), silent()).await;
        let stored = store(&rows).read(&key).await.unwrap().unwrap();
        let last = hand_over(2, 2);
        let expected = if next.hand_over == 1 { last } else { next };
        assert_eq!(stored.parse::<Delegation>().unwrap(), expected);
    }
    assert_eq!(rows.lock().unwrap().write_count(&key), 3);
}

/// Guards against a row that the store never accepts and that keeps the delegations after it back.
#[tokio::test(start_paused = true)]
async fn store_delegations_passes_over_one_that_fails() {
    let rows = submitted();
    let (refused, accepted) = (delegation_key(&delegation(0).task), delegation(1));
    rows.lock().unwrap().refused_key = Some(refused);
    let delegations = vec![delegation(0), accepted.clone()];
    let storing = store_delegations(delegations, store(&rows), silent());
    assert!(timeout(Duration::from_secs(5), storing).await.is_err(), "the first is tried again");
    assert_eq!(rows.lock().unwrap().write_count(&delegation_key(&accepted.task)), 1);
}

/// Guards against an odd row that keeps a task from every cell.
#[tokio::test(start_paused = true)]
async fn store_delegations_replaces_a_row_that_is_no_delegation() {
    let rows = submitted();
    let key = delegation_key(&delegation(0).task);
    rows.lock().unwrap().put(&key, "not JSON");
    store_delegations(vec![delegation(0)], store(&rows), silent()).await;
    let stored = store(&rows).read(&key).await.unwrap().unwrap();
    assert_eq!(stored.parse::<Delegation>().unwrap(), delegation(0));
}

/// Guards against a row that no cell accepts, since its number is out of range, and that no later
/// hand-over can replace.
#[tokio::test(start_paused = true)]
async fn store_delegations_replaces_a_row_that_no_cell_accepts() {
    let rows = submitted();
    let key = delegation_key(&delegation(0).task);
    let odd = Delegation { hand_over: u32::MAX, ..delegation(0) };
    assert!(!odd.is_valid());
    rows.lock().unwrap().put(&key, &serde_json::to_string(&odd).unwrap());
    store_delegations(vec![delegation(0)], store(&rows), silent()).await;
    let stored = store(&rows).read(&key).await.unwrap().unwrap();
    assert_eq!(stored.parse::<Delegation>().unwrap(), delegation(0));
}

/// Guards against a task that comes back to the cell of its job and finds it listed as another cell's.
#[tokio::test(start_paused = true)]
async fn load_keeps_the_job_of_a_task_that_was_handed_back() {
    let rows = submitted();
    let returned = Delegation { cell: 0, hand_over: 2, ..delegation(0) };
    store_delegations(vec![returned.clone()], store(&rows), silent()).await;
    let loaded = load(0, store(&rows), SystemTime::now, silent()).await;
    assert_eq!(loaded.jobs.iter().map(|job| job.is_partial).collect::<Vec<_>>(), [false]);
    assert_eq!(loaded.delegations, [returned]);
}

/// Guards against a cell that forgets the hand-overs of a task once it has handed it on.
#[tokio::test(start_paused = true)]
async fn load_keeps_the_progress_of_tasks_that_were_handed_on() {
    let rows = submitted();
    let passed_on = Delegation { cell: 2, hand_over: 2, ..delegation(0) };
    store_delegations(vec![passed_on], store(&rows), silent()).await;
    let task =
        TaskProgress { phase: TaskPhase::Delegated(2), hand_over: 2, ..TaskProgress::default() };
    let occurrences = vec![vec![vec![task; 4]]];
    let progress = JobProgress { occurrences, ..JobProgress::default() };
    let value = serde_json::to_string(&progress).unwrap();
    rows.lock().unwrap().put(&progress_key(1, JOB), &value);
    let loaded = load(1, store(&rows), SystemTime::now, silent()).await;
    assert_eq!(loaded.delegations, []);
    assert_eq!(loaded.jobs.len(), 1);
    assert_eq!(loaded.jobs[0].progress, Some(progress));
    let uninvolved = load(3, store(&rows), SystemTime::now, silent()).await;
    assert_eq!((uninvolved.jobs.len(), uninvolved.delegations.len()), (0, 0));
}

#[tokio::test(start_paused = true)]
async fn load_restores_delegated_tasks_of_the_cell() {
    let rows = submitted();
    store_delegations(vec![delegation(2)], store(&rows), silent()).await;
    rows.lock().unwrap().put(&delegation_key(&delegation(3).task), "not JSON");
    let mut huge = delegation(1);
    huge.task.occurrence = u32::MAX;
    store_delegations(vec![huge], store(&rows), silent()).await;
    let loaded = load(1, store(&rows), SystemTime::now, silent()).await;
    assert_eq!(loaded.delegations, [delegation(2)]);
    assert_eq!(loaded.jobs.iter().filter(|job| job.is_partial).count(), 1);
    let home = load(0, store(&rows), SystemTime::now, silent()).await;
    assert_eq!((home.jobs.len(), home.delegations.len()), (1, 0));
}

/// The owner of the other cell ignores the cancellation of a job that it doesn't know yet.
#[tokio::test(start_paused = true)]
async fn follow_jobs_drops_delegations_after_a_cancellation() {
    let rows = submitted();
    let (sender, mut changes) = mpsc::channel(16);
    let follower = follow_jobs(1, store(&rows), 1, sender, SystemTime::now, silent());
    let follower = tokio::spawn(follower);
    store_delegations(vec![delegation(0)], store(&rows), silent()).await;
    let mut received = Vec::new();
    while received.is_empty() {
        received = changes.recv().await.expect("the follower runs").delegations;
    }
    assert_eq!(received, [delegation(0)]);
    rows.lock().unwrap().put(&cancellation_key(JOB), "true");
    store_delegations(vec![delegation(1)], store(&rows), silent()).await;
    let late = async {
        loop {
            let changes = changes.recv().await.expect("the follower runs");
            assert_eq!(changes.delegations, [], "a cancelled job was delegated");
        }
    };
    assert!(timeout(Duration::from_secs(5), late).await.is_err());
    follower.abort();
}

#[tokio::test(start_paused = true)]
async fn store_ends_stores_each_once_with_lost_responses() {
    let rows = submitted();
    rows.lock().unwrap().lost_responses = 3;
    let jobs = vec![JOB.to_owned(), "00000000000000ab".to_owned()];
    store_ends(jobs.clone(), store(&rows), silent()).await;
    store_ends(jobs.clone(), store(&rows), silent()).await;
    for job in jobs {
        assert_eq!(rows.lock().unwrap().write_count(&end_key(&job)), 1);
    }
}

/// Guards against an owner that goes on with the tasks of a job that has ended in its own cell, and one that
/// shows its own job as cancelled for that.
#[tokio::test(start_paused = true)]
async fn load_cancels_a_partial_job_that_has_ended() {
    let rows = submitted();
    store_delegations(vec![delegation(2)], store(&rows), silent()).await;
    store_ends(vec![JOB.to_owned()], store(&rows), silent()).await;
    let loaded = load(1, store(&rows), SystemTime::now, silent()).await;
    let states = |jobs: &[StoredJob]| -> Vec<(bool, bool)> {
        jobs.iter().map(|job| (job.is_partial, job.is_cancelled)).collect()
    };
    assert_eq!(states(&loaded.jobs), [(true, true)]);
    let home = load(0, store(&rows), SystemTime::now, silent()).await;
    assert_eq!(states(&home.jobs), [(false, false)]);
    assert!(home.handed_over.contains(JOB), "its owner stores the end again");
}

/// Guards against a hand-over that is read after the job has ended, and ends that owners don't learn of.
#[tokio::test(start_paused = true)]
async fn follow_jobs_drops_delegations_after_an_end() {
    let rows = submitted();
    let (sender, mut changes) = mpsc::channel(16);
    let follower = follow_jobs(1, store(&rows), 1, sender, SystemTime::now, silent());
    let follower = tokio::spawn(follower);
    store_ends(vec![JOB.to_owned()], store(&rows), silent()).await;
    let mut ended = Vec::new();
    while ended.is_empty() {
        ended = changes.recv().await.expect("the follower runs").ended;
    }
    assert_eq!(ended, [JOB]);
    store_delegations(vec![delegation(1)], store(&rows), silent()).await;
    let mut has_hand_over = false;
    let late = async {
        loop {
            let changes = changes.recv().await.expect("the follower runs");
            assert_eq!(changes.delegations, [], "an ended job was delegated");
            has_hand_over |= changes.handed_over.contains(JOB);
        }
    };
    assert!(timeout(Duration::from_secs(5), late).await.is_err());
    assert!(has_hand_over, "the owner of the job's cell learns of the hand-over");
    follower.abort();
}
