//! Calls between processes over a real connection.

use std::{pin::pin, time::Duration};

use serde::{Deserialize, Serialize};
use teaseltrack::{
    cell::{
        admission::{AdmissionDecision, AdmissionReason, JobOutline},
        job::Stage,
        protocol::{StartOrder, TaskName},
        quote::{Quote, StageDemand},
    },
    placement::Resources,
};
use teaseltrack_cell::calls::{CallServer, CellClient, InboundCall, KnownOwner, serve_calls};
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
};
use tokio_serde::{Deserializer, Serializer, formats::MessagePack};
use tokio_util::{
    bytes::{Bytes, BytesMut},
    sync::CancellationToken,
};

#[tokio::test]
async fn quote_reaches_the_owner_with_all_fields() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (mailbox, mut calls) = mpsc::channel(1);
    let (_owner, owner) = watch::channel(Some(mailbox));
    let (_known, known_owner) = watch::channel(KnownOwner::default());
    let closing = CancellationToken::new();
    tokio::spawn(serve_calls(listener, CallServer { owner, known_owner }, closing.clone()));
    let resources = Resources { cpu_milli: 7_000, memory_mib: 13_000, accelerators: 0 };
    let stages = [
        Stage { task_count: 24, resources, is_long_running: true, ..Stage::default() },
        Stage { task_count: 3, max_per_worker: Some(2), resources, ..Stage::default() },
    ];
    let demands: Vec<StageDemand> = stages.iter().map(StageDemand::of).collect();
    let expected = demands.clone();
    let quote = Quote { unplaceable_count: 2, reserved_permille: 900, backlog_ms: 1_500 };
    tokio::spawn(async move {
        let Some(InboundCall::Quote(cell, service, received, reply)) = calls.recv().await else {
            panic!("not a request for a quote");
        };
        assert_eq!((cell, service.as_str()), (3, "service"));
        assert_eq!(received, expected);
        reply.send(Some(quote)).unwrap();
        // Keeps the mailbox open until the response has been read.
        tokio::time::sleep(Duration::from_secs(5)).await;
    });
    let client = CellClient::default();
    assert_eq!(client.quote(address, 3, "service".to_owned(), demands).await, Some(quote));
    closing.cancel();
}

#[tokio::test]
async fn admission_reaches_the_owner_and_returns_its_decision() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (mailbox, mut calls) = mpsc::channel(1);
    let (_owner, owner) = watch::channel(Some(mailbox));
    let (_known, known_owner) = watch::channel(KnownOwner::default());
    let closing = CancellationToken::new();
    tokio::spawn(serve_calls(listener, CallServer { owner, known_owner }, closing.clone()));
    let job = JobOutline { queue: "queue".to_owned(), timeout_ms: 3_000, ..JobOutline::default() };
    let accepted = AdmissionDecision {
        reason: AdmissionReason::InTime,
        retry_after_s: None,
        is_backlogged: true,
        predicted_finish_ms: 900,
        predicted_wait_ms: 100,
        latest_finish_ms: 1_500,
    };
    let rejected =
        AdmissionDecision { reason: AdmissionReason::TooLate, retry_after_s: Some(2), ..accepted };
    let expected = job.clone();
    tokio::spawn(async move {
        for decision in [accepted, rejected] {
            let Some(InboundCall::Admission(cell, received, reply)) = calls.recv().await else {
                panic!("not a request for a decision");
            };
            assert_eq!((cell, *received), (3, expected.clone()));
            reply.send(Some(decision)).unwrap();
        }
        // Keeps the mailbox open until the response has been read.
        tokio::time::sleep(Duration::from_secs(5)).await;
    });
    let client = CellClient::default();
    assert_eq!(client.admission(address, 3, job.clone()).await, Some(accepted));
    assert_eq!(client.admission(address, 3, job).await, Some(rejected));
    closing.cancel();
}

/// Start order without the planned capacity.
#[derive(Serialize)]
struct EarlierStartOrder {
    task: TaskName,
    attempt: u32,
    payload: String,
    checkpoint: String,
}

fn encode<T: Serialize>(message: &T) -> Bytes {
    pin!(MessagePack::<(), T>::default()).serialize(message).expect("message is encoded")
}

fn decode<T: for<'a> Deserialize<'a>>(message: &Bytes) -> std::io::Result<T> {
    pin!(MessagePack::<T, ()>::default()).deserialize(&BytesMut::from(&message[..]))
}

/// Guards against the loss of an earlier owner's orders during an upgrade.
#[test]
fn start_order_of_an_earlier_owner_is_read() {
    let task = TaskName { job: "job".to_owned(), occurrence: 0, stage: 1, index: 2 };
    let earlier = EarlierStartOrder {
        task,
        attempt: 3,
        payload: "payload".to_owned(),
        checkpoint: "checkpoint".to_owned(),
    };
    let order: StartOrder = decode(&encode(&earlier)).expect("earlier order is read");
    assert_eq!((order.attempt, order.planned_capacity), (3, Resources::default()));
}
