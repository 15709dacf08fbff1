//! Stand-in of a request service.
//!
//! It answers each request with the request's own identifier, tells the ledger before it runs one, and
//! can be slow, fail, or cut connections before or within an answer.

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

/// Time between announcements.
const ANNOUNCE_PERIOD: Duration = Duration::from_millis(500);
/// Time for the agent to answer an announcement, or to drain.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between the first byte of an answer and its cut, so that the byte goes out.
const CUT_DELAY: Duration = Duration::from_millis(20);
/// Largest body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Path that sets the behaviour.
const BEHAVIOUR_PATH: &str = "/lab/behaviour";

/// How a target behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetBehaviour {
    /// Time that a request takes, in milliseconds.
    pub service_time_ms: f64,
    /// Most time on top, drawn evenly, in milliseconds.
    pub jitter_ms: f64,
    /// Share of requests answered with status 500.
    pub error_ratio: f64,
    /// Share of requests whose connection is cut before the answer.
    pub cut_before_ratio: f64,
    /// Share of requests whose connection is cut within the answer.
    pub cut_within_ratio: f64,
}

/// Options of a target.
#[derive(Clone, Debug)]
pub struct TargetOptions {
    /// Address on which it takes requests.
    pub address: SocketAddr,
    /// Address that it announces, if that is a relay's.
    pub advertised: Option<SocketAddr>,
    /// Announcement port of its agent.
    pub announce: SocketAddr,
    /// Service that it answers for.
    pub service: String,
    /// Requests that it takes at once.
    pub slots: u32,
    /// How it behaves.
    pub behaviour: TargetBehaviour,
    /// Where it tells what ran.
    pub ledger: Option<SocketAddr>,
}

/// A running target, cheap to clone.
#[derive(Clone)]
pub struct Target {
    address: SocketAddr,
    slots: u32,
    /// Requests beyond the slots wait their turn here.
    turns: Arc<Semaphore>,
    behaviour: Arc<Mutex<TargetBehaviour>>,
    running: Arc<AtomicU32>,
    ledger: LedgerSender,
    announce: SocketAddr,
    closing: CancellationToken,
    leaving: CancellationToken,
}

struct Running(Arc<AtomicU32>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Target {
    /// Starts a target and its announcements.
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
            turns: Arc::new(Semaphore::new(options.slots as usize)),
            behaviour: Arc::new(Mutex::new(options.behaviour)),
            running: Arc::default(),
            ledger,
            announce: options.announce,
            closing: CancellationToken::new(),
            leaving: CancellationToken::new(),
        };
        let announcement = TargetAnnouncement {
            service: options.service,
            address: options.advertised.unwrap_or(address),
            slots: options.slots,
            process: format!("{:016x}", rand::rng().random::<u64>()),
        };
        let served = target.clone();
        let handler = move |request| served.clone().answer(request);
        tokio::spawn(serve_or_abort(listener, target.closing.clone(), handler));
        tokio::spawn(target.clone().keep_announcing(announcement));
        Ok(target)
    }

    /// Sets the behaviour.
    pub fn set_behaviour(&self, behaviour: TargetBehaviour) {
        *self.behaviour.lock().unwrap_or_else(PoisonError::into_inner) = behaviour;
    }

    /// Leaves by a planned stop: withdraws, waits until the agent has drained, and closes.
    pub async fn shut_down(&self) {
        self.leaving.cancel();
        let client = HttpClient::new(ANNOUNCE_TIMEOUT);
        let answer = client
            .call::<_, serde_json::Value>(Method::DELETE, self.announce, "/target", &json!(null))
            .await;
        drop(answer);
        self.closing.cancel();
    }

    async fn keep_announcing(self, announcement: TargetAnnouncement) {
        let client = HttpClient::new(ANNOUNCE_TIMEOUT);
        loop {
            let answer = client
                .call::<_, serde_json::Value>(Method::PUT, self.announce, "/target", &announcement)
                .await;
            drop(answer);
            tokio::select! {
                () = sleep(ANNOUNCE_PERIOD) => {}
                () = self.leaving.cancelled() => return,
            }
        }
    }

    async fn answer(self, request: Request<Incoming>) -> Option<Response<ResponseBody>> {
        if request.uri().path() == BEHAVIOUR_PATH {
            return Some(match read_json(request.into_body(), MAX_BODY_BYTES).await {
                Ok(behaviour) => {
                    self.set_behaviour(behaviour);
                    json_response(200, &json!({ "set": true }))
                }
                Err(problem) => problem.into_response(),
            });
        }
        self.run(request).await
    }

    async fn run(self, request: Request<Incoming>) -> Option<Response<ResponseBody>> {
        let behaviour = *self.behaviour.lock().unwrap_or_else(PoisonError::into_inner);
        let (parts, body) = request.into_parts();
        let request_id = parts.headers.get(headers::REQUEST_ID).cloned();
        let request_id = request_id.unwrap_or_else(|| HeaderValue::from_static("none"));
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        let guard = Running(self.running.clone());
        (self.ledger)(LedgerEvent::RequestStarted {
            target: self.address,
            request_id: String::from_utf8_lossy(request_id.as_bytes()).into_owned(),
            is_idempotent: parts.method.is_idempotent(),
            running,
            slots: self.slots,
        });
        let received = read_body(body, MAX_BODY_BYTES).await.ok()?;
        let turn = self.turns.acquire().await.ok()?;
        let jitter_ms = behaviour.jitter_ms * rand::rng().random::<f64>();
        sleep(Duration::from_secs_f64((behaviour.service_time_ms + jitter_ms) / 1_000.0)).await;
        drop(turn);
        drop(guard);
        if chance(behaviour.cut_before_ratio) {
            return None;
        }
        let query = parts.uri.query().unwrap_or_default();
        let bytes = query.strip_prefix("bytes=").and_then(|bytes| bytes.parse().ok());
        let mut text = request_id.as_bytes().to_vec();
        text.resize(text.len() + bytes.unwrap_or(received.len()), b'.');
        let mut response = if chance(behaviour.cut_within_ratio) {
            Response::new(cut_body(text))
        } else {
            Response::new(full_body(text))
        };
        if chance(behaviour.error_ratio) {
            *response.status_mut() = http::StatusCode::INTERNAL_SERVER_ERROR;
        }
        response.headers_mut().insert(headers::REQUEST_ID, request_id);
        Some(response)
    }
}

fn chance(ratio: f64) -> bool {
    ratio > 0.0 && rand::rng().random::<f64>() < ratio
}

/// A body that stops short after its first byte has gone out.
fn cut_body(text: Vec<u8>) -> ResponseBody {
    let first = Bytes::from(text).slice(..1);
    let begun = stream::once(ready(Ok(Frame::data(first))));
    let cut = stream::once(async {
        sleep(CUT_DELAY).await;
        Err("the connection is cut".into())
    });
    StreamBody::new(begun.chain(cut)).boxed_unsync()
}

/// Serves requests until the process is asked to stop, then leaves by a planned stop.
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
