//! HTTP/1.1 and HTTP/2 server.

use std::{convert::Infallible, future::Future, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, header::CONTENT_TYPE};
use http_body_util::{BodyExt, Full, Limited, combinators::UnsyncBoxBody};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto, graceful::GracefulShutdown},
};
use serde::{Serialize, de::DeserializeOwned};
use teaseltrack::outcome::ErrorKind;
use tokio::{
    net::TcpListener,
    sync::Semaphore,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use crate::problem::Problem;

/// Body of a response.
pub type ResponseBody = UnsyncBoxBody<Bytes, BodyError>;
/// Error that truncates the body of a response.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Timeout for receiving the headers of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay before retrying a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Time granted to open responses when the server closes.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(60);

/// Creates a body from bytes in memory.
pub fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Creates a JSON response.
pub fn json_response<T: Serialize>(status: u16, value: &T) -> Response<ResponseBody> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full_body(text));
    *response.status_mut() = http::StatusCode::from_u16(status).unwrap_or_default();
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Reads a complete request body of at most `max_bytes`.
///
/// # Errors
///
/// The body is too large or was truncated.
pub async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, Problem> {
    match Limited::new(body, max_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            let detail = format!("body: larger than {max_bytes} bytes");
            Err(Problem::new(ErrorKind::BodyTooLarge, detail))
        }
        Err(error) => Err(Problem::new(ErrorKind::InvalidInput, format!("body: {error}"))),
    }
}

/// Reads and parses a JSON request body of at most `max_bytes`.
///
/// # Errors
///
/// The body is too large, was truncated, or doesn't match the schema; the detail names the field.
pub async fn read_json<T: DeserializeOwned>(
    body: Incoming,
    max_bytes: usize,
) -> Result<T, Problem> {
    let bytes = read_body(body, max_bytes).await?;
    let mut deserializer = serde_json::Deserializer::from_slice(&bytes);
    serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|error| Problem::new(ErrorKind::InvalidInput, format!("body: {error}")))
}

/// Serves connections until `closing` is cancelled, then waits for open responses to complete.
pub async fn serve<H, F>(
    listener: TcpListener,
    max_connections: usize,
    closing: CancellationToken,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(max_connections));
    let graceful = GracefulShutdown::new();
    let mut server = auto::Builder::new(TokioExecutor::new());
    server.http1().timer(TokioTimer::new()).header_read_timeout(HEADER_TIMEOUT);
    server.http2().timer(TokioTimer::new());
    loop {
        let permit = tokio::select! {
            permit = permits.clone().acquire_owned() => permit,
            () = closing.cancelled() => break,
        };
        let stream = tokio::select! {
            accepted = listener.accept() => accepted.map(|(stream, _)| stream),
            () = closing.cancelled() => break,
        };
        let Ok(stream) = stream else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        drop(stream.set_nodelay(true));
        let handler = handler.clone();
        let service = service_fn(move |request| {
            let response = handler(request);
            async move { Ok::<_, Infallible>(response.await) }
        });
        let connection = server.serve_connection(TokioIo::new(stream), service).into_owned();
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            drop(connection.await);
            drop(permit);
        });
    }
    drop(listener);
    drop(timeout(CLOSE_TIMEOUT, graceful.shutdown()).await);
}
