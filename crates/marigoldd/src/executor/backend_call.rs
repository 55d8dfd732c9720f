//! Forwards a request to the backend server.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri, Version};
use marigold_http::ResponseHead;
use marigold_request::deadline::Deadline;
use marigold_request::{CallHead, Refusal, RefusalReason};
use tokio::time::{Instant, timeout_at};

use super::backend_body::BackendBody;
use super::backend_pool::{BackendConnection, BackendPool};
use super::{Answer, AnswerBody, RequestBody, RunResult};
use crate::caller::fields;

/// The largest answer that is buffered before its head is forwarded, so that a truncated one is
/// reported to the caller as *unknown*.
pub const MAX_BUFFERED_ANSWER_BYTES: u64 = 64 << 10;

const ID_HEADER: HeaderName = HeaderName::from_static("marigold-request-id");
const DEPTH_HEADER: HeaderName = HeaderName::from_static("marigold-depth");
const ATTEMPT_HEADER: HeaderName = HeaderName::from_static("marigold-attempt");

/// Set to `true` on a 503 by a backend server that rejected the request before running it.
const SHED_HEADER: &str = "load-shed";

/// Why there is no answer.
enum Failure {
    /// No part of the request was sent.
    NotSent,
    /// A part of the request may have been sent; holds the step that failed.
    Lost(&'static str),
}

/// One request to the backend server.
pub struct BackendCall {
    /// The connections to the backend server.
    pub pool: Arc<BackendPool>,
    /// The connection that was acquired for the request.
    pub connection: BackendConnection,
    /// When the caller stops waiting for the answer.
    pub deadline: Deadline,
}

impl BackendCall {
    /// Sends the request and reads its answer, including the body if it is small.
    pub async fn run(self, head: &CallHead, body: RequestBody) -> RunResult {
        let Some(request) = build(head, body, self.deadline) else {
            return RunResult::NotRun(Refusal::permanent(RefusalReason::NoRoute));
        };
        let until = self.deadline.0;
        let Ok(result) = timeout_at(until, self.exchange(request)).await else {
            return RunResult::unknown("deadline at the backend server");
        };
        match result {
            Ok(answer) if is_shed(&answer) => RunResult::NotRun(Refusal::retryable(
                RefusalReason::Overloaded,
                super::RETRY_DELAY,
            )),
            Ok(answer) => RunResult::Answered(answer),
            Err(Failure::NotSent) => RunResult::NotRun(Refusal::retryable(
                RefusalReason::NoConnection,
                super::RETRY_DELAY,
            )),
            Err(Failure::Lost(step)) => RunResult::unknown(step),
        }
    }

    async fn exchange(mut self, request: Request<RequestBody>) -> Result<Answer, Failure> {
        let response = self.send(request).await?;
        ResponseHead::check(&response)
            .map_err(|_| Failure::Lost("malformed answer of the backend server"))?;
        let (parts, incoming) = response.into_parts();
        let is_small = incoming
            .size_hint()
            .exact()
            .is_some_and(|size| size <= MAX_BUFFERED_ANSWER_BYTES);
        let fields = fields::from_headers(&parts.headers);
        let body = if is_small {
            AnswerBody::Whole(self.read_body(incoming).await?)
        } else {
            let body = BackendBody::new(incoming, self.connection, self.pool);
            AnswerBody::Stream(body.boxed_unsync())
        };
        Ok(Answer {
            status: parts.status.as_u16(),
            fields,
            stored: false,
            body,
        })
    }

    /// Sends the request, and retries once over a new connection if the first was already closed.
    async fn send(&mut self, request: Request<RequestBody>) -> Result<Response<Incoming>, Failure> {
        let mut error = match self.connection.sender.try_send_request(request).await {
            Ok(response) => return Ok(response),
            Err(error) => error,
        };
        // Only a request that hyper returns unsent is proof that nothing ran.
        let Some(request) = error.take_message() else {
            return Err(Failure::Lost("connection to the backend server"));
        };
        let opened = self.pool.open(self.deadline.0).await;
        self.connection = opened.map_err(|_| Failure::NotSent)?;
        let sent = self.connection.sender.try_send_request(request).await;
        sent.map_err(|mut error| match error.take_message() {
            Some(_) => Failure::NotSent,
            None => Failure::Lost("connection to the backend server"),
        })
    }

    async fn read_body(mut self, incoming: Incoming) -> Result<Bytes, Failure> {
        let collected = incoming.collect().await;
        let collected =
            collected.map_err(|_| Failure::Lost("answer of the backend server cut off"))?;
        if self.connection.has_excess().await {
            return Err(Failure::Lost(
                "answer of the backend server with a wrong length",
            ));
        }
        self.pool.release(self.connection);
        Ok(collected.to_bytes())
    }
}

/// Returns whether the backend server states that it did not run the request.
fn is_shed(answer: &Answer) -> bool {
    let shed = |(name, value): &(Arc<str>, Vec<u8>)| **name == *SHED_HEADER && value == b"true";
    answer.status == StatusCode::SERVICE_UNAVAILABLE.as_u16() && answer.fields.iter().any(shed)
}

/// Builds the HTTP request, or returns `None` if its method or target is malformed.
fn build(head: &CallHead, body: RequestBody, deadline: Deadline) -> Option<Request<RequestBody>> {
    let mut request = Request::new(body);
    *request.method_mut() = Method::from_bytes(head.method.as_bytes()).ok()?;
    *request.uri_mut() = head.target.parse::<Uri>().ok()?;
    *request.version_mut() = Version::HTTP_11;
    let mut headers = fields::to_headers(&head.headers);
    if !headers.contains_key(header::HOST) {
        headers.insert(header::HOST, HeaderValue::from_static("localhost"));
    }
    let mut set = |name, text: String| {
        if let Ok(value) = HeaderValue::from_str(&text) {
            headers.insert(name, value);
        }
    };
    set(ID_HEADER, head.id.to_string());
    set(DEPTH_HEADER, head.depth.saturating_add(1).to_string());
    set(ATTEMPT_HEADER, head.attempt.to_string());
    set(
        HeaderName::from_static(Deadline::HEADER),
        deadline.to_header(Instant::now()),
    );
    *request.headers_mut() = headers;
    Some(request)
}
