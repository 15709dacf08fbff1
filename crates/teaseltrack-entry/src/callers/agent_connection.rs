//! HTTP/2 connections to agents, and detection of requests that were certainly not sent.

use std::{
    collections::HashMap,
    future::Future,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use http::{Request, Response};
use hyper::{
    body::Incoming,
    client::conn::http2::{self, SendRequest},
};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use teaseltrack::outcome::ErrorKind;
use tokio::{net::TcpStream, time::timeout};
use tonic::body::Body;
use tower_service::Service;

/// Timeout for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval of keep-alive pings on a connection with open streams.
const KEEP_ALIVE_PERIOD: Duration = Duration::from_secs(2);
/// Timeout for the response to a keep-alive ping.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Flow-control window of one response, in bytes.
const STREAM_WINDOW_BYTES: u32 = 256 << 10;
/// Flow-control window of all responses on a connection, in bytes.
const CONNECTION_WINDOW_BYTES: u32 = 4 << 20;

type CachedConnection = Arc<tokio::sync::Mutex<Option<SendRequest<Body>>>>;

/// Connection pool with one connection per agent.
#[derive(Clone, Debug, Default)]
pub struct AgentConnections {
    cache: Arc<Mutex<HashMap<SocketAddr, CachedConnection>>>,
}

impl AgentConnections {
    /// Returns a connection that is ready to send, and opens one if necessary.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Unreachable`] if the connection failed, so that nothing was sent.
    pub async fn connection(&self, agent: SocketAddr) -> Result<AgentCall, ErrorKind> {
        let connection = self.cached_connection(agent);
        let mut cached = connection.lock().await;
        if let Some(sender) = cached.as_mut()
            && !sender.is_closed()
            && sender.ready().await.is_ok()
        {
            return Ok(AgentCall::new(sender.clone()));
        }
        let sender = connect(agent).await?;
        *cached = Some(sender.clone());
        Ok(AgentCall::new(sender))
    }

    /// Closes the connections to agents for which `is_live` returns false.
    pub fn retain(&self, is_live: impl Fn(&SocketAddr) -> bool) {
        self.lock().retain(|agent, _| is_live(agent));
    }

    fn cached_connection(&self, agent: SocketAddr) -> CachedConnection {
        self.lock().entry(agent).or_default().clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, CachedConnection>> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn connect(agent: SocketAddr) -> Result<SendRequest<Body>, ErrorKind> {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(agent)).await;
    let Ok(Ok(stream)) = connected else { return Err(ErrorKind::Unreachable) };
    drop(stream.set_nodelay(true));
    let handshake = http2::Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .keep_alive_interval(KEEP_ALIVE_PERIOD)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .handshake(TokioIo::new(stream))
        .await;
    let (sender, connection) = handshake.map_err(|_| ErrorKind::Unreachable)?;
    tokio::spawn(async move { drop(connection.await) });
    Ok(sender)
}

/// One call on a connection, as a service for tonic.
#[derive(Clone, Debug)]
pub struct AgentCall {
    sender: SendRequest<Body>,
    is_not_sent: Arc<AtomicBool>,
}

impl AgentCall {
    fn new(sender: SendRequest<Body>) -> Self {
        Self { sender, is_not_sent: Arc::default() }
    }

    /// Flag that is set if the call fails and certainly wasn't sent or processed.
    pub fn not_sent_flag(&self) -> Arc<AtomicBool> {
        self.is_not_sent.clone()
    }
}

impl Service<Request<Body>> for AgentCall {
    type Response = Response<Incoming>;
    type Error = hyper::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        let ready = self.sender.poll_ready(cx);
        if let Poll::Ready(Err(_)) = ready {
            self.is_not_sent.store(true, Ordering::Relaxed);
        }
        ready
    }

    fn call(&mut self, request: Request<Body>) -> Self::Future {
        let sending = self.sender.try_send_request(request);
        let is_not_sent = self.is_not_sent.clone();
        Box::pin(async move {
            sending.await.map_err(|mut error| {
                let is_certain = error.take_message().is_some() || is_refused_stream(error.error());
                is_not_sent.store(is_certain, Ordering::Relaxed);
                error.into_error()
            })
        })
    }
}

/// Whether the agent refused the stream, which guarantees that it wasn't processed (RFC 9113, 8.7).
fn is_refused_stream(error: &hyper::Error) -> bool {
    let source = std::error::Error::source(error).and_then(|source| source.downcast_ref());
    source.is_some_and(|error: &h2::Error| error.reason() == Some(h2::Reason::REFUSED_STREAM))
}
