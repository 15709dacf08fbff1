//! Minimal HTTP/1.1: a server with a thread for each connection, and a client with a connection for
//! each call.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Interval at which a server looks for new connections and for its end.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(1);
/// Timeout for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Request to a server.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    /// Path without the query.
    pub path: String,
    pub query: String,
    /// Header names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(other, _)| other == name).map(|(_, value)| value.as_str())
    }

    /// Parameter of the query, decoded.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(other, _)| *other == name).map(|(_, value)| decode_percent(value))
    }
}

/// What a server does with a request.
pub enum Answer {
    /// Sends a response.
    Send(u16, String),
    /// Sends nothing and closes the connection.
    Close,
}

/// Server; ends with `is_open`.
pub struct Server {
    is_open: Arc<AtomicBool>,
}

impl Server {
    /// Listens at the address and answers each request by `handler`.
    pub fn start(
        address: SocketAddr,
        handler: impl Fn(Request) -> Answer + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let is_open = Arc::new(AtomicBool::new(true));
        let handler = Arc::new(handler);
        let open = is_open.clone();
        thread::spawn(move || {
            while open.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let (handler, open) = (handler.clone(), open.clone());
                        thread::spawn(move || drop(serve(stream, &*handler, &open)));
                    }
                    Err(_) => thread::sleep(ACCEPT_INTERVAL),
                }
            }
        });
        Ok(Self { is_open })
    }

    /// Stops listening; open connections are closed after their next request.
    pub fn stop(&self) {
        self.is_open.store(false, Ordering::Relaxed);
    }
}

fn serve(
    stream: TcpStream,
    handler: &(impl Fn(Request) -> Answer + Send + Sync),
    is_open: &AtomicBool,
) -> std::io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        if !is_open.load(Ordering::Relaxed) {
            return Ok(());
        }
        let Answer::Send(status, body) = handler(request) else { return Ok(()) };
        let response = format!(
            "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        writer.write_all(response.as_bytes())?;
    }
    Ok(())
}

fn read_request(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let (method, target) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let (method, path, query) = (method.to_owned(), path.to_owned(), query.to_owned());
    let (headers, body) = read_message(reader)?;
    Ok(Some(Request { method, path, query, headers, body }))
}

fn read_message(
    reader: &mut BufReader<TcpStream>,
) -> std::io::Result<(Vec<(String, String)>, Vec<u8>)> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok((headers, body))
}

/// Sends a request and returns the status and the body of the response; `None` without one in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut request = format!("{method} {target} HTTP/1.1\r\nContent-Type: application/json\r\n");
    for (name, value) in headers {
        request.push_str(&format!("{name}: {value}\r\n"));
    }
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        request.push_str(&format!("Host: {address}\r\n"));
    }
    request.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let (_, body) = read_message(&mut reader).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
