//! Relays connections to a worker. It can silence those that are open: nothing passes on them any more, in
//! either direction, and neither end is told. New connections work.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    thread::{sleep, spawn},
    time::Duration,
};

#[derive(Clone)]
pub struct Proxy {
    /// Number of times that the open connections were silenced.
    epoch: Arc<AtomicU64>,
    open_count: Arc<AtomicUsize>,
}

impl Proxy {
    pub fn start(from: SocketAddr, to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(from)?;
        let proxy = Self { epoch: Arc::default(), open_count: Arc::default() };
        let relaying = proxy.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let relaying = relaying.clone();
                spawn(move || drop(relaying.relay(stream, to)));
            }
        });
        Ok(proxy)
    }

    /// Silences the connections that are open now; returns their number.
    pub fn silence(&self) -> usize {
        self.epoch.fetch_add(1, Ordering::SeqCst);
        self.open_count.swap(0, Ordering::SeqCst)
    }

    fn relay(&self, client: TcpStream, to: SocketAddr) -> io::Result<()> {
        let epoch = self.epoch.load(Ordering::SeqCst);
        let server = TcpStream::connect(to)?;
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        self.open_count.fetch_add(1, Ordering::SeqCst);
        let (upstream, downstream) = (server.try_clone()?, client.try_clone()?);
        let relaying = self.clone();
        spawn(move || relaying.copy(upstream, downstream, epoch));
        self.copy(client, server, epoch);
        if self.epoch.load(Ordering::SeqCst) == epoch {
            self.open_count.fetch_sub(1, Ordering::SeqCst);
        }
        Ok(())
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream, epoch: u64) {
        let mut buffer = [0; 16_384];
        loop {
            let count = from.read(&mut buffer).unwrap_or(0);
            if self.epoch.load(Ordering::SeqCst) != epoch {
                // Neither closed nor reset for as long as the script runs.
                sleep(Duration::from_secs(600));
                return;
            }
            if count == 0 || to.write_all(&buffer[..count]).is_err() {
                drop(to.shutdown(Shutdown::Both));
                drop(from.shutdown(Shutdown::Both));
                return;
            }
        }
    }
}
