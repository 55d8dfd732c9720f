//! Request handlers of a backend server.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::RETRY_AFTER;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use marigold_request::deadline::Deadline;
use serde::Serialize;
use sha2::{Digest, Sha256};

use super::slot_guard::SlotGuard;
use super::{BackendControl, BackendState, LOAD_ID, LOAD_SHED, pattern};

const REQUEST_ID_HEADER: &str = "marigold-request-id";
/// The header with the time that is left to a request, in milliseconds.
const DEADLINE_HEADER: &str = Deadline::HEADER;
const MAX_ORDER_BYTES: usize = 4 << 10;
const MAX_BLOB_BYTES: u64 = 16 << 30;
const MAX_HOPS: u8 = 16;
const CHUNK_BYTES: u64 = 64 << 10;
/// The time limit of a request without a deadline.
const DEFAULT_TIMEOUT: Duration = Duration::from_hours(1);

type BoxedResponse = Response<BoxBody<Bytes, Infallible>>;

/// Handles one request that arrived on the connection with number `connection`.
pub async fn handle(
    state: Arc<BackendState>,
    connection: u64,
    request: Request<Incoming>,
) -> Result<BoxedResponse, Infallible> {
    if state.is_silent(connection) {
        std::future::pending::<()>().await;
    }
    let response = match (request.method(), request.uri().path()) {
        (&Method::GET, "/health") => health(&state),
        (&Method::GET, "/load") => json_response(&state.health()),
        (&Method::GET, "/runs") => json_response(&state.report(query_param(&request, "prefix"))),
        (&Method::DELETE, "/runs") => {
            state.forget_runs();
            text_response(StatusCode::OK, "forgotten")
        }
        (&Method::POST, "/control") => control(&state, request).await,
        _ => handle_work(&state, request).await,
    };
    // The connection may have been silenced while the request ran.
    if state.is_silent(connection) {
        std::future::pending::<()>().await;
    }
    Ok(response)
}

fn health(state: &BackendState) -> BoxedResponse {
    let report = state.health();
    let mut response = json_response(&report);
    if !report.ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

async fn control(state: &BackendState, request: Request<Incoming>) -> BoxedResponse {
    let body = http_body_util::Limited::new(request.into_body(), MAX_ORDER_BYTES);
    let Ok(body) = body.collect().await else {
        return text_response(
            StatusCode::BAD_REQUEST,
            "the control order is incomplete or too large",
        );
    };
    match serde_json::from_slice::<BackendControl>(&body.to_bytes()) {
        Ok(order) => {
            state.control(&order);
            text_response(StatusCode::OK, "done")
        }
        Err(error) => text_response(
            StatusCode::BAD_REQUEST,
            &format!("invalid control order: {error}"),
        ),
    }
}

async fn handle_work(state: &Arc<BackendState>, request: Request<Incoming>) -> BoxedResponse {
    let Some(slot) = SlotGuard::acquire(state) else {
        return shed_response();
    };
    let timeout = request_timeout(request.headers());
    let response = match tokio::time::timeout(timeout, run(state, request)).await {
        Ok(response) => response,
        Err(_) => text_response(
            StatusCode::GATEWAY_TIMEOUT,
            "the deadline passed while the request ran",
        ),
    };
    slot.release();
    response
}

async fn run(state: &Arc<BackendState>, request: Request<Incoming>) -> BoxedResponse {
    let (head, body) = request.into_parts();
    let Some(digest) = digest_body(body).await else {
        return text_response(StatusCode::BAD_REQUEST, "the request body is incomplete");
    };
    let id = header(&head.headers, LOAD_ID);
    state.count_run(id, header(&head.headers, REQUEST_ID_HEADER));

    let parts: Vec<&str> = head.uri.path().trim_matches('/').split('/').collect();
    if let [.., "crash"] = parts.as_slice() {
        state.crash();
        std::future::pending::<()>().await;
    }
    let time = state.draw_service_time();
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
    if state.is_failing() {
        return text_response(
            StatusCode::INTERNAL_SERVER_ERROR,
            "failure injected by a control order",
        );
    }
    let response = match parts.as_slice() {
        [.., "blob", size] => blob(size),
        [.., "push"] => text_response(StatusCode::OK, &digest),
        [route, .., "hop", hops] => hop(state, route, hops, &head.headers).await,
        _ => text_response(StatusCode::OK, id.unwrap_or_default()),
    };
    with_load_id(response, &head.headers)
}

/// Returns the SHA-256 digest of a body in hexadecimal, or `None` if the body is incomplete.
async fn digest_body(mut body: Incoming) -> Option<String> {
    let mut hasher = Sha256::new();
    while let Some(frame) = body.frame().await {
        if let Some(data) = frame.ok()?.data_ref() {
            hasher.update(data);
        }
    }
    Some(hex::encode(hasher.finalize()))
}

fn blob(size: &str) -> BoxedResponse {
    let size: u64 = match size.parse() {
        Ok(size) if size <= MAX_BLOB_BYTES => size,
        _ => {
            return text_response(
                StatusCode::BAD_REQUEST,
                "the blob size must be at most 17179869184 bytes",
            );
        }
    };
    let frames = stream::unfold(0, move |offset| async move {
        let count = CHUNK_BYTES.min(size - offset);
        let chunk = pattern(offset, usize::try_from(count).unwrap_or_default());
        (count > 0).then_some((Ok(Frame::data(chunk)), offset + count))
    });
    Response::new(StreamBody::new(frames).boxed())
}

async fn hop(state: &BackendState, route: &str, hops: &str, headers: &HeaderMap) -> BoxedResponse {
    let id = header(headers, LOAD_ID).unwrap_or_default();
    let Ok(hops @ 0..=MAX_HOPS) = hops.parse::<u8>() else {
        return text_response(
            StatusCode::BAD_REQUEST,
            "the number of hops must be 0 to 16",
        );
    };
    if hops == 0 {
        return text_response(StatusCode::OK, id);
    }
    let Some(egress) = state.egress() else {
        return text_response(
            StatusCode::NOT_IMPLEMENTED,
            "no daemon configured for calls (--egress)",
        );
    };
    let status = egress
        .call(&format!("/{route}/hop/{}", hops - 1), headers)
        .await;
    text_response(status, id)
}

fn shed_response() -> BoxedResponse {
    let mut response = text_response(
        StatusCode::SERVICE_UNAVAILABLE,
        "no free slot; the request did not run",
    );
    let headers = response.headers_mut();
    headers.insert(LOAD_SHED, "true".parse().expect("a valid value"));
    headers.insert(RETRY_AFTER, "1".parse().expect("a valid value"));
    response
}

fn with_load_id(mut response: BoxedResponse, headers: &HeaderMap) -> BoxedResponse {
    if let Some(id) = headers.get(LOAD_ID) {
        response.headers_mut().insert(LOAD_ID, id.clone());
    }
    response
}

fn request_timeout(headers: &HeaderMap) -> Duration {
    let millis = header(headers, DEADLINE_HEADER).and_then(|text| text.parse().ok());
    millis.map_or(DEFAULT_TIMEOUT, Duration::from_millis)
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn query_param<'a>(request: &'a Request<Incoming>, key: &str) -> &'a str {
    let query = request.uri().query().unwrap_or_default();
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .filter(|(name, _)| *name == key)
        .map(|(_, value)| value)
        .next()
        .unwrap_or_default()
}

fn json_response(value: &impl Serialize) -> BoxedResponse {
    match serde_json::to_string(value) {
        Ok(body) => text_response(StatusCode::OK, &body),
        Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

fn text_response(status: StatusCode, body: &str) -> BoxedResponse {
    let mut response = Response::new(Full::new(Bytes::from(body.to_owned())).boxed());
    *response.status_mut() = status;
    response
}
