//! Calls between processes over a real connection.

use std::{
    net::SocketAddr,
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use futures::StreamExt;
use serde::{Deserialize, Serialize};
use tarpc::{
    context,
    server::{BaseChannel, Channel},
};
use teaseltrack::{
    cell::{
        interference::InterferenceEstimates,
        job::{JobId, QueueName, Stage},
        partition::CellId,
        protocol::{
            KnownLeases, RefusedStart, Report, ReportResponse, StartOrder, TaskName, WorkerListing,
            WorkerStatus,
        },
        quote::{Quote, StageDemand},
        room_promises::RoomRequest,
    },
    clock::SystemClock,
    ids::ServiceName,
    placement::Resources,
};
use teaseltrack_cell::{
    calls::{CallServer, CellClient, InboundCall, KnownOwner, serve_calls},
    local_owner::LocalOwner,
};
use teaseltrack_wire::cell::JobLookup;
use tokio::{
    io::AsyncReadExt,
    net::{TcpListener, TcpStream},
    sync::{mpsc, watch},
    time,
};
use tokio_serde::{Deserializer, Serializer, formats::MessagePack};
use tokio_util::{
    bytes::{Bytes, BytesMut},
    codec::{Framed, LengthDelimitedCodec},
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
    let local_owner = LocalOwner::new("instance-1".to_owned(), Arc::new(SystemClock));
    let server = CallServer { owner, known_owner, local_owner };
    tokio::spawn(serve_calls(listener, server, closing.clone()));
    let resources = Resources { cpu_milli: 7_000, memory_mib: 13_000, accelerators: 0 };
    let stages = [
        Stage { task_count: 24, resources, is_long_running: true, ..Stage::default() },
        Stage { task_count: 3, max_per_worker: Some(2), resources, ..Stage::default() },
        Stage { required_label: Some("ssd".to_owned()), ..Stage::default() },
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
        time::sleep(Duration::from_secs(5)).await;
    });
    let client = CellClient::default();
    assert_eq!(client.quote(address, 3, "service".to_owned(), demands).await, Some(quote));
    closing.cancel();
}

#[tokio::test]
async fn promise_rooms_reaches_the_owner_with_all_fields() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (mailbox, mut calls) = mpsc::channel(1);
    let (_owner, owner) = watch::channel(Some(mailbox));
    let (_known, known_owner) = watch::channel(KnownOwner::default());
    let closing = CancellationToken::new();
    let local_owner = LocalOwner::new("instance-1".to_owned(), Arc::new(SystemClock));
    let server = CallServer { owner, known_owner, local_owner };
    tokio::spawn(serve_calls(listener, server, closing.clone()));
    let stage = Stage { task_count: 5, is_long_running: true, ..Stage::default() };
    let labelled = Stage { required_label: Some("ssd".to_owned()), ..stage.clone() };
    let requests = [stage, labelled].map(|stage| RoomRequest {
        service: "service".to_owned(),
        priority: 3,
        job: "00000000000000aa".to_owned(),
        occurrence: 1,
        stage: 2,
        is_gang: true,
        is_overdue: stage.required_label.is_some(),
        demand: StageDemand::of(&stage),
    });
    let expected = requests.to_vec();
    tokio::spawn(async move {
        let Some(InboundCall::PromiseRooms(cell, received, reply)) = calls.recv().await else {
            panic!("not a request for rooms");
        };
        assert_eq!((cell, received), (3, expected));
        reply.send(Some(vec![4, 0])).unwrap();
        // Keeps the mailbox open until the response has been read.
        time::sleep(Duration::from_secs(5)).await;
    });
    let client = CellClient::default();
    let rooms = client.promise_rooms(address, 3, requests.to_vec()).await;
    assert_eq!(rooms, Some(vec![4, 0]));
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

/// Report without the known leases.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierReport {
    cell: u64,
    agent: String,
    started_unix_ms: u64,
    address: String,
    session: u64,
    status: Option<WorkerStatus>,
    worker_clock_ms: u64,
    is_worker_reachable: bool,
    listing: Option<WorkerListing>,
    refused: Vec<RefusedStart>,
    accepted_order: u64,
    forgot_until: u64,
    interference_version: u64,
    interference: Option<InterferenceEstimates>,
    wait_ms: u64,
}

/// Guards against agents that have no owner during an upgrade.
#[test]
fn report_is_read_by_earlier_and_later_owners() {
    let report = Report {
        agent: "agent".to_owned(),
        worker_clock_ms: 4_000,
        wait_ms: 600,
        known_leases: None,
        ..Report::default()
    };
    let earlier: EarlierReport = decode(&encode(&report)).expect("later report is read");
    assert_eq!((earlier.worker_clock_ms, earlier.wait_ms), (4_000, 600));
    let later: Report = decode(&encode(&earlier)).expect("earlier report is read");
    assert_eq!(later, report);
}

/// Shows why a report to an owner of an earlier build leaves the known leases out.
#[test]
fn report_with_known_leases_is_read_by_later_owners_only() {
    let known_leases = Some(KnownLeases { lease_until_ms: 9_000, reading_age_ms: 300 });
    let report = Report { known_leases, ..Report::default() };
    assert_eq!(decode::<Report>(&encode(&report)).expect("later report is read"), report);
    decode::<EarlierReport>(&encode(&report)).expect_err("earlier owners read no longer report");
}

/// Calls of a build that doesn't know of successions.
#[tarpc::service]
trait EarlierCellControl {
    async fn report(report: Report) -> ReportResponse;
    async fn job_state(job: JobId) -> JobLookup;
    async fn quote(cell: CellId, service: ServiceName, stages: Vec<StageDemand>) -> Option<Quote>;
    async fn pending_count(queue: QueueName) -> Option<u64>;
    async fn promise_rooms(cell: CellId, requests: Vec<RoomRequest>) -> Option<Vec<u32>>;
}

#[derive(Clone)]
struct EarlierServer;

impl EarlierCellControl for EarlierServer {
    async fn report(self, _: context::Context, _: Report) -> ReportResponse {
        ReportResponse::default()
    }

    async fn job_state(self, _: context::Context, _: JobId) -> JobLookup {
        JobLookup::Unknown
    }

    async fn quote(
        self,
        _: context::Context,
        _: CellId,
        _: ServiceName,
        _: Vec<StageDemand>,
    ) -> Option<Quote> {
        None
    }

    async fn pending_count(self, _: context::Context, _: QueueName) -> Option<u64> {
        Some(3)
    }

    async fn promise_rooms(
        self,
        _: context::Context,
        _: CellId,
        _: Vec<RoomRequest>,
    ) -> Option<Vec<u32>> {
        None
    }
}

/// Guards against a process of an earlier build that takes the call for another one, or that answers
/// no calls any more after it.
#[tokio::test]
async fn supersede_fails_at_an_earlier_build() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let framed = Framed::new(stream, LengthDelimitedCodec::new());
            let transport = tarpc::serde_transport::new(framed, MessagePack::default());
            let calls = BaseChannel::with_defaults(transport).execute(EarlierServer.serve());
            tokio::spawn(calls.for_each(|call| async {
                tokio::spawn(call);
            }));
        }
    });
    let client = CellClient::default();
    for _ in 0..2 {
        assert_eq!(client.pending_count(address, "queue".to_owned()).await, Some(3));
        assert_eq!(client.supersede(address, 0, 2).await, None);
    }
}

/// Server without an owner; counts the connections that it accepts.
async fn start_call_server() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (inner, address) = (TcpListener::bind("127.0.0.1:0").await.unwrap(), listener.local_addr());
    let inner_address = inner.local_addr().unwrap();
    let local_owner = LocalOwner::new("instance-1".to_owned(), Arc::new(SystemClock));
    let (owner, known_owner) = (watch::channel(None).1, watch::channel(KnownOwner::default()).1);
    let server = CallServer { owner, known_owner, local_owner };
    tokio::spawn(serve_calls(inner, server, CancellationToken::new()));
    let count = Arc::new(AtomicUsize::new(0));
    let accepted = count.clone();
    tokio::spawn(async move {
        while let Ok((mut client, _)) = listener.accept().await {
            accepted.fetch_add(1, Ordering::SeqCst);
            let mut upstream = TcpStream::connect(inner_address).await.unwrap();
            tokio::spawn(async move {
                drop(tokio::io::copy_bidirectional(&mut client, &mut upstream).await);
            });
        }
    });
    (address.unwrap(), count)
}

/// Guards against descriptors that are lost for good: a client replaces a connection that went silent, and its
/// server doesn't learn of it.
#[tokio::test(start_paused = true)]
async fn serve_calls_closes_a_connection_without_calls() {
    let (address, _) = start_call_server().await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let connected_at = time::Instant::now();
    let mut buffer = [0; 16];
    let read = time::timeout(Duration::from_secs(90), stream.read(&mut buffer)).await;
    assert_eq!(read.expect("the connection stays open").unwrap(), 0);
    assert!(connected_at.elapsed() >= Duration::from_secs(60));
}

/// Guards against a call on a connection that its server is about to close.
#[tokio::test]
async fn call_replaces_a_connection_that_was_idle_for_long() {
    let (address, accepted_count) = start_call_server().await;
    let client = CellClient::default();
    for (idle, expected) in [(0, 1), (29, 1), (29, 1), (31, 2)] {
        time::pause();
        time::advance(Duration::from_secs(idle)).await;
        time::resume();
        assert!(client.job_state(address, "job".to_owned()).await.is_some());
        assert_eq!(accepted_count.load(Ordering::SeqCst), expected, "idle for {idle} s");
    }
}
