//! Simulation of the platform's transactional table and object store.
//!
//! [`table`] stores the rows and objects. This module serves them over HTTP and simulates rate
//! limits, latency, outages, and responses that are lost after a write has taken effect.

pub mod table;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use http::{Method, Request, Response};
use hyper::body::Incoming;
use rand::RngExt;
use serde::{Deserialize, Serialize};
use serde_json::json;
use teaseltrack::{outcome::ErrorKind, quota::TokenBucket};
use teaseltrack_daemon::{
    http_server::{ResponseBody, json_response, read_json},
    problem::Problem,
};
use teaseltrack_platform::{http_adapter::STORE_PATH, store::StoreCall};
use tokio::{net::TcpListener, time::sleep};
use tokio_util::sync::CancellationToken;

use crate::{
    LabError, options::args::PlatformOptions, platform::table::Table, server::serve_or_abort,
};

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Kind of a store outage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// The store is available.
    #[default]
    None,
    /// Connections are closed without a response.
    Cut,
    /// Requests are accepted but get no response.
    Silent,
}

/// Faults injected into the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Kind of outage.
    pub outage: Outage,
    /// Additional latency of each call, in milliseconds.
    pub latency_ms: f64,
    /// Fraction of writes whose response is lost after the write has taken effect.
    #[serde(rename = "lost_answer_ratio")]
    pub lost_response_ratio: f64,
}

/// Number of calls, by kind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Executed calls by the first segment of their key.
    pub by_prefix: BTreeMap<String, u64>,
    /// Executed writes.
    pub writes: u64,
    /// Executed reads.
    pub reads: u64,
    /// Calls rejected by the rate limits.
    pub throttled: u64,
}

struct State {
    table: Table,
    faults: Faults,
    writes: TokenBucket,
    reads: TokenBucket,
    call_counts: CallCounts,
}

/// Handle to a running store, cheap to clone.
#[derive(Clone)]
pub struct Platform {
    address: SocketAddr,
    latency: Duration,
    state: Arc<Mutex<State>>,
}

impl Platform {
    /// Starts a store.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn start(options: &PlatformOptions) -> Result<Self, LabError> {
        let listener = TcpListener::bind(options.address).await?;
        let now = Instant::now();
        let state = State {
            table: Table::default(),
            faults: Faults::default(),
            writes: TokenBucket::new(options.writes_per_s, options.writes_per_s, now),
            reads: TokenBucket::new(options.reads_per_s, options.reads_per_s, now),
            call_counts: CallCounts::default(),
        };
        let platform = Self {
            address: listener.local_addr()?,
            latency: options.latency,
            state: Arc::new(Mutex::new(state)),
        };
        let service = platform.clone();
        let handler = move |request| service.clone().handle(request);
        tokio::spawn(serve_or_abort(listener, CancellationToken::new(), handler));
        Ok(platform)
    }

    /// Address of the store.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Number of calls since the start.
    pub fn call_counts(&self) -> CallCounts {
        self.lock().call_counts.clone()
    }

    /// Reads a row directly, bypassing rate limits and faults, for checks.
    pub fn peek(&self, key: &str) -> Option<String> {
        self.lock().table.read(key).map(|row| row.value)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(self, request: Request<Incoming>) -> Option<Response<ResponseBody>> {
        let path = request.uri().path().to_owned();
        if request.method() != Method::POST {
            return Some(error_response(ErrorKind::InvalidInput, "method: must be POST"));
        }
        match path.as_str() {
            STORE_PATH => match read_json(request.into_body(), MAX_BODY_BYTES).await {
                Ok(call) => self.serve(call).await,
                Err(problem) => Some(problem.into_response()),
            },
            "/faults" => match read_json(request.into_body(), MAX_BODY_BYTES).await {
                Ok(faults) => {
                    self.set_faults(faults);
                    Some(json_response(200, &json!({ "set": true })))
                }
                Err(problem) => Some(problem.into_response()),
            },
            _ => Some(error_response(ErrorKind::NotFound, "path: must be /store or /faults")),
        }
    }

    async fn serve(&self, call: StoreCall) -> Option<Response<ResponseBody>> {
        let faults = self.lock().faults;
        match faults.outage {
            Outage::None => {}
            Outage::Cut => return None,
            Outage::Silent => std::future::pending().await,
        }
        sleep(self.latency + Duration::from_secs_f64(faults.latency_ms / 1_000.0)).await;
        let is_write = call.is_write();
        let reply = self.apply(call);
        let Some(reply) = reply else {
            return Some(error_response(ErrorKind::StoreUnavailable, "beyond the limit"));
        };
        let is_response_lost = is_write && rand::rng().random::<f64>() < faults.lost_response_ratio;
        if is_response_lost {
            return None;
        }
        Some(json_response(200, &reply))
    }

    fn apply(&self, call: StoreCall) -> Option<teaseltrack_platform::store::StoreReply> {
        let mut state = self.lock();
        let bucket = if call.is_write() { &mut state.writes } else { &mut state.reads };
        if bucket.take(1.0, Instant::now()).is_err() {
            state.call_counts.throttled += 1;
            return None;
        }
        let count = if call.is_write() {
            &mut state.call_counts.writes
        } else {
            &mut state.call_counts.reads
        };
        *count += 1;
        *state.call_counts.by_prefix.entry(key_prefix(&call)).or_insert(0) += 1;
        Some(state.table.apply(call))
    }
}

/// Returns the first segment of a call's key, which for a transaction is that of its first write.
fn key_prefix(call: &StoreCall) -> String {
    let key = match call {
        StoreCall::Read { key }
        | StoreCall::PutObject { key, .. }
        | StoreCall::GetObject { key } => key.as_str(),
        StoreCall::List { prefix, .. } => prefix.as_str(),
        StoreCall::Version { table } | StoreCall::Changes { table, .. } => table.as_str(),
        StoreCall::Commit(transaction) => {
            transaction.writes.first().map_or("", |write| write.key.as_str())
        }
    };
    key.split(['/', '-']).next().unwrap_or_default().to_owned()
}

fn error_response(kind: ErrorKind, detail: &str) -> Response<ResponseBody> {
    Problem::new(kind, detail).into_response()
}

/// Serves a store until the process is terminated.
///
/// # Errors
///
/// The address can't be bound.
pub async fn run(options: &PlatformOptions) -> Result<(), LabError> {
    let platform = Platform::start(options).await?;
    println!("platform listening on {}", platform.address());
    std::future::pending().await
}
