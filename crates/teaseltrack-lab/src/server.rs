//! HTTP/1.1 server whose handler may close the connection instead of responding.

use std::future::Future;

use http::{Request, Response};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use teaseltrack_daemon::http_server::ResponseBody;
use tokio::{net::TcpListener, task::JoinSet};
use tokio_util::sync::CancellationToken;

/// Serves until cancelled, then closes all connections. If the handler returns `None`, its
/// connection is closed without a response.
pub async fn serve_or_abort<H, F>(listener: TcpListener, closing: CancellationToken, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Option<Response<ResponseBody>>> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = connections.join_next(), if !connections.is_empty() => continue,
            () = closing.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else { continue };
        drop(stream.set_nodelay(true));
        let handler = handler.clone();
        let service = service_fn(move |request| {
            let response = handler(request);
            async move { response.await.ok_or("connection closed without a response") }
        });
        connections.spawn(async move {
            drop(http1::Builder::new().serve_connection(TokioIo::new(stream), service).await);
        });
    }
}
