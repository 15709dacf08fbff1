//! Rows of another writer among those of a cell: each of a table of odd values, between good rows.

#[path = "util/odd_values.rs"]
mod odd_values;
mod util;

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex},
    time::{Duration, Instant, SystemTime},
};

use odd_values::odd_variants;
use serde::Serialize;
use teaseltrack::{
    cell::{
        Cell, StoredJob,
        delegation::{Delegation, TaskWait},
        evacuation::Evacuations,
        job::{JobSpec, Queue, QueueConfiguration, Schedule, Stage},
        ownership::{MAX_EPOCH, OwnerRecord, SilentWorkerRecord},
        progress::{JobProgress, RunRecord, TaskPhase, TaskProgress, WorkerRecord},
        protocol::{Report, TaskName, WorkerListing, WorkerStatus},
        quote::StageDemand,
    },
    placement::Resources,
};
use teaseltrack_cell::{
    calls::KnownOwners,
    constants::{PARTITION_LIMITS, cell_settings},
    entry::follow_cells,
    owner::loader::{LoadedCell, follow_jobs, load},
    partition::join_partition,
    rows::{
        InstanceRow, PARTITION_KEY, Submission, delegation_key, instance_key, owner_notice_key,
        progress_key, submission_key, worker_key,
    },
};
use teaseltrack_daemon::{logs::silent, metrics::Metrics, odd_entries::OddEntries};
use teaseltrack_platform::store::Store;
use tokio::{
    sync::{mpsc, watch},
    time::timeout,
};
use util::{Rows, store};

/// Jobs whose rows are written before and after the odd ones.
const GOOD_JOBS: [&str; 2] = ["0000000000000000", "ffffffffffffffff"];
const INCARNATION: &str = "worker-1@1";

fn text<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("serializable")
}

fn spec() -> JobSpec {
    let resources = Resources { cpu_milli: 500, memory_mib: 256, accelerators: 0 };
    let stage = Stage { task_count: 2, resources, estimate_ms: 900, ..Stage::default() };
    let last = Stage { after: vec![0], is_gang: true, ..stage.clone() };
    let serving = Stage { is_long_running: true, target_tail_ms: Some(50), ..stage.clone() };
    let schedule = Schedule { first_unix_ms: 5, interval_ms: 1_000, occurrence_count: 3 };
    JobSpec {
        queue: "queue".to_owned(),
        payload: "text".to_owned(),
        stages: vec![stage, last, serving],
        schedule: Some(schedule),
        submitted_unix_ms: 5,
    }
}

fn submission() -> Submission {
    let queue = Queue { name: "queue".to_owned(), stretch: 1.5, ..Queue::default() };
    Submission { spec: spec(), queue, ..Submission::default() }
}

fn progress() -> JobProgress {
    let task = TaskProgress {
        phase: TaskPhase::Assigned(INCARNATION.to_owned()),
        attempt: 2,
        ended_attempt: 1,
        failure_count: 1,
        failed_attempts: vec![1],
        crash_count: 1,
        sole_crash_count: 1,
        crashed_workers: vec!["crashed".to_owned()],
        hand_over: 2,
        checkpoint: "saved".to_owned(),
        other_runs: vec![RunRecord { attempt: 1, worker: INCARNATION.to_owned() }],
    };
    let waiting = vec![TaskProgress { attempt: 1, ..TaskProgress::default() }; 2];
    let occurrence = vec![vec![task.clone(), task], waiting.clone(), waiting];
    JobProgress { occurrences: vec![occurrence], ..JobProgress::default() }
}

fn delegation(job: &str) -> Delegation {
    Delegation {
        cell: 0,
        task: TaskName { job: job.to_owned(), occurrence: 1, stage: 2, index: 1 },
        hand_over: 2,
        attempt: 3,
        checkpoint: "saved".to_owned(),
        crash_count: 1,
        sole_crash_count: 1,
        wait: TaskWait { waited_ms: 1_500, beside_room_ms: 100 },
        spec: spec(),
        queue: Queue::default(),
    }
}

fn worker() -> WorkerRecord {
    let incarnation = INCARNATION.to_owned();
    WorkerRecord { incarnation, started_unix_ms: 1, agent_started_unix_ms: 1 }
}

/// Writes a good row for each of [`GOOD_JOBS`], and the odd variants of the row between them.
fn put_variants(
    rows: &mut Rows,
    key: impl Fn(&str) -> String,
    good: impl Fn(&str) -> String,
    mut beside: impl FnMut(&mut Rows, &str),
) {
    let [first, last] = GOOD_JOBS;
    rows.put(&key(first), &good(first));
    beside(rows, first);
    for (number, variant) in odd_variants(&good("aaaaaaaaaaaaaaaa")).iter().enumerate() {
        let job = format!("aaaaaaaa{number:08x}");
        rows.put(&key(&job), variant);
        beside(rows, &job);
    }
    rows.put(&key(last), &good(last));
    beside(rows, last);
}

/// Rows of one kind, with the odd variants of that kind.
fn odd_rows(kind: &str) -> Rows {
    let mut rows = Rows::default();
    let submit = |rows: &mut Rows, job: &str| rows.put(&submission_key(job), &text(&submission()));
    let nothing = |_: &mut Rows, _: &str| {};
    match kind {
        "submission" => put_variants(&mut rows, submission_key, |_| text(&submission()), nothing),
        "progress" => {
            put_variants(&mut rows, |job| progress_key(0, job), |_| text(&progress()), submit);
        }
        "worker" => {
            let key = |job: &str| worker_key(0, &job.to_owned());
            put_variants(&mut rows, key, |_| text(&worker()), submit);
        }
        _ => {
            let key = |job: &str| delegation_key(&delegation(job).task);
            put_variants(&mut rows, key, |job| text(&delegation(job)), nothing);
        }
    }
    rows
}

fn has_good_entries(kind: &str, loaded: &LoadedCell) -> bool {
    GOOD_JOBS.iter().all(|good| match kind {
        "submission" => loaded.jobs.iter().any(|job| job.id == *good && job.spec == spec()),
        "progress" => {
            let expected = Some(progress());
            loaded.jobs.iter().any(|job| job.id == *good && job.progress == expected)
        }
        "worker" => loaded.workers.contains(&((*good).to_owned(), worker())),
        _ => loaded.delegations.contains(&delegation(good)),
    })
}

/// Runs an owner's decisions on the loaded state: reports of a worker, planning and commits.
fn run_cell(loaded: LoadedCell) {
    let start = Instant::now();
    let settings = cell_settings(Duration::from_secs(5), None);
    let mut cell = Cell::new(0, settings, 3, QueueConfiguration::default(), start);
    let none = Evacuations { version: 1, zones: BTreeSet::new(), current_at: start };
    cell.apply_evacuations(none, start);
    cell.adopt_workers(loaded.workers);
    for job in loaded.jobs {
        cell.admit(job, start);
    }
    for delegation in loaded.delegations {
        cell.admit_delegation(delegation, start);
    }
    let (mut session, demand) = (0, StageDemand::of(&spec().stages[0]));
    for step in 1..20 {
        let now = start + Duration::from_secs(step);
        let resources = Resources { cpu_milli: 16_000, memory_mib: 1 << 15, accelerators: 1 };
        let status = WorkerStatus {
            worker: "worker-1".to_owned(),
            started_unix_ms: 1,
            capacity: resources,
            ..WorkerStatus::default()
        };
        let report = Report {
            agent: "agent-1".to_owned(),
            started_unix_ms: 1,
            session,
            status: Some(status),
            worker_clock_ms: step * 1_000,
            is_worker_reachable: true,
            listing: Some(WorkerListing { running: Some(Vec::new()), ended: Vec::new() }),
            ..Report::default()
        };
        session = cell.handle_report(report, true, now).session;
        cell.tick(now);
        cell.plan(u64::from(u32::MAX) * 1_000 + step * 1_000, now);
        cell.quote(std::slice::from_ref(&demand), "service", now);
        if cell.next_commit(90).is_some() {
            cell.commit_succeeded();
        }
    }
}

/// Store with the rows, and the metrics in which it counts odd ones.
fn counting_store(rows: &Arc<Mutex<Rows>>) -> (Store, Metrics) {
    let metrics = Metrics::scrape_only();
    (store(rows).with_odd_entries(OddEntries::new(metrics.clone(), silent())), metrics)
}

fn odd_count(metrics: &Metrics) -> u64 {
    let text = metrics.text().expect("text");
    let count = text.lines().find_map(|line| {
        line.strip_prefix("teaseltrack_odd_entries_total{kind=\"row\"} ")?.parse().ok()
    });
    count.unwrap_or(0)
}

/// Guards against a cell that never loads, or whose owner ends again and again, because of one row: a
/// row of another shape ended the owner, and so did numbers near the end of their type.
#[yare::parameterized(
    submission = { "submission" },
    progress = { "progress" },
    worker = { "worker" },
    delegation = { "delegation" },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn load_keeps_the_good_rows_beside_odd_ones(kind: &str) {
    let rows = Arc::new(Mutex::new(odd_rows(kind)));
    let (store, metrics) = counting_store(&rows);
    let loaded = load(0, store.clone(), SystemTime::now, silent()).await;
    assert!(has_good_entries(kind, &loaded));
    let count = odd_count(&metrics);
    assert!(count > 50, "{count} odd rows counted");
    run_cell(loaded);
    load(0, store, SystemTime::now, silent()).await;
    // The reporter remembers a bounded number of rows.
    assert!(count > 1_000 || odd_count(&metrics) == count, "counted again");
}

/// Guards against an owner that stops following submissions, or ends, because of one row.
#[tokio::test(start_paused = true)]
async fn follow_jobs_keeps_the_good_rows_beside_odd_ones() {
    for kind in ["submission", "delegation"] {
        let rows = Arc::new(Mutex::new(odd_rows(kind)));
        let (sender, mut changes) = mpsc::channel(16);
        let follower = follow_jobs(0, store(&rows), 0, sender, SystemTime::now, silent());
        let follower = tokio::spawn(follower);
        let changes = changes.recv().await.expect("the follower runs");
        let found: Vec<&str> = if kind == "submission" {
            changes.jobs.iter().map(|job: &StoredJob| &*job.id).collect()
        } else {
            changes.delegations.iter().map(|delegation| &*delegation.task.job).collect()
        };
        assert!(GOOD_JOBS.iter().all(|good| found.contains(good)), "{kind}");
        follower.abort();
    }
}

/// Guards against an entry that calls an owner which has been replaced, because of the row of another
/// cell or an odd row of this one: neither the rows at its start nor the later ones were followed.
#[tokio::test(start_paused = true)]
async fn follow_cells_keeps_the_good_notices_beside_odd_ones() {
    let record = |epoch: u64| OwnerRecord {
        epoch,
        owner: "instance-1".to_owned(),
        address: format!("127.0.0.1:{epoch}"),
        silent_workers: vec![SilentWorkerRecord::default()],
        ..OwnerRecord::default()
    };
    let rows = Arc::new(Mutex::new(Rows::default()));
    let cells = "{\"cells\":[{\"worker_count\":1},{\"worker_count\":1},{\"worker_count\":1}]}";
    rows.lock().unwrap().put(PARTITION_KEY, cells);
    rows.lock().unwrap().put(&owner_notice_key(0), &text(&record(100)));
    rows.lock().unwrap().put(&owner_notice_key(1), "not JSON");
    rows.lock().unwrap().put(&owner_notice_key(2), &text(&record(100)));
    let (partition, _partition) = watch::channel(None);
    let (owners, mut known) = watch::channel(KnownOwners::default());
    let follower = tokio::spawn(follow_cells(store(&rows), partition, owners, silent()));
    let is_known = |epoch: u64, cell: u32| {
        move |owners: &KnownOwners| owners.get(&cell).is_some_and(|known| known.epoch == epoch)
    };
    for cell in [0, 2] {
        let found = timeout(Duration::from_secs(5), known.wait_for(is_known(100, cell))).await;
        assert!(found.is_ok(), "cell {cell} at the start");
    }
    for variant in odd_variants(&text(&record(7))) {
        rows.lock().unwrap().put(&owner_notice_key(0), &variant);
    }
    rows.lock().unwrap().put(&owner_notice_key(0), &text(&record(101)));
    let found = timeout(Duration::from_secs(5), known.wait_for(is_known(101, 0))).await;
    assert!(found.is_ok(), "the later row");
    follower.abort();
}

/// Guards against a fleet that is never partitioned because of one row.
#[tokio::test(start_paused = true)]
async fn join_partition_counts_the_good_instances_beside_odd_ones() {
    let rows = Arc::new(Mutex::new(Rows::default()));
    let good = text(&InstanceRow { zone: "zone-1".to_owned() });
    for (number, variant) in odd_variants(&good).iter().enumerate() {
        rows.lock().unwrap().put(&instance_key(&format!("instance-{number}")), variant);
    }
    let (instance, zone) = ("instance-a".to_owned(), "zone-1".to_owned());
    let (store, logger) = (store(&rows), silent());
    let joining = join_partition(&store, &instance, &zone, PARTITION_LIMITS, &logger);
    let partition = timeout(Duration::from_secs(20), joining).await.expect("decided");
    assert_eq!(partition.cells.len(), 1);
}

/// Guards against an overflow of the lease of a worker whose clock reads the end of its type.
#[test]
fn handle_report_survives_the_highest_clock_and_epoch() {
    let now = Instant::now();
    let settings = cell_settings(Duration::from_secs(5), None);
    let mut cell = Cell::new(0, settings, MAX_EPOCH, QueueConfiguration::default(), now);
    for _ in 0..2 {
        let status =
            Some(WorkerStatus { worker: "worker-1".to_owned(), ..WorkerStatus::default() });
        let agent = "agent-1".to_owned();
        let report = Report {
            agent,
            status,
            worker_clock_ms: u64::MAX,
            is_worker_reachable: true,
            ..Report::default()
        };
        assert!(cell.handle_report(report, true, now).lease_until_ms.is_some());
    }
}
