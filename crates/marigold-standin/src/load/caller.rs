//! HTTP client that makes calls as a caller of the mesh does.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use marigold_types::{Digest, Outcome};

use super::{CallCompletion, CallEnd, LoadRoute};
use crate::StandinError;
use crate::backend::{LOAD_ID, pattern};

const OUTCOME_HEADER: &str = "marigold-outcome";
const REASON_HEADER: &str = "marigold-reason";
const KEY_HEADER: &str = "idempotency-key";
const MAX_ANSWER_BYTES: usize = 64 << 20;
const POST_TIMEOUT: Duration = Duration::from_secs(5);

/// A caller with its own connection pool.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    direct: bool,
    timeout: Duration,
}

impl Caller {
    /// Creates a caller. `direct` is for calls to backend servers, whose responses have no outcome header.
    #[must_use]
    pub fn new(keep_alive: bool, direct: bool, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let idle = if keep_alive { usize::MAX } else { 0 };
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_max_idle_per_host(idle)
            // Each call is sent once; whether to retry is not for the client library to decide.
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            client,
            direct,
            timeout,
        }
    }

    /// Makes a call of `route` to `target` with `id` and the idempotency key `key`, and checks that the
    /// answer is complete and belongs to this call.
    pub async fn call(
        &self,
        target: SocketAddr,
        route: &LoadRoute,
        id: &str,
        key: Option<&str>,
    ) -> CallCompletion {
        let Some(request) = build_request(target, route, id, key) else {
            return CallEnd::Unreached.into();
        };
        let exchange = self.exchange(request, route, id);
        match tokio::time::timeout(self.timeout, exchange).await {
            Ok(completion) => completion,
            Err(_) => CallEnd::TimedOut.into(),
        }
    }

    /// Sends a `POST` with an empty body to `path` and returns the body of the response.
    ///
    /// # Errors
    ///
    /// If no complete response with status 200 arrives within 5 s.
    pub async fn post(&self, target: SocketAddr, path: &str) -> Result<Bytes, StandinError> {
        const STEP: &str = "post";
        let request = Request::post(format!("http://{target}{path}"))
            .body(Full::default())
            .map_err(|error| StandinError::new(STEP, &target, &error))?;
        let answer = async {
            let response = self
                .client
                .request(request)
                .await
                .map_err(|error| StandinError::new(STEP, &target, &error))?;
            let status = response.status();
            let body = read_body(response).await.ok_or_else(|| {
                StandinError::new(STEP, &target, &"the response body is incomplete")
            })?;
            if status == StatusCode::OK {
                return Ok(body);
            }
            let message = String::from_utf8_lossy(&body);
            Err(StandinError::new(
                STEP,
                &target,
                &format!("{status}: {message}"),
            ))
        };
        tokio::time::timeout(POST_TIMEOUT, answer)
            .await
            .unwrap_or_else(|_| Err(StandinError::new(STEP, &target, &"no response within 5 s")))
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        route: &LoadRoute,
        id: &str,
    ) -> CallCompletion {
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() || is_unsent(&error) => {
                return CallEnd::Unreached.into();
            }
            Err(_) => return CallEnd::Cut.into(),
        };
        let status = response.status();
        let headers = response.headers().clone();
        let Some(body) = read_body(response).await else {
            return CallEnd::Cut.into();
        };
        let end = match self.outcome(status, &headers) {
            Some(Outcome::NotRun) => CallEnd::NotRun,
            Some(Outcome::Unknown) => CallEnd::Unknown,
            Some(Outcome::Answered) if is_expected_response(status, &headers, &body, route, id) => {
                CallEnd::Answered(status.as_u16())
            }
            Some(Outcome::Answered) | None => CallEnd::Wrong,
        };
        let reason = headers
            .get(REASON_HEADER)
            .and_then(|reason| reason.to_str().ok());
        CallCompletion {
            end,
            reason: reason.map(Arc::from),
        }
    }

    fn outcome(&self, status: StatusCode, headers: &HeaderMap) -> Option<Outcome> {
        if self.direct {
            let shed = status == StatusCode::SERVICE_UNAVAILABLE;
            return Some(if shed {
                Outcome::NotRun
            } else {
                Outcome::Answered
            });
        }
        headers.get(OUTCOME_HEADER)?.to_str().ok()?.parse().ok()
    }
}

fn build_request(
    target: SocketAddr,
    route: &LoadRoute,
    id: &str,
    key: Option<&str>,
) -> Option<Request<Full<Bytes>>> {
    let uri = format!("http://{target}{}", route.path);
    let size = usize::try_from(route.body.0).ok()?;
    let request = if size == 0 && route.once.is_none() {
        Request::get(uri)
    } else {
        Request::post(uri)
    };
    let request = match key {
        Some(key) => request.header(KEY_HEADER, key),
        None => request,
    };
    let request = request.header(LOAD_ID, id);
    request.body(Full::from(pattern(0, size))).ok()
}

/// Returns whether the connection closed before any byte of the request was written.
fn is_unsent(error: &hyper_util::client::legacy::Error) -> bool {
    let source = std::error::Error::source(error);
    let source = source.and_then(|source| source.downcast_ref::<hyper::Error>());
    source.is_some_and(hyper::Error::is_canceled)
}

async fn read_body(response: Response<Incoming>) -> Option<Bytes> {
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
    Some(body.collect().await.ok()?.to_bytes())
}

/// Returns whether a response is complete and belongs to the call `id`.
fn is_expected_response(
    status: StatusCode,
    headers: &HeaderMap,
    body: &Bytes,
    route: &LoadRoute,
    id: &str,
) -> bool {
    if status != StatusCode::OK {
        // The text of an error response cannot be predicted, so only a wrong id shows that it belongs to
        // another call.
        return headers.get(LOAD_ID).is_none_or(|found| found == id);
    }
    if headers.get(LOAD_ID).is_none_or(|found| found != id) {
        return false;
    }
    let parts: Vec<&str> = route.path.split('/').collect();
    match parts.as_slice() {
        [.., "blob", size] => size
            .parse()
            .is_ok_and(|size: usize| *body == pattern(0, size)),
        [.., "push"] => {
            let size = usize::try_from(route.body.0).unwrap_or_default();
            *body == Digest::of(&pattern(0, size)).to_string()
        }
        _ => body == id,
    }
}
