//! Owners that are cut off from the store, and that are superseded over a real connection.

mod util;

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant, SystemTime},
};

use teaseltrack::{
    cell::{
        job::{JobSpec, Stage},
        ownership::{MAX_EPOCH, OwnershipSettings},
        progress::{JobProgress, JobState, TaskPhase, TaskProgress},
        protocol::{Report, ReportResponse, WorkerStatus},
        succession::{OwnerLeases, Predecessor},
    },
    clock::SystemClock,
};
use teaseltrack_cell::{
    calls::{CallServer, CellClient, KnownOwner, serve_calls},
    candidate::Candidate,
    constants::cell_settings,
    local_owner::LocalOwner,
    owner::OwnerContext,
    rows::{Submission, owner_key, progress_key, submission_key},
};
use teaseltrack_daemon::{logs::silent, metrics::Metrics};
use tokio::{
    net::TcpListener,
    sync::watch,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;
use util::{Rows, operator_source, store_with_cut};
use yare::parameterized;

const JOB: &str = "00000000000000aa";
const LEASE: Duration = Duration::from_millis(1_500);
/// Longer than any wait of these tests.
const GRANT_PERIOD: Duration = Duration::from_secs(60);

/// Process of an instance: it serves calls, and is a candidate for the ownership.
struct Process {
    address: SocketAddr,
    local_owner: LocalOwner,
    is_cut: Arc<AtomicBool>,
    closing: CancellationToken,
}

impl Process {
    async fn start(rows: &Arc<Mutex<Rows>>, instance: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        Self::start_at(listener, rows, instance).await
    }

    async fn start_at(listener: TcpListener, rows: &Arc<Mutex<Rows>>, instance: &str) -> Self {
        let address = listener.local_addr().unwrap();
        let (is_cut, closing) = (Arc::default(), CancellationToken::new());
        let (mailbox, owner) = watch::channel(None);
        let (known_sender, known_owner) = watch::channel(KnownOwner::default());
        let local_owner = LocalOwner::new(instance.to_owned(), Arc::new(SystemClock));
        let server = CallServer { owner, known_owner, local_owner: local_owner.clone() };
        tokio::spawn(serve_calls(listener, server, closing.clone()));
        let candidate = Candidate {
            instance: instance.to_owned(),
            address: address.to_string(),
            started_unix_ms: 1,
            context: OwnerContext {
                cell_id: 0,
                cell_count: 1,
                store: store_with_cut(rows, &is_cut),
                clock: Arc::new(SystemClock),
                wall_now: SystemTime::now,
                cell: cell_settings(LEASE, None),
                ownership: OwnershipSettings {
                    takeover_timeout: Duration::from_millis(900),
                    grant_period: GRANT_PERIOD,
                },
                operator: operator_source(),
                mailbox,
                local_owner: local_owner.clone(),
                logger: silent(),
                metrics: Metrics::scrape_only(),
            },
            known_owner: known_sender,
        };
        let (_, contact) = watch::channel(None);
        tokio::spawn(candidate.run(contact, closing.clone()));
        Self { address, local_owner, is_cut, closing }
    }

    /// Sends a report of the worker's agent.
    async fn report(&self, clock_ms: u64) -> ReportResponse {
        let status = WorkerStatus {
            worker: "lost".to_owned(),
            started_unix_ms: 1,
            ..WorkerStatus::default()
        };
        let report = Report {
            agent: "agent".to_owned(),
            started_unix_ms: 1,
            status: Some(status),
            worker_clock_ms: clock_ms,
            is_worker_reachable: true,
            ..Report::default()
        };
        CellClient::default().report(self.address, report).await.expect("a response")
    }

    /// Reports until the process grants leases.
    async fn wait_for_lease(&self, clock_ms: u64) {
        while self.report(clock_ms).await.lease_until_ms.is_none() {
            sleep(Duration::from_millis(20)).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.closing.cancel();
    }
}

/// Rows of a cell with a task on the worker.
fn rows_of_a_task() -> Arc<Mutex<Rows>> {
    let stage = Stage { task_count: 1, ..Stage::default() };
    let spec = JobSpec { stages: vec![stage], ..JobSpec::default() };
    let task = TaskProgress {
        phase: TaskPhase::Assigned("lost@1".to_owned()),
        attempt: 1,
        ..TaskProgress::default()
    };
    let progress = JobProgress {
        state: JobState::Active,
        occurrences: vec![vec![vec![task]]],
        ..JobProgress::default()
    };
    let submission = Submission { spec, ..Submission::default() };
    let mut rows = Rows::default();
    rows.put(&submission_key(JOB), &serde_json::to_string(&submission).unwrap());
    rows.put(&progress_key(0, JOB), &serde_json::to_string(&progress).unwrap());
    Arc::new(Mutex::new(rows))
}

/// Waits until the task is reclaimed.
async fn wait_for_reclaim(rows: &Mutex<Rows>) -> Instant {
    let is_reclaimed = async {
        while rows.lock().unwrap().write_count(&progress_key(0, JOB)) < 2 {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(Duration::from_secs(20), is_reclaimed).await.expect("the task is reclaimed");
    Instant::now()
}

/// Guards against an owner that grants leases after its successor has taken the cell over, and against a
/// successor that waits for leases which it hasn't granted. The response to the takeover may be lost.
#[parameterized(
    answered = { 0 },
    without_response = { 1 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn take_over_supersedes_an_owner_whose_store_is_cut(lost_responses: u32) {
    let rows = rows_of_a_task();
    let first = Process::start(&rows, "instance-1").await;
    first.wait_for_lease(1_000).await;
    first.is_cut.store(true, Ordering::Relaxed);
    rows.lock().unwrap().lost_responses = lost_responses;
    let second = Process::start(&rows, "instance-2").await;
    let mut granted_at = Instant::now();
    let mut clock_ms = 2_000;
    // The agent knows the first owner only.
    let has_ended = async {
        while first.report(clock_ms).await.lease_until_ms.is_some() {
            granted_at = Instant::now();
            clock_ms += 50;
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(Duration::from_secs(20), has_ended).await.expect("the first owner ends");
    assert!(clock_ms > 2_000 + 500, "it grants leases until it is superseded");
    assert_eq!(rows.lock().unwrap().write_count(&progress_key(0, JOB)), 1);
    let waited = wait_for_reclaim(&rows).await - granted_at;
    assert!(waited >= LEASE, "reclaimed {waited:?} after the last grant");
    assert!(waited < LEASE * 3, "reclaimed {waited:?} after the last grant");
    for _ in 0..10 {
        assert_eq!(first.report(clock_ms).await.lease_until_ms, None);
    }
    drop(second);
    let answer = first.local_owner.supersede(0, 2).await.expect("it has ended");
    let leases = answer.leases.expect("it has run");
    let incarnations = leases.workers.iter().map(|lease| lease.incarnation.as_str());
    assert_eq!((leases.epoch, incarnations.collect::<Vec<_>>()), (1, vec!["lost@1"]));
}

/// Guards against a wait for leases of a process that was restarted, and doesn't know them, while it can't
/// take over the cell itself.
#[tokio::test(flavor = "multi_thread")]
async fn take_over_asks_a_restarted_process() {
    let rows = rows_of_a_task();
    let first = Process::start(&rows, "instance-1").await;
    first.wait_for_lease(1_000).await;
    first.is_cut.store(true, Ordering::Relaxed);
    let address = first.address;
    drop(first);
    let listener = loop {
        if let Ok(listener) = TcpListener::bind(address).await {
            break listener;
        }
        sleep(Duration::from_millis(20)).await;
    };
    let restarted_at = Instant::now();
    let (_, known_owner) = watch::channel(KnownOwner::default());
    let (_mailbox, owner) = watch::channel(None);
    let local_owner = LocalOwner::new("instance-1".to_owned(), Arc::new(SystemClock));
    let server = CallServer { owner, known_owner, local_owner };
    let closing = CancellationToken::new();
    tokio::spawn(serve_calls(listener, server, closing.clone()));
    let _second = Process::start(&rows, "instance-2").await;
    let waited = wait_for_reclaim(&rows).await - restarted_at;
    closing.cancel();
    assert!(waited >= LEASE, "reclaimed after {waited:?}");
}

/// Guards against a second run: another instance at the predecessor's address answers that it has granted
/// nothing.
#[tokio::test(flavor = "multi_thread")]
async fn take_over_ignores_another_instance_at_the_address() {
    let rows = rows_of_a_task();
    let first = Process::start(&rows, "instance-1").await;
    first.wait_for_lease(1_000).await;
    let other = Process::start(&rows, "instance-3").await;
    other.is_cut.store(true, Ordering::Relaxed);
    let owner_row = rows.lock().unwrap().value(&owner_key(0)).unwrap();
    first.is_cut.store(true, Ordering::Relaxed);
    let moved = owner_row.replace(&first.address.to_string(), &other.address.to_string());
    rows.lock().unwrap().put(&owner_key(0), &moved);
    let _second = Process::start(&rows, "instance-2").await;
    sleep(LEASE * 3).await;
    assert!(other.local_owner.begin(0, MAX_EPOCH), "a later owner may begin");
    assert!(!other.local_owner.begin(0, 1), "it was called");
    assert_eq!(rows.lock().unwrap().write_count(&progress_key(0, JOB)), 1);
}

fn local_owner() -> LocalOwner {
    LocalOwner::new("instance-1".to_owned(), Arc::new(SystemClock))
}

/// Guards against an owner that begins after its successor was told that it grants nothing, since the
/// response to its takeover was late.
#[tokio::test]
async fn supersede_bars_earlier_owners_that_have_not_begun() {
    let local = local_owner();
    let answer = local.supersede(0, 6).await.expect("no owner runs");
    assert_eq!((answer.successor_epoch, answer.leases), (6, None));
    assert!(!local.begin(0, 5));
    assert!(local.begin(1, 5), "another cell");
    assert!(local.begin(0, 7));
}

/// Guards against an answer before the owner has ended, and against one that lacks its leases.
#[tokio::test(start_paused = true)]
async fn supersede_waits_for_the_end_of_the_owner() {
    let local = local_owner();
    assert!(local.begin(0, 5));
    let waiting = tokio::spawn({
        let local = local.clone();
        async move { local.supersede(0, 6).await }
    });
    timeout(Duration::from_secs(1), local.wait_until_superseded(0, 5)).await.expect("called");
    sleep(Duration::from_secs(10)).await;
    assert!(!waiting.is_finished(), "the owner hasn't ended");
    let leases = OwnerLeases { epoch: 5, leases_end: Instant::now(), workers: Vec::new() };
    local.end(0, Some(leases));
    let answer = waiting.await.unwrap().expect("ended");
    assert_eq!(answer.leases.map(|leases| leases.epoch), Some(5));
    let repeated = local.supersede(0, 6).await.expect("ended");
    assert_eq!(repeated.leases.map(|leases| leases.epoch), Some(5));
    let foreign = local.supersede(1, 6).await.expect("no owner of the cell");
    assert_eq!(foreign.leases, None);
}

/// Guards against an owner that ends for a predecessor, or for an owner of another cell.
#[tokio::test(start_paused = true)]
async fn supersede_leaves_a_later_owner_and_other_cells_alone() {
    let local = local_owner();
    assert!(local.begin(0, 5));
    let limit = Duration::from_secs(60);
    for epoch in [4, 5, u64::MAX] {
        assert_eq!(timeout(limit, local.supersede(0, epoch)).await, Ok(None));
    }
    assert!(timeout(limit, local.supersede(1, 9)).await.is_ok_and(|answer| answer.is_some()));
    let superseded = local.wait_until_superseded(0, 5);
    assert!(timeout(limit, superseded).await.is_err());
}

/// Guards against a call to an owner that isn't the predecessor, after a takeover without a response.
#[test]
fn predecessor_of_another_epoch_is_unknown() {
    let local = local_owner();
    let predecessor = Predecessor {
        instance: "instance-2".to_owned(),
        address: "127.0.0.1:2".to_owned(),
        epoch: 5,
        earlier_grants_end: Instant::now(),
    };
    local.note_takeover(Some(predecessor.clone()));
    assert_eq!(local.predecessor_of(6), Some(predecessor));
    assert_eq!((local.predecessor_of(5), local.predecessor_of(7)), (None, None));
    local.note_takeover(None);
    assert_eq!(local.predecessor_of(6), None);
}
