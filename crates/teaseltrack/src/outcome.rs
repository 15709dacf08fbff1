//! The closed list of error kinds and the table from kind to answer.
//!
//! Every request ends in one of three outcomes. `NotRun` is a proof: no byte of the request reached
//! the target. Whoever can't prove it says `Unknown`.

use std::fmt;

use serde::{Deserialize, Serialize};

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The whole answer was handed over.
    Done,
    /// The request was proved not to have run.
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

/// Why a request, command or query was not answered as asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// A header, field or key has an impossible value.
    InvalidInput,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The named service, record or task doesn't exist.
    NotFound,
    /// The record exists already.
    AlreadyExists,
    /// Another operator changed the record first.
    RevisionConflict,
    /// The team used up its quota.
    QuotaExceeded,
    /// The queue of the request's flow is full.
    QueueFull,
    /// The deadline can't be met given the work ahead.
    DeadlineUnmeetable,
    /// The deadline passed while the request was queued.
    DeadlineExceeded,
    /// No target of the service is known.
    NoTarget,
    /// The process takes no new work.
    Draining,
    /// No connection to the target or agent could be made.
    Unreachable,
    /// The request was sent and its answer never came.
    AnswerLost,
    /// The answer stopped short.
    AnswerTruncated,
    /// The answer belongs to another request.
    AnswerMismatched,
    /// The platform's store doesn't answer.
    StoreUnavailable,
    /// A fault in this program.
    Internal,
}

/// What a caller is told for an error kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseRule {
    /// The kind that the rule is for.
    pub kind: ErrorKind,
    /// Name on the wire.
    pub name: &'static str,
    /// HTTP status code.
    pub status: u16,
    /// What is known about the request.
    pub outcome: Outcome,
    /// Whether another target may do better at once.
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

/// The table from error kind to answer, one line for each kind.
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
    /// The row of the table for this kind.
    pub fn rule(self) -> &'static ResponseRule {
        &RESPONSE_RULES[self as usize]
    }

    /// Name on the wire.
    pub fn name(self) -> &'static str {
        self.rule().name
    }

    /// What is known about a request that ended this way.
    pub fn outcome(self) -> Outcome {
        self.rule().outcome
    }

    /// The kind of a name on the wire.
    pub fn from_name(name: &str) -> Option<Self> {
        RESPONSE_RULES.iter().find(|rule| rule.name == name).map(|rule| rule.kind)
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
