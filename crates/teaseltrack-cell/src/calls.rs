//! RPC server and client for calls between the processes of a cell.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    pin::pin,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use futures::StreamExt;
use tarpc::{
    client, context,
    server::{BaseChannel, Channel},
};
use teaseltrack::{
    cell::{
        job::{JobId, QueueName},
        partition::CellId,
        protocol::{Report, ReportResponse},
        quote::{Quote, StageDemand},
        room_promises::RoomRequest,
        succession::Superseded,
    },
    ids::{Epoch, ServiceName},
};
use teaseltrack_wire::cell::{CellControl, CellControlClient, JobLookup, MAX_MESSAGE_BYTES};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{mpsc, oneshot, watch},
    time::{self, sleep, timeout},
};
use tokio_serde::formats::MessagePack;
use tokio_util::{
    codec::{Framed, LengthDelimitedCodec},
    sync::CancellationToken,
};

use crate::{
    constants::{CALL_TIMEOUT, CONNECT_TIMEOUT, QUOTE_TIMEOUT},
    local_owner::LocalOwner,
};

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Time without a call after which a server closes a connection: its client may have replaced it,
/// which a connection that went silent doesn't show.
const MAX_SERVED_IDLE_TIME: Duration = Duration::from_secs(60);
/// Time without a call after which a client replaces its connection.
const MAX_IDLE_TIME: Duration = Duration::from_secs(30);

/// Call received by this process.
#[derive(Debug)]
pub enum InboundCall {
    /// An agent's report.
    Report(Box<Report>, oneshot::Sender<ReportResponse>),
    /// A query for a job's state.
    JobState(JobId, oneshot::Sender<JobLookup>),
    /// A request for a quote for a job of a service, to the owner of the given cell.
    Quote(CellId, ServiceName, Vec<StageDemand>, oneshot::Sender<Option<Quote>>),
    /// A query for the number of pending jobs of a queue.
    PendingCount(QueueName, oneshot::Sender<Option<u64>>),
    /// A request for rooms for waiting tasks, to the owner of the given cell.
    PromiseRooms(CellId, Vec<RoomRequest>, oneshot::Sender<Option<Vec<u32>>>),
}

/// Last known owner of the cell; may be outdated.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KnownOwner {
    /// Epoch of the owner; 0 if no owner is known.
    pub epoch: u64,
    /// Address of the owner's internal port.
    pub address: Option<SocketAddr>,
    /// Whether the owner reads reports with [`KnownLeases`].
    ///
    /// [`KnownLeases`]: teaseltrack::cell::protocol::KnownLeases
    pub reads_known_leases: bool,
}

/// Last known owners of all cells; a cell without a known owner may be missing.
pub type KnownOwners = BTreeMap<CellId, KnownOwner>;

/// RPC server; forwards calls to the owner task while this process owns the cell.
#[derive(Clone)]
pub struct CallServer {
    /// Mailbox of the owner task, if this process owns the cell.
    pub owner: watch::Receiver<Option<mpsc::Sender<InboundCall>>>,
    /// Last known owner, returned while this process isn't the owner.
    pub known_owner: watch::Receiver<KnownOwner>,
    /// The owner that runs in this process, for its successors.
    pub local_owner: LocalOwner,
}

impl CallServer {
    async fn call_owner<T>(
        &self,
        call: impl FnOnce(oneshot::Sender<T>) -> InboundCall,
    ) -> Option<T> {
        let owner = self.owner.borrow().clone()?;
        let (reply, response) = oneshot::channel();
        owner.send(call(reply)).await.ok()?;
        response.await.ok()
    }
}

impl CellControl for CallServer {
    async fn report(self, _: context::Context, report: Report) -> ReportResponse {
        let response = self.call_owner(|reply| InboundCall::Report(Box::new(report), reply)).await;
        response.unwrap_or_else(|| {
            let owner_address =
                self.known_owner.borrow().address.map(|address| address.to_string());
            ReportResponse { owner_address, ..ReportResponse::default() }
        })
    }

    async fn job_state(self, _: context::Context, job: JobId) -> JobLookup {
        self.call_owner(|reply| InboundCall::JobState(job, reply))
            .await
            .unwrap_or(JobLookup::NotOwner)
    }

    async fn quote(
        self,
        _: context::Context,
        cell: CellId,
        service: ServiceName,
        stages: Vec<StageDemand>,
    ) -> Option<Quote> {
        self.call_owner(|reply| InboundCall::Quote(cell, service, stages, reply)).await.flatten()
    }

    async fn pending_count(self, _: context::Context, queue: QueueName) -> Option<u64> {
        self.call_owner(|reply| InboundCall::PendingCount(queue, reply)).await.flatten()
    }

    async fn promise_rooms(
        self,
        _: context::Context,
        cell: CellId,
        requests: Vec<RoomRequest>,
    ) -> Option<Vec<u32>> {
        self.call_owner(|reply| InboundCall::PromiseRooms(cell, requests, reply)).await.flatten()
    }

    async fn supersede(
        self,
        _: context::Context,
        cell: CellId,
        epoch: Epoch,
    ) -> Option<Superseded> {
        self.local_owner.supersede(cell, epoch).await
    }
}

/// Serves connections until `closing` is cancelled.
pub async fn serve_calls(listener: TcpListener, server: CallServer, closing: CancellationToken) {
    loop {
        let connection = tokio::select! {
            connection = listener.accept() => connection,
            () = closing.cancelled() => return,
        };
        let Ok((stream, _)) = connection else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        drop(stream.set_nodelay(true));
        let transport =
            tarpc::serde_transport::new(Framed::new(stream, codec()), MessagePack::default());
        let calls = BaseChannel::with_defaults(transport).execute(server.clone().serve());
        let closing = closing.clone();
        tokio::spawn(async move {
            let serve_all = async {
                let mut calls = pin!(calls);
                while let Ok(Some(call)) = timeout(MAX_SERVED_IDLE_TIME, calls.next()).await {
                    tokio::spawn(call);
                }
            };
            tokio::select! {
                () = serve_all => {}
                () = closing.cancelled() => {}
            }
        });
    }
}

/// RPC client with one connection, which is re-established after a failed call or for another
/// address.
///
/// A call runs until its timeout, also if its caller no longer waits: if the connection is silent,
/// callers with less time than that would otherwise leave it to the next ones.
#[derive(Clone, Debug, Default)]
pub struct CellClient {
    connection: Arc<Mutex<Option<Connection>>>,
}

#[derive(Clone, Debug)]
struct Connection {
    address: SocketAddr,
    client: CellControlClient,
    used_at: time::Instant,
    /// Distinguishes the connection from later ones to the same address.
    identity: Arc<()>,
}

impl CellClient {
    /// Sends a report to the process at `address`; `None` without a response in time.
    pub async fn report(&self, address: SocketAddr, report: Report) -> Option<ReportResponse> {
        let limit = CALL_TIMEOUT + Duration::from_millis(report.wait_ms);
        let call =
            async move |client: CellControlClient, context| client.report(context, report).await;
        self.call(address, limit, call).await
    }

    /// State of a job; `None` without a response in time.
    pub async fn job_state(&self, address: SocketAddr, job: JobId) -> Option<JobLookup> {
        let call =
            async move |client: CellControlClient, context| client.job_state(context, job).await;
        self.call(address, CALL_TIMEOUT, call).await
    }

    /// Quote of a cell's owner for a job; `None` without a response from the owner in time.
    pub async fn quote(
        &self,
        address: SocketAddr,
        cell: CellId,
        service: ServiceName,
        stages: Vec<StageDemand>,
    ) -> Option<Quote> {
        let call = async move |client: CellControlClient, context| {
            client.quote(context, cell, service, stages).await
        };
        self.call(address, QUOTE_TIMEOUT, call).await.flatten()
    }

    /// Number of pending jobs of a queue; `None` without a response from the owner in time.
    pub async fn pending_count(&self, address: SocketAddr, queue: QueueName) -> Option<u64> {
        let call = async move |client: CellControlClient, context| {
            client.pending_count(context, queue).await
        };
        self.call(address, CALL_TIMEOUT, call).await.flatten()
    }

    /// Rooms that a cell's owner promises for each request; `None` without a response from the owner in
    /// time.
    pub async fn promise_rooms(
        &self,
        address: SocketAddr,
        cell: CellId,
        requests: Vec<RoomRequest>,
    ) -> Option<Vec<u32>> {
        let call = async move |client: CellControlClient, context| {
            client.promise_rooms(context, cell, requests).await
        };
        self.call(address, QUOTE_TIMEOUT, call).await.flatten()
    }

    /// Ends the owner of a cell at `address` for a successor with the given epoch; `None` without an
    /// answer in time, or from a process that runs a later owner.
    pub async fn supersede(
        &self,
        address: SocketAddr,
        cell: CellId,
        epoch: Epoch,
    ) -> Option<Superseded> {
        let call = async move |client: CellControlClient, context| {
            client.supersede(context, cell, epoch).await
        };
        self.call(address, CALL_TIMEOUT, call).await.flatten()
    }

    async fn call<T, E, F>(
        &self,
        address: SocketAddr,
        limit: Duration,
        call: impl FnOnce(CellControlClient, context::Context) -> F,
    ) -> Option<T>
    where
        T: Send + 'static,
        E: Send + 'static,
        F: Future<Output = Result<T, E>> + Send + 'static,
    {
        let connection = self.connect(address).await?;
        let response = call(connection.client.clone(), context_with_timeout(limit));
        let client = self.clone();
        let exchange = tokio::spawn(async move {
            if let Ok(Ok(response)) = timeout(limit, response).await {
                return Some(response);
            }
            client.reset(&connection);
            None
        });
        exchange.await.ok().flatten()
    }

    async fn connect(&self, address: SocketAddr) -> Option<Connection> {
        if let Some(connection) = &mut *self.lock()
            && connection.address == address
            && connection.used_at.elapsed() < MAX_IDLE_TIME
        {
            connection.used_at = time::Instant::now();
            return Some(connection.clone());
        }
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
        drop(stream.set_nodelay(true));
        let transport =
            tarpc::serde_transport::new(Framed::new(stream, codec()), MessagePack::default());
        let client = CellControlClient::new(client::Config::default(), transport).spawn();
        let (used_at, identity) = (time::Instant::now(), Arc::default());
        let connection = Connection { address, client, used_at, identity };
        *self.lock() = Some(connection.clone());
        Some(connection)
    }

    /// Forgets a connection, unless there is a later one already.
    fn reset(&self, failed: &Connection) {
        let mut connection = self.lock();
        if connection.as_ref().is_some_and(|other| Arc::ptr_eq(&other.identity, &failed.identity)) {
            *connection = None;
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<Connection>> {
        self.connection.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// RPC clients of the owners of all cells, one for each.
#[derive(Clone, Debug, Default)]
pub struct CellClients {
    clients: Arc<Mutex<BTreeMap<CellId, CellClient>>>,
}

impl CellClients {
    /// The client of a cell's owner.
    pub fn of(&self, cell: CellId) -> CellClient {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        clients.entry(cell).or_default().clone()
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_MESSAGE_BYTES).new_codec()
}

fn context_with_timeout(timeout: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + timeout;
    context
}
