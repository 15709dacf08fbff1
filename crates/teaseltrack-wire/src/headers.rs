//! Names of the HTTP headers that callers and targets see.

/// Identifier of the request, echoed in the answer.
pub const REQUEST_ID: &str = "x-request-id";
/// Time-out that the caller asks for, in milliseconds.
pub const TIMEOUT_MS: &str = "x-timeout-ms";
/// Team that pays for the request.
pub const TEAM: &str = "x-team";
/// RFC 9218 priority.
pub const PRIORITY: &str = "priority";
/// W3C trace context.
pub const TRACEPARENT: &str = "traceparent";
/// Outcome of a refused request.
pub const OUTCOME: &str = "x-outcome";
/// Operator on whose behalf a command is given.
pub const AUTHOR: &str = "x-author";
