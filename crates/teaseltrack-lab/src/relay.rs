//! TCP relay that injects connection faults: refusal, truncation, delay, stalls and silence.
//!
//! A silent connection stays open and takes what is sent on it, but passes nothing on any more; neither
//! end is told.

use std::{
    future::pending,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, Weak,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
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

/// Size of the copy buffer, in bytes.
const BUFFER_BYTES: usize = 16 << 10;

/// Faults injected into the connections of a relay.
#[derive(Clone, Copy, Debug, Default)]
pub struct RelayFaults {
    /// Whether new connections are closed immediately.
    pub is_refusing: bool,
    /// Closes a connection after this number of bytes from the client.
    pub cut_after_request_bytes: Option<u64>,
    /// Closes a connection after this number of bytes from the upstream server.
    pub cut_after_response_bytes: Option<u64>,
    /// Delay of each chunk.
    pub delay: Duration,
    /// Whether data from the client is withheld, also on open connections.
    pub stalls_requests: bool,
    /// Whether data from the upstream server is withheld, also on open connections.
    pub stalls_responses: bool,
}

/// What a silent connection no longer passes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Silence {
    /// Requests.
    Requests,
    /// Responses.
    Responses,
    /// Both.
    Both,
}

/// Directions in which a connection is silent.
#[derive(Debug, Default)]
struct SilentDirections {
    to_upstream: AtomicBool,
    to_client: AtomicBool,
}

/// Interval for checking whether a stall has ended.
const STALL_POLL_PERIOD: Duration = Duration::from_millis(20);

/// Handle to a running relay, cheap to clone.
#[derive(Clone, Debug)]
pub struct Relay {
    address: SocketAddr,
    faults: Arc<Mutex<RelayFaults>>,
    connections: Arc<Mutex<CancellationToken>>,
    /// The open connections, in the order in which they were opened.
    open: Arc<Mutex<Vec<Weak<SilentDirections>>>>,
    accepted_count: Arc<AtomicU64>,
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
            open: Arc::default(),
            accepted_count: Arc::default(),
        };
        tokio::spawn(relay.clone().accept(listener, upstream));
        Ok(relay)
    }

    /// Listen address of the relay.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the injected faults; refusal, delay and byte limits apply only to new connections.
    pub fn set_faults(&self, faults: RelayFaults) {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// Closes all open connections.
    pub fn cut_all(&self) {
        let mut connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        connections.cancel();
        *connections = CancellationToken::new();
    }

    /// Silences the open connections whose index `is_chosen`, for good; new ones work. Returns their
    /// number.
    pub fn silence(&self, silence: Silence, is_chosen: impl Fn(usize) -> bool) -> usize {
        let open: Vec<_> = self.lock_open().iter().filter_map(Weak::upgrade).collect();
        let mut count = 0;
        for (_, directions) in open.iter().enumerate().filter(|(index, _)| is_chosen(*index)) {
            if silence != Silence::Responses {
                directions.to_upstream.store(true, Ordering::Relaxed);
            }
            if silence != Silence::Requests {
                directions.to_client.store(true, Ordering::Relaxed);
            }
            count += 1;
        }
        count
    }

    /// Number of connections that were accepted.
    pub fn accepted_count(&self) -> u64 {
        self.accepted_count.load(Ordering::Relaxed)
    }

    fn lock_open(&self) -> MutexGuard<'_, Vec<Weak<SilentDirections>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn faults(&self) -> RelayFaults {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn accept(self, listener: TcpListener, upstream: SocketAddr) {
        while let Ok((client, _)) = listener.accept().await {
            let faults = self.faults();
            if faults.is_refusing {
                continue;
            }
            let (to_upstream, to_client) = (self.clone(), self.clone());
            let cut = self.connections.lock().unwrap_or_else(PoisonError::into_inner).clone();
            self.accepted_count.fetch_add(1, Ordering::Relaxed);
            let silent = Arc::new(SilentDirections::default());
            {
                let mut open = self.lock_open();
                open.retain(|directions| directions.strong_count() > 0);
                open.push(Arc::downgrade(&silent));
            }
            tokio::spawn(async move {
                let Ok(upstream) = TcpStream::connect(upstream).await else { return };
                drop(client.set_nodelay(true));
                drop(upstream.set_nodelay(true));
                let (client_read, client_write) = client.into_split();
                let (upstream_read, upstream_write) = upstream.into_split();
                let (delay, request_limit) = (faults.delay, faults.cut_after_request_bytes);
                let response_limit = faults.cut_after_response_bytes;
                tokio::select! {
                    () = copy(
                        client_read, upstream_write, request_limit, delay, &silent.to_upstream,
                        || to_upstream.faults().stalls_requests,
                    ) => {}
                    () = copy(
                        upstream_read, client_write, response_limit, delay, &silent.to_client,
                        || to_client.faults().stalls_responses,
                    ) => {}
                    () = cut.cancelled() => {}
                }
            });
        }
    }
}

/// Copies until end of stream, an I/O error, or the byte limit; once silent, reads without an end.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    limit_bytes: Option<u64>,
    delay: Duration,
    is_silent: &AtomicBool,
    is_stalled: impl Fn() -> bool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut copied = 0;
    loop {
        let read = from.read(&mut buffer).await.unwrap_or(0);
        if is_silent.load(Ordering::Relaxed) {
            if read == 0 {
                pending::<()>().await;
            }
            continue;
        }
        if read == 0 {
            return;
        }
        if !delay.is_zero() {
            sleep(delay).await;
        }
        while is_stalled() {
            sleep(STALL_POLL_PERIOD).await;
        }
        let remaining = limit_bytes.map_or(u64::MAX, |limit| limit.saturating_sub(copied));
        let allowed = (read as u64).min(remaining) as usize;
        if to.write_all(&buffer[..allowed]).await.is_err() || allowed < read {
            return;
        }
        copied += allowed as u64;
    }
}
