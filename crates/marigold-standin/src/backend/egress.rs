//! Calls that a backend server makes of other services through a daemon.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::{HeaderMap, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// The headers of the mesh, which a service hands on with the calls that a call needs.
const HANDED_ON: &str = "marigold-";

/// A client of one daemon's callers' side.
pub struct Egress {
    daemon: SocketAddr,
    client: Client<HttpConnector, Empty<Bytes>>,
}

impl Egress {
    /// Builds the client; it connects when it is used.
    pub fn new(daemon: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            daemon,
            client: Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Calls `path`, handing on the mesh's own headers.
    pub async fn call(&self, path: &str, headers: &HeaderMap) -> StatusCode {
        let uri = format!("http://{}{path}", self.daemon);
        let Ok(mut request) = Request::get(uri).body(Empty::new()) else {
            return StatusCode::BAD_REQUEST;
        };
        for (name, value) in headers {
            if name.as_str().starts_with(HANDED_ON) {
                request.headers_mut().insert(name, value.clone());
            }
        }
        match self.client.request(request).await {
            Ok(response) => {
                let status = response.status();
                let whole = response.into_body().collect().await.is_ok();
                if whole {
                    status
                } else {
                    StatusCode::BAD_GATEWAY
                }
            }
            Err(_) => StatusCode::BAD_GATEWAY,
        }
    }
}
