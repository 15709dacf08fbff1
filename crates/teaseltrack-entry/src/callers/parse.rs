//! Reading a caller's request.

use std::time::Duration;

use http::{HeaderMap, HeaderName, Method, header, request::Parts};
use rand::RngExt;
use teaseltrack::{
    admission::{DEFAULT_URGENCY, MAX_URGENCY},
    outcome::ErrorKind,
};
use teaseltrack_daemon::problem::Problem;
use teaseltrack_wire::{headers, request_path::Header};

/// Longest time-out that a caller may ask for, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 600_000;
/// Longest request identifier, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 128;
/// Team of a request that names none.
const DEFAULT_TEAM: &str = "default";

/// A caller's request, its body left aside.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerRequest {
    /// Identifier, the caller's or a new one.
    pub request_id: String,
    /// Service that it is for.
    pub service: String,
    /// HTTP method.
    pub method: Method,
    /// Path and query below the service.
    pub path_and_query: String,
    /// Headers for the target.
    pub headers: Vec<Header>,
    /// Time-out that the caller asks for.
    pub timeout: Option<Duration>,
    /// RFC 9218 urgency.
    pub urgency: u32,
    /// Team that pays.
    pub team: String,
    /// The caller's trace context.
    pub traceparent: Option<String>,
}

/// Reads a request's head.
///
/// # Errors
///
/// A header or path with an impossible value; the detail names it.
pub fn parse_request(parts: &Parts) -> Result<CallerRequest, Problem> {
    let map = &parts.headers;
    let request_id = request_id(map)?;
    let (service, path_and_query) = split_path(parts)
        .ok_or_else(|| invalid("path: must be /{service}/{path}").with_request_id(&request_id))?;
    let fields =
        || -> Result<_, Problem> { Ok((timeout(map)?, urgency(map)?, text(map, headers::TEAM)?)) };
    let (timeout, urgency, team) =
        fields().map_err(|problem| problem.with_request_id(&request_id))?;
    Ok(CallerRequest {
        service,
        method: parts.method.clone(),
        path_and_query,
        headers: forwarded_headers(map),
        timeout,
        urgency,
        team: team.unwrap_or(DEFAULT_TEAM).to_owned(),
        traceparent: text(map, headers::TRACEPARENT)?.map(str::to_owned),
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

fn text<'a>(map: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Problem> {
    map.get(name)
        .map(|value| value.to_str().map_err(|_| invalid(format!("{name}: must be plain text"))))
        .transpose()
}

fn request_id(map: &HeaderMap) -> Result<String, Problem> {
    let Some(given) = text(map, headers::REQUEST_ID)? else {
        return Ok(format!("{:032x}", rand::rng().random::<u128>()));
    };
    if given.is_empty() || given.len() > MAX_REQUEST_ID_BYTES {
        let name = headers::REQUEST_ID;
        return Err(invalid(format!("{name}: must be 1 to {MAX_REQUEST_ID_BYTES} bytes")));
    }
    Ok(given.to_owned())
}

fn timeout(map: &HeaderMap) -> Result<Option<Duration>, Problem> {
    let name = headers::TIMEOUT_MS;
    let Some(given) = text(map, name)? else { return Ok(None) };
    let range = 1..=MAX_TIMEOUT_MS;
    match given.parse::<u64>() {
        Ok(timeout_ms) if range.contains(&timeout_ms) => {
            Ok(Some(Duration::from_millis(timeout_ms)))
        }
        _ => Err(invalid(format!("{name}: `{given}` must be a number from 1 to {MAX_TIMEOUT_MS}"))),
    }
}

/// Urgency of the `Priority` header (RFC 9218); its other parameters are passed on unread.
fn urgency(map: &HeaderMap) -> Result<u32, Problem> {
    let name = headers::PRIORITY;
    let Some(given) = text(map, name)? else { return Ok(DEFAULT_URGENCY) };
    let urgency = given.split(',').map(str::trim).find_map(|part| part.strip_prefix("u="));
    let Some(urgency) = urgency else { return Ok(DEFAULT_URGENCY) };
    match urgency.parse::<u32>() {
        Ok(urgency) if urgency <= MAX_URGENCY => Ok(urgency),
        _ => Err(invalid(format!("{name}: u={urgency} must be 0 to {MAX_URGENCY}"))),
    }
}

/// All headers but those that are about the connection or that the agent sets itself.
fn forwarded_headers(map: &HeaderMap) -> Vec<Header> {
    let named_by_connection: Vec<String> = map
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    map.iter()
        .filter(|(name, _)| {
            !is_own(name) && !named_by_connection.iter().any(|own| own == name.as_str())
        })
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: bytes::Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

fn is_own(name: &HeaderName) -> bool {
    let about_connection = [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
    ];
    let set_by_agent =
        ["keep-alive", headers::REQUEST_ID, headers::TIMEOUT_MS, headers::TRACEPARENT];
    about_connection.contains(name) || set_by_agent.contains(&name.as_str())
}
