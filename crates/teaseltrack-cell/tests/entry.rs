//! Submissions and cancellations of the same job by several entries.

mod util;

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant, SystemTime},
};

use teaseltrack::{
    cell::{
        job::{JobSpec, Queue, Stage},
        partition::{CellEntry, Partition},
        progress::JobState,
    },
    clock::SystemClock,
};
use teaseltrack_cell::{
    calls::{CellClients, KnownOwners},
    entry::{CancelOutcome, JobApi, KnownPeriods, Lookup, SubmitOutcome},
    owner::{
        loader::load,
        withdrawals::{PERIOD, delete_withdrawn_jobs},
    },
    rows::{Submission, cancellation_key, submission_key, withdrawal_key},
};
use teaseltrack_daemon::{logs::silent, metrics::Metrics};
use teaseltrack_platform::store::{Store, StoreBudget, StoreCall, StoreError, Transaction};
use tokio::{
    sync::watch,
    time::{self, sleep},
};
use util::{Rows, store};

const JOB: &str = "00000000000000aa";

/// Commits of an entry that a partition holds up.
type HeldCommits = Arc<Mutex<Vec<Transaction>>>;

fn entry(store: Store) -> JobApi {
    let partition = Partition { cells: vec![CellEntry { zone: None, worker_count: 1 }] };
    JobApi {
        store,
        clock: Arc::new(SystemClock),
        partition: watch::channel(Some(partition)).1,
        clients: CellClients::default(),
        periods: KnownPeriods::default(),
        known_owners: watch::channel(KnownOwners::default()).1,
        logger: silent(),
        metrics: Metrics::scrape_only(),
    }
}

/// Entry whose calls get no response, and whose commits are held up.
fn cut_entry(held: &HeldCommits) -> JobApi {
    let held = held.clone();
    let adapter = Arc::new(move |call| {
        if let StoreCall::Commit(transaction) = call {
            held.lock().unwrap().push(transaction);
        }
        let responding: futures::future::BoxFuture<'static, _> = Box::pin(async {
            sleep(Duration::from_millis(300)).await;
            Err(StoreError::Unavailable { message: "no response in time".to_owned() })
        });
        responding
    });
    let budget = StoreBudget { writes_per_s: 1e6, reads_per_s: 1e6 };
    entry(Store::new(adapter, budget, Arc::new(SystemClock)))
}

/// Delivers what a partition has held up.
async fn release(held: &HeldCommits, rows: &Arc<Mutex<Rows>>) {
    let store = store(rows);
    let transactions = std::mem::take(&mut *held.lock().unwrap());
    for transaction in transactions {
        store.commit(transaction).await.unwrap();
    }
}

fn deadline() -> Instant {
    // The deadline is one of the paused clock.
    (time::Instant::now() + Duration::from_millis(900)).into_std()
}

async fn submit(entry: &JobApi) -> SubmitOutcome {
    let spec =
        JobSpec { stages: vec![Stage { task_count: 2, ..Stage::default() }], ..JobSpec::default() };
    entry.submit(&JOB.to_owned(), spec, &Queue::default(), deadline()).await
}

async fn cancel(entry: &JobApi) -> CancelOutcome {
    entry.cancel(&JOB.to_owned(), deadline()).await
}

async fn state(entry: &JobApi) -> Lookup<JobState> {
    entry.state(&JOB.to_owned(), deadline()).await
}

/// Number of jobs that a new owner would run.
async fn open_job_count(rows: &Arc<Mutex<Rows>>) -> usize {
    let loaded = load(0, store(rows), SystemTime::now, silent()).await;
    loaded.jobs.iter().filter(|job| !job.is_cancelled).count()
}

/// Guards against a job that runs although its cancellation was acknowledged, since a partition held up the
/// call that stores it.
#[tokio::test(start_paused = true)]
async fn submit_that_is_held_up_stores_nothing_after_a_cancellation() {
    let (rows, held) = (Arc::new(Mutex::new(Rows::default())), HeldCommits::default());
    let (cut, other) = (cut_entry(&held), entry(store(&rows)));
    assert_eq!(submit(&cut).await, SubmitOutcome::Unknown);
    assert_eq!(cancel(&other).await, CancelOutcome::NoSuchJob);
    release(&held, &rows).await;
    assert_eq!(open_job_count(&rows).await, 0);
    assert_eq!(state(&other).await, Lookup::Absent);
    assert_eq!(submit(&other).await, SubmitOutcome::Withdrawn);
    assert_eq!(cancel(&other).await, CancelOutcome::NoSuchJob);
    assert_eq!(open_job_count(&rows).await, 0);
}

/// Guards against a job that is stored twice, or that is shown as cancelled without a cancellation.
#[tokio::test(start_paused = true)]
async fn submit_that_is_repeated_remains_one_job_around_a_cancellation() {
    let (rows, held) = (Arc::new(Mutex::new(Rows::default())), HeldCommits::default());
    let (cut, other) = (cut_entry(&held), entry(store(&rows)));
    assert_eq!(submit(&cut).await, SubmitOutcome::Unknown);
    assert_eq!(submit(&other).await, SubmitOutcome::Accepted);
    release(&held, &rows).await;
    assert_eq!(submit(&other).await, SubmitOutcome::Accepted);
    assert_eq!(state(&other).await, Lookup::Found(JobState::Queued));
    assert_eq!(open_job_count(&rows).await, 1);
    assert_eq!(cancel(&other).await, CancelOutcome::Cancelled);
    assert_eq!(cancel(&other).await, CancelOutcome::Cancelled);
    assert_eq!(submit(&other).await, SubmitOutcome::Accepted);
    assert_eq!(state(&other).await, Lookup::Found(JobState::Cancelled));
    assert_eq!(open_job_count(&rows).await, 0);
}

/// Guards against a cancellation without effect on a job that is stored at the same moment.
#[yare::parameterized(
    before = { 0 },
    between_read_and_commit = { 2 },
    after = { 6 },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn cancel_beside_a_submission_leaves_no_open_job(submitted_after_ms: u64) {
    let rows = Arc::new(Mutex::new(Rows::default()));
    let (first, second) = (entry(store(&rows)), entry(store(&rows)));
    let (submitted, cancelled) = tokio::join!(
        async {
            sleep(Duration::from_millis(submitted_after_ms)).await;
            submit(&first).await
        },
        cancel(&second),
    );
    let is_stored = submitted == SubmitOutcome::Accepted;
    assert!(is_stored || submitted == SubmitOutcome::Withdrawn, "{submitted:?}");
    assert_eq!(cancelled == CancelOutcome::Cancelled, is_stored);
    assert_eq!(open_job_count(&rows).await, 0);
}

/// Guards against an outcome that is taken from the call that was lost.
#[tokio::test(start_paused = true)]
async fn cancel_with_lost_responses_keeps_its_outcome() {
    let rows = Arc::new(Mutex::new(Rows::default()));
    let entry = entry(store(&rows));
    rows.lock().unwrap().lost_responses = 1;
    assert_eq!(cancel(&entry).await, CancelOutcome::NoSuchJob);
    rows.lock().unwrap().lost_responses = 1;
    assert_eq!(submit(&entry).await, SubmitOutcome::Withdrawn);
}

/// Guards against rows that stay for good, and against a delayed call that stores the job once they are gone.
/// `owner_count` owners run at the same time, which take over one after the other.
#[yare::parameterized(one_owner = { 1 }, overlapping_owners = { 3 })]
#[test_macro(tokio::test(start_paused = true))]
async fn delete_withdrawn_jobs_ends_the_calls_before_it(owner_count: u64) {
    let (rows, held) = (Arc::new(Mutex::new(Rows::default())), HeldCommits::default());
    let (cut, other) = (cut_entry(&held), entry(store(&rows)));
    for _ in 0..owner_count {
        tokio::spawn(delete_withdrawn_jobs(store(&rows), silent()));
        sleep(PERIOD.mul_f64(0.3)).await;
    }
    assert_eq!(submit(&cut).await, SubmitOutcome::Unknown);
    assert_eq!(cancel(&other).await, CancelOutcome::NoSuchJob);
    let withdrawn_at = time::Instant::now();
    let is_listed = || {
        let rows = rows.lock().unwrap();
        let keys = [submission_key(JOB), cancellation_key(JOB), withdrawal_key(JOB)];
        let count = keys.iter().filter(|key| rows.value(key).is_some()).count();
        assert!(count == 0 || count == 3);
        count > 0
    };
    while is_listed() {
        sleep(PERIOD / 100).await;
    }
    assert!(withdrawn_at.elapsed() >= PERIOD && withdrawn_at.elapsed() < PERIOD * 3);
    release(&held, &rows).await;
    assert_eq!(open_job_count(&rows).await, 0);
    // A new submission by a caller is a new job.
    assert_eq!(submit(&other).await, SubmitOutcome::Accepted);
}

/// Guards against submissions that fail since a period has begun of which the entry doesn't know.
#[tokio::test(start_paused = true)]
async fn submit_in_a_new_period_is_accepted() {
    let rows = Arc::new(Mutex::new(Rows::default()));
    let entry = entry(store(&rows));
    tokio::spawn(delete_withdrawn_jobs(store(&rows), silent()));
    sleep(PERIOD * 2).await;
    rows.lock().unwrap().failing_reads = 1;
    assert_eq!(submit(&entry).await, SubmitOutcome::Accepted);
    assert_eq!(open_job_count(&rows).await, 1);
}

/// Guards against a cleaner that takes more than a transaction may have.
#[tokio::test(start_paused = true)]
async fn delete_withdrawn_jobs_deletes_many() {
    let rows = Arc::new(Mutex::new(Rows::default()));
    let entry = entry(store(&rows));
    for number in 0..200 {
        let job = format!("{number:016x}");
        assert_eq!(entry.cancel(&job, deadline()).await, CancelOutcome::NoSuchJob);
    }
    tokio::spawn(delete_withdrawn_jobs(store(&rows), silent()));
    sleep(PERIOD * 3).await;
    for number in 0..200 {
        assert_eq!(rows.lock().unwrap().value(&submission_key(&format!("{number:016x}"))), None);
    }
}

/// Guards against an owner of an earlier build that runs a withdrawn job, or reports its row.
#[test]
fn withdrawn_submission_belongs_to_no_cell_for_earlier_builds() {
    #[derive(serde::Deserialize)]
    struct EarlierSubmission {
        spec: JobSpec,
        queue: Queue,
        cell: u32,
    }
    let text = serde_json::to_string(&Submission::withdrawn()).unwrap();
    let EarlierSubmission { spec, queue, cell } = serde_json::from_str(&text).unwrap();
    assert_eq!((spec, queue, cell), (JobSpec::default(), Queue::default(), u32::MAX));
}
