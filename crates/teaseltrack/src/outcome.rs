//! Error kinds, and the response that a caller receives for each.
//!
//! Every request ends in one of three outcomes. `NotRun` guarantees that no byte of the request
//! reached the target; a process that can't guarantee this reports `Unknown`.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Final status of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The complete response was delivered.
    Done,
    /// The request is guaranteed not to have run.
    NotRun,
    /// The request may or may not have run.
    Unknown,
}

impl Outcome {
    /// Name on the wire.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}

/// Reason why a request, command or query failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// A header, field or key has an invalid value.
    InvalidInput,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The requested service, record or task doesn't exist.
    NotFound,
    /// A record of this name already exists.
    AlreadyExists,
    /// The record has been changed since the revision that the command is based on.
    RevisionConflict,
    /// The team has exhausted its quota.
    QuotaExceeded,
    /// The queue of the request's class is full.
    QueueFull,
    /// The deadline can't be met given the requests that are already queued.
    DeadlineUnmeetable,
    /// The deadline passed while the request was queued.
    DeadlineExceeded,
    /// No target of the service is known.
    NoTarget,
    /// The process is draining and accepts no new requests.
    Draining,
    /// No connection to the target or agent could be established.
    Unreachable,
    /// The request was sent and no response was received.
    AnswerLost,
    /// The response ended early.
    AnswerTruncated,
    /// The response belongs to another request.
    AnswerMismatched,
    /// The platform's store doesn't respond.
    StoreUnavailable,
    /// Internal error of this process.
    Internal,
}

/// Response to a caller for one error kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseRule {
    /// Error kind that the rule applies to.
    pub kind: ErrorKind,
    /// Name on the wire.
    pub name: &'static str,
    /// HTTP status code.
    pub status: u16,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Whether an immediate retry on another target may succeed.
    pub is_retryable: bool,
}

const fn rule(
    kind: ErrorKind,
    name: &'static str,
    status: u16,
    outcome: Outcome,
    is_retryable: bool,
) -> ResponseRule {
    ResponseRule { kind, name, status, outcome, is_retryable }
}

/// Response rules of all error kinds, indexed by kind.
pub const RESPONSE_RULES: [ResponseRule; 17] = [
    rule(ErrorKind::InvalidInput, "invalid_input", 400, Outcome::NotRun, false),
    rule(ErrorKind::BodyTooLarge, "body_too_large", 413, Outcome::NotRun, false),
    rule(ErrorKind::NotFound, "not_found", 404, Outcome::NotRun, false),
    rule(ErrorKind::AlreadyExists, "already_exists", 409, Outcome::NotRun, false),
    rule(ErrorKind::RevisionConflict, "revision_conflict", 412, Outcome::NotRun, false),
    rule(ErrorKind::QuotaExceeded, "quota_exceeded", 429, Outcome::NotRun, false),
    rule(ErrorKind::QueueFull, "queue_full", 503, Outcome::NotRun, true),
    rule(ErrorKind::DeadlineUnmeetable, "deadline_unmeetable", 503, Outcome::NotRun, true),
    rule(ErrorKind::DeadlineExceeded, "deadline_exceeded", 504, Outcome::NotRun, false),
    rule(ErrorKind::NoTarget, "no_target", 503, Outcome::NotRun, true),
    rule(ErrorKind::Draining, "draining", 503, Outcome::NotRun, true),
    rule(ErrorKind::Unreachable, "unreachable", 503, Outcome::NotRun, true),
    rule(ErrorKind::AnswerLost, "answer_lost", 502, Outcome::Unknown, true),
    rule(ErrorKind::AnswerTruncated, "answer_truncated", 502, Outcome::Unknown, true),
    rule(ErrorKind::AnswerMismatched, "answer_mismatched", 502, Outcome::Unknown, true),
    rule(ErrorKind::StoreUnavailable, "store_unavailable", 503, Outcome::Unknown, false),
    rule(ErrorKind::Internal, "internal", 500, Outcome::Unknown, false),
];

impl ErrorKind {
    /// Response rule of this kind.
    pub fn rule(self) -> &'static ResponseRule {
        &RESPONSE_RULES[self as usize]
    }

    /// Name on the wire.
    pub fn name(self) -> &'static str {
        self.rule().name
    }

    /// Outcome of a request that failed with this kind.
    pub fn outcome(self) -> Outcome {
        self.rule().outcome
    }

    /// Parses a name on the wire.
    pub fn from_name(name: &str) -> Option<Self> {
        RESPONSE_RULES.iter().find(|rule| rule.name == name).map(|rule| rule.kind)
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
