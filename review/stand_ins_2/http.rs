//! Blocking HTTP/1.1 server and client for the stand-ins.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

pub struct Request {
    /// Path and query.
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Value of a query parameter, percent-decoded.
    pub fn query(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map_or_else(String::new, |(_, value)| decode(value))
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

fn decode(text: &str) -> String {
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

/// What a handler does with a request.
pub enum Reply {
    Respond(u16, String),
    /// Closes the connection without a response.
    Drop,
}

/// Server that can be closed with all its connections, as a crash closes them.
pub struct Server {
    closed: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    acceptor: Option<thread::JoinHandle<()>>,
}

impl Server {
    pub fn start(
        address: SocketAddr,
        handler: impl Fn(Request) -> Reply + Send + Sync + 'static,
    ) -> io::Result<Server> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let closed = Arc::new(AtomicBool::new(false));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let handler = Arc::new(handler);
        let (is_closed, accepted) = (closed.clone(), streams.clone());
        let acceptor = thread::spawn(move || {
            while !is_closed.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                stream.set_nonblocking(false).ok();
                stream.set_nodelay(true).ok();
                if let Ok(copy) = stream.try_clone() {
                    accepted.lock().unwrap().push(copy);
                }
                let handler = handler.clone();
                thread::spawn(move || serve(stream, &*handler));
            }
        });
        Ok(Server { closed, streams, acceptor: Some(acceptor) })
    }

    pub fn close(&mut self) {
        self.closed.store(true, Ordering::SeqCst);
        if let Some(acceptor) = self.acceptor.take() {
            acceptor.join().ok();
        }
        for stream in self.streams.lock().unwrap().drain(..) {
            stream.shutdown(Shutdown::Both).ok();
        }
    }
}

fn serve(stream: TcpStream, handler: &dyn Fn(Request) -> Reply) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = read_request(&mut reader) {
        let Reply::Respond(status, body) = handler(request) else { break };
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let mut response = head.into_bytes();
        response.extend(body.as_bytes());
        if writer.write_all(&response).is_err() {
            break;
        }
    }
    writer.shutdown(Shutdown::Both).ok();
}

fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let target = words.nth(1).unwrap_or_default().to_owned();
    let (headers, body) = read_rest(reader)?;
    Ok(Some(Request { target, headers, body }))
}

type Rest = (Vec<(String, String)>, Vec<u8>);

fn read_rest(reader: &mut BufReader<TcpStream>) -> io::Result<Rest> {
    let mut headers = Vec::new();
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            let value = value.trim().to_owned();
            if name.eq_ignore_ascii_case("content-length") {
                length = value.parse().unwrap_or(0);
            }
            headers.push((name.to_owned(), value));
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok((headers, body))
}

/// Sends one request on a connection of its own. An error is a missing or incomplete response.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> io::Result<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        text.push_str(&format!("Host: {address}\r\n"));
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!(
        "Content-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    ));
    stream.write_all(text.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let status = line.split_whitespace().nth(1).and_then(|word| word.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    let (_, body) = read_rest(&mut reader)?;
    Ok((status, body))
}
