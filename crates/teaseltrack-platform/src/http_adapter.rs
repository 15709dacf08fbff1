//! Adapter for the platform's protocol: each call is sent as JSON in a POST to `/store`.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::Method;
use teaseltrack_daemon::http_client::HttpClient;

use crate::store::{Adapter, StoreError, StoreReply};

/// URL path of the platform's store.
pub const STORE_PATH: &str = "/store";

/// Creates an adapter for the platform at `address`; each call times out after `timeout`.
pub fn http_adapter(address: SocketAddr, timeout: Duration) -> Adapter {
    let client = HttpClient::new(timeout);
    Arc::new(move |call| {
        let client = client.clone();
        Box::pin(async move {
            client
                .call::<_, StoreReply>(Method::POST, address, STORE_PATH, &call)
                .await
                .map_err(|error| StoreError::Unavailable { message: error.to_string() })
        })
    })
}
