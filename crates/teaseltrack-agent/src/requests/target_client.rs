//! Connection pool of the target.
//!
//! Errors distinguish requests that were provably not sent from requests that may have run.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use teaseltrack::outcome::ErrorKind;
use tokio::{
    net::TcpStream,
    sync::{OwnedSemaphorePermit, Semaphore},
    time::timeout,
};

/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A connection to the target.
#[derive(Debug)]
pub struct TargetConnection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
}

/// Pool of idle connections to the target, with a limit on all open connections.
#[derive(Clone, Debug)]
pub struct TargetClient {
    idle: Arc<Mutex<Vec<TargetConnection>>>,
    permits: Arc<Semaphore>,
    max_connections: usize,
}

impl TargetClient {
    /// Creates a pool with at most `max_connections` open connections.
    pub fn new(max_connections: u32) -> Self {
        let max_connections = max_connections as usize;
        let permits = Arc::new(Semaphore::new(max_connections));
        Self { idle: Arc::default(), permits, max_connections }
    }

    /// Number of open connections, in use or idle.
    pub fn open_connections(&self) -> usize {
        self.max_connections - self.permits.available_permits()
    }

    /// Returns an idle connection, or opens a new one.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Unreachable`]: no connection is available; nothing was sent.
    pub async fn connection(&self, address: SocketAddr) -> Result<TargetConnection, ErrorKind> {
        while let Some(mut connection) = self.take_idle() {
            let is_reusable =
                connection.address == address && connection.sender.ready().await.is_ok();
            if is_reusable {
                return Ok(connection);
            }
        }
        let permit =
            self.permits.clone().try_acquire_owned().map_err(|_| ErrorKind::Unreachable)?;
        assert!(self.open_connections() <= self.max_connections, "too many target connections");
        self.connect(address, permit).await
    }

    /// Sends a request and waits for the head of the response; returns it with the connection.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Unreachable`] guarantees that nothing was sent. After
    /// [`ErrorKind::AnswerLost`], the request may or may not have run.
    pub async fn send(
        &self,
        mut connection: TargetConnection,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, TargetConnection), ErrorKind> {
        let sent = connection.sender.try_send_request(request).await;
        sent.map(|response| (response, connection)).map_err(|mut error| {
            match error.take_message() {
                Some(_) => ErrorKind::Unreachable,
                None => ErrorKind::AnswerLost,
            }
        })
    }

    /// Returns a connection to the pool after its response was read to the end.
    pub fn return_to_pool(&self, connection: TargetConnection) {
        if !connection.sender.is_closed() {
            self.idle.lock().unwrap_or_else(PoisonError::into_inner).push(connection);
        }
    }

    fn take_idle(&self) -> Option<TargetConnection> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).pop()
    }

    async fn connect(
        &self,
        address: SocketAddr,
        permit: OwnedSemaphorePermit,
    ) -> Result<TargetConnection, ErrorKind> {
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let Ok(Ok(stream)) = connected else { return Err(ErrorKind::Unreachable) };
        drop(stream.set_nodelay(true));
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| ErrorKind::Unreachable)?;
        tokio::spawn(async move {
            drop(connection.await);
            drop(permit);
        });
        Ok(TargetConnection { address, sender })
    }
}
