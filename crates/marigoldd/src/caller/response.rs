//! Builds responses to callers. See docs/OUTCOME-HEADERS.md.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::{HeaderMap, Response, StatusCode};
use marigold_request::{Refusal, RefusalReason};
use marigold_types::{Interval, Outcome, RequestId};
use serde::Serialize;

use super::fields::{self, Fields};
use crate::peer::BodyError;

/// The header with the outcome of the request: `answered`, `not-run` or `unknown`.
pub const OUTCOME_HEADER: HeaderName = HeaderName::from_static("marigold-outcome");
/// The header with the reason why the request was not answered.
pub const REASON_HEADER: HeaderName = HeaderName::from_static("marigold-reason");
/// The header with the request id.
pub const ID_HEADER: HeaderName = HeaderName::from_static("marigold-request-id");
/// The header that marks a stored answer of an earlier run under the same key.
pub const STORED_HEADER: HeaderName = HeaderName::from_static("marigold-stored");
/// The header with the delay before a retry, in milliseconds.
pub const RETRY_AFTER_MS_HEADER: HeaderName = HeaderName::from_static("marigold-retry-after-ms");

const MILLIS_PER_SECOND: u128 = 1_000;

/// The body of a response to a caller.
pub type CallerBody = UnsyncBoxBody<Bytes, BodyError>;

/// The JSON body for a request that was not answered.
#[derive(Debug, Serialize)]
struct Problem<'a> {
    outcome: Outcome,
    reason: &'a str,
    request: Option<RequestId>,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "str::is_empty")]
    detail: &'a str,
}

/// Builds the response from the backend server's answer.
#[must_use]
pub fn answered(
    id: RequestId,
    status: u16,
    fields: &Fields,
    stored: bool,
    body: CallerBody,
) -> Response<CallerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut headers = fields::to_headers(fields);
    set_outcome(&mut headers, Outcome::Answered, Some(id));
    if stored {
        headers.insert(STORED_HEADER, HeaderValue::from_static("true"));
    }
    *response.headers_mut() = headers;
    response
}

/// Builds the response to a request that certainly did not run.
#[must_use]
pub fn not_run(id: Option<RequestId>, refusal: Refusal, detail: &str) -> Response<CallerBody> {
    let reason = refusal.reason.to_string();
    let status = refusal_status(refusal.reason);
    let mut response = problem(status, Outcome::NotRun, &reason, id, detail, &refusal);
    let headers = response.headers_mut();
    if let Some(after) = refusal.retry_after {
        // `Retry-After` is in whole seconds. Rounding down would invite retries that are too early.
        let seconds = after.duration().as_millis().div_ceil(MILLIS_PER_SECOND);
        set_header(headers, header::RETRY_AFTER, &seconds.to_string());
        set_header(headers, RETRY_AFTER_MS_HEADER, &millis(after).to_string());
    }
    if refusal.reason == RefusalReason::Draining {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Builds the response to a request that may have run; `step` is where its outcome was lost.
#[must_use]
pub fn unknown(id: RequestId, step: &str) -> Response<CallerBody> {
    let status = if step.starts_with("deadline") {
        StatusCode::GATEWAY_TIMEOUT
    } else {
        StatusCode::BAD_GATEWAY
    };
    let no_retry = Refusal::permanent(RefusalReason::Deadline);
    problem(status, Outcome::Unknown, step, Some(id), "", &no_retry)
}

/// Builds the response to a request whose body exceeded the maximum size after part of it had been
/// forwarded.
#[must_use]
pub fn too_large(id: RequestId) -> Response<CallerBody> {
    let no_retry = Refusal::permanent(RefusalReason::Deadline);
    let status = StatusCode::PAYLOAD_TOO_LARGE;
    problem(
        status,
        Outcome::Unknown,
        "body-too-large",
        Some(id),
        "",
        &no_retry,
    )
}

/// Builds the response to an invalid request, which did not run.
#[must_use]
pub fn bad_request(status: StatusCode, reason: &str, detail: &str) -> Response<CallerBody> {
    let no_retry = Refusal::permanent(RefusalReason::NoRoute);
    problem(status, Outcome::NotRun, reason, None, detail, &no_retry)
}

/// Builds a JSON response.
#[must_use]
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<CallerBody> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full_body(Bytes::from(text)));
    *response.status_mut() = status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    response
}

/// Converts `bytes` to a response body.
#[must_use]
pub fn full_body(bytes: Bytes) -> CallerBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

fn problem(
    status: StatusCode,
    outcome: Outcome,
    reason: &str,
    request: Option<RequestId>,
    detail: &str,
    refusal: &Refusal,
) -> Response<CallerBody> {
    let problem = Problem {
        outcome,
        reason,
        request,
        retry_after_ms: refusal.retry_after.map(millis),
        detail,
    };
    let mut response = json(status, &problem);
    let headers = response.headers_mut();
    set_outcome(headers, outcome, request);
    set_header(headers, REASON_HEADER, reason);
    response
}

fn set_outcome(headers: &mut HeaderMap, outcome: Outcome, id: Option<RequestId>) {
    let value = match outcome {
        Outcome::Answered => HeaderValue::from_static("answered"),
        Outcome::NotRun => HeaderValue::from_static("not-run"),
        Outcome::Unknown => HeaderValue::from_static("unknown"),
    };
    headers.insert(OUTCOME_HEADER, value);
    if let Some(id) = id {
        set_header(headers, ID_HEADER, &id.to_string());
    }
}

fn set_header(headers: &mut HeaderMap, name: HeaderName, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}

fn millis(interval: Interval) -> u64 {
    u64::try_from(interval.duration().as_millis()).unwrap_or(u64::MAX)
}

/// Returns the HTTP status code of a refusal.
fn refusal_status(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::NoRoute => StatusCode::NOT_FOUND,
        RefusalReason::Limited => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::Deadline => StatusCode::GATEWAY_TIMEOUT,
        RefusalReason::KeyInvalid => StatusCode::BAD_REQUEST,
        RefusalReason::KeyRefused | RefusalReason::KeyReused => StatusCode::CONFLICT,
        RefusalReason::NotServing
        | RefusalReason::NoBackendServer
        | RefusalReason::Overloaded
        | RefusalReason::Draining
        | RefusalReason::Cancelled
        | RefusalReason::Unreachable
        | RefusalReason::Quarantined
        | RefusalReason::KeysFull
        | RefusalReason::NoWitness
        | RefusalReason::NoConnection => StatusCode::SERVICE_UNAVAILABLE,
    }
}
