//! Stand-in of the platform's store: tables of rows, conditional transactions and a feed.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Reply, Request, Server},
    json::{Json, quote},
};

const TRANSACTION_TIME: Duration = Duration::from_millis(5);
const READ_TIME: Duration = Duration::from_millis(4);
const PAGE_ROWS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

/// Table, part and key.
pub type RowKey = (String, String, String);

#[derive(Default)]
pub struct Rows {
    /// Value in base64 and version of each row.
    pub rows: BTreeMap<RowKey, (String, u64)>,
    pub version: u64,
    log: Vec<(u64, RowKey, Option<String>)>,
}

pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    started_at: Instant,
    /// The transactions of a part are carried out one after another.
    parts: Mutex<BTreeMap<String, Arc<Mutex<()>>>>,
}

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<(Arc<Store>, Server)> {
        let store = Arc::new(Store {
            rows: Mutex::default(),
            changed: Condvar::new(),
            started_at: Instant::now(),
            parts: Mutex::default(),
        });
        let serving = store.clone();
        let server = Server::start(address, move |request| serving.respond(&request))?;
        Ok((store, server))
    }

    /// Writes a row as the operator does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let key = (table.to_owned(), String::new(), key.to_owned());
        rows.write(key, Some(base64(value.as_bytes())));
        self.changed.notify_all();
    }

    fn now_ms(&self) -> u128 {
        self.started_at.elapsed().as_millis()
    }

    fn respond(&self, request: &Request) -> Reply {
        match request.path() {
            "/rows-tx" => self.transact(&request.body),
            "/rows-get" => self.read(request),
            "/rows-feed" => self.feed(request),
            _ => Reply::Respond(400, "{}".to_owned()),
        }
    }

    fn transact(&self, body: &[u8]) -> Reply {
        let Some(body) = Json::parse(body) else { return Reply::Respond(400, "{}".to_owned()) };
        let rows = body.list("Writes").into_iter().chain(body.list("ExpectedRev"));
        let part = rows.map(|row| row.text("part")).next().unwrap_or_default();
        let part = self.parts.lock().unwrap().entry(part).or_default().clone();
        let _turn = part.lock().unwrap();
        thread::sleep(TRANSACTION_TIME);
        let mut rows = self.rows.lock().unwrap();
        let expected = body.list("ExpectedRev");
        let current = |row: &Json| rows.rows.get(&key_of(row)).map_or(0, |(_, version)| *version);
        if expected.iter().any(|row| current(row) != row.number("RowVersion").unwrap_or(0)) {
            let found: Vec<String> = expected
                .iter()
                .filter_map(|row| {
                    let key = key_of(row);
                    let (value, version) = rows.rows.get(&key)?;
                    Some(row_text(&key, *version, Some(value)))
                })
                .collect();
            let (version, now_ms) = (rows.version, self.now_ms());
            let rows = found.join(",");
            return Reply::Respond(
                412,
                format!("{{\"rows\":[{rows}],\"RowVersion\":{version},\"NowMs\":{now_ms}}}"),
            );
        }
        rows.version += 1;
        for write in body.list("Writes") {
            let value = write.text("Value");
            rows.write(key_of(&write), Some(value));
        }
        for removal in body.list("Remove") {
            rows.write(key_of(&removal), None);
        }
        let version = rows.version;
        self.changed.notify_all();
        drop(rows);
        Reply::Respond(200, format!("{{\"RowVersion\":{version},\"NowMs\":{}}}", self.now_ms()))
    }

    fn read(&self, request: &Request) -> Reply {
        thread::sleep(READ_TIME);
        let (table, part) = (request.query("Table"), request.query("part"));
        let (from, to) = (request.query("From"), request.query("To"));
        let limit: usize = request.query("Limit").parse().unwrap_or(PAGE_ROWS).min(PAGE_ROWS);
        let rows = self.rows.lock().unwrap();
        let start = (table.clone(), part.clone(), from);
        let mut texts: Vec<String> = Vec::new();
        let mut bytes = 0;
        let mut has_more = false;
        for (key, (value, version)) in rows.rows.range(start..) {
            if key.0 != table || key.1 != part || (!to.is_empty() && key.2 >= to) {
                break;
            }
            if texts.len() >= limit || bytes > PAGE_BYTES {
                has_more = true;
                break;
            }
            bytes += value.len();
            texts.push(row_text(key, *version, Some(value)));
        }
        let version = rows.version;
        drop(rows);
        let body = format!(
            "{{\"rows\":[{}],\"HasMore\":{has_more},\"RowVersion\":{version},\"NowMs\":{}}}",
            texts.join(","),
            self.now_ms()
        );
        Reply::Respond(200, body)
    }

    fn feed(&self, request: &Request) -> Reply {
        let table = request.query("Table");
        let after: u64 = request.query("After").parse().unwrap_or(0);
        let wait_ms: u64 = request.query("WaitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut rows = self.rows.lock().unwrap();
        loop {
            let newer = rows.log.partition_point(|(version, ..)| *version <= after);
            let changes: Vec<String> = rows.log[newer..]
                .iter()
                .filter(|(_, key, _)| key.0 == table)
                .map(|(version, key, value)| row_text(key, *version, value.as_deref()))
                .collect();
            let remaining = until.saturating_duration_since(Instant::now());
            if !changes.is_empty() || remaining.is_zero() {
                let version = rows.version;
                drop(rows);
                let body = format!(
                    "{{\"rows\":[{}],\"RowVersion\":{version},\"NowMs\":{}}}",
                    changes.join(","),
                    self.now_ms()
                );
                return Reply::Respond(200, body);
            }
            rows = self.changed.wait_timeout(rows, remaining).unwrap().0;
        }
    }
}

impl Rows {
    fn write(&mut self, key: RowKey, value: Option<String>) {
        let version = self.version;
        match &value {
            Some(value) => self.rows.insert(key.clone(), (value.clone(), version)),
            None => self.rows.remove(&key),
        };
        self.log.push((version, key, value));
    }
}

fn key_of(row: &Json) -> RowKey {
    (row.text("Table"), row.text("part"), row.text("Key"))
}

fn row_text((table, part, key): &RowKey, version: u64, value: Option<&str>) -> String {
    let rest = match value {
        Some(value) => format!("\"Value\":{}", quote(value)),
        None => "\"Deleted\":true".to_owned(),
    };
    format!(
        "{{\"Table\":{},\"part\":{},\"Key\":{},{rest},\"RowVersion\":{version}}}",
        quote(table),
        quote(part),
        quote(key)
    )
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().fold(0_u32, |group, byte| group << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            if digit <= chunk.len() {
                let value = group >> (18 - 6 * digit) & 63;
                text.push(char::from(DIGITS[value as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
