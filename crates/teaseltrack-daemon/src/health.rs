//! HTTP endpoints for liveness, readiness and status, for the platform and operators.

use std::sync::Arc;

use http::{Method, Request, Response};
use hyper::body::Incoming;
use serde_json::{Value, json};
use teaseltrack::outcome::ErrorKind;
use tokio::net::TcpListener;

use crate::{
    http_server::{ResponseBody, json_response, serve},
    problem::Problem,
    shutdown::Shutdown,
};

/// Maximum concurrent connections to the health port.
const MAX_CONNECTIONS: usize = 16;

/// Returns the state of the process for `/status`.
pub type StatusReport = Arc<dyn Fn() -> Value + Send + Sync>;

/// Serves `/live`, `/ready` and `/status` until `shutdown` is closing.
pub async fn serve_health(listener: TcpListener, shutdown: Shutdown, status: StatusReport) {
    let closing = shutdown.closing.clone();
    let handler = move |request: Request<Incoming>| {
        let response = respond(request.method(), request.uri().path(), &shutdown, &status);
        std::future::ready(response)
    };
    serve(listener, MAX_CONNECTIONS, closing, handler).await;
}

fn respond(
    method: &Method,
    path: &str,
    shutdown: &Shutdown,
    status: &StatusReport,
) -> Response<ResponseBody> {
    if method != Method::GET {
        return Problem::new(ErrorKind::InvalidInput, "method: must be GET").into_response();
    }
    match path {
        "/live" => json_response(200, &json!({ "live": true })),
        "/ready" if shutdown.is_draining() => {
            Problem::new(ErrorKind::Draining, "the process is stopping").into_response()
        }
        "/ready" => json_response(200, &json!({ "ready": true })),
        "/status" => json_response(200, &status()),
        _ => {
            Problem::new(ErrorKind::NotFound, format!("path: {path} doesn't exist")).into_response()
        }
    }
}
