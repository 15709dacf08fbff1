//! Simulated request service.
//!
//! The response contains the identifier of its request, so that callers can detect mismatched
//! responses. Each request is recorded in the ledger before it is executed. Faults can be injected:
//! latency, errors, and connections that are closed before or during a response.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use futures::{StreamExt, future::ready, stream};
use http::{HeaderValue, Method, Request, Response};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use serde_json::json;
use teaseltrack_agent::announce::TargetAnnouncement;
use teaseltrack_daemon::{
    http_client::HttpClient,
    http_server::{ResponseBody, full_body, json_response, read_body, read_json},
};
use teaseltrack_wire::headers;
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    sync::Semaphore,
    time::sleep,
};
use tokio_util::sync::CancellationToken;

use crate::{
    LabError,
    ledger::{LedgerEvent, LedgerSender, remote_sender},
    server::serve_or_abort,
};

/// Interval between announcements.
const ANNOUNCE_PERIOD: Duration = Duration::from_millis(500);
/// Timeout for the response to an announcement, and for the agent to drain.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay between the first byte of a truncated response and the close, so that the byte is sent.
const TRUNCATION_DELAY: Duration = Duration::from_millis(20);
/// Maximum size of a body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Path of the endpoint that sets the behaviour.
const BEHAVIOUR_PATH: &str = "/lab/behaviour";

/// Latency and fault injection of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetBehaviour {
    /// Service time of a request, in milliseconds.
    pub service_time_ms: f64,
    /// Upper bound of the uniformly distributed additional service time, in milliseconds.
    pub jitter_ms: f64,
    /// Fraction of requests that get a response with status 500.
    pub error_ratio: f64,
    /// Fraction of requests whose connection is closed after execution, before the response.
    pub cut_before_ratio: f64,
    /// Fraction of requests whose connection is closed during the response.
    pub cut_within_ratio: f64,
}

/// Options of a target.
#[derive(Clone, Debug)]
pub struct TargetOptions {
    /// Listen address for requests.
    pub address: SocketAddr,
    /// Address to announce instead of the listen address, if requests go through a relay.
    pub advertised: Option<SocketAddr>,
    /// Announcement address of its agent.
    pub announce: SocketAddr,
    /// Name of the service that it provides.
    pub service: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Initial behaviour.
    pub behaviour: TargetBehaviour,
    /// Address of the ledger that receives its events, if any.
    pub ledger: Option<SocketAddr>,
}

/// Handle to a running target, cheap to clone.
#[derive(Clone)]
pub struct Target {
    address: SocketAddr,
    slots: u32,
    /// Limits concurrent execution to the slots; further requests wait.
    slot_permits: Arc<Semaphore>,
    behaviour: Arc<Mutex<TargetBehaviour>>,
    running: Arc<AtomicU32>,
    ledger: LedgerSender,
    announce: SocketAddr,
    closing: CancellationToken,
    draining: CancellationToken,
}

/// Decrements the number of running requests on drop.
struct RunningGuard(Arc<AtomicU32>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Target {
    /// Starts a target that announces itself periodically.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn start(options: TargetOptions, ledger: LedgerSender) -> Result<Self, LabError> {
        let listener = TcpListener::bind(options.address).await?;
        let address = listener.local_addr()?;
        let target = Self {
            address,
            slots: options.slots,
            slot_permits: Arc::new(Semaphore::new(options.slots as usize)),
            behaviour: Arc::new(Mutex::new(options.behaviour)),
            running: Arc::default(),
            ledger,
            announce: options.announce,
            closing: CancellationToken::new(),
            draining: CancellationToken::new(),
        };
        let announcement = TargetAnnouncement {
            service: options.service,
            address: options.advertised.unwrap_or(address),
            slots: options.slots,
            process: format!("{:016x}", rand::rng().random::<u64>()),
        };
        let service = target.clone();
        let handler = move |request| service.clone().handle(request);
        tokio::spawn(serve_or_abort(listener, target.closing.clone(), handler));
        tokio::spawn(target.clone().announce_periodically(announcement));
        Ok(target)
    }

    /// Replaces the behaviour.
    pub fn set_behaviour(&self, behaviour: TargetBehaviour) {
        *self.behaviour.lock().unwrap_or_else(PoisonError::into_inner) = behaviour;
    }

    /// Shuts down gracefully: withdraws the announcement, waits until the agent has drained, and
    /// closes all connections.
    pub async fn shut_down(&self) {
        self.draining.cancel();
        let client = HttpClient::new(ANNOUNCE_TIMEOUT);
        let response = client
            .call::<_, serde_json::Value>(Method::DELETE, self.announce, "/target", &json!(null))
            .await;
        drop(response);
        self.closing.cancel();
    }

    async fn announce_periodically(self, announcement: TargetAnnouncement) {
        let client = HttpClient::new(ANNOUNCE_TIMEOUT);
        loop {
            let response = client
                .call::<_, serde_json::Value>(Method::PUT, self.announce, "/target", &announcement)
                .await;
            drop(response);
            tokio::select! {
                () = sleep(ANNOUNCE_PERIOD) => {}
                () = self.draining.cancelled() => return,
            }
        }
    }

    async fn handle(self, request: Request<Incoming>) -> Option<Response<ResponseBody>> {
        if request.uri().path() == BEHAVIOUR_PATH {
            return Some(match read_json(request.into_body(), MAX_BODY_BYTES).await {
                Ok(behaviour) => {
                    self.set_behaviour(behaviour);
                    json_response(200, &json!({ "set": true }))
                }
                Err(problem) => problem.into_response(),
            });
        }
        self.execute(request).await
    }

    async fn execute(self, request: Request<Incoming>) -> Option<Response<ResponseBody>> {
        let behaviour = *self.behaviour.lock().unwrap_or_else(PoisonError::into_inner);
        let (parts, body) = request.into_parts();
        let request_id = parts.headers.get(headers::REQUEST_ID).cloned();
        let request_id = request_id.unwrap_or_else(|| HeaderValue::from_static("none"));
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        let guard = RunningGuard(self.running.clone());
        (self.ledger)(LedgerEvent::RequestStarted {
            target: self.address,
            request_id: String::from_utf8_lossy(request_id.as_bytes()).into_owned(),
            is_idempotent: parts.method.is_idempotent(),
            running,
            slots: self.slots,
        });
        let request_body = read_body(body, MAX_BODY_BYTES).await.ok()?;
        let permit = self.slot_permits.acquire().await.ok()?;
        let jitter_ms = behaviour.jitter_ms * rand::rng().random::<f64>();
        sleep(Duration::from_secs_f64((behaviour.service_time_ms + jitter_ms) / 1_000.0)).await;
        drop(permit);
        drop(guard);
        if random_bool(behaviour.cut_before_ratio) {
            return None;
        }
        // The padding has the length of the request body, or N bytes for the query `bytes=N`.
        let query = parts.uri.query().unwrap_or_default();
        let padding = query.strip_prefix("bytes=").and_then(|bytes| bytes.parse().ok());
        let mut text = request_id.as_bytes().to_vec();
        text.resize(text.len() + padding.unwrap_or(request_body.len()), b'.');
        let mut response = if random_bool(behaviour.cut_within_ratio) {
            Response::new(truncated_body(text))
        } else {
            Response::new(full_body(text))
        };
        if random_bool(behaviour.error_ratio) {
            *response.status_mut() = http::StatusCode::INTERNAL_SERVER_ERROR;
        }
        response.headers_mut().insert(headers::REQUEST_ID, request_id);
        Some(response)
    }
}

fn random_bool(probability: f64) -> bool {
    probability > 0.0 && rand::rng().random::<f64>() < probability
}

/// Creates a body that fails after its first byte has been sent.
fn truncated_body(text: Vec<u8>) -> ResponseBody {
    let first = Bytes::from(text).slice(..1);
    let first_chunk = stream::once(ready(Ok(Frame::data(first))));
    let failure = stream::once(async {
        sleep(TRUNCATION_DELAY).await;
        Err("response truncated by fault injection".into())
    });
    StreamBody::new(first_chunk.chain(failure)).boxed_unsync()
}

/// Serves requests until SIGTERM, then shuts down gracefully.
///
/// # Errors
///
/// The address can't be bound, or the ledger can't be reached.
pub async fn run(options: TargetOptions) -> Result<(), LabError> {
    let ledger = remote_sender(options.ledger)?;
    let target = Target::start(options, ledger).await?;
    signal(SignalKind::terminate())?.recv().await;
    target.shut_down().await;
    Ok(())
}
