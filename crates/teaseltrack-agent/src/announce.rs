//! Loopback HTTP endpoint on which the target announces itself.
//!
//! `PUT /target` announces the target or renews the announcement. `DELETE /target` withdraws it and
//! responds once the target's running requests have ended, so that the target can exit safely.

use std::net::SocketAddr;

use http::{Method, Request, Response};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::json;
use teaseltrack::outcome::ErrorKind;
use teaseltrack_daemon::{
    http_server::{ResponseBody, json_response, read_json, serve},
    problem::Problem,
};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::requests::capacity::{CapacityHandle, CapacityMessage};

/// Maximum number of concurrent connections.
const MAX_CONNECTIONS: usize = 16;
/// Maximum size of an announcement, in bytes.
const MAX_BODY_BYTES: usize = 16 << 10;
/// Path of the announcement.
const TARGET_PATH: &str = "/target";

/// Announcement sent by a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetAnnouncement {
    /// Service that the target provides.
    pub service: String,
    /// Address on which the target accepts requests, `IP:port`.
    pub address: SocketAddr,
    /// Number of requests that the target accepts concurrently.
    pub slots: u32,
    /// Identifies the incarnation of the target's process; changes with every restart.
    pub process: String,
}

/// Serves the announcement endpoint until `closing` is cancelled.
pub async fn serve_announcements(
    listener: TcpListener,
    capacity: CapacityHandle,
    closing: CancellationToken,
) {
    let handler = move |request: Request<Incoming>| handle_request(capacity.clone(), request);
    serve(listener, MAX_CONNECTIONS, closing, handler).await;
}

async fn handle_request(
    capacity: CapacityHandle,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let path = request.uri().path();
    if path != TARGET_PATH {
        let detail = format!("path: {path} doesn't exist");
        return Problem::new(ErrorKind::NotFound, detail).into_response();
    }
    match *request.method() {
        Method::PUT => announce(capacity, request).await,
        Method::DELETE => {
            capacity.request(CapacityMessage::Withdraw).await;
            json_response(200, &json!({ "drained": true }))
        }
        _ => Problem::new(ErrorKind::InvalidInput, "method: must be PUT or DELETE").into_response(),
    }
}

async fn announce(capacity: CapacityHandle, request: Request<Incoming>) -> Response<ResponseBody> {
    let announcement: TargetAnnouncement =
        match read_json(request.into_body(), MAX_BODY_BYTES).await {
            Ok(announcement) => announcement,
            Err(problem) => return problem.into_response(),
        };
    if announcement.slots == 0 || announcement.service.is_empty() {
        let field = if announcement.slots == 0 { "slots" } else { "service" };
        let detail = format!("{field}: must not be empty or 0");
        return Problem::new(ErrorKind::InvalidInput, detail).into_response();
    }
    capacity.send(CapacityMessage::Announce(announcement)).await;
    json_response(200, &json!({ "announced": true }))
}
