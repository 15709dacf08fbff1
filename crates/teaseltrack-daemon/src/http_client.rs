//! HTTP client with a connection pool and a timeout for each call.

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

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Timeout after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum idle connections per address.
const MAX_IDLE_CONNECTIONS: usize = 16;

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

/// HTTP client; cheap to clone.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

impl HttpClient {
    /// Creates a client that waits up to `timeout` for each complete response.
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
        let exchange = async {
            let response = self.client.request(request).await.map_err(|error| {
                if error.is_connect() {
                    CallError::Unreachable { address }
                } else {
                    CallError::ResponseLost { address }
                }
            })?;
            let (parts, body) = response.into_parts();
            let body = Limited::new(body, MAX_RESPONSE_BYTES)
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
