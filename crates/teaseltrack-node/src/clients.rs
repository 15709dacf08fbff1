//! Clients of control calls, a bounded number of which stay connected.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use tarpc::{client, context};
use teaseltrack::outcome::ErrorKind;
use teaseltrack_daemon::byte_count::{ByteCount, CountedStream};
use teaseltrack_wire::control::{ControlClient, MAX_MESSAGE_BYTES};
use tokio::{net::TcpStream, time::timeout};
use tokio_serde::formats::MessagePack;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Clients that stay connected.
const MAX_CLIENTS: usize = 24;
/// Time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Clients by address, most lately used last.
#[derive(Clone, Debug)]
pub struct ControlClients {
    clients: Arc<Mutex<VecDeque<(SocketAddr, ControlClient)>>>,
    bytes: Arc<ByteCount>,
}

impl ControlClients {
    /// No clients yet; the bytes of all are counted in `bytes`.
    pub fn new(bytes: Arc<ByteCount>) -> Self {
        Self { clients: Arc::default(), bytes }
    }

    /// A connected client.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Unreachable`]: no connection could be made.
    pub async fn client(&self, address: SocketAddr) -> Result<ControlClient, ErrorKind> {
        if let Some(client) = self.take_connected(address) {
            return Ok(client);
        }
        let client = self.connect(address).await?;
        self.keep(address, client.clone());
        Ok(client)
    }

    /// A client that isn't kept.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Unreachable`]: no connection could be made.
    pub async fn connect(&self, address: SocketAddr) -> Result<ControlClient, ErrorKind> {
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let Ok(Ok(stream)) = connected else { return Err(ErrorKind::Unreachable) };
        drop(stream.set_nodelay(true));
        let framed = Framed::new(CountedStream::new(stream, self.bytes.clone()), codec());
        let transport = tarpc::serde_transport::new(framed, MessagePack::default());
        Ok(ControlClient::new(client::Config::default(), transport).spawn())
    }

    /// Drops the client of an address whose call failed.
    pub fn remove(&self, address: SocketAddr) {
        self.lock().retain(|(other, _)| *other != address);
    }

    fn take_connected(&self, address: SocketAddr) -> Option<ControlClient> {
        let mut clients = self.lock();
        let index = clients.iter().position(|(other, _)| *other == address)?;
        let entry = clients.remove(index)?;
        let client = entry.1.clone();
        clients.push_back(entry);
        Some(client)
    }

    fn keep(&self, address: SocketAddr, client: ControlClient) {
        let mut clients = self.lock();
        clients.push_back((address, client));
        if clients.len() > MAX_CLIENTS {
            clients.pop_front();
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, VecDeque<(SocketAddr, ControlClient)>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The frames of control calls.
pub fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_MESSAGE_BYTES).new_codec()
}

/// A call's context with the given time until its deadline.
pub fn context_with_timeout(time: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + time;
    context
}
