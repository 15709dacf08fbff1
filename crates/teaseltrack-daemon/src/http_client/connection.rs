//! Single HTTP/1.1 connection.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time::timeout};
use tokio_util::task::AbortOnDropHandle;

use super::BufferedResponse;

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Open connection; closed when dropped.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    /// Time at which the server accepted it.
    pub opened_at: Instant,
    /// Whether the server has responded on it.
    pub is_proven: bool,
    _driver: AbortOnDropHandle<()>,
}

/// Failure of a request on a connection.
#[derive(Debug)]
pub enum RequestError {
    /// The connection was closed before the request was sent.
    NotSent(Box<Request<Full<Bytes>>>),
    /// The connection failed; the request may have been sent.
    Broken,
}

impl Connection {
    /// Opens a connection; `None` if the server doesn't accept it in time.
    pub async fn open(
        address: SocketAddr,
        limit: Duration,
        now: impl Fn() -> Instant,
    ) -> Option<Self> {
        let stream = timeout(limit, TcpStream::connect(address)).await.ok()?.ok()?;
        drop(stream.set_nodelay(true));
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        let driver = tokio::spawn(async move { drop(connection.await) });
        let _driver = AbortOnDropHandle::new(driver);
        Some(Self { sender, opened_at: now(), is_proven: false, _driver })
    }

    /// Whether a request can be sent.
    pub fn is_open(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits until the next request can be sent; false if the connection is closed.
    pub async fn wait_until_idle(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// The connection has been closed or reset, or the response is too large.
    pub async fn request(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<BufferedResponse, RequestError> {
        let response = self.sender.try_send_request(request).await;
        let response = response.map_err(|mut error| match error.take_message() {
            Some(request) => RequestError::NotSent(Box::new(request)),
            None => RequestError::Broken,
        })?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(|_| RequestError::Broken)?.to_bytes();
        Ok(BufferedResponse { status: parts.status, headers: parts.headers, body })
    }
}
