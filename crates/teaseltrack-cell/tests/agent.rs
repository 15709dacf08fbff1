//! Tests of the agent's async task with a worker that restarts while responses are in flight.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use teaseltrack::{
    cell::protocol::{ReportResponse, WorkerListing, WorkerStatus},
    clock::SystemClock,
};
use teaseltrack_cell::{
    agent::{AGENT_MAILBOX_SIZE, AgentContext, AgentEvent, Heartbeat, run_agent},
    calls::KnownOwner,
    worker_port::{AddressedCall, WorkerCall, WorkerResponse},
};
use teaseltrack_daemon::{logs::silent, metrics::Metrics};
use tokio::{
    sync::{mpsc, watch},
    time::timeout,
};
use tokio_util::sync::CancellationToken;

/// Far longer than the agent needs to handle an event, so that the test passes on a loaded machine.
const TIMEOUT: Duration = Duration::from_secs(20);

fn status(started_unix_ms: u64) -> WorkerStatus {
    WorkerStatus { worker: "worker".to_owned(), started_unix_ms, ..WorkerStatus::default() }
}

fn heartbeat(started_unix_ms: u64) -> AgentEvent {
    AgentEvent::Heartbeat(Heartbeat { status: status(started_unix_ms), clock_ms: Some(1_000) })
}

fn reported(started_unix_ms: u64, session: u64, forget_until: u64) -> AgentEvent {
    let response = ReportResponse { epoch: 1, session, forget_until, ..ReportResponse::default() };
    AgentEvent::Reported {
        incarnation: status(started_unix_ms).incarnation(),
        is_poll: false,
        refused_count: 0,
        response: Some(Box::new(response)),
    }
}

/// Waits for a sync call under a session; returns the number up to which ends may be discarded.
async fn next_sync(syncs: &mut mpsc::UnboundedReceiver<(u64, u64)>, session: u64) -> u64 {
    let sync = async {
        loop {
            let (call_session, forget_until) = syncs.recv().await.expect("agent task ended");
            if call_session == session {
                return forget_until;
            }
        }
    };
    timeout(TIMEOUT, sync).await.expect("no sync call under the session")
}

#[tokio::test]
async fn handle_report_response_about_earlier_incarnation_discards_no_ends_of_the_next() {
    let (sync_sender, mut syncs) = mpsc::unbounded_channel();
    let started_unix_ms = Arc::new(Mutex::new(1));
    let worker_start = started_unix_ms.clone();
    let worker = Arc::new(move |call: AddressedCall| {
        if let WorkerCall::Sync { forget_until, .. } = call.call {
            sync_sender.send((call.session, forget_until)).ok();
        }
        let response = WorkerResponse {
            clock_ms: Some(1_000),
            started_unix_ms: Some(*worker_start.lock().unwrap()),
            listing: Some(WorkerListing::default()),
        };
        let responding: futures::future::BoxFuture<'static, _> = Box::pin(async move {
            tokio::time::sleep(Duration::from_millis(20)).await;
            Ok(response)
        });
        responding
    });
    let (events, inbox) = mpsc::channel(AGENT_MAILBOX_SIZE);
    let (_owner, known_owner) = watch::channel(KnownOwner::default());
    let context = AgentContext {
        cell: 0,
        instance: "instance".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        started_unix_ms: 1,
        worker,
        clock: Arc::new(SystemClock),
        known_owner,
        owner_contact: watch::channel(None).0,
        has_uncommitted_ends: watch::channel(false).0,
        logger: silent(),
        metrics: Metrics::scrape_only(),
    };
    let closing = CancellationToken::new();
    tokio::spawn(run_agent(context, events.clone(), inbox, closing.clone()));

    events.send(heartbeat(1)).await.unwrap();
    events.send(reported(1, 5, 2)).await.unwrap();
    assert_eq!(next_sync(&mut syncs, 5).await, 2);

    // The worker crashes and restarts; the response to an earlier report arrives only now.
    *started_unix_ms.lock().unwrap() = 2;
    events.send(heartbeat(2)).await.unwrap();
    events.send(reported(1, 5, 2)).await.unwrap();
    events.send(reported(2, 6, 0)).await.unwrap();
    assert_eq!(next_sync(&mut syncs, 6).await, 0);
    closing.cancel();
}
