//! Calls from a backend server to other services through a daemon.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::{HeaderMap, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// The prefix of the mesh's headers. A service copies them from a request to the calls it makes for it.
const PROPAGATED_HEADER_PREFIX: &str = "marigold-";

/// An HTTP client for the callers' address of one daemon.
pub struct Egress {
    daemon: SocketAddr,
    client: Client<HttpConnector, Empty<Bytes>>,
}

impl Egress {
    /// Creates the client. It connects with its first call.
    pub fn new(daemon: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            daemon,
            client: Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Calls `path` with the mesh's headers from `headers`. Returns the status of the response, or 502 if
    /// the call fails or the response is incomplete.
    pub async fn call(&self, path: &str, headers: &HeaderMap) -> StatusCode {
        let uri = format!("http://{}{path}", self.daemon);
        let Ok(mut request) = Request::get(uri).body(Empty::new()) else {
            return StatusCode::BAD_REQUEST;
        };
        for (name, value) in headers {
            if name.as_str().starts_with(PROPAGATED_HEADER_PREFIX) {
                request.headers_mut().insert(name, value.clone());
            }
        }
        match self.client.request(request).await {
            Ok(response) => {
                let status = response.status();
                let complete = response.into_body().collect().await.is_ok();
                if complete {
                    status
                } else {
                    StatusCode::BAD_GATEWAY
                }
            }
            Err(_) => StatusCode::BAD_GATEWAY,
        }
    }
}
