//! Client connections for control calls, with a bounded LRU cache.

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

/// Maximum number of cached clients.
const MAX_CACHED_CLIENTS: usize = 24;
/// Timeout for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Cache of connected clients by address, most recently used last.
#[derive(Clone, Debug)]
pub struct ControlClients {
    clients: Arc<Mutex<VecDeque<(SocketAddr, ControlClient)>>>,
    bytes: Arc<ByteCount>,
}

impl ControlClients {
    /// Creates an empty cache; the bytes transferred by all clients are counted in `bytes`.
    pub fn new(bytes: Arc<ByteCount>) -> Self {
        Self { clients: Arc::default(), bytes }
    }

    /// Returns the cached client of an address, or connects one and caches it.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Unreachable`]: no connection could be made.
    pub async fn client(&self, address: SocketAddr) -> Result<ControlClient, ErrorKind> {
        if let Some(client) = self.cached_client(address) {
            return Ok(client);
        }
        let client = self.connect(address).await?;
        self.insert(address, client.clone());
        Ok(client)
    }

    /// Connects a client that isn't cached.
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

    /// Removes the client of an address from the cache, after a failed call.
    pub fn remove(&self, address: SocketAddr) {
        self.lock().retain(|(other, _)| *other != address);
    }

    fn cached_client(&self, address: SocketAddr) -> Option<ControlClient> {
        let mut clients = self.lock();
        let index = clients.iter().position(|(other, _)| *other == address)?;
        let entry = clients.remove(index)?;
        let client = entry.1.clone();
        clients.push_back(entry);
        Some(client)
    }

    fn insert(&self, address: SocketAddr, client: ControlClient) {
        let mut clients = self.lock();
        clients.push_back((address, client));
        if clients.len() > MAX_CACHED_CLIENTS {
            clients.pop_front();
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, VecDeque<(SocketAddr, ControlClient)>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Length-delimited framing of control calls.
pub fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_MESSAGE_BYTES).new_codec()
}

/// Context of a call that times out after `timeout`.
pub fn context_with_timeout(timeout: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + timeout;
    context
}
