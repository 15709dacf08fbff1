//! A single attempt: sends a request to one agent and receives the head of the response.

use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::Uri;
use teaseltrack::{clock::SharedClock, outcome::ErrorKind, routing::LoadReport};
use teaseltrack_wire::request_path::{
    AnswerFrame, AnswerHead, Refusal, RequestFrame, RequestHead, answer_frame, request_frame,
    request_path_client::RequestPathClient,
};
use tokio::time::timeout_at;
use tonic::{Status, Streaming};

use crate::callers::{
    agent_connection::AgentConnections,
    dispatcher::{AttemptEnd, AttemptGuard, ChosenTarget},
};

/// Size of the chunks of a request body, in bytes.
const CHUNK_BYTES: usize = 64 << 10;
/// Maximum size of a response frame, in bytes.
const MAX_FRAME_BYTES: usize = 16 << 20;

/// Scheme and authority required by HTTP/2; the agent is determined by the connection.
const ORIGIN: &str = "http://agent";

/// Failure of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptFailure {
    /// Error kind of the failure.
    pub kind: ErrorKind,
    /// Description of the failure, returned to the caller.
    pub detail: String,
    /// Delay after which a retry may succeed, if the agent sent one.
    pub retry_after: Option<Duration>,
}

impl AttemptFailure {
    fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self { kind, detail: detail.into(), retry_after: None }
    }
}

/// Response whose head has been received.
#[derive(Debug)]
pub struct StartedResponse {
    /// Status and headers.
    pub head: AnswerHead,
    /// Remaining frames: the body and the end of the response.
    pub frames: Streaming<AnswerFrame>,
    /// Guard of the attempt, to be ended with its result.
    pub guard: AttemptGuard,
    /// Start time of the attempt.
    pub started_at: Instant,
}

/// Dependencies of attempts.
#[derive(Clone)]
pub struct AttemptContext {
    /// Connection pool.
    pub connections: AgentConnections,
    /// Time source.
    pub clock: SharedClock,
}

/// Sends a request to the chosen agent and waits for the head of the response until
/// `attempt_deadline`.
///
/// # Errors
///
/// The attempt failed; the kind's outcome is `NotRun` only if the request certainly didn't run.
pub async fn attempt(
    context: &AttemptContext,
    chosen: ChosenTarget,
    guard: AttemptGuard,
    head: RequestHead,
    body: Bytes,
    attempt_deadline: Instant,
) -> Result<StartedResponse, AttemptFailure> {
    let started_at = context.clock.now();
    let sending = send(context, &chosen, head.clone(), body);
    let result = match timeout_at(attempt_deadline.into(), sending).await {
        Ok(result) => result,
        Err(_) => Err((AttemptFailure::new(ErrorKind::AnswerLost, "no answer in time"), None)),
    };
    let (response_head, frames) = match result {
        Ok(started) => started,
        Err((failure, load)) => {
            guard.end(attempt_end(&failure, load, context.clock.now().duration_since(started_at)));
            return Err(failure);
        }
    };
    if response_head.request_id != head.request_id {
        guard.end(AttemptEnd::Failed(context.clock.now().duration_since(started_at)));
        let detail = "the agent answered another request";
        return Err(AttemptFailure::new(ErrorKind::AnswerMismatched, detail));
    }
    Ok(StartedResponse { head: response_head, frames, guard, started_at })
}

type FailureWithLoad = (AttemptFailure, Option<LoadReport>);

async fn send(
    context: &AttemptContext,
    chosen: &ChosenTarget,
    head: RequestHead,
    body: Bytes,
) -> Result<(AnswerHead, Streaming<AnswerFrame>), FailureWithLoad> {
    let call = context
        .connections
        .connection(chosen.agent)
        .await
        .map_err(|kind| (AttemptFailure::new(kind, "the agent can't be reached"), None))?;
    let not_sent_flag = call.not_sent_flag();
    let mut client = RequestPathClient::with_origin(call, Uri::from_static(ORIGIN))
        .max_decoding_message_size(MAX_FRAME_BYTES);
    let failure = |status: Status| {
        let is_not_sent = not_sent_flag.load(Ordering::Relaxed);
        (failure_from_status(&status, is_not_sent), None)
    };
    let response = client.forward(request_frames(head, body)).await.map_err(&failure)?;
    let mut frames = response.into_inner();
    let first = frames.message().await.map_err(&failure)?.and_then(|frame| frame.frame);
    match first {
        Some(answer_frame::Frame::Head(head)) => Ok((head, frames)),
        Some(answer_frame::Frame::Refusal(refusal)) => Err(failure_from_refusal(refusal)),
        _ => Err((AttemptFailure::new(ErrorKind::AnswerLost, "the agent sent no head"), None)),
    }
}

fn request_frames(
    head: RequestHead,
    body: Bytes,
) -> impl futures::Stream<Item = RequestFrame> + Send + 'static {
    let chunks = (0..body.len()).step_by(CHUNK_BYTES).map(move |start| {
        let end = (start + CHUNK_BYTES).min(body.len());
        request_frame::Frame::Chunk(body.slice(start..end))
    });
    let frames = std::iter::once(request_frame::Frame::Head(head)).chain(chunks);
    tokio_stream::iter(frames.map(|frame| RequestFrame { frame: Some(frame) }))
}

fn failure_from_status(status: &Status, is_not_sent: bool) -> AttemptFailure {
    let kind = if is_not_sent { ErrorKind::Unreachable } else { ErrorKind::AnswerLost };
    AttemptFailure::new(kind, status.message())
}

fn failure_from_refusal(refusal: Refusal) -> FailureWithLoad {
    let kind = ErrorKind::from_name(&refusal.kind).unwrap_or(ErrorKind::AnswerLost);
    let retry_after = Duration::from_millis(u64::from(refusal.retry_after_ms));
    let failure = AttemptFailure { kind, detail: refusal.detail, retry_after: Some(retry_after) };
    (failure, refusal.load.map(load_report))
}

/// Converts a load report from its wire format.
pub fn load_report(load: teaseltrack_wire::request_path::LoadReport) -> LoadReport {
    LoadReport {
        in_flight: load.in_flight,
        queued: load.queued,
        limit: load.limit,
        is_draining: load.draining,
    }
}

/// Classifies a failed attempt: a refusal by the agent doesn't count as a failure of the target, a
/// lost response does.
fn attempt_end(
    failure: &AttemptFailure,
    load: Option<LoadReport>,
    elapsed: Duration,
) -> AttemptEnd {
    let is_refusal = load.is_some()
        && !matches!(
            failure.kind,
            ErrorKind::AnswerLost
                | ErrorKind::AnswerTruncated
                | ErrorKind::AnswerMismatched
                | ErrorKind::Unreachable
        );
    if is_refusal { AttemptEnd::Refused(load) } else { AttemptEnd::Failed(elapsed) }
}
