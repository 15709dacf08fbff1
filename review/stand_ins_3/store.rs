//! Stand-in of the platform's store: rows, transactions and the feed of changes. It keeps its whole
//! history and never fails by itself.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    http::{Request, Response, listen, serve},
    json::{Json, base64_encode, number, object, text},
};

/// Time of an answer, and of a transaction in its part.
const ANSWER_TIME: Duration = Duration::from_millis(4);
const TRANSACTION_TIME: Duration = Duration::from_millis(5);
const MAX_ROWS: usize = 500;
const MAX_ENTRIES: usize = 100;
const MAX_VALUE_BYTES: usize = 65_536;
const MAX_BODY_BYTES: usize = 1_000_000;

/// Table, part and key.
type RowKey = (String, String, String);

#[derive(Clone)]
struct Row {
    value: String,
    version: u64,
}

struct Change {
    version: u64,
    key: RowKey,
    /// `None` for a removed row.
    value: Option<String>,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<RowKey, Row>,
    log: Vec<Change>,
    version: u64,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    parts: Arc<Mutex<BTreeMap<String, Arc<Mutex<()>>>>>,
    started_at: Instant,
}

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let store =
            Self { state: Arc::default(), parts: Arc::default(), started_at: Instant::now() };
        let listener = listen(address)?;
        let served = store.clone();
        serve(listener, move |request| served.handle(request));
        Ok(store)
    }

    /// Writes a row as the operator.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        let key = (table.to_owned(), String::new(), key.to_owned());
        apply(&mut state, vec![(key, Some(base64_encode(value.as_bytes())))]);
        self.state.1.notify_all();
    }

    fn handle(&self, request: &Request) -> Response {
        sleep(ANSWER_TIME);
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/rows-tx") => self.transact(&request.body),
            ("GET", "/rows-get") => self.rows(request),
            ("GET", "/rows-feed") => self.feed(request),
            ("GET", "/rows-parts") => self.list_parts(request),
            _ => (404, "{}".to_owned()),
        }
    }

    fn answer(&self, rows: Vec<Json>, has_more: Option<bool>, version: u64) -> String {
        let Json::Object(mut members) = object([("rows", Json::List(rows))]) else {
            unreachable!()
        };
        if let Some(has_more) = has_more {
            members.push(("HasMore".to_owned(), Json::Bool(has_more)));
        }
        members.push(("RowVersion".to_owned(), number(version)));
        let now_ms = self.started_at.elapsed().as_millis() as u64;
        members.push(("NowMs".to_owned(), number(now_ms)));
        Json::Object(members).to_string()
    }

    fn transact(&self, body: &str) -> Response {
        let bad = || (400, "{}".to_owned());
        let Some(body) = Json::parse(body).filter(|_| body.len() <= MAX_BODY_BYTES) else {
            return bad();
        };
        let key_of = |entry: &Json| -> Option<RowKey> {
            let part = entry.text("part").unwrap_or_default().to_owned();
            Some((entry.text("Table")?.to_owned(), part, entry.text("Key")?.to_owned()))
        };
        let (mut conditions, mut writes) = (Vec::new(), Vec::new());
        for entry in body.list("ExpectedRev") {
            let Some(key) = key_of(entry) else { return bad() };
            conditions.push((key, entry.number("RowVersion").unwrap_or(0)));
        }
        for entry in body.list("Writes") {
            let Some(key) = key_of(entry) else { return bad() };
            let value = entry.text("Value").unwrap_or_default().to_owned();
            if value.len() > MAX_VALUE_BYTES {
                return bad();
            }
            writes.push((key, Some(value)));
        }
        for entry in body.list("Remove") {
            let Some(key) = key_of(entry) else { return bad() };
            writes.push((key, None));
        }
        let keys = conditions.iter().map(|(key, _)| key).chain(writes.iter().map(|(key, _)| key));
        let mut parts: Vec<String> = keys.map(|(_, part, _)| part.clone()).collect();
        if parts.len() > MAX_ENTRIES {
            return bad();
        }
        if writes.iter().any(|((table, ..), _)| table == "op" || table == "servers") {
            return (403, "{}".to_owned());
        }
        parts.sort();
        parts.dedup();
        let [part] = parts.as_slice() else { return bad() };
        let lock = self.parts.lock().unwrap().entry(part.clone()).or_default().clone();
        let _turn = lock.lock().unwrap();
        sleep(TRANSACTION_TIME);
        let mut state = self.state.0.lock().unwrap();
        let version_of = |key: &RowKey| state.rows.get(key).map_or(0, |row| row.version);
        if conditions.iter().any(|(key, version)| version_of(key) != *version) {
            let present = conditions.iter().filter_map(|(key, _)| {
                let row = state.rows.get(key)?;
                Some(row_json(key, Some(&row.value), row.version))
            });
            let present = present.collect();
            return (412, self.answer(present, None, state.version));
        }
        apply(&mut state, writes);
        self.state.1.notify_all();
        let version = state.version;
        (200, self.answer(Vec::new(), None, version))
    }

    fn rows(&self, request: &Request) -> Response {
        let state = self.state.0.lock().unwrap();
        let (table, part) = (request.param("Table").to_owned(), request.param("part").to_owned());
        let (from, to) = (request.param("From").to_owned(), request.param("To"));
        let limit = request.param("Limit").parse().unwrap_or(MAX_ROWS).min(MAX_ROWS);
        let mut found =
            state.rows.range((table.clone(), part.clone(), from)..).take_while(|((t, p, k), _)| {
                *t == table && *p == part && (to.is_empty() || k.as_str() < to)
            });
        let mut rows = Vec::new();
        let mut bytes = 0;
        let mut has_more = false;
        for (key, row) in &mut found {
            bytes += row.value.len();
            if rows.len() == limit || (bytes > MAX_BODY_BYTES && !rows.is_empty()) {
                has_more = true;
                break;
            }
            rows.push(row_json(key, Some(&row.value), row.version));
        }
        (200, self.answer(rows, Some(has_more), state.version))
    }

    fn feed(&self, request: &Request) -> Response {
        let table = request.param("Table");
        let after: u64 = request.param("After").parse().unwrap_or(0);
        let wait_ms: u64 = request.param("WaitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        loop {
            let first = state.log.partition_point(|change| change.version <= after);
            let rows: Vec<Json> = state.log[first..]
                .iter()
                .filter(|change| change.key.0 == table)
                .map(|change| row_json(&change.key, change.value.as_deref(), change.version))
                .collect();
            let now = Instant::now();
            if !rows.is_empty() || now >= until {
                return (200, self.answer(rows, None, state.version));
            }
            state = changed.wait_timeout(state, until - now).unwrap().0;
        }
    }

    fn list_parts(&self, request: &Request) -> Response {
        let state = self.state.0.lock().unwrap();
        let (table, after) = (request.param("Table"), request.param("After"));
        let of_table = state.rows.keys().filter(|(t, ..)| t == table);
        let mut parts: Vec<&String> = of_table.map(|(_, part, _)| part).collect();
        parts.dedup();
        parts.retain(|part| part.as_str() > after || after.is_empty());
        let has_more = parts.len() > 1_000;
        let parts = parts.into_iter().take(1_000).map(|part| text(part.clone())).collect();
        let body = object([("parts", Json::List(parts)), ("HasMore", Json::Bool(has_more))]);
        (200, body.to_string())
    }
}

fn apply(state: &mut State, writes: Vec<(RowKey, Option<String>)>) {
    state.version += 1;
    let version = state.version;
    for (key, value) in writes {
        match &value {
            Some(value) => {
                state.rows.insert(key.clone(), Row { value: value.clone(), version });
            }
            None => {
                state.rows.remove(&key);
            }
        }
        state.log.push(Change { version, key, value });
    }
}

fn row_json((table, part, key): &RowKey, value: Option<&str>, version: u64) -> Json {
    let mut members = vec![
        ("Table".to_owned(), text(table.clone())),
        ("part".to_owned(), text(part.clone())),
        ("Key".to_owned(), text(key.clone())),
        ("RowVersion".to_owned(), number(version)),
    ];
    match value {
        Some(value) => members.push(("Value".to_owned(), text(value))),
        None => members.push(("Deleted".to_owned(), Json::Bool(true))),
    }
    Json::Object(members)
}
