//! Liveness, readiness and status over HTTP, for the platform and for operators.

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

/// Connections to the health port at once.
const MAX_CONNECTIONS: usize = 16;

/// Reports what the process holds, for `/status`.
pub type StatusReport = Arc<dyn Fn() -> Value + Send + Sync>;

/// Serves `/live`, `/ready` and `/status` until the process closes.
pub async fn serve_health(listener: TcpListener, shutdown: Shutdown, status: StatusReport) {
    let closing = shutdown.closing.clone();
    let handler = move |request: Request<Incoming>| {
        let answer = answer(request.method(), request.uri().path(), &shutdown, &status);
        std::future::ready(answer)
    };
    serve(listener, MAX_CONNECTIONS, closing, handler).await;
}

fn answer(
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
