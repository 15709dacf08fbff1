//! Parsing of callers' requests.

use std::time::Duration;

use http::{HeaderMap, HeaderName, Method, header, request::Parts};
use rand::RngExt;
use teaseltrack::{
    admission::{DEFAULT_URGENCY, MAX_URGENCY},
    outcome::ErrorKind,
};
use teaseltrack_daemon::problem::Problem;
use teaseltrack_wire::{headers, request_path::Header};

/// Maximum timeout that a caller may request, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 600_000;
/// Maximum length of a request identifier, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 128;
/// Team of requests without a team header.
const DEFAULT_TEAM: &str = "default";

/// Parsed head of a caller's request; the body is read separately.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerRequest {
    /// Request identifier; generated if the caller sent none.
    pub request_id: String,
    /// Requested service.
    pub service: String,
    /// HTTP method.
    pub method: Method,
    /// Path and query without the service prefix.
    pub path_and_query: String,
    /// Headers to forward to the target.
    pub headers: Vec<Header>,
    /// Timeout requested by the caller.
    pub timeout: Option<Duration>,
    /// RFC 9218 urgency, 0 (most urgent) to 7.
    pub urgency: u32,
    /// Team that the request is charged to.
    pub team: String,
    /// Trace context of the caller.
    pub traceparent: Option<String>,
}

/// Parses the head of a request.
///
/// # Errors
///
/// A header or the path has an invalid value; the detail names it.
pub fn parse_request(parts: &Parts) -> Result<CallerRequest, Problem> {
    let map = &parts.headers;
    let request_id = request_id(map)?;
    let (service, path_and_query) = split_path(parts)
        .ok_or_else(|| invalid("path: must be /{service}/{path}").with_request_id(&request_id))?;
    let parse_headers = || -> Result<_, Problem> {
        Ok((timeout(map)?, urgency(map)?, header_text(map, headers::TEAM)?))
    };
    let (timeout, urgency, team) =
        parse_headers().map_err(|problem| problem.with_request_id(&request_id))?;
    Ok(CallerRequest {
        service,
        method: parts.method.clone(),
        path_and_query,
        headers: forwarded_headers(map),
        timeout,
        urgency,
        team: team.unwrap_or(DEFAULT_TEAM).to_owned(),
        traceparent: header_text(map, headers::TRACEPARENT)?.map(str::to_owned),
        request_id,
    })
}

fn invalid(detail: impl Into<String>) -> Problem {
    Problem::new(ErrorKind::InvalidInput, detail)
}

fn split_path(parts: &Parts) -> Option<(String, String)> {
    let rest = parts.uri.path().strip_prefix('/')?;
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    if service.is_empty() {
        return None;
    }
    let query = parts.uri.query().map_or(String::new(), |query| format!("?{query}"));
    Some((service.to_owned(), format!("/{path}{query}")))
}

fn header_text<'a>(map: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Problem> {
    map.get(name)
        .map(|value| value.to_str().map_err(|_| invalid(format!("{name}: must be plain text"))))
        .transpose()
}

fn request_id(map: &HeaderMap) -> Result<String, Problem> {
    let Some(value) = header_text(map, headers::REQUEST_ID)? else {
        return Ok(format!("{:032x}", rand::rng().random::<u128>()));
    };
    if value.is_empty() || value.len() > MAX_REQUEST_ID_BYTES {
        let name = headers::REQUEST_ID;
        return Err(invalid(format!("{name}: must be 1 to {MAX_REQUEST_ID_BYTES} bytes")));
    }
    Ok(value.to_owned())
}

fn timeout(map: &HeaderMap) -> Result<Option<Duration>, Problem> {
    let name = headers::TIMEOUT_MS;
    let Some(value) = header_text(map, name)? else { return Ok(None) };
    let range = 1..=MAX_TIMEOUT_MS;
    match value.parse::<u64>() {
        Ok(timeout_ms) if range.contains(&timeout_ms) => {
            Ok(Some(Duration::from_millis(timeout_ms)))
        }
        _ => Err(invalid(format!("{name}: `{value}` must be a number from 1 to {MAX_TIMEOUT_MS}"))),
    }
}

/// Urgency from the `Priority` header (RFC 9218); other parameters are forwarded without parsing.
fn urgency(map: &HeaderMap) -> Result<u32, Problem> {
    let name = headers::PRIORITY;
    let Some(value) = header_text(map, name)? else { return Ok(DEFAULT_URGENCY) };
    let urgency = value.split(',').map(str::trim).find_map(|part| part.strip_prefix("u="));
    let Some(urgency) = urgency else { return Ok(DEFAULT_URGENCY) };
    match urgency.parse::<u32>() {
        Ok(urgency) if urgency <= MAX_URGENCY => Ok(urgency),
        _ => Err(invalid(format!("{name}: u={urgency} must be 0 to {MAX_URGENCY}"))),
    }
}

/// Headers to forward to the target: all except those in [`is_excluded`] and those that the caller
/// lists in the `Connection` header.
fn forwarded_headers(map: &HeaderMap) -> Vec<Header> {
    let connection_options: Vec<String> = map
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    map.iter()
        .filter(|(name, _)| {
            !is_excluded(name) && !connection_options.iter().any(|option| option == name.as_str())
        })
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: bytes::Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

/// Whether a header concerns only the connection, message framing or body transfer from the caller,
/// or is replaced by the agent.
fn is_excluded(name: &HeaderName) -> bool {
    let connection_or_transfer = [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
    ];
    // `keep-alive` is also connection-specific; the agent sets its own values of the other headers.
    let keep_alive_or_set_by_agent =
        ["keep-alive", headers::REQUEST_ID, headers::TIMEOUT_MS, headers::TRACEPARENT];
    connection_or_transfer.contains(name) || keep_alive_or_set_by_agent.contains(&name.as_str())
}
