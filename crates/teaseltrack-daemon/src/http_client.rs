//! HTTP client with a connection pool and a timeout for each call.
//!
//! A call gets an idle connection, or opens one and takes the first that is available; which idle
//! connections may be used is decided in [`idle_connections`]. Once it is sent, a request runs until its
//! timeout, also if its caller no longer waits: a caller with less time than that would leave the next one
//! another connection that is as silent. A request is sent again only if the connection was closed before
//! it was sent.

use std::{
    collections::HashMap,
    fmt,
    net::SocketAddr,
    pin::pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{
    HeaderValue, Method, Request, StatusCode, Uri,
    header::{CONTENT_TYPE, HOST},
};
use http_body_util::Full;
use serde::{Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu};
use teaseltrack::{
    clock::{SharedClock, SystemClock},
    outcome::ErrorKind,
};
use tokio::{
    sync::{Notify, oneshot},
    time::{timeout, timeout_at},
};

use crate::{
    http_client::{
        connection::{Connection, RequestError},
        idle_connections::IdleConnections,
        monitor::{ConnectionMonitor, LostResponse},
    },
    problem::Problem,
};

pub mod connection;
pub mod idle_connections;
pub mod monitor;

/// Timeout for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Fraction of a call's timeout after which it uses a connection in doubt if no other is available.
const CONNECT_SHARE: f64 = 0.5;

/// Failure of an HTTP call.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// The connection failed, so the request wasn't sent.
    #[snafu(display("{address} can't be reached"))]
    Unreachable {
        /// Address of the server.
        address: SocketAddr,
    },
    /// The request may have been sent, but no complete response was received in time.
    #[snafu(display("no answer from {address}"))]
    ResponseLost {
        /// Address of the server.
        address: SocketAddr,
    },
    /// The server refused the request.
    #[snafu(display("{}", problem.detail))]
    Refused {
        /// The refusal.
        problem: Box<Problem>,
    },
    /// The response body can't be parsed, or the request body can't be serialized.
    #[snafu(display("unreadable answer: {source}"))]
    Unreadable {
        /// Cause.
        source: serde_json::Error,
    },
}

impl CallError {
    /// Error kind of the failure.
    pub fn kind(&self) -> ErrorKind {
        match self {
            Self::Unreachable { .. } => ErrorKind::Unreachable,
            Self::ResponseLost { .. } => ErrorKind::AnswerLost,
            Self::Refused { problem } => problem.reason,
            Self::Unreadable { .. } => ErrorKind::Internal,
        }
    }
}

/// Response with its complete body.
#[derive(Clone, Debug)]
pub struct BufferedResponse {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Connections to one server.
struct Server {
    address: SocketAddr,
    idle: Mutex<IdleConnections<Connection>>,
    /// Notified when a connection becomes idle.
    returned: Notify,
    clock: SharedClock,
    monitor: ConnectionMonitor,
}

/// HTTP client; cheap to clone. All clones share their connections.
#[derive(Clone)]
pub struct HttpClient {
    servers: Arc<Mutex<HashMap<SocketAddr, Arc<Server>>>>,
    timeout: Duration,
    clock: SharedClock,
    monitor: ConnectionMonitor,
}

impl fmt::Debug for HttpClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpClient").field("timeout", &self.timeout).finish_non_exhaustive()
    }
}

impl HttpClient {
    /// Creates a client that waits up to `timeout` for each complete response.
    pub fn new(timeout: Duration) -> Self {
        let clock = Arc::new(SystemClock);
        Self { servers: Arc::default(), timeout, clock, monitor: ConnectionMonitor::silent() }
    }

    /// Reports the connections to `monitor`.
    pub fn with_monitor(self, monitor: ConnectionMonitor) -> Self {
        Self { servers: Arc::default(), monitor, ..self }
    }

    /// Returns a client with another timeout that uses the same connections.
    pub fn with_timeout(&self, timeout: Duration) -> Self {
        Self { timeout, ..self.clone() }
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// No connection, or no complete response in time.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<BufferedResponse, CallError> {
        let deadline = tokio::time::Instant::now() + self.timeout;
        let server = self.server(address);
        let mut request = Box::new(to_origin_form(address, request));
        loop {
            let connection = timeout_at(deadline, server.connection(self.timeout)).await;
            let Ok(Some(connection)) = connection else {
                return UnreachableSnafu { address }.fail();
            };
            let is_proven = connection.is_proven;
            let (reply, response) = oneshot::channel();
            let exchange =
                server.clone().exchange(connection, *request, self.timeout, deadline, reply);
            tokio::spawn(exchange);
            match response.await {
                Ok(Ok(response)) => return Ok(response),
                // The server may close a connection while it is idle, but has no reason to close a new one.
                Ok(Err(RequestError::NotSent(unsent))) if is_proven => request = unsent,
                Ok(Err(_)) | Err(_) => return ResponseLostSnafu { address }.fail(),
            }
        }
    }

    fn server(&self, address: SocketAddr) -> Arc<Server> {
        let mut servers = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
        let new_server = || {
            Arc::new(Server {
                address,
                idle: Mutex::default(),
                returned: Notify::new(),
                clock: self.clock.clone(),
                monitor: self.monitor.clone(),
            })
        };
        servers.entry(address).or_insert_with(new_server).clone()
    }

    /// Sends a JSON body and parses the JSON response; a status of 400 or above is a refusal.
    ///
    /// # Errors
    ///
    /// As [`Self::send`], or a refusal, or an unparsable response.
    pub async fn call<B: Serialize, T: DeserializeOwned>(
        &self,
        method: Method,
        address: SocketAddr,
        path_and_query: &str,
        body: &B,
    ) -> Result<T, CallError> {
        let text = serde_json::to_vec(body).context(UnreadableSnafu)?;
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path_and_query}"))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::from(text))
            .map_err(|error| refused(ErrorKind::InvalidInput, error.to_string()))?;
        parse_response(&self.send(address, request).await?)
    }

    /// Sends a GET and parses the JSON response; a status of 400 or above is a refusal.
    ///
    /// # Errors
    ///
    /// As [`Self::call`].
    pub async fn get<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path_and_query: &str,
    ) -> Result<T, CallError> {
        let request = Request::get(format!("http://{address}{path_and_query}"))
            .body(Full::default())
            .map_err(|error| refused(ErrorKind::InvalidInput, error.to_string()))?;
        parse_response(&self.send(address, request).await?)
    }
}

impl Server {
    /// Returns an idle connection or opens one; `None` if there is none in time.
    async fn connection(self: &Arc<Self>, call_timeout: Duration) -> Option<Connection> {
        let mut returned = pin!(self.returned.notified());
        returned.as_mut().enable();
        if let Some(connection) = self.take_idle() {
            return Some(connection);
        }
        let mut opened = self.open_connection();
        let first_available = async {
            loop {
                tokio::select! {
                    biased;
                    connection = &mut opened => return connection.ok().flatten(),
                    () = &mut returned => {}
                }
                if let Some(connection) = self.take_idle() {
                    return Some(connection);
                }
                returned.set(self.returned.notified());
            }
        };
        let limit = if self.lock().has_doubtful() {
            CONNECT_TIMEOUT.min(call_timeout.mul_f64(CONNECT_SHARE))
        } else {
            CONNECT_TIMEOUT
        };
        let connection = timeout(limit, first_available).await.ok().flatten();
        connection.or_else(|| self.lock().take_any(self.clock.now(), Connection::is_open))
    }

    /// Opens a connection, which becomes idle if the receiver is dropped.
    fn open_connection(self: &Arc<Self>) -> oneshot::Receiver<Option<Connection>> {
        let (sender, receiver) = oneshot::channel();
        let server = self.clone();
        tokio::spawn(async move {
            let connection =
                Connection::open(server.address, CONNECT_TIMEOUT, || server.clock.now()).await;
            match connection {
                Some(_) => server.monitor.opened(server.address),
                None => server.monitor.not_opened(server.address),
            }
            if let Err(Some(connection)) = sender.send(connection) {
                let opened_at = connection.opened_at;
                server.put_idle(connection, opened_at);
            }
        });
        receiver
    }

    /// Sends a request until `deadline`, passes the result on, and keeps the connection.
    async fn exchange(
        self: Arc<Self>,
        mut connection: Connection,
        request: Request<Full<Bytes>>,
        call_timeout: Duration,
        deadline: tokio::time::Instant,
        reply: oneshot::Sender<Result<BufferedResponse, RequestError>>,
    ) {
        let sent_at = self.clock.now();
        let Ok(result) = timeout_at(deadline, connection.request(request)).await else {
            self.response_lost(&connection, sent_at, call_timeout);
            drop(reply.send(Err(RequestError::Broken)));
            return;
        };
        // Results are dropped if the caller no longer waits.
        let response = match result {
            Ok(response) => response,
            Err(error) => {
                drop(reply.send(Err(error)));
                return;
            }
        };
        let answered_at = self.clock.now();
        let recovery = self.lock().response_received(connection.opened_at, sent_at, answered_at);
        if let Some(recovery) = recovery {
            self.monitor.recovered(self.address, recovery);
        }
        connection.is_proven = true;
        if connection.is_open() {
            // Before the caller has the response, since its next request can then use the connection.
            self.put_idle(connection, answered_at);
            drop(reply.send(Ok(response)));
            return;
        }
        drop(reply.send(Ok(response)));
        if timeout_at(deadline, connection.wait_until_idle()).await == Ok(true) {
            self.put_idle(connection, answered_at);
        }
    }

    fn response_lost(&self, connection: &Connection, sent_at: Instant, call_timeout: Duration) {
        let (doubtful_count, is_first) = {
            let mut idle = self.lock();
            let is_first = !idle.is_silent();
            (idle.response_lost(sent_at), is_first)
        };
        let lost = LostResponse {
            timeout_ms: call_timeout.as_millis() as u64,
            was_used_before: connection.is_proven,
            doubtful_count,
            is_first,
        };
        self.monitor.response_lost(self.address, &lost);
    }

    fn take_idle(&self) -> Option<Connection> {
        self.lock().take(self.clock.now(), Connection::is_open)
    }

    fn put_idle(&self, connection: Connection, proven_at: Instant) {
        self.lock().put(connection, proven_at, self.clock.now());
        self.returned.notify_one();
    }

    fn lock(&self) -> MutexGuard<'_, IdleConnections<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Request as it is sent to the server itself: the path as its target, and the address in a header.
fn to_origin_form(address: SocketAddr, mut request: Request<Full<Bytes>>) -> Request<Full<Bytes>> {
    if !request.headers().contains_key(HOST) {
        let host = request.uri().authority().map(http::uri::Authority::as_str);
        let host = host.map_or_else(|| address.to_string(), ToOwned::to_owned);
        if let Ok(host) = HeaderValue::try_from(host) {
            request.headers_mut().insert(HOST, host);
        }
    }
    let path = request.uri().path_and_query().cloned();
    *request.uri_mut() = path.map_or_else(|| Uri::from_static("/"), Uri::from);
    request
}

fn refused(kind: ErrorKind, detail: String) -> CallError {
    CallError::Refused { problem: Box::new(Problem::new(kind, detail)) }
}

/// Parses the JSON body of a response; a status of 400 or above is a refusal.
///
/// # Errors
///
/// A refusal, or an unparsable body.
pub fn parse_response<T: DeserializeOwned>(response: &BufferedResponse) -> Result<T, CallError> {
    if response.status.as_u16() < 400 {
        let body: &[u8] = if response.body.is_empty() { b"null" } else { &response.body };
        return serde_json::from_slice(body).context(UnreadableSnafu);
    }
    let problem = serde_json::from_slice(&response.body).unwrap_or_else(|_| {
        let text = String::from_utf8_lossy(&response.body);
        Problem::new(ErrorKind::Internal, format!("status {}: {text}", response.status))
    });
    Err(CallError::Refused { problem: Box::new(problem) })
}
