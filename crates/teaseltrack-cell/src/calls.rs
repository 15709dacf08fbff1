//! Calls between the processes of a cell.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use futures::StreamExt;
use tarpc::{
    client, context,
    server::{BaseChannel, Channel},
};
use teaseltrack::cell::{
    job::{JobId, QueueName},
    protocol::{Report, ReportResponse},
};
use teaseltrack_wire::cell::{CellControl, CellControlClient, JobLookup, MAX_MESSAGE_BYTES};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{mpsc, oneshot, watch},
    time::{sleep, timeout},
};
use tokio_serde::formats::MessagePack;
use tokio_util::{
    codec::{Framed, LengthDelimitedCodec},
    sync::CancellationToken,
};

use crate::constants::{CALL_TIMEOUT, CONNECT_TIMEOUT};

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// A call that reached this process.
#[derive(Debug)]
pub enum InboundCall {
    /// An agent's report.
    Report(Box<Report>, oneshot::Sender<ReportResponse>),
    /// A question for a job's state.
    JobState(JobId, oneshot::Sender<JobLookup>),
    /// A question for a queue's pending jobs.
    PendingCount(QueueName, oneshot::Sender<Option<u64>>),
}

/// Who owns the cell, as far as this process knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KnownOwner {
    /// Its epoch; 0 if none is known.
    pub epoch: u64,
    /// Address of its inner port.
    pub address: Option<SocketAddr>,
}

/// Where calls to this process go: to its owner task while it has one.
#[derive(Clone, Debug)]
pub struct CallServer {
    /// The owner task, if this process owns the cell.
    pub owner: watch::Receiver<Option<mpsc::Sender<InboundCall>>>,
    /// Who owns the cell otherwise.
    pub known_owner: watch::Receiver<KnownOwner>,
}

impl CallServer {
    async fn ask<T>(&self, call: impl FnOnce(oneshot::Sender<T>) -> InboundCall) -> Option<T> {
        let owner = self.owner.borrow().clone()?;
        let (reply, answer) = oneshot::channel();
        owner.send(call(reply)).await.ok()?;
        answer.await.ok()
    }
}

impl CellControl for CallServer {
    async fn report(self, _: context::Context, report: Report) -> ReportResponse {
        let answer = self.ask(|reply| InboundCall::Report(Box::new(report), reply)).await;
        answer.unwrap_or_else(|| {
            let owner_address =
                self.known_owner.borrow().address.map(|address| address.to_string());
            ReportResponse { owner_address, ..ReportResponse::default() }
        })
    }

    async fn job_state(self, _: context::Context, job: JobId) -> JobLookup {
        self.ask(|reply| InboundCall::JobState(job, reply)).await.unwrap_or(JobLookup::NotOwner)
    }

    async fn pending_count(self, _: context::Context, queue: QueueName) -> Option<u64> {
        self.ask(|reply| InboundCall::PendingCount(queue, reply)).await.flatten()
    }
}

/// Serves calls until `closing` is cancelled.
pub async fn serve_calls(listener: TcpListener, server: CallServer, closing: CancellationToken) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = closing.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        drop(stream.set_nodelay(true));
        let transport =
            tarpc::serde_transport::new(Framed::new(stream, codec()), MessagePack::default());
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
        });
    }
}

/// A client that connects anew after each failure.
#[derive(Clone, Debug, Default)]
pub struct CellClient {
    connected: Arc<Mutex<Option<(SocketAddr, CellControlClient)>>>,
}

impl CellClient {
    /// Reports to the process at `address`; `None` without an answer in time.
    pub async fn report(&self, address: SocketAddr, report: Report) -> Option<ReportResponse> {
        let wait = CALL_TIMEOUT + Duration::from_millis(report.wait_ms);
        let client = self.client(address).await?;
        let answer = timeout(wait, client.report(deadline(wait), report)).await;
        self.unless_failed(address, answer)
    }

    /// State of a job; `None` without an answer in time.
    pub async fn job_state(&self, address: SocketAddr, job: JobId) -> Option<JobLookup> {
        let client = self.client(address).await?;
        let call = client.job_state(deadline(CALL_TIMEOUT), job);
        self.unless_failed(address, timeout(CALL_TIMEOUT, call).await)
    }

    /// Pending jobs of a queue; `None` without an answer from the owner in time.
    pub async fn pending_count(&self, address: SocketAddr, queue: QueueName) -> Option<u64> {
        let client = self.client(address).await?;
        let call = client.pending_count(deadline(CALL_TIMEOUT), queue);
        self.unless_failed(address, timeout(CALL_TIMEOUT, call).await).flatten()
    }

    async fn client(&self, address: SocketAddr) -> Option<CellControlClient> {
        if let Some((known, client)) = &*self.lock()
            && *known == address
        {
            return Some(client.clone());
        }
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
        drop(stream.set_nodelay(true));
        let transport =
            tarpc::serde_transport::new(Framed::new(stream, codec()), MessagePack::default());
        let client = CellControlClient::new(client::Config::default(), transport).spawn();
        *self.lock() = Some((address, client.clone()));
        Some(client)
    }

    fn unless_failed<T, E, F>(
        &self,
        address: SocketAddr,
        answer: Result<Result<T, E>, F>,
    ) -> Option<T> {
        if let Ok(Ok(answer)) = answer {
            return Some(answer);
        }
        let mut connected = self.lock();
        if connected.as_ref().is_some_and(|(known, _)| *known == address) {
            *connected = None;
        }
        None
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<(SocketAddr, CellControlClient)>> {
        self.connected.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_MESSAGE_BYTES).new_codec()
}

fn deadline(time: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + time;
    context
}
