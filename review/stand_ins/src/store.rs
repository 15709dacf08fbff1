//! Stand-in for the platform's metadata store, in the form `table`, with the limits of the settings.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::{
    http::{Answer, Request, Server},
    record::Record,
};

/// Limits, as in the settings of the small deployments.
pub const ROW_BYTES: usize = 65_536;
const MAX_ENTRIES: usize = 100;
const MAX_CALL_BYTES: usize = 1_000_000;
const MAX_PAGE_ROWS: usize = 500;
const MAX_PAGE_BYTES: usize = 1_000_000;
const TRANSACTION_TIME: Duration = Duration::from_millis(5);
const HISTORY: Duration = Duration::from_secs(20);
const WRITES_PER_S: usize = 800;
const READS_PER_S: usize = 2_000;

/// Tables to which only the operator writes.
const OPERATOR_TABLES: [&str; 2] = ["op", "servers"];

type RowKey = (String, String, String);

#[derive(Default)]
struct Rows {
    rows: BTreeMap<RowKey, (String, u64)>,
    version: u64,
    /// Changes within the history: time, version, key and value.
    changes: VecDeque<(Instant, u64, RowKey, Option<String>)>,
    /// Version up to which changes are forgotten.
    forgotten: u64,
    writes: VecDeque<Instant>,
    reads: VecDeque<Instant>,
}

/// The store; cheap to clone.
#[derive(Clone)]
pub struct Store {
    rows: Arc<Mutex<Rows>>,
    changed: Arc<Condvar>,
    parts: Arc<Mutex<HashMap<String, Arc<Mutex<()>>>>>,
    started_at: Instant,
    record: Record,
}

impl Store {
    pub fn start(address: SocketAddr, record: Record) -> std::io::Result<Self> {
        let store = Self {
            rows: Arc::default(),
            changed: Arc::default(),
            parts: Arc::default(),
            started_at: Instant::now(),
            record,
        };
        let served = store.clone();
        Server::start(address, move |request| served.handle(&request))?;
        Ok(store)
    }

    /// Writes a row as the operator.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        let mut rows = self.lock();
        rows.version += 1;
        let text = encode_base64(value.to_string().as_bytes());
        rows.set((table.to_owned(), String::new(), key.to_owned()), Some(text));
        self.changed.notify_all();
    }

    /// Reads a row's value as JSON.
    pub fn get(&self, table: &str, part: &str, key: &str) -> Option<Value> {
        let rows = self.lock();
        let (text, _) = rows.rows.get(&(table.to_owned(), part.to_owned(), key.to_owned()))?;
        serde_json::from_slice(&decode_base64(text)).ok()
    }

    fn lock(&self) -> MutexGuard<'_, Rows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn handle(&self, request: &Request) -> Answer {
        let is_write = request.method == "POST";
        if !self.lock().count_call(is_write) {
            return Answer::Send(429, "{}".to_owned());
        }
        let (status, body) = match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/rows-tx") => self.transact(&request.body),
            ("GET", "/rows-get") => self.read(request),
            ("GET", "/rows-feed") => self.feed(request),
            _ => (404, json!({})),
        };
        Answer::Send(status, body.to_string())
    }

    fn transact(&self, body: &[u8]) -> (u16, Value) {
        let refuse = |status: u16, reason: String| {
            self.record.note("store", format!("transaction refused with {status}: {reason}"));
            (status, json!({ "Error": reason }))
        };
        if body.len() > MAX_CALL_BYTES {
            return refuse(413, format!("{} bytes in a call", body.len()));
        }
        let Ok(body) = serde_json::from_slice::<Value>(body) else {
            return refuse(400, "not JSON".to_owned());
        };
        let entries = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let (conditions, writes, removals) =
            (entries("ExpectedRev"), entries("Writes"), entries("Remove"));
        let all: Vec<&Value> = conditions.iter().chain(&writes).chain(&removals).collect();
        if all.len() > MAX_ENTRIES {
            return refuse(400, format!("{} entries", all.len()));
        }
        let part = all.first().map(|entry| key_of(entry).1).unwrap_or_default();
        if all.iter().any(|entry| key_of(entry).1 != part) {
            return refuse(400, "several parts".to_owned());
        }
        for entry in writes.iter().chain(&removals) {
            let (table, _, key) = key_of(entry);
            if OPERATOR_TABLES.contains(&table.as_str()) {
                return refuse(403, table);
            }
            let length = decoded_length(entry["Value"].as_str().unwrap_or_default());
            if length > ROW_BYTES {
                return refuse(400, format!("row {table}/{part}/{key} has {length} bytes"));
            }
        }
        let in_turn = {
            let mut parts = self.parts.lock().unwrap_or_else(PoisonError::into_inner);
            parts.entry(part).or_default().clone()
        };
        let turn = in_turn.lock().unwrap_or_else(PoisonError::into_inner);
        thread::sleep(TRANSACTION_TIME);
        let mut rows = self.lock();
        let version_of = |rows: &Rows, entry: &Value| {
            rows.rows.get(&key_of(entry)).map_or(0, |(_, version)| *version)
        };
        let holds =
            |entry: &Value| version_of(&rows, entry) == entry["RowVersion"].as_u64().unwrap_or(0);
        if !conditions.iter().all(holds) {
            let keys = conditions.iter().map(key_of);
            let current: Vec<Value> =
                keys.filter_map(|key| Some(row(&key, rows.rows.get(&key)?))).collect();
            return (412, self.page(json!({ "rows": current }), rows.version));
        }
        if !writes.is_empty() || !removals.is_empty() {
            rows.version += 1;
        }
        for entry in &writes {
            let value = entry["Value"].as_str().unwrap_or_default().to_owned();
            rows.set(key_of(entry), Some(value));
        }
        for entry in &removals {
            rows.set(key_of(entry), None);
        }
        let version = rows.version;
        drop(rows);
        drop(turn);
        self.changed.notify_all();
        (200, self.page(json!({}), version))
    }

    fn read(&self, request: &Request) -> (u16, Value) {
        let parameter = |name: &str| request.parameter(name).unwrap_or_default();
        let (table, part) = (parameter("Table"), parameter("part"));
        let (from, to) = (parameter("From"), request.parameter("To"));
        let limit = parameter("Limit").parse().unwrap_or(MAX_PAGE_ROWS).min(MAX_PAGE_ROWS);
        let rows = self.lock();
        let (mut page, mut bytes, mut has_more) = (Vec::new(), 0, false);
        let start = (table.clone(), part.clone(), from);
        for (key, stored) in rows.rows.range(start..) {
            let is_before_end = to.as_ref().is_none_or(|to| key.2 < *to);
            if key.0 != table || key.1 != part || !is_before_end {
                break;
            }
            bytes += stored.0.len();
            if page.len() >= limit || (bytes > MAX_PAGE_BYTES && !page.is_empty()) {
                has_more = true;
                break;
            }
            page.push(row(key, stored));
        }
        (200, self.page(json!({ "rows": page, "HasMore": has_more }), rows.version))
    }

    fn feed(&self, request: &Request) -> (u16, Value) {
        let parameter = |name: &str| request.parameter(name).unwrap_or_default();
        let table = parameter("Table");
        let after: u64 = parameter("After").parse().unwrap_or(0);
        let wait = Duration::from_millis(parameter("WaitMs").parse().unwrap_or(0));
        let until = Instant::now() + wait.min(Duration::from_secs(30));
        let mut rows = self.lock();
        loop {
            if after < rows.forgotten {
                return (410, json!({}));
            }
            let new = rows
                .changes
                .iter()
                .filter(|(_, version, key, _)| *version > after && key.0 == table);
            let page: Vec<Value> = new
                .take(MAX_PAGE_ROWS)
                .map(|(_, version, key, value)| match value {
                    Some(value) => row(key, &(value.clone(), *version)),
                    None => json!({ "Table": key.0, "part": key.1, "Key": key.2,
                        "RowVersion": version, "Deleted": true }),
                })
                .collect();
            let remaining = until.saturating_duration_since(Instant::now());
            if !page.is_empty() || remaining.is_zero() {
                let is_full = page.len() == MAX_PAGE_ROWS;
                let last = page.last().and_then(|row| row["RowVersion"].as_u64());
                let version = last.filter(|_| is_full).unwrap_or(rows.version);
                return (200, self.page(json!({ "rows": page }), version));
            }
            rows = self
                .changed
                .wait_timeout(rows, remaining)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }

    fn page(&self, mut body: Value, version: u64) -> Value {
        body["RowVersion"] = json!(version);
        body["NowMs"] = json!(self.started_at.elapsed().as_millis() as u64);
        body
    }
}

impl Rows {
    fn set(&mut self, key: RowKey, value: Option<String>) {
        let version = self.version;
        match value.clone() {
            Some(value) => drop(self.rows.insert(key.clone(), (value, version))),
            None => drop(self.rows.remove(&key)),
        }
        let now = Instant::now();
        self.changes.push_back((now, version, key, value));
        while self.changes.front().is_some_and(|(at, ..)| now.duration_since(*at) > HISTORY) {
            if let Some((_, version, ..)) = self.changes.pop_front() {
                self.forgotten = version;
            }
        }
    }

    /// Counts a call against the rate limits; returns whether it is within them.
    fn count_call(&mut self, is_write: bool) -> bool {
        let (calls, limit) = if is_write {
            (&mut self.writes, WRITES_PER_S)
        } else {
            (&mut self.reads, READS_PER_S)
        };
        let now = Instant::now();
        while calls.front().is_some_and(|at| now.duration_since(*at) > Duration::from_secs(1)) {
            calls.pop_front();
        }
        calls.push_back(now);
        calls.len() <= limit
    }
}

fn key_of(entry: &Value) -> RowKey {
    let text = |name: &str| entry[name].as_str().unwrap_or_default().to_owned();
    (text("Table"), text("part"), text("Key"))
}

fn row(key: &RowKey, (value, version): &(String, u64)) -> Value {
    json!({ "Table": key.0, "part": key.1, "Key": key.2, "Value": value, "RowVersion": version })
}

fn decoded_length(base64: &str) -> usize {
    base64.trim_end_matches('=').len() * 3 / 4
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn decode_base64(text: &str) -> Vec<u8> {
    let (mut bytes, mut bits, mut count) = (Vec::new(), 0_u32, 0);
    for digit in text.bytes() {
        let Some(value) = DIGITS.iter().position(|other| *other == digit) else { break };
        bits = (bits << 6 | value as u32) & 0xffff;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count) as u8);
        }
    }
    bytes
}

fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0_u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for digit in 0..4 {
            if digit <= chunk.len() {
                text.push(char::from(DIGITS[(bits >> (18 - 6 * digit) & 63) as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
