//! Delegations as the owner of the other cell reads them from the store.

mod util;

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex},
    time::{Duration, SystemTime},
};

use teaseltrack::cell::{
    delegation::{Delegation, UnplacedTasks},
    job::{JobSpec, Queue, Stage},
    protocol::TaskName,
};
use teaseltrack_cell::{
    owner::{
        delegator::{MAX_SEARCHED_STAGES, next_stages, store_delegations},
        loader::{follow_jobs, load},
    },
    rows::{Submission, cancellation_key, delegation_key, submission_key},
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
        attempt: 3,
        checkpoint: String::new(),
        crash_count: 0,
        sole_crash_count: 0,
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
    let unplaced: Vec<UnplacedTasks> = (0..11)
        .map(|index| UnplacedTasks {
            service: "service".to_owned(),
            stage: Stage::default(),
            tasks: vec![delegation(index).task],
        })
        .collect();
    let searched: BTreeSet<u32> = (0..3)
        .flat_map(|number| next_stages(unplaced.clone(), number))
        .map(|stage| stage.tasks[0].index)
        .collect();
    assert_eq!(searched.len(), 11);
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
