//! Takeovers by a candidate, with a simulated store.

mod util;

use std::{
    sync::{Arc, Mutex},
    time::{Duration, SystemTime},
};

use teaseltrack::{
    cell::{
        job::{JobSpec, Stage},
        ownership::{OwnerRecord, OwnershipSettings},
        progress::{JobProgress, JobState, TaskPhase, TaskProgress},
        protocol::{Report, WorkerStatus},
    },
    clock::SystemClock,
};
use teaseltrack_cell::{
    calls::{InboundCall, KnownOwner},
    candidate::Candidate,
    constants::cell_settings,
    local_owner::LocalOwner,
    owner::OwnerContext,
    rows::{Submission, owner_key, progress_key, submission_key},
};
use teaseltrack_daemon::{logs::silent, metrics::Metrics};
use tokio::{
    sync::{oneshot, watch},
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;
use util::{Rows, operator_source, store};
use yare::parameterized;

const JOB: &str = "00000000000000aa";
const OWNER: &str = "instance-1";
const LEASE: Duration = Duration::from_millis(100);

/// Rows of a cell with a task on a worker that no longer exists.
fn rows_of_a_lost_worker(owner: &OwnerRecord) -> Arc<Mutex<Rows>> {
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
    rows.put(&owner_key(0), &serde_json::to_string(owner).unwrap());
    rows.put(&submission_key(JOB), &serde_json::to_string(&submission).unwrap());
    rows.put(&progress_key(0, JOB), &serde_json::to_string(&progress).unwrap());
    Arc::new(Mutex::new(rows))
}

fn candidate(rows: &Arc<Mutex<Rows>>) -> Candidate {
    Candidate {
        instance: OWNER.to_owned(),
        address: "127.0.0.1:1".to_owned(),
        started_unix_ms: 2,
        context: OwnerContext {
            cell_id: 0,
            cell_count: 1,
            store: store(rows),
            clock: Arc::new(SystemClock),
            wall_now: SystemTime::now,
            cell: cell_settings(LEASE, None),
            ownership: OwnershipSettings {
                takeover_timeout: Duration::from_millis(300),
                grant_period: Duration::from_secs(60),
            },
            operator: operator_source(),
            mailbox: watch::channel(None).0,
            local_owner: LocalOwner::new(OWNER.to_owned(), Arc::new(SystemClock)),
            logger: silent(),
            metrics: Metrics::scrape_only(),
        },
        known_owner: watch::channel(KnownOwner::default()).0,
    }
}

/// Guards against a restarted owner that waits for leases which its earlier process can't have
/// granted any more.
#[tokio::test]
async fn take_over_after_a_restart_does_not_wait_for_the_grant_period() {
    let owner = OwnerRecord {
        epoch: 3,
        owner: OWNER.to_owned(),
        address: "127.0.0.1:1".to_owned(),
        started_unix_ms: 1,
        previous_grants_remaining_ms: Some(0),
        ..OwnerRecord::default()
    };
    let rows = rows_of_a_lost_worker(&owner);
    let closing = CancellationToken::new();
    let (_contact, contact) = watch::channel(None);
    tokio::spawn(candidate(&rows).run(contact, closing.clone()));
    let is_reclaimed = async {
        while rows.lock().unwrap().write_count(&progress_key(0, JOB)) < 2 {
            sleep(Duration::from_millis(20)).await;
        }
    };
    let reclaimed = timeout(Duration::from_secs(20), is_reclaimed).await;
    closing.cancel();
    assert!(reclaimed.is_ok(), "the task still waits for the lease of its lost worker");
}

/// Guards against a wait for grants of an owner that ended before its first commit: it has granted
/// nothing. One of an earlier build doesn't say so.
#[parameterized(
    no_grants = { true },
    maybe_granted = { false },
)]
fn take_over_waits_for_the_grants_of_an_owner_that_has_committed(has_no_grants: bool) {
    let brief = OwnerRecord {
        epoch: 3,
        owner: "instance-9".to_owned(),
        address: "127.0.0.1:9".to_owned(),
        started_unix_ms: 1,
        has_no_grants,
        previous_grants_remaining_ms: Some(0),
        ..OwnerRecord::default()
    };
    let rows = rows_of_a_lost_worker(&brief);
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    let is_reclaimed = runtime.block_on(async {
        let closing = CancellationToken::new();
        let (_contact, contact) = watch::channel(None);
        tokio::spawn(candidate(&rows).run(contact, closing.clone()));
        let reclaimed = async {
            while rows.lock().unwrap().write_count(&progress_key(0, JOB)) < 2 {
                sleep(Duration::from_millis(20)).await;
            }
        };
        let is_reclaimed = timeout(Duration::from_secs(6), reclaimed).await.is_ok();
        closing.cancel();
        is_reclaimed
    });
    assert_eq!(is_reclaimed, has_no_grants);
}

/// Guards against a second run of a task whose worker has a lease from an owner of an earlier build, which
/// grants leases for longer than this one.
#[parameterized(
    earlier_build = { None, false },
    same_build = { Some(300), true },
)]
fn take_over_waits_for_the_grant_period_of_the_owner(
    grant_period_ms: Option<u64>,
    is_expected_soon: bool,
) {
    let cut_off = OwnerRecord {
        epoch: 3,
        owner: "instance-9".to_owned(),
        address: "127.0.0.1:9".to_owned(),
        started_unix_ms: 1,
        grant_period_ms,
        previous_grants_remaining_ms: Some(0),
        ..OwnerRecord::default()
    };
    let rows = rows_of_a_lost_worker(&cut_off);
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    let is_reclaimed = runtime.block_on(async {
        let closing = CancellationToken::new();
        let (_contact, contact) = watch::channel(None);
        let mut candidate = candidate(&rows);
        candidate.context.ownership.grant_period = Duration::from_millis(300);
        tokio::spawn(candidate.run(contact, closing.clone()));
        let reclaimed = async {
            while rows.lock().unwrap().write_count(&progress_key(0, JOB)) < 2 {
                sleep(Duration::from_millis(20)).await;
            }
        };
        let is_reclaimed = timeout(Duration::from_millis(3_500), reclaimed).await.is_ok();
        closing.cancel();
        is_reclaimed
    });
    assert_eq!(is_reclaimed, is_expected_soon);
}

/// Guards against a lease that the next owner doesn't expect: the row says that none was granted until
/// the first commit after the takeover.
#[parameterized(
    committed = { 4, true },
    not_committed = { 2, false },
)]
fn report_gets_no_lease_before_the_first_commit(max_owner_writes: usize, is_granted: bool) {
    let released = OwnerRecord { epoch: 3, is_released: true, ..OwnerRecord::default() };
    let rows = rows_of_a_lost_worker(&released);
    rows.lock().unwrap().limited_key = Some((owner_key(0), max_owner_writes));
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    let lease_until_ms = runtime.block_on(async {
        let closing = CancellationToken::new();
        let (_contact, contact) = watch::channel(None);
        let (mailbox, mut owner) = watch::channel(None);
        let mut candidate = candidate(&rows);
        candidate.context.mailbox = mailbox;
        tokio::spawn(candidate.run(contact, closing.clone()));
        let calls = owner.wait_for(Option::is_some).await.expect("owner").clone().expect("owner");
        sleep(Duration::from_millis(200)).await;
        let report = Report {
            agent: "instance-2".to_owned(),
            started_unix_ms: 1,
            status: Some(WorkerStatus { worker: "other".to_owned(), ..WorkerStatus::default() }),
            worker_clock_ms: 1_000,
            is_worker_reachable: true,
            ..Report::default()
        };
        let (reply, response) = oneshot::channel();
        let call = InboundCall::Report(Box::new(report), reply);
        assert!(calls.send(call).await.is_ok());
        let response = response.await.expect("response");
        closing.cancel();
        response.lease_until_ms
    });
    assert_eq!(lease_until_ms.is_some(), is_granted);
}

/// Rows of a cell that a candidate has just taken over from an owner that was cut off from the store,
/// and that may still grant leases; the candidate's process has then been killed or shut down.
async fn rows_after_two_owners(is_killed: bool) -> Arc<Mutex<Rows>> {
    let cut_off = OwnerRecord {
        epoch: 2,
        owner: "instance-9".to_owned(),
        address: "127.0.0.1:9".to_owned(),
        started_unix_ms: 1,
        ..OwnerRecord::default()
    };
    let rows = rows_of_a_lost_worker(&cut_off);
    let closing = CancellationToken::new();
    let (_contact, contact) = watch::channel(None);
    let second = tokio::spawn(candidate(&rows).run(contact, closing.clone()));
    wait_for_owner_writes(&rows, 2).await;
    if is_killed {
        second.abort();
    } else {
        closing.cancel();
    }
    drop(second.await);
    rows
}

async fn wait_for_owner_writes(rows: &Mutex<Rows>, count: usize) {
    while rows.lock().unwrap().write_count(&owner_key(0)) < count {
        sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a second run of a task whose worker has a lease from an owner that doesn't know yet
/// that it was replaced, after its successor has restarted.
#[tokio::test]
async fn take_over_after_a_restart_waits_for_the_leases_of_an_earlier_owner() {
    let rows = rows_after_two_owners(true).await;
    let restarted = Candidate { started_unix_ms: 3, ..candidate(&rows) };
    assert_no_reclaim(&rows, restarted).await;
}

/// Guards against a second run of a task whose worker has a lease from an owner that doesn't know yet
/// that it was replaced, after its successor has released the cell.
#[tokio::test]
async fn take_over_after_a_release_waits_for_the_leases_of_an_earlier_owner() {
    let rows = rows_after_two_owners(false).await;
    let third = Candidate { instance: "instance-2".to_owned(), ..candidate(&rows) };
    assert_no_reclaim(&rows, third).await;
}

async fn assert_no_reclaim(rows: &Arc<Mutex<Rows>>, third: Candidate) {
    let write_count = rows.lock().unwrap().write_count(&owner_key(0));
    let (_contact, contact) = watch::channel(None);
    let closing = CancellationToken::new();
    tokio::spawn(third.run(contact, closing.clone()));
    wait_for_owner_writes(rows, write_count + 1).await;
    sleep(Duration::from_secs(3)).await;
    closing.cancel();
    let progress_writes = rows.lock().unwrap().write_count(&progress_key(0, JOB));
    assert_eq!(progress_writes, 1, "reclaimed while the first owner may still grant a lease");
}
