//! Server of the request path: admits requests, forwards them to the target and streams responses.
//!
//! Each admitted request is handled by an async task that occupies its slot. If the caller's
//! deadline passes before the head of the response, the error is returned immediately but the task
//! keeps waiting: the slot is freed only when the target responds or closes the connection.

use std::{
    pin::pin,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, Version, header};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use teaseltrack::{
    admission::{Class, Refusal as AdmissionRefusal, RequestMeta},
    clock::SharedClock,
    outcome::ErrorKind,
};
use teaseltrack_daemon::{metrics::Metrics, spans::Spans};
use teaseltrack_wire::{
    headers,
    request_path::{
        AnswerEnd, AnswerFrame, AnswerHead, Header, LoadReport, Refusal, RequestFrame, RequestHead,
        answer_frame, request_frame, request_path_server::RequestPath,
    },
};
use tokio::{
    sync::{mpsc, oneshot},
    time::{timeout, timeout_at},
};
use tokio_stream::{StreamExt, wrappers::ReceiverStream};
use tonic::{Status, Streaming};

use crate::requests::{
    capacity::{CapacityHandle, CapacityMessage, Permit, RequestOffer},
    target_client::{TargetClient, TargetConnection},
};

/// Capacity of the channel of response frames to the entry.
const RESPONSE_CHANNEL_CAPACITY: usize = 16;
/// Maximum time for reading the rest of a response after the deadline, before the connection is
/// closed.
const BODY_DRAIN_TIMEOUT: Duration = Duration::from_secs(5);
/// Advised retry delay of refusals that don't come from admission control.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// Server of the request path.
#[derive(Clone)]
pub struct ForwardServer {
    /// Handle to the capacity task, which allocates the target's slots.
    pub capacity: CapacityHandle,
    /// Connection pool of the target.
    pub target: TargetClient,
    /// Clock.
    pub clock: SharedClock,
    /// Trace spans.
    pub spans: Spans,
    /// Metrics.
    pub metrics: Metrics,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
}

/// Wrapper of a clock that implements `Debug`.
#[derive(Clone)]
pub struct SharedClockDebug(pub SharedClock);

impl std::fmt::Debug for SharedClockDebug {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Clock")
    }
}

type FrameSender = mpsc::Sender<Result<AnswerFrame, Status>>;

/// A completely received request.
struct ReceivedRequest {
    head: RequestHead,
    body: Bytes,
    deadline: Instant,
}

/// Why a request wasn't forwarded.
struct ForwardError {
    kind: ErrorKind,
    detail: String,
    retry_after: Duration,
}

impl ForwardError {
    fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self { kind, detail: detail.into(), retry_after: RETRY_AFTER }
    }
}

#[tonic::async_trait]
impl RequestPath for ForwardServer {
    type ForwardStream = ReceiverStream<Result<AnswerFrame, Status>>;

    async fn forward(
        &self,
        request: tonic::Request<Streaming<RequestFrame>>,
    ) -> Result<tonic::Response<Self::ForwardStream>, Status> {
        let received = self.receive(request.into_inner()).await?;
        let (frames, receiver) = mpsc::channel(RESPONSE_CHANNEL_CAPACITY);
        tokio::spawn(self.clone().handle(received, frames));
        Ok(tonic::Response::new(ReceiverStream::new(receiver)))
    }
}

impl ForwardServer {
    async fn receive(
        &self,
        mut stream: Streaming<RequestFrame>,
    ) -> Result<ReceivedRequest, Status> {
        let received_at = self.clock.now();
        let first = stream.next().await.transpose()?.and_then(|frame| frame.frame);
        let Some(request_frame::Frame::Head(head)) = first else {
            return Err(Status::invalid_argument("the first frame must be a head"));
        };
        let mut body = Vec::new();
        while let Some(frame) = stream.next().await.transpose()? {
            let Some(request_frame::Frame::Chunk(chunk)) = frame.frame else {
                return Err(Status::invalid_argument("only the first frame may be a head"));
            };
            if body.len() + chunk.len() > self.max_body_bytes {
                return Err(Status::out_of_range("body: larger than the agent's limit"));
            }
            body.extend_from_slice(&chunk);
        }
        let deadline = received_at + Duration::from_millis(u64::from(head.remaining_ms));
        Ok(ReceivedRequest { head, body: body.into(), deadline })
    }

    /// Handles a request; its slot stays occupied for as long as the target may be working on it.
    async fn handle(self, received: ReceivedRequest, frames: FrameSender) {
        let request_id = received.head.request_id.clone();
        let span = self.spans.start("agent.request", non_empty(&received.head.traceparent));
        span.set("request_id", request_id.clone());
        let permit = match self.admit(&received, &frames).await {
            Ok(permit) => permit,
            Err(error) => {
                self.refuse(&frames, &request_id, error).await;
                return;
            }
        };
        let started_at = self.clock.now();
        let traceparent = span.traceparent().map(str::to_owned);
        let is_complete = self.forward_admitted(received, traceparent, &permit, &frames).await;
        let latency = is_complete.then(|| self.clock.now().duration_since(started_at));
        if let Some(latency) = latency {
            self.metrics.time("target_latency", latency);
        }
        self.capacity.send(CapacityMessage::Release(permit, latency)).await;
    }

    /// Waits for a slot; stops waiting if the caller disconnects.
    async fn admit(
        &self,
        received: &ReceivedRequest,
        frames: &FrameSender,
    ) -> Result<Permit, ForwardError> {
        let (reply, mut admission) = oneshot::channel();
        let head = &received.head;
        let meta = RequestMeta {
            class: Class::from_urgency(head.urgency),
            team: head.team.clone(),
            deadline: received.deadline,
        };
        let offer = RequestOffer { service: head.service.clone(), meta, reply };
        self.capacity.send(CapacityMessage::Offer(offer)).await;
        let admitted = tokio::select! {
            admitted = &mut admission => admitted,
            () = frames.closed() => {
                self.release_unclaimed(admission).await;
                return Err(ForwardError::new(ErrorKind::DeadlineExceeded, "the caller went away"));
            }
        };
        match admitted {
            Ok(Ok(permit)) => Ok(permit),
            Ok(Err(AdmissionRefusal { kind, retry_after })) => {
                Err(ForwardError { kind, detail: kind.to_string(), retry_after })
            }
            Err(_) => Err(ForwardError::new(ErrorKind::Draining, "the agent stops")),
        }
    }

    /// Releases the slot of a request that was admitted just as its caller disconnected.
    async fn release_unclaimed(
        &self,
        mut admission: oneshot::Receiver<Result<Permit, AdmissionRefusal>>,
    ) {
        admission.close();
        if let Ok(Ok(permit)) = admission.try_recv() {
            self.capacity.send(CapacityMessage::Release(permit, None)).await;
        }
    }

    /// Forwards an admitted request; returns whether the target's response was complete.
    async fn forward_admitted(
        &self,
        received: ReceivedRequest,
        traceparent: Option<String>,
        permit: &Permit,
        frames: &FrameSender,
    ) -> bool {
        let request_id = received.head.request_id.clone();
        let deadline = received.deadline.into();
        let remaining = received.deadline.saturating_duration_since(self.clock.now());
        let request = match target_request(received, traceparent, remaining) {
            Ok(request) => request,
            Err(error) => {
                self.refuse(frames, &request_id, error).await;
                return false;
            }
        };
        let connection = match self.target.connection(permit.target).await {
            Ok(connection) => connection,
            Err(kind) => {
                let error = ForwardError::new(kind, "the target can't be reached");
                self.refuse(frames, &request_id, error).await;
                return false;
            }
        };
        let mut sending = pin!(self.target.send(connection, request));
        let Ok(response) = timeout_at(deadline, sending.as_mut()).await else {
            let error = ForwardError::new(ErrorKind::AnswerLost, "no answer by the deadline");
            self.refuse(frames, &request_id, error).await;
            // The target may still be working: keep the slot until it responds or disconnects.
            if let Ok((late, _)) = sending.await {
                drain_body(late.into_body()).await;
            }
            return false;
        };
        match response {
            Ok((response, connection)) => {
                let response = TargetResponse { request_id, response, deadline };
                self.stream_response(response, connection, frames).await
            }
            Err(kind) => {
                let error = ForwardError::new(kind, "the target closed the connection");
                self.refuse(frames, &request_id, error).await;
                false
            }
        }
    }

    /// Streams the target's response; returns whether it was complete.
    async fn stream_response(
        &self,
        target_response: TargetResponse,
        connection: TargetConnection,
        frames: &FrameSender,
    ) -> bool {
        let TargetResponse { request_id, response, deadline } = target_response;
        if let Err(error) = validate_response(&request_id, &response) {
            self.refuse(frames, &request_id, error).await;
            return false;
        }
        let (parts, mut body) = response.into_parts();
        let head = AnswerHead {
            request_id: request_id.clone(),
            status: u32::from(parts.status.as_u16()),
            headers: wire_headers(&parts.headers),
            load: None,
        };
        send_frame(frames, answer_frame::Frame::Head(head)).await;
        let mut body_bytes = 0;
        loop {
            let Ok(next) = timeout_at(deadline, body.frame()).await else {
                let status = Status::deadline_exceeded("no whole answer by the deadline");
                frames.send(Err(status)).await.ok();
                drain_body(body).await;
                return false;
            };
            let chunk = match next {
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                Some(Err(_)) => {
                    frames.send(Err(Status::data_loss("the answer stopped short"))).await.ok();
                    return false;
                }
                None => break,
            };
            body_bytes += chunk.len() as u64;
            if chunk.is_empty() {
                continue;
            }
            // A caller that doesn't read the response must not block the slot past its deadline.
            let sending = send_frame(frames, answer_frame::Frame::Chunk(chunk));
            if timeout_at(deadline, sending).await.is_err() {
                drain_body(body).await;
                return false;
            }
        }
        self.target.return_to_pool(connection);
        let load = Some(self.load());
        send_frame(frames, answer_frame::Frame::End(AnswerEnd { request_id, body_bytes, load }))
            .await;
        true
    }

    async fn refuse(&self, frames: &FrameSender, request_id: &str, error: ForwardError) {
        let refusal = Refusal {
            request_id: request_id.to_owned(),
            kind: error.kind.name().to_owned(),
            detail: error.detail,
            retry_after_ms: error.retry_after.as_millis() as u32,
            load: Some(self.load()),
        };
        send_frame(frames, answer_frame::Frame::Refusal(refusal)).await;
    }

    fn load(&self) -> LoadReport {
        let load = self.capacity.load();
        LoadReport {
            in_flight: load.in_flight,
            queued: load.queued,
            limit: load.limit,
            draining: load.is_draining,
        }
    }
}

/// Response of the target, with its head received and its body pending.
struct TargetResponse {
    request_id: String,
    response: Response<Incoming>,
    deadline: tokio::time::Instant,
}

/// Rejects a response to another request, and a response whose framing can't reveal truncation.
fn validate_response(request_id: &str, response: &Response<Incoming>) -> Result<(), ForwardError> {
    let echoed = response.headers().get(headers::REQUEST_ID);
    if echoed.is_some_and(|echoed| echoed.as_bytes() != request_id.as_bytes()) {
        let detail = "the target answered another request";
        return Err(ForwardError::new(ErrorKind::AnswerMismatched, detail));
    }
    let is_chunked = response.headers().contains_key(header::TRANSFER_ENCODING);
    let is_framed = response.body().size_hint().exact().is_some() || is_chunked;
    if !is_framed || response.version() < Version::HTTP_11 {
        let detail = "the target's answer has neither a length nor chunks";
        return Err(ForwardError::new(ErrorKind::AnswerTruncated, detail));
    }
    Ok(())
}

fn target_request(
    received: ReceivedRequest,
    traceparent: Option<String>,
    remaining: Duration,
) -> Result<Request<Full<Bytes>>, ForwardError> {
    let head = received.head;
    let invalid = |detail: String| ForwardError::new(ErrorKind::InvalidInput, detail);
    let method = Method::from_bytes(head.method.as_bytes())
        .map_err(|_| invalid(format!("method: {} is none", head.method)))?;
    let mut request = Request::new(Full::new(received.body));
    *request.method_mut() = method;
    *request.uri_mut() = head
        .path_and_query
        .parse()
        .map_err(|_| invalid(format!("path: {} is none", head.path_and_query)))?;
    let map = request.headers_mut();
    for Header { name, value } in head.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(&value)) {
            map.append(name, value);
        }
    }
    insert_header(map, headers::REQUEST_ID, &head.request_id);
    map.insert(headers::TIMEOUT_MS, HeaderValue::from(remaining.as_millis() as u64));
    if let Some(traceparent) = traceparent {
        insert_header(map, headers::TRACEPARENT, &traceparent);
    }
    Ok(request)
}

fn insert_header(map: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        map.insert(name, value);
    }
}

fn wire_headers(map: &HeaderMap) -> Vec<Header> {
    map.iter()
        .filter(|(name, _)| !is_connection_header(name))
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

fn is_connection_header(name: &HeaderName) -> bool {
    [header::CONNECTION, header::TRANSFER_ENCODING, header::UPGRADE].contains(name)
        || name.as_str() == "keep-alive"
}

async fn send_frame(frames: &FrameSender, frame: answer_frame::Frame) {
    frames.send(Ok(AnswerFrame { frame: Some(frame) })).await.ok();
}

/// Reads the rest of a response so that the target can finish, for at most `BODY_DRAIN_TIMEOUT`.
async fn drain_body(mut body: Incoming) {
    drop(
        timeout(BODY_DRAIN_TIMEOUT, async {
            while body.frame().await.is_some_and(|f| f.is_ok()) {}
        })
        .await,
    );
}

fn non_empty(text: &str) -> Option<&str> {
    (!text.is_empty()).then_some(text)
}
