//! The agent's task beside a worker that crashes and comes back, while answers are on their way.

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

/// Far above what the agent needs to answer an event, so that a busy machine passes too.
const LIMIT: Duration = Duration::from_secs(20);

fn status(born_unix_ms: u64) -> WorkerStatus {
    WorkerStatus {
        worker: "worker".to_owned(),
        started_unix_ms: born_unix_ms,
        ..WorkerStatus::default()
    }
}

fn announced(born_unix_ms: u64) -> AgentEvent {
    AgentEvent::Heartbeat(Heartbeat { status: status(born_unix_ms), clock_ms: Some(1_000) })
}

fn answered(born_unix_ms: u64, session: u64, forget_until: u64) -> AgentEvent {
    let answer = ReportResponse { epoch: 1, session, forget_until, ..ReportResponse::default() };
    AgentEvent::Reported {
        life: status(born_unix_ms).incarnation(),
        is_poll: false,
        refused_count: 0,
        answer: Some(Box::new(answer)),
    }
}

/// Holds that the worker gets, as session and the number up to which ends are forgotten.
async fn next_hold(holds: &mut mpsc::UnboundedReceiver<(u64, u64)>, session: u64) -> u64 {
    let hold = async {
        loop {
            let (under, forget_until) = holds.recv().await.expect("the agent has ended");
            if under == session {
                return forget_until;
            }
        }
    };
    timeout(LIMIT, hold).await.expect("no hold under the session")
}

#[tokio::test]
async fn take_answer_about_an_earlier_life_forgets_no_ends_of_the_next() {
    let (hold_sender, mut holds) = mpsc::unbounded_channel();
    let born_unix_ms = Arc::new(Mutex::new(1));
    let born = born_unix_ms.clone();
    let worker = Arc::new(move |call: AddressedCall| {
        if let WorkerCall::Sync { forget_until, .. } = call.call {
            hold_sender.send((call.session, forget_until)).ok();
        }
        let answer = WorkerResponse {
            clock_ms: Some(1_000),
            started_unix_ms: Some(*born.lock().unwrap()),
            listing: Some(WorkerListing::default()),
        };
        let answering: futures::future::BoxFuture<'static, _> = Box::pin(async move {
            tokio::time::sleep(Duration::from_millis(20)).await;
            Ok(answer)
        });
        answering
    });
    let (events, inbox) = mpsc::channel(AGENT_MAILBOX_SIZE);
    let (_owner, known_owner) = watch::channel(KnownOwner::default());
    let context = AgentContext {
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

    events.send(announced(1)).await.unwrap();
    events.send(answered(1, 5, 2)).await.unwrap();
    assert_eq!(next_hold(&mut holds, 5).await, 2);

    // The worker crashes and is born again; an answer to an earlier report comes only now.
    *born_unix_ms.lock().unwrap() = 2;
    events.send(announced(2)).await.unwrap();
    events.send(answered(1, 5, 2)).await.unwrap();
    events.send(answered(2, 6, 0)).await.unwrap();
    assert_eq!(next_hold(&mut holds, 6).await, 0);
    closing.cancel();
}
