//! Refusals as problem details (RFC 9457).

use std::time::Duration;

use bytes::Bytes;
use http::{
    HeaderValue, Response,
    header::{CONTENT_TYPE, RETRY_AFTER},
};
use serde::{Deserialize, Serialize};
use teaseltrack::outcome::{ErrorKind, Outcome};

use crate::http_server::{ResponseBody, full_body};

const PROBLEM_JSON: HeaderValue = HeaderValue::from_static("application/problem+json");

/// Body of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Error kind.
    pub reason: ErrorKind,
    /// HTTP status code.
    pub status: u16,
    /// Whether the request was executed; `Unknown` if that can't be determined.
    pub outcome: Outcome,
    /// Description of the error, with the name of the field at fault.
    pub detail: String,
    /// Identifier of the request.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub request_id: String,
    /// Delay after which a retry may succeed, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Problem {
    /// Creates a refusal of the given kind.
    pub fn new(reason: ErrorKind, detail: impl Into<String>) -> Self {
        let rule = reason.rule();
        Self {
            reason,
            status: rule.status,
            outcome: rule.outcome,
            detail: detail.into(),
            request_id: String::new(),
            retry_after_ms: None,
        }
    }

    /// Sets the identifier of the request.
    #[must_use]
    pub fn with_request_id(mut self, request_id: &str) -> Self {
        request_id.clone_into(&mut self.request_id);
        self
    }

    /// Sets the delay after which a retry may succeed.
    #[must_use]
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after_ms = Some(wait.as_millis() as u64);
        self
    }

    /// Converts the refusal to an HTTP response.
    pub fn into_response(self) -> Response<ResponseBody> {
        let text = serde_json::to_vec(&self).unwrap_or_default();
        let mut response = Response::new(full_body(Bytes::from(text)));
        *response.status_mut() = http::StatusCode::from_u16(self.status).unwrap_or_default();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, PROBLEM_JSON);
        headers.insert("x-outcome", HeaderValue::from_static(self.outcome.as_str()));
        if let Some(wait_ms) = self.retry_after_ms {
            headers.insert(RETRY_AFTER, HeaderValue::from(wait_ms.div_ceil(1_000).max(1)));
        }
        if let Ok(request_id) = HeaderValue::from_str(&self.request_id)
            && !self.request_id.is_empty()
        {
            headers.insert("x-request-id", request_id);
        }
        response
    }
}
