//! The callers' port: one request from its head to the last byte of its answer.

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
    attempt::{AttemptContext, AttemptFailure, BegunAnswer, attempt, load_report},
    dispatcher::{AttemptEnd, AttemptGuard, ChosenTarget, DispatchHandle, DispatchMessage},
    parse::{CallerRequest, parse_request},
};

/// Chunks of an answer that may wait for the caller.
const ANSWER_CHUNKS: usize = 16;
/// Part of the remaining time that is kept for the agent's verdict to come back.
const MARGIN_DIVISOR: u32 = 20;
/// Most time that is kept for the agent's verdict to come back.
const MAX_MARGIN: Duration = Duration::from_millis(20);
/// Expected latencies after which an idempotent request is tried elsewhere.
const PATIENCE_LATENCIES: u32 = 20;
/// Least time before an idempotent request is tried elsewhere.
const MIN_PATIENCE: Duration = Duration::from_millis(250);
/// Expected latencies after which a hedge is sent.
const HEDGE_LATENCIES: u32 = 3;
/// Least time before a hedge is sent.
const MIN_HEDGE_WAIT: Duration = Duration::from_millis(10);

/// Server of the callers' port.
#[derive(Clone)]
pub struct CallerServer {
    /// The node, which knows the services in force.
    pub node: NodeHandle,
    /// Owner of the hints.
    pub dispatcher: DispatchHandle,
    /// What attempts need.
    pub attempts: AttemptContext,
    /// Spans.
    pub spans: Spans,
    /// Metrics.
    pub metrics: Metrics,
    /// The planned stop.
    pub shutdown: Shutdown,
    /// Answers that are being streamed.
    pub answers: TaskTracker,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
}

/// A request that is ready to be sent.
struct ReadyRequest {
    request: CallerRequest,
    body: Bytes,
    class: Class,
    is_idempotent: bool,
    is_hedged: bool,
    deadline: Instant,
    traceparent: Option<String>,
}

impl CallerServer {
    /// Answers one request.
    pub async fn answer(self, request: Request<Incoming>) -> Response<ResponseBody> {
        let (parts, body) = request.into_parts();
        let mut response = match parse_request(&parts) {
            Ok(request) => {
                let span = self.spans.start("entry.request", request.traceparent.as_deref());
                span.set("request_id", request.request_id.clone());
                span.set("service", request.service.clone());
                let request_id = request.request_id.clone();
                let answer = self.run(request, body, &span).await;
                answer.unwrap_or_else(|problem| self.refuse(problem, &request_id, &span))
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

    fn refuse(&self, problem: Problem, request_id: &str, span: &HopSpan) -> Response<ResponseBody> {
        self.metrics.count_tagged("answers", "reason", problem.reason.name());
        span.set("reason", problem.reason.name());
        problem.with_request_id(request_id).into_response()
    }

    async fn run(
        &self,
        request: CallerRequest,
        body: Incoming,
        span: &HopSpan,
    ) -> Result<Response<ResponseBody>, Problem> {
        let received_at = self.attempts.clock.now();
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
        let ready = ReadyRequest {
            body: body?,
            class,
            is_idempotent,
            is_hedged: service.is_hedged && is_idempotent && class == Class::Urgent,
            deadline,
            traceparent: span.traceparent().map(str::to_owned),
            request,
        };
        let begun = self.send(&ready).await?;
        self.metrics.count_tagged("answers", "reason", "done");
        Ok(self.stream_answer(ready, begun))
    }

    async fn admit(&self, request: &CallerRequest, class: Class) -> Result<(), Problem> {
        let team = request.team.clone();
        let admitted =
            self.dispatcher.ask(|reply| DispatchMessage::Admit(team, class, reply)).await;
        match admitted {
            Some(Ok(())) => Ok(()),
            Some(Err(wait)) => {
                let detail = format!("{}: quota of {} is used up", headers::TEAM, request.team);
                Err(Problem::new(ErrorKind::QuotaExceeded, detail).with_retry_after(wait))
            }
            None => Err(Problem::new(ErrorKind::Draining, "the entry is stopping")),
        }
    }

    /// Makes attempts until one is answered, none is allowed, or the deadline passes.
    async fn send(&self, ready: &ReadyRequest) -> Result<BegunAnswer, Problem> {
        let mut tried: Vec<TargetKey> = Vec::new();
        let mut is_run_possible = false;
        loop {
            let failure = match self.attempt_or_hedge(ready, &mut tried).await {
                Ok(begun) => return Ok(begun),
                Err(failure) => failure,
            };
            is_run_possible |= failure.kind.outcome() == Outcome::Unknown;
            let failed = FailedAttempt {
                kind: failure.kind,
                attempts: tried.len().max(1) as u32,
                is_idempotent: ready.is_idempotent,
                is_response_started: false,
                remaining: self.remaining(ready),
            };
            let class = ready.class;
            let wait =
                self.dispatcher.ask(|reply| DispatchMessage::Retry(class, failed, reply)).await;
            let Some(Some(wait)) = wait else {
                return Err(problem_of(failure, is_run_possible));
            };
            self.metrics.count_tagged("retries", "reason", failed.kind.name());
            sleep(wait).await;
        }
    }

    async fn attempt_or_hedge(
        &self,
        ready: &ReadyRequest,
        tried: &mut Vec<TargetKey>,
    ) -> Result<BegunAnswer, AttemptFailure> {
        let (chosen, guard) = self.choose(ready, tried).await?;
        let hedge_wait =
            chosen.expected_latency.saturating_mul(HEDGE_LATENCIES).max(MIN_HEDGE_WAIT);
        let first = Box::pin(self.attempt_once(ready, chosen, guard, tried.len()));
        if !ready.is_hedged {
            return first.await;
        }
        let first = match select(first, Box::pin(sleep(hedge_wait))).await {
            Either::Left((result, _)) => return result,
            Either::Right(((), first)) => first,
        };
        let class = ready.class;
        let is_paid = self.dispatcher.ask(|reply| DispatchMessage::Hedge(class, reply)).await;
        if is_paid != Some(true) {
            return first.await;
        }
        let Ok((chosen, guard)) = self.choose(ready, tried).await else { return first.await };
        self.metrics.count("hedges");
        let second = Box::pin(self.attempt_once(ready, chosen, guard, tried.len()));
        match select(first, second).await {
            Either::Left((Ok(begun), _)) | Either::Right((Ok(begun), _)) => Ok(begun),
            Either::Left((Err(_), second)) => second.await,
            Either::Right((Err(_), first)) => first.await,
        }
    }

    async fn choose(
        &self,
        ready: &ReadyRequest,
        tried: &mut Vec<TargetKey>,
    ) -> Result<(ChosenTarget, AttemptGuard), AttemptFailure> {
        let chosen = match self.dispatcher.choose(&ready.request.service, tried).await {
            Some(chosen) => Some(chosen),
            // All known targets were tried: begin again with any of them.
            None => self.dispatcher.choose(&ready.request.service, &[]).await,
        };
        let (chosen, guard) = chosen.ok_or_else(|| AttemptFailure {
            kind: ErrorKind::NoTarget,
            detail: format!("no target of {} is known", ready.request.service),
            retry_after: Some(MIN_PATIENCE),
        })?;
        tried.push(chosen.key);
        Ok((chosen, guard))
    }

    async fn attempt_once(
        &self,
        ready: &ReadyRequest,
        chosen: ChosenTarget,
        guard: AttemptGuard,
        attempts: usize,
    ) -> Result<BegunAnswer, AttemptFailure> {
        let span = self.spans.start("entry.attempt", ready.traceparent.as_deref());
        let remaining = self.remaining(ready);
        let margin = (remaining / MARGIN_DIVISOR).min(MAX_MARGIN);
        let head = request_head(&ready.request, ready.class, remaining - margin, &span);
        let patience_end = self.patience_end(ready, &chosen, attempts);
        let body = ready.body.clone();
        attempt(&self.attempts, chosen, guard, head, body, patience_end).await
    }

    /// An idempotent request with attempts left doesn't wait for one target until the deadline.
    fn patience_end(
        &self,
        ready: &ReadyRequest,
        chosen: &ChosenTarget,
        attempts: usize,
    ) -> Instant {
        if !ready.is_idempotent || attempts >= MAX_ATTEMPTS as usize {
            return ready.deadline;
        }
        let patience = chosen.expected_latency.saturating_mul(PATIENCE_LATENCIES).max(MIN_PATIENCE);
        (self.attempts.clock.now() + patience).min(ready.deadline)
    }

    fn remaining(&self, ready: &ReadyRequest) -> Duration {
        ready.deadline.saturating_duration_since(self.attempts.clock.now())
    }

    /// Streams an answer to the caller; one that stops short ends in a reset, never as if whole.
    fn stream_answer(&self, ready: ReadyRequest, begun: BegunAnswer) -> Response<ResponseBody> {
        let (sender, receiver) = mpsc::channel(ANSWER_CHUNKS);
        let mut response = response_head(&begun.head);
        if let Ok(request_id) = HeaderValue::from_str(&ready.request.request_id) {
            response.headers_mut().insert(headers::REQUEST_ID, request_id);
        }
        let clock = self.attempts.clock.clone();
        let metrics = self.metrics.clone();
        self.answers.spawn(async move {
            let BegunAnswer { frames, guard, started_at, .. } = begun;
            let end = pump(frames, &ready, &sender).await;
            let elapsed = clock.now().duration_since(started_at);
            metrics.time("answer_time", elapsed);
            match end {
                PumpEnd::Whole(load) => {
                    guard.end(AttemptEnd::Answered(elapsed, load));
                    sender.send(AnswerPart::End).await.ok();
                }
                PumpEnd::Truncated(reason) => {
                    metrics.count_tagged("answers_truncated", "reason", reason);
                    guard.end(AttemptEnd::Failed(elapsed));
                }
                PumpEnd::CallerGone => guard.end(AttemptEnd::Abandoned),
            }
        });
        response.map(|()| StreamBody::new(answer_parts(receiver)).boxed_unsync())
    }
}

/// Part of an answer on its way to the caller.
enum AnswerPart {
    Chunk(Bytes),
    /// The answer is whole.
    End,
}

/// The body of an answer: it ends well only after [`AnswerPart::End`].
fn answer_parts(
    receiver: mpsc::Receiver<AnswerPart>,
) -> impl Stream<Item = Result<Frame<Bytes>, BodyError>> {
    stream::unfold(Some(receiver), |receiver| async move {
        let mut receiver = receiver?;
        match receiver.recv().await {
            Some(AnswerPart::Chunk(chunk)) => Some((Ok(Frame::data(chunk)), Some(receiver))),
            Some(AnswerPart::End) => None,
            None => Some((Err("the answer stopped short".into()), None)),
        }
    })
}

enum PumpEnd {
    Whole(Option<teaseltrack::routing::LoadReport>),
    Truncated(&'static str),
    CallerGone,
}

/// Hands an answer's chunks on, and says whether they were all of it.
async fn pump(
    mut frames: tonic::Streaming<teaseltrack_wire::request_path::AnswerFrame>,
    ready: &ReadyRequest,
    sender: &mpsc::Sender<AnswerPart>,
) -> PumpEnd {
    let mut body_bytes = 0;
    loop {
        let next = match timeout_at(ready.deadline.into(), frames.message()).await {
            Ok(Ok(Some(frame))) => frame.frame,
            Ok(Ok(None)) => return PumpEnd::Truncated("the answer has no end"),
            Ok(Err(_)) => return PumpEnd::Truncated("the answer stopped short"),
            Err(_) => return PumpEnd::Truncated("no whole answer by the deadline"),
        };
        match next {
            Some(answer_frame::Frame::Chunk(chunk)) => {
                body_bytes += chunk.len() as u64;
                let sending = sender.send(AnswerPart::Chunk(chunk));
                match timeout_at(ready.deadline.into(), sending).await {
                    Ok(Ok(())) => {}
                    Ok(Err(_)) => return PumpEnd::CallerGone,
                    Err(_) => return PumpEnd::Truncated("not read by the deadline"),
                }
            }
            Some(answer_frame::Frame::End(end)) => {
                let is_whole =
                    end.body_bytes == body_bytes && end.request_id == ready.request.request_id;
                if !is_whole {
                    return PumpEnd::Truncated("the answer's end doesn't match it");
                }
                return PumpEnd::Whole(end.load.map(load_report));
            }
            _ => return PumpEnd::Truncated("unexpected frame"),
        }
    }
}

/// Idempotency by method (RFC 9110), unless the service's record says otherwise.
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

/// What the caller is told; an earlier attempt that may have run leaves the outcome unknown.
fn problem_of(failure: AttemptFailure, is_run_possible: bool) -> Problem {
    let mut problem = Problem::new(failure.kind, failure.detail);
    if is_run_possible {
        problem.outcome = Outcome::Unknown;
    }
    match failure.retry_after {
        Some(wait) => problem.with_retry_after(wait),
        None => problem,
    }
}
