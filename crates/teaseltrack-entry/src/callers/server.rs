//! HTTP server for callers: handles a request from its head to the last byte of the response.

use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::{
    Stream,
    future::{Either, select},
    stream,
};
use http::{HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use teaseltrack::{
    admission::Class,
    outcome::{ErrorKind, Outcome},
    record::ServiceSpec,
    retry::{FailedAttempt, MAX_ATTEMPTS},
    routing::TargetKey,
};
use teaseltrack_daemon::{
    http_server::{BodyError, ResponseBody, read_body},
    metrics::Metrics,
    problem::Problem,
    shutdown::Shutdown,
    spans::{HopSpan, Spans},
};
use teaseltrack_node::node::NodeHandle;
use teaseltrack_wire::{
    headers,
    request_path::{AnswerHead, RequestHead, answer_frame},
};
use tokio::{
    sync::mpsc,
    time::{sleep, timeout_at},
};
use tokio_util::task::TaskTracker;

use crate::callers::{
    attempt::{AttemptContext, AttemptFailure, StartedResponse, attempt, load_report},
    dispatcher::{AttemptEnd, AttemptGuard, ChosenTarget, DispatchHandle, DispatchMessage},
    parse::{CallerRequest, parse_request},
};

/// Maximum number of response chunks buffered for the caller.
const RESPONSE_CHANNEL_CAPACITY: usize = 16;
/// Divisor of the remaining time: the deadline sent to the agent is earlier than the caller's by
/// 1/20 of that time, so that the agent's response arrives before the caller's deadline.
const RESPONSE_MARGIN_DIVISOR: u32 = 20;
/// Maximum time by which the deadline sent to the agent is earlier than the caller's.
const MAX_RESPONSE_MARGIN: Duration = Duration::from_millis(20);
/// Timeout of one attempt of an idempotent request until the response head is received, in
/// multiples of the target's expected latency.
const ATTEMPT_TIMEOUT_FACTOR: u32 = 20;
/// Minimum timeout of one attempt of an idempotent request until the response head is received.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(250);
/// Delay before a hedge is sent, in multiples of the target's expected latency.
const HEDGE_DELAY_FACTOR: u32 = 3;
/// Minimum delay before a hedge is sent.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(10);

/// Handler of callers' requests.
#[derive(Clone)]
pub struct CallerServer {
    /// Node, which provides the active configuration.
    pub node: NodeHandle,
    /// Handle to the dispatcher task, which owns the routing state.
    pub dispatcher: DispatchHandle,
    /// Dependencies of attempts.
    pub attempt_context: AttemptContext,
    /// Source of spans.
    pub spans: Spans,
    /// Recorder of metrics.
    pub metrics: Metrics,
    /// Phases of the graceful shutdown.
    pub shutdown: Shutdown,
    /// Responses that are being streamed.
    pub open_responses: TaskTracker,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
}

/// Admitted request with its complete body.
struct PreparedRequest {
    request: CallerRequest,
    body: Bytes,
    class: Class,
    is_idempotent: bool,
    may_be_hedged: bool,
    deadline: Instant,
    traceparent: Option<String>,
}

impl CallerServer {
    /// Handles one request.
    pub async fn handle(self, request: Request<Incoming>) -> Response<ResponseBody> {
        let (parts, body) = request.into_parts();
        let mut response = match parse_request(&parts) {
            Ok(request) => {
                let span = self.spans.start("entry.request", request.traceparent.as_deref());
                span.set("request_id", request.request_id.clone());
                span.set("service", request.service.clone());
                let request_id = request.request_id.clone();
                let result = self.forward(request, body, &span).await;
                result.unwrap_or_else(|problem| self.error_response(problem, &request_id, &span))
            }
            Err(problem) => {
                self.metrics.count_tagged("answers", "reason", problem.reason.name());
                problem.into_response()
            }
        };
        if self.shutdown.is_draining() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(http::header::CONNECTION, close);
        }
        response
    }

    /// Records an error in metrics and span, and converts it to a response.
    fn error_response(
        &self,
        problem: Problem,
        request_id: &str,
        span: &HopSpan,
    ) -> Response<ResponseBody> {
        self.metrics.count_tagged("answers", "reason", problem.reason.name());
        span.set("reason", problem.reason.name());
        problem.with_request_id(request_id).into_response()
    }

    async fn forward(
        &self,
        request: CallerRequest,
        body: Incoming,
        span: &HopSpan,
    ) -> Result<Response<ResponseBody>, Problem> {
        let received_at = self.attempt_context.clock.now();
        let configuration = self.node.configuration();
        let Some(service) = configuration.service(&request.service) else {
            let detail = format!("service: {} doesn't exist", request.service);
            return Err(Problem::new(ErrorKind::NotFound, detail));
        };
        let class = Class::from_urgency(request.urgency);
        self.admit(&request, class).await?;
        let timeout = request.timeout.unwrap_or(Duration::from_millis(service.timeout_ms));
        let deadline = received_at + timeout;
        let reading = read_body(body, self.max_body_bytes);
        let Ok(body) = timeout_at(deadline.into(), reading).await else {
            return Err(Problem::new(ErrorKind::DeadlineExceeded, "body: didn't come in time"));
        };
        let is_idempotent = is_idempotent(service, &request.method);
        let prepared = PreparedRequest {
            body: body?,
            class,
            is_idempotent,
            may_be_hedged: service.is_hedged && is_idempotent && class == Class::Urgent,
            deadline,
            traceparent: span.traceparent().map(str::to_owned),
            request,
        };
        let started = self.send(&prepared).await?;
        self.metrics.count_tagged("answers", "reason", "done");
        Ok(self.stream_response(prepared, started))
    }

    /// Admits a request within its team's quota.
    async fn admit(&self, request: &CallerRequest, class: Class) -> Result<(), Problem> {
        let team = request.team.clone();
        let admitted =
            self.dispatcher.request(|reply| DispatchMessage::Admit(team, class, reply)).await;
        match admitted {
            Some(Ok(())) => Ok(()),
            Some(Err(wait)) => {
                let detail = format!("{}: quota of {} is used up", headers::TEAM, request.team);
                Err(Problem::new(ErrorKind::QuotaExceeded, detail).with_retry_after(wait))
            }
            None => Err(Problem::new(ErrorKind::Draining, "the entry is stopping")),
        }
    }

    /// Makes attempts until a response head is received or no retry is allowed, for example because
    /// the deadline is too close.
    async fn send(&self, prepared: &PreparedRequest) -> Result<StartedResponse, Problem> {
        let mut tried: Vec<TargetKey> = Vec::new();
        let mut may_have_run = false;
        loop {
            let failure = match self.attempt_or_hedge(prepared, &mut tried).await {
                Ok(started) => return Ok(started),
                Err(failure) => failure,
            };
            may_have_run |= failure.kind.outcome() == Outcome::Unknown;
            let failed = FailedAttempt {
                kind: failure.kind,
                // `tried` is empty if no target could be chosen, which counts as one attempt.
                attempts: tried.len().max(1) as u32,
                is_idempotent: prepared.is_idempotent,
                is_response_started: false,
                remaining: self.remaining(prepared),
            };
            let class = prepared.class;
            let backoff =
                self.dispatcher.request(|reply| DispatchMessage::Retry(class, failed, reply)).await;
            let Some(Some(backoff)) = backoff else {
                return Err(problem_from(failure, may_have_run));
            };
            self.metrics.count_tagged("retries", "reason", failed.kind.name());
            sleep(backoff).await;
        }
    }

    /// Makes one attempt, and a second one as a hedge if the request may be hedged, no response
    /// head arrives within the hedge delay and the retry budget permits it; returns the first
    /// response whose head arrives.
    async fn attempt_or_hedge(
        &self,
        prepared: &PreparedRequest,
        tried: &mut Vec<TargetKey>,
    ) -> Result<StartedResponse, AttemptFailure> {
        let (chosen, guard) = self.choose(prepared, tried).await?;
        let hedge_delay =
            chosen.expected_latency.saturating_mul(HEDGE_DELAY_FACTOR).max(MIN_HEDGE_DELAY);
        let first = Box::pin(self.attempt_once(prepared, chosen, guard, tried.len()));
        if !prepared.may_be_hedged {
            return first.await;
        }
        let first = match select(first, Box::pin(sleep(hedge_delay))).await {
            Either::Left((result, _)) => return result,
            Either::Right(((), first)) => first,
        };
        let class = prepared.class;
        let is_hedge_in_budget =
            self.dispatcher.request(|reply| DispatchMessage::Hedge(class, reply)).await;
        if is_hedge_in_budget != Some(true) {
            return first.await;
        }
        let Ok((chosen, guard)) = self.choose(prepared, tried).await else { return first.await };
        self.metrics.count("hedges");
        let second = Box::pin(self.attempt_once(prepared, chosen, guard, tried.len()));
        match select(first, second).await {
            Either::Left((Ok(started), _)) | Either::Right((Ok(started), _)) => Ok(started),
            Either::Left((Err(_), second)) => second.await,
            Either::Right((Err(_), first)) => first.await,
        }
    }

    async fn choose(
        &self,
        prepared: &PreparedRequest,
        tried: &mut Vec<TargetKey>,
    ) -> Result<(ChosenTarget, AttemptGuard), AttemptFailure> {
        let chosen = match self.dispatcher.choose(&prepared.request.service, tried).await {
            Some(chosen) => Some(chosen),
            // No untried target is available: choose again, including the tried ones.
            None => self.dispatcher.choose(&prepared.request.service, &[]).await,
        };
        let (chosen, guard) = chosen.ok_or_else(|| AttemptFailure {
            kind: ErrorKind::NoTarget,
            detail: format!("no target of {} is known", prepared.request.service),
            // Not an attempt timeout: the same duration serves as the delay before a retry.
            retry_after: Some(MIN_ATTEMPT_TIMEOUT),
        })?;
        tried.push(chosen.key);
        Ok((chosen, guard))
    }

    async fn attempt_once(
        &self,
        prepared: &PreparedRequest,
        chosen: ChosenTarget,
        guard: AttemptGuard,
        attempt_count: usize,
    ) -> Result<StartedResponse, AttemptFailure> {
        let span = self.spans.start("entry.attempt", prepared.traceparent.as_deref());
        let remaining = self.remaining(prepared);
        let margin = (remaining / RESPONSE_MARGIN_DIVISOR).min(MAX_RESPONSE_MARGIN);
        let head = request_head(&prepared.request, prepared.class, remaining - margin, &span);
        let attempt_deadline = self.attempt_deadline(prepared, &chosen, attempt_count);
        let body = prepared.body.clone();
        attempt(&self.attempt_context, chosen, guard, head, body, attempt_deadline).await
    }

    /// Deadline for the response head of one attempt: an idempotent request with attempts left
    /// doesn't wait for a single target until the caller's deadline.
    fn attempt_deadline(
        &self,
        prepared: &PreparedRequest,
        chosen: &ChosenTarget,
        attempt_count: usize,
    ) -> Instant {
        if !prepared.is_idempotent || attempt_count >= MAX_ATTEMPTS as usize {
            return prepared.deadline;
        }
        let attempt_timeout =
            chosen.expected_latency.saturating_mul(ATTEMPT_TIMEOUT_FACTOR).max(MIN_ATTEMPT_TIMEOUT);
        (self.attempt_context.clock.now() + attempt_timeout).min(prepared.deadline)
    }

    fn remaining(&self, prepared: &PreparedRequest) -> Duration {
        prepared.deadline.saturating_duration_since(self.attempt_context.clock.now())
    }

    /// Streams a response to the caller; a truncated response ends in a reset, so that it can't be
    /// mistaken for a complete one.
    fn stream_response(
        &self,
        prepared: PreparedRequest,
        started: StartedResponse,
    ) -> Response<ResponseBody> {
        let (sender, receiver) = mpsc::channel(RESPONSE_CHANNEL_CAPACITY);
        let mut response = response_head(&started.head);
        if let Ok(request_id) = HeaderValue::from_str(&prepared.request.request_id) {
            response.headers_mut().insert(headers::REQUEST_ID, request_id);
        }
        let clock = self.attempt_context.clock.clone();
        let metrics = self.metrics.clone();
        self.open_responses.spawn(async move {
            let StartedResponse { frames, guard, started_at, .. } = started;
            let end = relay(frames, &prepared, &sender).await;
            let elapsed = clock.now().duration_since(started_at);
            metrics.time("answer_time", elapsed);
            match end {
                RelayResult::Complete(load) => {
                    guard.end(AttemptEnd::Completed(elapsed, load));
                    sender.send(ResponsePart::End).await.ok();
                }
                RelayResult::Truncated(reason) => {
                    metrics.count_tagged("answers_truncated", "reason", reason);
                    guard.end(AttemptEnd::Failed(elapsed));
                }
                RelayResult::CallerDisconnected => guard.end(AttemptEnd::Abandoned),
            }
        });
        response.map(|()| StreamBody::new(response_frames(receiver)).boxed_unsync())
    }
}

/// Part of a response that is streamed to the caller.
enum ResponsePart {
    Chunk(Bytes),
    /// The response is complete.
    End,
}

/// Body frames of a response; the stream ends without an error only after [`ResponsePart::End`].
fn response_frames(
    receiver: mpsc::Receiver<ResponsePart>,
) -> impl Stream<Item = Result<Frame<Bytes>, BodyError>> {
    stream::unfold(Some(receiver), |receiver| async move {
        let mut receiver = receiver?;
        match receiver.recv().await {
            Some(ResponsePart::Chunk(chunk)) => Some((Ok(Frame::data(chunk)), Some(receiver))),
            Some(ResponsePart::End) => None,
            None => Some((Err("response truncated".into()), None)),
        }
    })
}

/// Result of relaying a response.
enum RelayResult {
    Complete(Option<teaseltrack::routing::LoadReport>),
    Truncated(&'static str),
    CallerDisconnected,
}

/// Relays the chunks of a response to the caller until it is complete, truncated, or the caller
/// disconnects.
async fn relay(
    mut frames: tonic::Streaming<teaseltrack_wire::request_path::AnswerFrame>,
    prepared: &PreparedRequest,
    sender: &mpsc::Sender<ResponsePart>,
) -> RelayResult {
    let mut body_bytes = 0;
    loop {
        let next = match timeout_at(prepared.deadline.into(), frames.message()).await {
            Ok(Ok(Some(frame))) => frame.frame,
            Ok(Ok(None)) => return RelayResult::Truncated("the answer has no end"),
            Ok(Err(_)) => return RelayResult::Truncated("the answer stopped short"),
            Err(_) => return RelayResult::Truncated("no whole answer by the deadline"),
        };
        match next {
            Some(answer_frame::Frame::Chunk(chunk)) => {
                body_bytes += chunk.len() as u64;
                let sending = sender.send(ResponsePart::Chunk(chunk));
                match timeout_at(prepared.deadline.into(), sending).await {
                    Ok(Ok(())) => {}
                    Ok(Err(_)) => return RelayResult::CallerDisconnected,
                    Err(_) => return RelayResult::Truncated("not read by the deadline"),
                }
            }
            Some(answer_frame::Frame::End(end)) => {
                let is_complete =
                    end.body_bytes == body_bytes && end.request_id == prepared.request.request_id;
                if !is_complete {
                    return RelayResult::Truncated("the answer's end doesn't match it");
                }
                return RelayResult::Complete(end.load.map(load_report));
            }
            _ => return RelayResult::Truncated("unexpected frame"),
        }
    }
}

/// Whether a request is idempotent, by method (RFC 9110) unless the service's record overrides it.
fn is_idempotent(service: &ServiceSpec, method: &Method) -> bool {
    service.is_idempotent.unwrap_or_else(|| method.is_idempotent())
}

fn request_head(
    request: &CallerRequest,
    class: Class,
    remaining: Duration,
    span: &HopSpan,
) -> RequestHead {
    debug_assert_eq!(Class::from_urgency(request.urgency), class);
    RequestHead {
        request_id: request.request_id.clone(),
        service: request.service.clone(),
        method: request.method.to_string(),
        path_and_query: request.path_and_query.clone(),
        headers: request.headers.clone(),
        remaining_ms: remaining.as_millis() as u32,
        urgency: request.urgency,
        team: request.team.clone(),
        traceparent: span.traceparent().unwrap_or_default().to_owned(),
    }
}

fn response_head(head: &AnswerHead) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = StatusCode::from_u16(head.status as u16).unwrap_or(StatusCode::OK);
    for header in &head.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(&header.value)) {
            response.headers_mut().append(name, value);
        }
    }
    response
}

/// Error returned to the caller; its outcome is unknown if the request may have run in any attempt.
fn problem_from(failure: AttemptFailure, may_have_run: bool) -> Problem {
    let mut problem = Problem::new(failure.kind, failure.detail);
    if may_have_run {
        problem.outcome = Outcome::Unknown;
    }
    match failure.retry_after {
        Some(wait) => problem.with_retry_after(wait),
        None => problem,
    }
}
