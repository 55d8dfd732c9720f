//! The paths of a backend server.

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

use super::work::Work;
use super::{BackendControl, BackendState, LOAD_ID, LOAD_SHED, pattern};

const REQUEST_ID: &str = "marigold-request-id";
/// The milliseconds left to a request.
const DEADLINE: &str = Deadline::HEADER;
const MAX_ORDER_BYTES: usize = 4 << 10;
const MAX_BLOB_BYTES: u64 = 16 << 30;
const MAX_HOPS: u8 = 16;
const CHUNK_BYTES: u64 = 64 << 10;
/// A request that names no deadline is given up after this time.
const LONGEST_RUN: Duration = Duration::from_hours(1);

type Answer = Response<BoxBody<Bytes, Infallible>>;

/// Answers one request that came over the connection numbered `connection`.
pub async fn handle(
    state: Arc<BackendState>,
    connection: u64,
    request: Request<Incoming>,
) -> Result<Answer, Infallible> {
    if state.is_silent(connection) {
        std::future::pending::<()>().await;
    }
    let answer = match (request.method(), request.uri().path()) {
        (&Method::GET, "/health") => health(&state),
        (&Method::GET, "/load") => json(&state.health()),
        (&Method::GET, "/runs") => json(&state.report(query(&request, "prefix"))),
        (&Method::DELETE, "/runs") => {
            state.forget_runs();
            text(StatusCode::OK, "forgotten")
        }
        (&Method::POST, "/control") => control(&state, request).await,
        _ => work(&state, request).await,
    };
    // The connection may have gone silent while the request ran.
    if state.is_silent(connection) {
        std::future::pending::<()>().await;
    }
    Ok(answer)
}

fn health(state: &BackendState) -> Answer {
    let report = state.health();
    let mut answer = json(&report);
    if !report.ready {
        *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    answer
}

async fn control(state: &BackendState, request: Request<Incoming>) -> Answer {
    let body = http_body_util::Limited::new(request.into_body(), MAX_ORDER_BYTES);
    let Ok(body) = body.collect().await else {
        return text(StatusCode::BAD_REQUEST, "the order is cut off or too large");
    };
    match serde_json::from_slice::<BackendControl>(&body.to_bytes()) {
        Ok(order) => {
            state.control(&order);
            text(StatusCode::OK, "done")
        }
        Err(error) => text(
            StatusCode::BAD_REQUEST,
            &format!("not a control order: {error}"),
        ),
    }
}

async fn work(state: &Arc<BackendState>, request: Request<Incoming>) -> Answer {
    let Some(work) = Work::start(state) else {
        return shed();
    };
    let left = deadline(request.headers());
    let answer = match tokio::time::timeout(left, run(state, request)).await {
        Ok(answer) => answer,
        Err(_) => text(StatusCode::GATEWAY_TIMEOUT, "the deadline passed"),
    };
    work.end();
    answer
}

async fn run(state: &Arc<BackendState>, request: Request<Incoming>) -> Answer {
    let (head, body) = request.into_parts();
    let Some(digest) = read_body(body).await else {
        return text(StatusCode::BAD_REQUEST, "the body is cut off");
    };
    let id = header(&head.headers, LOAD_ID);
    state.count_run(id, header(&head.headers, REQUEST_ID));

    let parts: Vec<&str> = head.uri.path().trim_matches('/').split('/').collect();
    if let [.., "crash"] = parts.as_slice() {
        state.crash();
        std::future::pending::<()>().await;
    }
    let time = state.draw_time();
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
    if state.is_failing() {
        return text(StatusCode::INTERNAL_SERVER_ERROR, "told to fail");
    }
    let answer = match parts.as_slice() {
        [.., "blob", size] => blob(size),
        [.., "push"] => text(StatusCode::OK, &digest),
        [route, .., "hop", hops] => hop(state, route, hops, &head.headers).await,
        _ => text(StatusCode::OK, id.unwrap_or_default()),
    };
    with_id(answer, &head.headers)
}

/// Digests a body; nothing when its sender cut it off.
async fn read_body(mut body: Incoming) -> Option<String> {
    let mut hasher = Sha256::new();
    while let Some(frame) = body.frame().await {
        if let Some(data) = frame.ok()?.data_ref() {
            hasher.update(data);
        }
    }
    Some(hex::encode(hasher.finalize()))
}

fn blob(size: &str) -> Answer {
    let size: u64 = match size.parse() {
        Ok(size) if size <= MAX_BLOB_BYTES => size,
        _ => return text(StatusCode::BAD_REQUEST, "blob sizes are up to 17179869184"),
    };
    let frames = stream::unfold(0, move |offset| async move {
        let count = CHUNK_BYTES.min(size - offset);
        let chunk = pattern(offset, usize::try_from(count).unwrap_or_default());
        (count > 0).then_some((Ok(Frame::data(chunk)), offset + count))
    });
    Response::new(StreamBody::new(frames).boxed())
}

async fn hop(state: &BackendState, route: &str, hops: &str, headers: &HeaderMap) -> Answer {
    let id = header(headers, LOAD_ID).unwrap_or_default();
    let Ok(hops @ 0..=MAX_HOPS) = hops.parse::<u8>() else {
        return text(StatusCode::BAD_REQUEST, "hops are 0 to 16");
    };
    if hops == 0 {
        return text(StatusCode::OK, id);
    }
    let Some(egress) = state.egress() else {
        return text(StatusCode::NOT_IMPLEMENTED, "no daemon to call through");
    };
    let status = egress
        .call(&format!("/{route}/hop/{}", hops - 1), headers)
        .await;
    text(status, id)
}

fn shed() -> Answer {
    let mut answer = text(StatusCode::SERVICE_UNAVAILABLE, "no slot, did not run");
    let headers = answer.headers_mut();
    headers.insert(LOAD_SHED, "true".parse().expect("a valid value"));
    headers.insert(RETRY_AFTER, "1".parse().expect("a valid value"));
    answer
}

fn with_id(mut answer: Answer, headers: &HeaderMap) -> Answer {
    if let Some(id) = headers.get(LOAD_ID) {
        answer.headers_mut().insert(LOAD_ID, id.clone());
    }
    answer
}

fn deadline(headers: &HeaderMap) -> Duration {
    let millis = header(headers, DEADLINE).and_then(|text| text.parse().ok());
    millis.map_or(LONGEST_RUN, Duration::from_millis)
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn query<'a>(request: &'a Request<Incoming>, key: &str) -> &'a str {
    let query = request.uri().query().unwrap_or_default();
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .filter(|(name, _)| *name == key)
        .map(|(_, value)| value)
        .next()
        .unwrap_or_default()
}

fn json(value: &impl Serialize) -> Answer {
    match serde_json::to_string(value) {
        Ok(body) => text(StatusCode::OK, &body),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

fn text(status: StatusCode, body: &str) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::from(body.to_owned())).boxed());
    *answer.status_mut() = status;
    answer
}
