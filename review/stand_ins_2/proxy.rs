//! Proxy that stands for a link. While the link is cut, nothing passes: bytes on connections that were
//! open before are held up until the cut has healed, also if their sender has closed the connection
//! since; a connection that is opened meanwhile never reaches the other side.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

const CHECK_INTERVAL: Duration = Duration::from_millis(2);

#[derive(Clone, Default)]
pub struct Link {
    is_cut: Arc<AtomicBool>,
    is_closed: Arc<AtomicBool>,
}

impl Link {
    /// Passes connections to `address` on to `target`.
    pub fn start(address: SocketAddr, target: SocketAddr) -> io::Result<Link> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let link = Link::default();
        let passing = link.clone();
        thread::spawn(move || {
            while !passing.is_closed.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(CHECK_INTERVAL);
                    continue;
                };
                stream.set_nonblocking(false).ok();
                passing.connect(stream, target);
            }
        });
        Ok(link)
    }

    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }

    pub fn close(&self) {
        self.set_cut(false);
        self.is_closed.store(true, Ordering::SeqCst);
    }

    fn connect(&self, near: TcpStream, target: SocketAddr) {
        if self.is_cut.load(Ordering::SeqCst) {
            thread::spawn(move || discard(near));
            return;
        }
        let Ok(far) = TcpStream::connect(target) else { return };
        near.set_nodelay(true).ok();
        far.set_nodelay(true).ok();
        let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else { return };
        for (from, to) in [(near, far_copy), (far, near_copy)] {
            let link = self.clone();
            thread::spawn(move || link.pass(from, to));
        }
    }

    fn pass(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut bytes = [0; 65_536];
        loop {
            let count = from.read(&mut bytes).unwrap_or(0);
            while self.is_cut.load(Ordering::SeqCst) {
                thread::sleep(CHECK_INTERVAL);
            }
            if count == 0 || to.write_all(&bytes[..count]).is_err() {
                to.shutdown(Shutdown::Write).ok();
                return;
            }
        }
    }
}

fn discard(mut stream: TcpStream) {
    let mut bytes = [0; 65_536];
    while stream.read(&mut bytes).is_ok_and(|count| count > 0) {}
}
