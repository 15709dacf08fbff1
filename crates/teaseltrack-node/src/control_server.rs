//! Server of control calls: each call is forwarded as a message to the task that owns the state.

use std::{sync::Arc, time::Duration};

use futures::StreamExt;
use tarpc::{
    context::Context,
    server::{BaseChannel, Channel},
};
use teaseltrack::{
    configuration::ChangePage,
    ids::{Revision, ShardNumber},
    membership::{Digest, Member},
    outcome::ErrorKind,
};
use teaseltrack_daemon::byte_count::{ByteCount, CountedStream};
use teaseltrack_wire::control::{
    Control, Gossip, ReportBatch, ReservationRequest, ReservationResponse, ShardOwner, StartOrder,
    StopOrder,
};
use tokio::{
    net::TcpListener,
    sync::{Semaphore, mpsc, oneshot},
    time::sleep,
};
use tokio_serde::formats::MessagePack;
use tokio_util::{codec::Framed, sync::CancellationToken};

use crate::{
    clients::{ControlClients, codec},
    gossip::is_reachable,
    node::{NodeHandle, NodeMessage},
};

/// Maximum concurrent control connections.
const MAX_CONNECTIONS: usize = 512;
/// Delay before retrying after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Control call about tasks, forwarded to the agent's task manager.
#[derive(Debug)]
pub enum TaskCall {
    /// The shard's inbox has new commands.
    WakeShard(ShardNumber),
    /// Reserves capacity for attempts.
    ReserveCapacity(
        Vec<ReservationRequest>,
        oneshot::Sender<Result<ReservationResponse, ErrorKind>>,
    ),
    /// Starts committed assignments.
    StartTasks(ShardOwner, Vec<StartOrder>, oneshot::Sender<Result<(), ErrorKind>>),
    /// Stops attempts.
    StopTasks(ShardOwner, Vec<StopOrder>, oneshot::Sender<Result<(), ErrorKind>>),
    /// Reports attempts' events to a shard owned by this instance.
    ReportTasks(ReportBatch, oneshot::Sender<Result<(), ErrorKind>>),
}

/// Implementation of the control calls.
#[derive(Clone, Debug)]
struct ControlServer {
    node: NodeHandle,
    clients: ControlClients,
    tasks: Option<mpsc::Sender<TaskCall>>,
}

impl ControlServer {
    async fn forward<T>(
        &self,
        call: impl FnOnce(oneshot::Sender<Result<T, ErrorKind>>) -> TaskCall,
    ) -> Result<T, ErrorKind> {
        let tasks = self.tasks.as_ref().ok_or(ErrorKind::NotFound)?;
        let (reply, response) = oneshot::channel();
        tasks.send(call(reply)).await.map_err(|_| ErrorKind::Draining)?;
        response.await.map_err(|_| ErrorKind::Draining)?
    }
}

impl Control for ControlServer {
    async fn probe(self, _: Context, gossip: Gossip) -> Gossip {
        let fallback = gossip.clone();
        self.node
            .request(|reply| NodeMessage::ProbeReceived(gossip, reply))
            .await
            .unwrap_or(fallback)
    }

    async fn probe_through(self, _: Context, control_address: String) -> bool {
        let Ok(address) = control_address.parse() else { return false };
        is_reachable(&self.node, &self.clients, address).await
    }

    async fn exchange(self, _: Context, digest: Digest) -> Vec<Member> {
        self.node.request(|reply| NodeMessage::Exchange(digest, reply)).await.unwrap_or_default()
    }

    async fn changes_after(self, _: Context, revision: Revision) -> ChangePage {
        self.node
            .request(|reply| NodeMessage::ChangesAfter(revision, reply))
            .await
            .unwrap_or_default()
    }

    async fn wake_shard(self, _: Context, shard: ShardNumber) {
        if let Some(tasks) = &self.tasks {
            drop(tasks.send(TaskCall::WakeShard(shard)).await);
        }
    }

    async fn reserve_room(
        self,
        _: Context,
        requests: Vec<ReservationRequest>,
    ) -> Result<ReservationResponse, ErrorKind> {
        self.forward(|reply| TaskCall::ReserveCapacity(requests, reply)).await
    }

    async fn start_tasks(
        self,
        _: Context,
        owner: ShardOwner,
        orders: Vec<StartOrder>,
    ) -> Result<(), ErrorKind> {
        self.forward(|reply| TaskCall::StartTasks(owner, orders, reply)).await
    }

    async fn stop_tasks(
        self,
        _: Context,
        owner: ShardOwner,
        orders: Vec<StopOrder>,
    ) -> Result<(), ErrorKind> {
        self.forward(|reply| TaskCall::StopTasks(owner, orders, reply)).await
    }

    async fn report_tasks(self, _: Context, batch: ReportBatch) -> Result<(), ErrorKind> {
        self.forward(|reply| TaskCall::ReportTasks(batch, reply)).await
    }
}

/// Serves control calls until `closing` is cancelled.
pub async fn serve_control(
    listener: TcpListener,
    node: NodeHandle,
    clients: ControlClients,
    tasks: Option<mpsc::Sender<TaskCall>>,
    bytes: Arc<ByteCount>,
    closing: CancellationToken,
) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let server = ControlServer { node, clients, tasks };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = closing.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else { continue };
        drop(stream.set_nodelay(true));
        let framed = Framed::new(CountedStream::new(stream, bytes.clone()), codec());
        let transport = tarpc::serde_transport::new(framed, MessagePack::default());
        let calls = BaseChannel::with_defaults(transport).execute(server.clone().serve());
        let closing = closing.clone();
        tokio::spawn(async move {
            let serving = calls.for_each(|call| async {
                tokio::spawn(call);
            });
            tokio::select! {
                () = serving => {}
                () = closing.cancelled() => {}
            }
            drop(permit);
        });
    }
}
