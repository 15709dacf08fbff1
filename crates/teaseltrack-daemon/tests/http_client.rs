//! Requests to a server that closes, freezes or stops accepting connections.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use futures::future::join_all;
use http::Request;
use http_body_util::Full;
use teaseltrack_daemon::{
    http_client::{BufferedResponse, CallError, HttpClient, monitor::ConnectionMonitor},
    logs::silent,
    metrics::Metrics,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    time::{sleep, timeout},
};

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Server whose responses wait while it is frozen.
#[derive(Clone, Default)]
struct Server {
    is_frozen: Arc<AtomicBool>,
    /// Whether connections are closed after a response.
    closes: Arc<AtomicBool>,
    /// Whether connections are closed instead of a response.
    breaks: Arc<AtomicBool>,
    request_count: Arc<AtomicUsize>,
}

impl Server {
    async fn serve(self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        loop {
            while !buffer.windows(4).any(|window| window == b"\r\n\r\n") {
                if stream.read_buf(&mut buffer).await.unwrap_or(0) == 0 {
                    return;
                }
            }
            buffer.clear();
            self.request_count.fetch_add(1, Ordering::SeqCst);
            sleep(Duration::from_millis(20)).await;
            while self.is_frozen.load(Ordering::SeqCst) {
                sleep(Duration::from_millis(5)).await;
            }
            if self.breaks.load(Ordering::SeqCst) || stream.write_all(RESPONSE).await.is_err() {
                return;
            }
            if self.closes.load(Ordering::SeqCst) {
                return;
            }
        }
    }

    /// Accepts `limit` connections.
    async fn accept(self, listener: TcpListener, limit: usize) {
        for _ in 0..limit {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(self.clone().serve(stream));
        }
        // Keeps the queue of connections that aren't accepted.
        std::future::pending::<()>().await;
    }
}

async fn start(server: &Server) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(server.clone().accept(listener, usize::MAX));
    address
}

fn client(call_timeout: Duration) -> (HttpClient, Metrics) {
    let metrics = Metrics::scrape_only();
    let monitor = ConnectionMonitor::new(metrics.clone(), silent());
    (HttpClient::new(call_timeout).with_monitor(monitor), metrics)
}

async fn get(client: &HttpClient, address: SocketAddr) -> Result<BufferedResponse, CallError> {
    let request = Request::get(format!("http://{address}/")).body(Full::default()).unwrap();
    client.send(address, request).await
}

fn counted(metrics: &Metrics, name: &str, address: SocketAddr) -> u64 {
    let prefix = format!("teaseltrack_{name}_total{{address=\"{address}\"}} ");
    let text = metrics.text().unwrap();
    let value = text.lines().find_map(|line| line.strip_prefix(&prefix));
    value.map_or(0, |value| value.parse().unwrap())
}

/// Guards against the cost of the remedy for silent connections: a server that freezes for a while must not
/// get more than a connection for each call that it left without a response, and for each idle one.
#[tokio::test]
async fn send_opens_few_connections_while_the_server_is_frozen() {
    const CALLERS: usize = 8;
    let server = Server::default();
    let address = start(&server).await;
    let (client, metrics) = client(Duration::from_millis(300));
    let burst = join_all((0..CALLERS).map(|_| get(&client, address))).await;
    assert!(burst.iter().all(Result::is_ok));
    server.is_frozen.store(true, Ordering::SeqCst);
    let frozen_at = Instant::now();
    let callers = (0..CALLERS).map(async |_| {
        let mut sent_count = 0;
        while frozen_at.elapsed() < Duration::from_millis(1_500) {
            drop(get(&client, address).await);
            sent_count += 1;
        }
        sent_count
    });
    let thaw = async {
        sleep(Duration::from_millis(1_000)).await;
        server.is_frozen.store(false, Ordering::SeqCst);
    };
    let (sent_counts, ()) = tokio::join!(join_all(callers), thaw);
    let lost_count = counted(&metrics, "responses_lost", address);
    let opened_count = counted(&metrics, "connections_opened", address);
    assert!(lost_count >= CALLERS as u64, "{lost_count} lost");
    assert!(opened_count <= lost_count + 2 * CALLERS as u64, "{opened_count} opened");
    // None is sent twice.
    let sent_count = CALLERS + sent_counts.iter().sum::<usize>();
    assert_eq!(server.request_count.load(Ordering::SeqCst), sent_count);
}

/// Guards against a client that can't reach a server whose queue of new connections is full, although open
/// connections work.
#[tokio::test]
async fn send_uses_a_connection_in_doubt_while_none_can_be_opened() {
    let server = Server::default();
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(server.clone().accept(listener, 2));
    let (client, metrics) = client(Duration::from_millis(600));
    let burst = join_all((0..2).map(|_| get(&client, address))).await;
    assert!(burst.iter().all(Result::is_ok));
    let mut queued = Vec::new();
    while let Ok(stream) = timeout(Duration::from_millis(200), TcpStream::connect(address)).await {
        queued.push(stream.unwrap());
    }
    server.is_frozen.store(true, Ordering::SeqCst);
    assert!(matches!(get(&client, address).await, Err(CallError::ResponseLost { .. })));
    assert_eq!(counted(&metrics, "connections_doubtful", address), 1);
    server.is_frozen.store(false, Ordering::SeqCst);
    for _ in 0..3 {
        assert!(get(&client, address).await.is_ok());
    }
    assert_eq!(counted(&metrics, "recoveries_on_earlier_connections", address), 1);
}

/// Guards against a request that is carried out twice, since the client sent it again without knowing that
/// the server hadn't carried it out.
#[tokio::test]
async fn send_repeats_no_request_that_may_have_been_carried_out() {
    let server = Server::default();
    let address = start(&server).await;
    let (client, _) = client(Duration::from_secs(2));
    assert!(get(&client, address).await.is_ok());
    server.breaks.store(true, Ordering::SeqCst);
    assert!(matches!(get(&client, address).await, Err(CallError::ResponseLost { .. })));
    assert_eq!(server.request_count.load(Ordering::SeqCst), 2);
}

/// Guards against a request that fails because the server closed a connection while it was idle.
#[tokio::test]
async fn send_replaces_a_connection_that_was_closed_while_idle() {
    let server = Server::default();
    server.closes.store(true, Ordering::SeqCst);
    let address = start(&server).await;
    let (client, _) = client(Duration::from_secs(2));
    for _ in 0..20 {
        assert!(get(&client, address).await.is_ok());
    }
    assert_eq!(server.request_count.load(Ordering::SeqCst), 20);
}

/// Guards against a request that counts as possibly carried out although there was no connection to send it
/// on.
#[tokio::test]
async fn send_tells_that_no_connection_was_opened() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let (client, metrics) = client(Duration::from_millis(300));
    assert!(matches!(get(&client, address).await, Err(CallError::Unreachable { .. })));
    assert_eq!(counted(&metrics, "connections_failed", address), 1);
}
