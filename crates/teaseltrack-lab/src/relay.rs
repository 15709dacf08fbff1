//! A TCP relay that can cut, delay and silence connections.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time::sleep,
};
use tokio_util::sync::CancellationToken;

/// Bytes relayed at once.
const BUFFER_BYTES: usize = 16 << 10;

/// What a relay does to the connections through it.
#[derive(Clone, Copy, Debug, Default)]
pub struct RelayFaults {
    /// New connections are cut.
    pub is_refusing: bool,
    /// Bytes from the caller's side after which a connection is cut.
    pub cut_after_request_bytes: Option<u64>,
    /// Bytes from the other side after which a connection is cut.
    pub cut_after_response_bytes: Option<u64>,
    /// Time that each piece is held back.
    pub delay: Duration,
    /// Whether bytes from the caller's side are held back, also on open connections.
    pub stalls_requests: bool,
    /// Whether bytes from the other side are held back, also on open connections.
    pub stalls_responses: bool,
}

/// Time between two looks at whether bytes are still held back.
const HOLD_PERIOD: Duration = Duration::from_millis(20);

/// A running relay, cheap to clone.
#[derive(Clone, Debug)]
pub struct Relay {
    address: SocketAddr,
    faults: Arc<Mutex<RelayFaults>>,
    connections: Arc<Mutex<CancellationToken>>,
}

impl Relay {
    /// Starts a relay to `upstream`.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn start(address: SocketAddr, upstream: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let relay = Self {
            address: listener.local_addr()?,
            faults: Arc::default(),
            connections: Arc::default(),
        };
        tokio::spawn(relay.clone().accept(listener, upstream));
        Ok(relay)
    }

    /// Address of the relay.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what happens to connections.
    pub fn set_faults(&self, faults: RelayFaults) {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// Cuts all open connections.
    pub fn cut_all(&self) {
        let mut connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        connections.cancel();
        *connections = CancellationToken::new();
    }

    fn faults(&self) -> RelayFaults {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn accept(self, listener: TcpListener, upstream: SocketAddr) {
        while let Ok((caller, _)) = listener.accept().await {
            let faults = self.faults();
            if faults.is_refusing {
                continue;
            }
            let (to_upstream, to_caller) = (self.clone(), self.clone());
            let cut = self.connections.lock().unwrap_or_else(PoisonError::into_inner).clone();
            tokio::spawn(async move {
                let Ok(upstream) = TcpStream::connect(upstream).await else { return };
                drop(caller.set_nodelay(true));
                drop(upstream.set_nodelay(true));
                let (caller_read, caller_write) = caller.into_split();
                let (upstream_read, upstream_write) = upstream.into_split();
                let (delay, request_limit) = (faults.delay, faults.cut_after_request_bytes);
                let answer_limit = faults.cut_after_response_bytes;
                tokio::select! {
                    () = copy(caller_read, upstream_write, request_limit, delay, || {
                        to_upstream.faults().stalls_requests
                    }) => {}
                    () = copy(upstream_read, caller_write, answer_limit, delay, || {
                        to_caller.faults().stalls_responses
                    }) => {}
                    () = cut.cancelled() => {}
                }
            });
        }
    }
}

/// Copies until the end, or until the limit is reached.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    limit_bytes: Option<u64>,
    delay: Duration,
    is_held: impl Fn() -> bool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut copied = 0;
    loop {
        let Ok(read) = from.read(&mut buffer).await else { return };
        if read == 0 {
            return;
        }
        if !delay.is_zero() {
            sleep(delay).await;
        }
        while is_held() {
            sleep(HOLD_PERIOD).await;
        }
        let left = limit_bytes.map_or(u64::MAX, |limit| limit.saturating_sub(copied));
        let passed = (read as u64).min(left) as usize;
        if to.write_all(&buffer[..passed]).await.is_err() || passed < read {
            return;
        }
        copied += passed as u64;
    }
}
