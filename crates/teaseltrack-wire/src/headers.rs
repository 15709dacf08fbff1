//! Names of the HTTP headers exchanged with callers, targets and operators.

/// Identifier of the request, echoed in the response.
pub const REQUEST_ID: &str = "x-request-id";
/// Timeout requested by the caller, in milliseconds.
pub const TIMEOUT_MS: &str = "x-timeout-ms";
/// Team whose quota the request is charged to.
pub const TEAM: &str = "x-team";
/// Priority of the request (RFC 9218).
pub const PRIORITY: &str = "priority";
/// Trace context (W3C).
pub const TRACEPARENT: &str = "traceparent";
/// Outcome of a refused request.
pub const OUTCOME: &str = "x-outcome";
/// Operator on whose behalf a command is sent.
pub const AUTHOR: &str = "x-author";
