//! Submissions and rejections of the same job by several entries, over a store that loses responses
//! and executes calls late.

mod util;

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, SystemTime},
};

use teaseltrack::{
    cell::{
        job::{JobSpec, Queue, Stage},
        partition::{CellEntry, Partition},
    },
    clock::SystemClock,
};
use teaseltrack_cell::{
    calls::{CellClients, KnownOwners},
    entry::{
        CancelOutcome, JobApi, Lookup, SubmitOutcome,
        backlogs::{KnownBacklogs, SubmissionMode},
        submission::{store_rejection, store_submission},
    },
    owner::loader::{follow_jobs, load},
    rows::{JOBS_TABLE, Submission, SubmissionRow, submission_key},
};
use teaseltrack_daemon::{logs::silent, metrics::Metrics};
use teaseltrack_platform::store::{Row, Store, StoreBudget, StoreCall, StoreError};
use tokio::{
    sync::{mpsc, watch},
    time::{Instant, sleep, timeout},
};
use util::{Rows, store};
use xxhash_rust::xxh3::xxh3_64_with_seed;

const JOB: &str = "00000000000000aa";

/// Reproducible choices.
#[derive(Clone, Debug)]
struct Choices {
    seed: u64,
    count: Arc<Mutex<u64>>,
}

impl Choices {
    fn new(seed: u64) -> Self {
        Self { seed, count: Arc::default() }
    }

    fn below(&self, limit: u64) -> u64 {
        let mut count = self.count.lock().unwrap();
        *count += 1;
        xxh3_64_with_seed(&count.to_le_bytes(), self.seed) % limit
    }
}

/// Store of which a call may be refused, answered late, executed without a response, or executed
/// seconds after its caller has given up.
fn faulty_store(rows: &Arc<Mutex<Rows>>, choices: &Choices) -> Store {
    let (rows, choices) = (rows.clone(), choices.clone());
    let lost = || StoreError::Unavailable { message: "no response".to_owned() };
    let adapter = Arc::new(move |call: StoreCall| {
        let (rows, choices) = (rows.clone(), choices.clone());
        let responding: futures::future::BoxFuture<'static, _> = Box::pin(async move {
            // Executed by a task of its own, so that it outlives an entry that ends.
            let delay_ms = if choices.below(4) == 0 { choices.below(6_000) } else { 4 };
            let is_response_lost = choices.below(4) == 0;
            if choices.below(10) == 0 {
                return Err(StoreError::Refused { message: "status 503".to_owned() });
            }
            let execution = tokio::spawn(async move {
                sleep(Duration::from_millis(delay_ms)).await;
                rows.lock().unwrap().call(call)
            });
            let reply = timeout(Duration::from_millis(700), execution).await;
            let reply = reply.map_err(|_| lost())?.unwrap()?;
            if is_response_lost { Err(lost()) } else { Ok(reply) }
        });
        responding
    });
    let budget = StoreBudget { writes_per_s: 1e6, reads_per_s: 1e6 };
    Store::new(adapter, budget, Arc::new(SystemClock))
}

fn submission() -> Submission {
    let stage = Stage { task_count: 4, ..Stage::default() };
    Submission {
        spec: JobSpec { stages: vec![stage], ..JobSpec::default() },
        queue: Queue::default(),
        cell: 0,
    }
}

/// Entry that follows the version of the jobs table.
#[derive(Clone)]
struct Entry {
    store: Store,
    seen_version: Arc<AtomicU64>,
}

impl Entry {
    fn new(store: Store) -> Self {
        let entry = Self { store, seen_version: Arc::default() };
        let follower = entry.clone();
        tokio::spawn(async move {
            while Arc::strong_count(&follower.seen_version) > 1 {
                if let Ok(version) = follower.store.version(JOBS_TABLE).await {
                    follower.seen_version.fetch_max(version, Ordering::Relaxed);
                }
                sleep(Duration::from_millis(500)).await;
            }
        });
        entry
    }

    /// One try, which is accepted or rejected at random.
    async fn try_submit(self, choices: Choices) -> SubmitOutcome {
        let seen_version = self.seen_version.load(Ordering::Relaxed);
        let deadline = (Instant::now() + Duration::from_millis(2_760)).into_std();
        sleep(Duration::from_millis(choices.below(150))).await;
        let job = JOB.to_owned();
        if choices.below(2) == 0 {
            store_submission(&self.store, &job, &submission(), seen_version, deadline).await
        } else {
            store_rejection(&self.store, &job, 1, deadline).await
        }
    }
}

/// Sends a job until it is accepted or the caller gives up, and checks what it was told.
async fn check_caller(seed: u64) {
    let choices = Choices::new(seed);
    let rows = Arc::new(Mutex::new(Rows::default()));
    let mut is_accepted = false;
    let mut is_last_rejected = false;
    let entries = [(); 3].map(|()| Entry::new(faulty_store(&rows, &choices)));
    for _ in 0..6 {
        let entry = entries[choices.below(3) as usize].clone();
        let mut entry = tokio::spawn(entry.try_submit(choices.clone()));
        let patience = Duration::from_millis(100 + choices.below(3_000));
        is_last_rejected = false;
        match timeout(patience, &mut entry).await {
            Ok(outcome) => match outcome.unwrap() {
                SubmitOutcome::Accepted => is_accepted = true,
                SubmitOutcome::Rejected { .. } => {
                    assert!(!is_accepted, "seed {seed}: rejected after it was accepted");
                    is_last_rejected = true;
                    if choices.below(2) == 0 {
                        break;
                    }
                    sleep(Duration::from_millis(1_000)).await;
                }
                SubmitOutcome::Unknown | SubmitOutcome::Refused => {}
                SubmitOutcome::Invalid(error) => panic!("{error}"),
            },
            // The entry ends, or only its connection to the caller does.
            Err(_) if choices.below(2) == 0 => entry.abort(),
            Err(_) => {}
        }
        if is_accepted && choices.below(2) == 0 {
            break;
        }
    }
    sleep(Duration::from_secs(20)).await;
    let rows = rows.lock().unwrap();
    let key = submission_key(JOB);
    let is_accepted_row =
        |row: &Row| matches!(SubmissionRow::parse(row), Ok(SubmissionRow::Accepted(_)));
    let accepted_count = rows.writes(&key).filter(is_accepted_row).count();
    assert!(accepted_count <= 1, "seed {seed}: stored {accepted_count} times");
    assert!(!is_accepted || accepted_count == 1, "seed {seed}: accepted and not stored");
    assert!(!is_last_rejected || accepted_count == 0, "seed {seed}: rejected and stored");
}

/// Guards against jobs that run although their caller was told that they don't, and the reverse.
#[tokio::test(start_paused = true)]
async fn rejection_is_true_with_late_and_lost_calls() {
    for seed in 0..500 {
        check_caller(seed).await;
    }
}

fn rejected_rows() -> Arc<Mutex<Rows>> {
    let mut rows = Rows::default();
    rows.put(&submission_key(JOB), r#"{"rejected":"0123456789abcdef"}"#);
    Arc::new(Mutex::new(rows))
}

#[tokio::test(start_paused = true)]
async fn owner_ignores_a_rejection_until_a_later_try_is_accepted() {
    let rows = rejected_rows();
    let store = store(&rows);
    let loaded = load(0, store.clone(), SystemTime::now, silent()).await;
    assert_eq!(loaded.jobs, []);
    let (sender, mut changes) = mpsc::channel(16);
    tokio::spawn(follow_jobs(0, store, 0, sender, SystemTime::now, silent()));
    assert_eq!(changes.recv().await.unwrap().jobs, []);
    let accepted = serde_json::to_string(&submission()).unwrap();
    rows.lock().unwrap().put(&submission_key(JOB), &accepted);
    let jobs = loop {
        let jobs = changes.recv().await.unwrap().jobs;
        if !jobs.is_empty() {
            break jobs;
        }
    };
    assert_eq!(jobs[0].id, JOB);
}

fn job_api(rows: &Arc<Mutex<Rows>>) -> JobApi {
    let partition = Partition { cells: vec![CellEntry { zone: None, worker_count: 1 }] };
    JobApi {
        store: store(rows),
        clock: Arc::new(SystemClock),
        partition: watch::channel(Some(partition)).1,
        zone: "zone".to_owned(),
        backlogs: KnownBacklogs::default(),
        seen_version: Arc::default(),
        clients: CellClients::default(),
        known_owners: watch::channel(KnownOwners::default()).1,
        logger: silent(),
        metrics: Metrics::scrape_only(),
    }
}

#[tokio::test]
async fn state_and_cancellation_of_a_rejected_job_are_those_of_no_job() {
    let jobs = job_api(&rejected_rows());
    let deadline = std::time::Instant::now() + Duration::from_secs(2);
    assert_eq!(jobs.state(&JOB.to_owned(), deadline).await, Lookup::Absent);
    assert_eq!(jobs.cancel(&JOB.to_owned(), deadline).await, CancelOutcome::NoSuchJob);
}

/// Load pattern: an owner announces a backlog, and stops to.
#[test]
fn next_mode_asks_only_after_a_backlog_was_announced() {
    let backlogs = KnownBacklogs::default();
    let start = std::time::Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    assert_eq!(backlogs.next_mode(0, at(0)), SubmissionMode::Check);
    assert_eq!(backlogs.next_mode(0, at(500)), SubmissionMode::Store);
    assert_eq!(backlogs.next_mode(1, at(500)), SubmissionMode::Check);
    backlogs.note_backlog(0, at(600));
    assert_eq!(backlogs.next_mode(0, at(700)), SubmissionMode::Ask);
    assert_eq!(backlogs.next_mode(0, at(4_000)), SubmissionMode::Check);
    assert!(backlogs.may_have_rejected(at(4_000)));
}
