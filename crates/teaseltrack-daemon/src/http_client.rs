//! HTTP client with a connection pool and a deadline on each call.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::{Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu};
use teaseltrack::outcome::ErrorKind;
use tokio::time::timeout;

use crate::problem::Problem;

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// Time for which an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle connections to one address.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// Why a call got no good answer.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// No connection could be made, so the call didn't arrive.
    #[snafu(display("{address} can't be reached"))]
    Unreachable {
        /// Address that was called.
        address: SocketAddr,
    },
    /// The call was sent and its answer never came, or stopped short.
    #[snafu(display("no answer from {address}"))]
    ResponseLost {
        /// Address that was called.
        address: SocketAddr,
    },
    /// The other side refused.
    #[snafu(display("{}", problem.detail))]
    Refused {
        /// The refusal.
        problem: Box<Problem>,
    },
    /// The answer can't be read.
    #[snafu(display("unreadable answer: {source}"))]
    Unreadable {
        /// Cause.
        source: serde_json::Error,
    },
}

impl CallError {
    /// The error kind of the failed call.
    pub fn kind(&self) -> ErrorKind {
        match self {
            Self::Unreachable { .. } => ErrorKind::Unreachable,
            Self::ResponseLost { .. } => ErrorKind::AnswerLost,
            Self::Refused { problem } => problem.reason,
            Self::Unreadable { .. } => ErrorKind::Internal,
        }
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct BufferedResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// HTTP client, cheap to clone.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

impl HttpClient {
    /// A client that waits at most `timeout` for each whole answer.
    pub fn new(timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .build(connector);
        Self { client, timeout }
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// No connection, or no whole answer in time.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<BufferedResponse, CallError> {
        let exchange = async {
            let response = self.client.request(request).await.map_err(|error| {
                if error.is_connect() {
                    CallError::Unreachable { address }
                } else {
                    CallError::ResponseLost { address }
                }
            })?;
            let (parts, body) = response.into_parts();
            let body = Limited::new(body, MAX_ANSWER_BYTES)
                .collect()
                .await
                .map_err(|_| CallError::ResponseLost { address })?;
            Ok(BufferedResponse {
                status: parts.status,
                headers: parts.headers,
                body: body.to_bytes(),
            })
        };
        match timeout(self.timeout, exchange).await {
            Ok(result) => result,
            Err(_) => ResponseLostSnafu { address }.fail(),
        }
    }

    /// Calls with a JSON body and reads a JSON answer; a status of 400 or more is a refusal.
    ///
    /// # Errors
    ///
    /// As [`Self::send`], or a refusal, or an unreadable answer.
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

    /// Reads a JSON answer to a GET; a status of 400 or more is a refusal.
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

fn refused(kind: ErrorKind, detail: String) -> CallError {
    CallError::Refused { problem: Box::new(Problem::new(kind, detail)) }
}

/// Reads an answer's JSON body, or its refusal.
///
/// # Errors
///
/// A refusal, or an unreadable body.
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
