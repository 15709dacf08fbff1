//! HTTP/JSON interface for operators.
//!
//! `POST /records/{kind}/{name}` submits; `PUT` amends and `DELETE` withdraws, both with
//! `If-Match`. `POST /notices/{watch}/{notice}` sends a notice to a watch. `GET` reads `/records`,
//! `/records/{kind}/{name}`, `/jobs/{job}`, `/explain/{job}`, `/history`, `/history/{stream}` and
//! `/status`.

use http::{HeaderMap, HeaderValue, Method, Request, Response, header, request::Parts};
use hyper::body::Incoming;
use serde::Serialize;
use teaseltrack::{
    ids::Revision,
    journal::ChangeAction,
    outcome::ErrorKind,
    record::{Record, RecordKind},
};
use teaseltrack_daemon::{
    http_server::{ResponseBody, json_response, read_json},
    problem::Problem,
};
use teaseltrack_wire::{headers, operators::SubmittedRecord};

use crate::operators::{
    commands::{ChangeRequest, CommandContext},
    queries,
};

/// Maximum size of a record, in bytes.
const MAX_RECORD_BYTES: usize = 256 << 10;

type HandlerResult = Result<Response<ResponseBody>, Problem>;

/// Handles one command or query.
pub async fn handle(context: CommandContext, request: Request<Incoming>) -> Response<ResponseBody> {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path().to_owned();
    let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
    let result = if parts.method == Method::GET {
        query(&context, &parts, &segments).await
    } else {
        command(&context, &parts, &segments, body).await
    };
    result.unwrap_or_else(Problem::into_response)
}

fn invalid(detail: impl Into<String>) -> Problem {
    Problem::new(ErrorKind::InvalidInput, detail)
}

fn unknown_path(parts: &Parts) -> Problem {
    let detail = format!("path: {} {} doesn't exist", parts.method, parts.uri.path());
    Problem::new(ErrorKind::NotFound, detail)
}

fn parse_kind(name: &str) -> Result<RecordKind, Problem> {
    RecordKind::from_name(name)
        .ok_or_else(|| invalid(format!("kind: `{name}` must be service, job, watch or team")))
}

fn ok<T: Serialize>(value: &T) -> HandlerResult {
    Ok(json_response(200, value))
}

async fn query(context: &CommandContext, parts: &Parts, segments: &[&str]) -> HandlerResult {
    let store = &context.store;
    match segments {
        ["records"] => {
            let kind = query_parameter(parts, "kind").map(parse_kind).transpose()?;
            ok(&queries::list_records(store, kind).await?)
        }
        ["records", kind, name] => {
            record_response(200, &queries::show_record(store, parse_kind(kind)?, name).await?)
        }
        ["jobs", job] => ok(&queries::show_job(store, job).await?),
        ["explain", job] => ok(&queries::explain_job(store, job).await?),
        ["status"] => ok(&queries::fleet_status(&context.node)),
        ["history"] => ok(&queries::list_streams()),
        ["history", stream] => {
            let after = query_parameter(parts, "after").unwrap_or("0");
            let after = after
                .parse()
                .map_err(|_| invalid(format!("after: `{after}` must be a sequence number")))?;
            ok(&queries::history(store, stream, after).await?)
        }
        _ => Err(unknown_path(parts)),
    }
}

async fn command(
    context: &CommandContext,
    parts: &Parts,
    segments: &[&str],
    body: Incoming,
) -> HandlerResult {
    let author = author(&parts.headers)?;
    let (kind, name) = match segments {
        ["records", kind, name] => (parse_kind(kind)?, (*name).to_owned()),
        ["notices", watch, notice] if parts.method == Method::POST => {
            return record_response(201, &context.notify(watch, notice, &author).await?);
        }
        _ => return Err(unknown_path(parts)),
    };
    let action = match parts.method {
        Method::POST => ChangeAction::Submit,
        Method::PUT => ChangeAction::Amend,
        Method::DELETE => ChangeAction::Withdraw,
        _ => return Err(invalid("method: must be GET, POST, PUT or DELETE")),
    };
    let expected_revision = if action == ChangeAction::Submit {
        None
    } else {
        Some(expected_revision(&parts.headers)?)
    };
    let submitted = if action == ChangeAction::Withdraw {
        None
    } else {
        Some(read_json::<SubmittedRecord>(body, MAX_RECORD_BYTES).await?)
    };
    let request = ChangeRequest { action, kind, name, author, expected_revision, submitted };
    let status = if action == ChangeAction::Submit { 201 } else { 200 };
    record_response(status, &context.change(request).await?)
}

/// Creates a response with a record, and its revision as the entity tag.
fn record_response(status: u16, record: &Record) -> HandlerResult {
    let mut response = json_response(status, record);
    if let Ok(tag) = HeaderValue::from_str(&format!("\"{}\"", record.revision)) {
        response.headers_mut().insert(header::ETAG, tag);
    }
    Ok(response)
}

fn author(map: &HeaderMap) -> Result<String, Problem> {
    let author = map.get(headers::AUTHOR).and_then(|value| value.to_str().ok());
    let author = author.filter(|author| !author.is_empty());
    author.map(str::to_owned).ok_or_else(|| invalid("x-author: must name the operator"))
}

fn expected_revision(map: &HeaderMap) -> Result<Revision, Problem> {
    let tag = map.get(header::IF_MATCH).and_then(|value| value.to_str().ok());
    let tag = tag.ok_or_else(|| invalid("if-match: must name the revision that was seen"))?;
    tag.trim_matches('"')
        .parse()
        .map_err(|_| invalid(format!("if-match: `{tag}` must be a revision number")))
}

fn query_parameter<'a>(parts: &'a Parts, name: &str) -> Option<&'a str> {
    let query = parts.uri.query()?;
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}
