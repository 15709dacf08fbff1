//! One attempt: a request sent to one agent, and the head of its answer.

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

/// Bytes of one chunk of a request's body.
const CHUNK_BYTES: usize = 64 << 10;
/// Largest frame of an answer, in bytes.
const MAX_FRAME_BYTES: usize = 16 << 20;

/// Scheme and authority that HTTP/2 wants named; the connection says which agent it is.
const ORIGIN: &str = "http://agent";

/// Why an attempt failed.
#[derive(Clone, Debug)]
pub struct AttemptFailure {
    /// How.
    pub kind: ErrorKind,
    /// What went wrong.
    pub detail: String,
    /// When the agent thinks that another try may do better.
    pub retry_after: Option<Duration>,
}

impl AttemptFailure {
    fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self { kind, detail: detail.into(), retry_after: None }
    }
}

/// An answer whose head has come.
#[derive(Debug)]
pub struct BegunAnswer {
    /// The head.
    pub head: AnswerHead,
    /// The rest.
    pub frames: Streaming<AnswerFrame>,
    /// Counts the attempt.
    pub guard: AttemptGuard,
    /// When the attempt began.
    pub started_at: Instant,
}

/// What attempts need.
#[derive(Clone)]
pub struct AttemptContext {
    /// Connections to agents.
    pub connections: AgentConnections,
    /// Clock.
    pub clock: SharedClock,
}

/// Sends a request to the chosen agent and waits until `patience_end` for the head of the answer.
///
/// # Errors
///
/// The failure; its kind tells whether the request is proved not to have run.
pub async fn attempt(
    context: &AttemptContext,
    chosen: ChosenTarget,
    guard: AttemptGuard,
    head: RequestHead,
    body: Bytes,
    patience_end: Instant,
) -> Result<BegunAnswer, AttemptFailure> {
    let started_at = context.clock.now();
    let sending = send(context, &chosen, head.clone(), body);
    let result = match timeout_at(patience_end.into(), sending).await {
        Ok(result) => result,
        Err(_) => Err((AttemptFailure::new(ErrorKind::AnswerLost, "no answer in time"), None)),
    };
    let (answer_head, frames) = match result {
        Ok(begun) => begun,
        Err((failure, load)) => {
            guard.end(end_of(&failure, load, context.clock.now().duration_since(started_at)));
            return Err(failure);
        }
    };
    if answer_head.request_id != head.request_id {
        guard.end(AttemptEnd::Failed(context.clock.now().duration_since(started_at)));
        let detail = "the agent answered another request";
        return Err(AttemptFailure::new(ErrorKind::AnswerMismatched, detail));
    }
    Ok(BegunAnswer { head: answer_head, frames, guard, started_at })
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
    let proof = call.proof();
    let mut client = RequestPathClient::with_origin(call, Uri::from_static(ORIGIN))
        .max_decoding_message_size(MAX_FRAME_BYTES);
    let failure = |status: Status| {
        let is_not_sent = proof.load(Ordering::Relaxed);
        (failure_of(&status, is_not_sent), None)
    };
    let response = client.forward(request_frames(head, body)).await.map_err(&failure)?;
    let mut frames = response.into_inner();
    let first = frames.message().await.map_err(&failure)?.and_then(|frame| frame.frame);
    match first {
        Some(answer_frame::Frame::Head(head)) => Ok((head, frames)),
        Some(answer_frame::Frame::Refusal(refusal)) => Err(refused(refusal)),
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

fn failure_of(status: &Status, is_not_sent: bool) -> AttemptFailure {
    let kind = if is_not_sent { ErrorKind::Unreachable } else { ErrorKind::AnswerLost };
    AttemptFailure::new(kind, status.message())
}

fn refused(refusal: Refusal) -> FailureWithLoad {
    let kind = ErrorKind::from_name(&refusal.kind).unwrap_or(ErrorKind::AnswerLost);
    let retry_after = Duration::from_millis(u64::from(refusal.retry_after_ms));
    let failure = AttemptFailure { kind, detail: refusal.detail, retry_after: Some(retry_after) };
    (failure, refusal.load.map(load_report))
}

/// Load as it travels.
pub fn load_report(load: teaseltrack_wire::request_path::LoadReport) -> LoadReport {
    LoadReport {
        in_flight: load.in_flight,
        queued: load.queued,
        limit: load.limit,
        is_draining: load.draining,
    }
}

/// A refusal by the agent says nothing bad about the target; a lost answer does.
fn end_of(failure: &AttemptFailure, load: Option<LoadReport>, elapsed: Duration) -> AttemptEnd {
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
