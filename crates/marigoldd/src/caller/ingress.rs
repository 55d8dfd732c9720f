//! Handles a caller's request from its head to the final outcome.

use std::sync::Arc;

use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::{Method, Request, Response, StatusCode, Version};
use marigold_control::View;
use marigold_request::deadline::Deadline;
use marigold_request::retry::{Attempt, Decision};
use marigold_request::{CallHead, Refusal, RefusalReason, StreamOpen};
use marigold_types::{Address, Outcome, RequestId};
use tokio::time::{Instant, timeout_at};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::answer_stream::{AnswerRecords, AnswerStream, BufferedAnswer};
use super::attempt_record::AttemptRecord;
use super::call_metrics::CallMetrics;
use super::call_options::{self, CallOptions};
use super::call_record::CallRecord;
use super::fields;
use super::ingress_state::IngressState;
use super::key_handler::{KEYS_PATH, KeyHandler};
use super::remote_call::{AttemptResult, RemoteCall};
use super::replay_body::{AttemptBody, ReplayBody};
use super::response::{self, CallerBody};
use crate::Shared;
use crate::executor::{
    Answer, AnswerBody, CRASH_STEP, InFlight, LocalExecutor, RETRY_DELAY, RunResult, Witnesses,
};
use crate::peer::QuicPeers;

/// The parts of the daemon that callers' requests use.
pub struct Ingress {
    /// The state shared by all parts of the daemon.
    pub shared: Arc<Shared>,
    /// Connections to other daemons.
    pub peers: Arc<QuicPeers>,
    /// Runs requests at this daemon's backend server.
    pub executor: Arc<LocalExecutor>,
    /// Sends requests to the witness of this or another daemon.
    pub witnesses: Arc<Witnesses>,
    /// Router, retry policy, limits and counters.
    pub state: Arc<IngressState>,
    /// The metrics of calls.
    pub metrics: Arc<CallMetrics>,
    /// Counts the requests in flight, which a drain waits for.
    pub in_flight: Arc<InFlight>,
    /// Handles requests for new keys.
    pub keys: KeyHandler,
    /// The tasks of the callers' connections, which a shutdown lets flush their buffers.
    pub connections: TaskTracker,
    /// Cancelled to drop the callers' connections, as in a crash.
    pub aborted: CancellationToken,
}

/// A request with a valid head and a route.
pub(super) struct Call {
    pub(super) head: CallHead,
    pub(super) body: ReplayBody,
    pub(super) deadline: Deadline,
}

/// The result of a call after all attempts.
pub(super) struct CallResult {
    pub(super) result: RunResult,
    pub(super) attempt: Option<AttemptRecord>,
}

impl Ingress {
    /// Handles one request of a caller.
    pub async fn handle(&self, request: Request<Incoming>) -> Response<CallerBody> {
        let start = Instant::now();
        if let Some(refusal) = reject_unsupported(&request) {
            return refusal;
        }
        let key = call_options::read_key(request.headers());
        let Some(guard) = self.in_flight.start() else {
            let refusal = Refusal::retryable(RefusalReason::Draining, RETRY_DELAY);
            return self.refuse_early(key, refusal).await;
        };
        let view = self.shared.view.load_full();
        if !view.serving {
            let refusal = Refusal::retryable(RefusalReason::NotServing, RETRY_DELAY);
            return self.refuse_early(key, refusal).await;
        }
        if request.uri().path() == KEYS_PATH {
            return self.keys.handle(self, &view, &request).await;
        }
        // A declared route without a backend server passes here and is refused and counted later.
        if view.declared_route_for(request.uri().path()).is_none() {
            let refusal = Refusal::permanent(RefusalReason::NoRoute);
            return self.refuse_early(key, refusal).await;
        }
        let call = match self.read(&view, request, start) {
            Ok(call) => call,
            Err(refusal) => return *refusal,
        };
        let record = CallRecord::new(
            self.state.clone(),
            self.metrics.clone(),
            call.head.service.clone(),
            call.head.class,
            start,
            guard,
        );
        self.serve(&view, call, record).await
    }

    /// Builds the response to a request that is refused before its headers are parsed.
    async fn refuse_early(&self, key: Option<Arc<str>>, refusal: Refusal) -> Response<CallerBody> {
        match self.refuse(key.as_ref(), refusal).await {
            RunResult::Unknown(step) => {
                self.metrics.count_unknown();
                response::unknown(RequestId::random(), &step)
            }
            RunResult::NotRun(_) | RunResult::Answered(_) => {
                self.metrics.count_refused(Some(refusal.reason));
                response::not_run(None, refusal, "")
            }
        }
    }

    /// Parses the head of a request and matches its route.
    fn read(
        &self,
        view: &View,
        request: Request<Incoming>,
        start: Instant,
    ) -> Result<Call, Box<Response<CallerBody>>> {
        let (parts, body) = request.into_parts();
        let options = CallOptions::read(&parts.headers).map_err(|error| {
            let detail = error.to_string();
            Box::new(response::bad_request(
                StatusCode::BAD_REQUEST,
                "bad-header",
                &detail,
            ))
        })?;
        let max_body = self.shared.settings.caller.max_body.0;
        if body.size_hint().lower() > max_body {
            let detail = format!("allowed: at most {max_body} bytes");
            return Err(Box::new(response::bad_request(
                StatusCode::PAYLOAD_TOO_LARGE,
                "body-too-large",
                &detail,
            )));
        }
        let Some((name, route)) = view.declared_route_for(parts.uri.path()) else {
            let refusal = Refusal::permanent(RefusalReason::NoRoute);
            return Err(Box::new(response::not_run(None, refusal, "")));
        };
        let deadline = Deadline::new(route.deadline, options.timeout, start);
        let target = parts
            .uri
            .path_and_query()
            .map_or("/", |target| target.as_str());
        let head = CallHead {
            id: RequestId::random(),
            route: name.clone(),
            service: route.service.clone(),
            class: route.class,
            idempotent: route.idempotent,
            left: deadline.left(start),
            depth: options.depth,
            attempt: options.attempt,
            caller: options.caller,
            key: options.key,
            method: Arc::from(parts.method.as_str()),
            target: Arc::from(target),
            headers: fields::from_headers(&parts.headers),
        };
        Ok(Call {
            head,
            body: ReplayBody::new(body, max_body),
            deadline,
        })
    }

    async fn serve(&self, view: &View, call: Call, record: CallRecord) -> Response<CallerBody> {
        let (id, deadline, body) = (call.head.id, call.deadline, call.body.clone());
        let key = call.head.key.clone();
        let allowed = self
            .state
            .check_limits(&call.head.service, call.head.caller.as_ref());
        let result = match allowed {
            Err(refusal) => {
                CallResult::without_attempt(self.refuse(call.head.key.as_ref(), refusal).await)
            }
            Ok(()) if call.head.key.is_some() => match self.run_keyed(view, call).await {
                Ok(result) => result,
                Err(error) => {
                    let refusal = Refusal::permanent(RefusalReason::KeyInvalid);
                    if let RunResult::Unknown(step) = self.refuse(key.as_ref(), refusal).await {
                        record.finish(Outcome::Unknown, None);
                        return response::unknown(id, &step);
                    }
                    record.finish(Outcome::NotRun, Some(RefusalReason::KeyInvalid));
                    return response::not_run(Some(id), refusal, &error.to_string());
                }
            },
            Ok(()) => self.run_plain(view, call).await,
        };
        let CallResult { result, attempt } = result;
        match result {
            RunResult::Answered(answer) => answer_response(id, answer, deadline, attempt, record),
            RunResult::NotRun(refusal) => {
                record.finish(Outcome::NotRun, Some(refusal.reason));
                response::not_run(Some(id), refusal, "")
            }
            RunResult::Unknown(_) if body.is_too_large() => {
                record.finish(Outcome::Unknown, None);
                response::too_large(id)
            }
            RunResult::Unknown(step) => {
                record.finish(Outcome::Unknown, None);
                response::unknown(id, &step)
            }
        }
    }

    /// Runs a request without a key, with retries.
    async fn run_plain(&self, view: &View, mut call: Call) -> CallResult {
        let inherited = call.head.attempt;
        let mut excluded: Vec<Address> = Vec::new();
        let mut last_result = None;
        self.state.record_first_attempt(inherited);
        for number in 0..=u8::MAX {
            let chosen = self
                .state
                .start_attempt(view, &call.head.service, &excluded);
            let endpoint = match chosen {
                Ok(endpoint) => endpoint,
                // The last executor's result tells the caller more than that none is left to try.
                Err(refusal) => {
                    return CallResult::without_attempt(
                        last_result.unwrap_or(RunResult::NotRun(refusal)),
                    );
                }
            };
            let address = endpoint.instance.address;
            let mut record = AttemptRecord::new(self.state.clone(), address);
            self.metrics.count_attempt(number);
            call.head.left = call.deadline.left(Instant::now());
            call.head.attempt = inherited.saturating_add(number);
            let body = call.body.attempt();
            let attempt_result = self.attempt(address, &mut call, body).await;
            record.load = attempt_result.load;
            let (outcome, refusal) = match &attempt_result.result {
                RunResult::Answered(answer) => {
                    record.status = Some(answer.status);
                    return CallResult {
                        result: attempt_result.result,
                        attempt: Some(record),
                    };
                }
                RunResult::NotRun(refusal) => (Outcome::NotRun, Some(*refusal)),
                RunResult::Unknown(_) => (Outcome::Unknown, None),
            };
            record.finish(outcome, refusal.map(|refusal| refusal.reason));
            let crashed =
                matches!(&attempt_result.result, RunResult::Unknown(step) if **step == *CRASH_STEP);
            let result = combine_results(last_result.take(), attempt_result.result);
            if crashed || !call.body.is_replayable() {
                return CallResult::without_attempt(result);
            }
            let decision = self.state.decide_retry(&Attempt {
                number,
                inherited,
                outcome,
                refusal,
                idempotent: call.head.idempotent,
                keyed: false,
                left: call.deadline.left(Instant::now()),
            });
            if decision == Decision::GiveUp {
                return CallResult::without_attempt(result);
            }
            excluded.push(address);
            last_result = Some(result);
        }
        CallResult::without_attempt(last_result.unwrap_or_else(|| RunResult::unknown("retries")))
    }

    /// Makes one attempt at the executor of the daemon at `address`.
    pub(super) async fn attempt(
        &self,
        address: Address,
        call: &mut Call,
        body: AttemptBody,
    ) -> AttemptResult {
        if address == self.shared.local.address {
            let result = self.executor.run(call.head.clone(), body.boxed_unsync());
            return AttemptResult {
                result: result.await,
                load: Some(self.executor.load()),
            };
        }
        let deadline = call.deadline.0;
        let remote = RemoteCall {
            peers: &self.peers,
            to: address,
            idempotent: call.head.idempotent,
            deadline,
        };
        let open = StreamOpen::Call(call.head.clone());
        let mut sent = false;
        let run = remote.run(call.head.id, &open, body, &mut sent);
        match timeout_at(deadline, run).await {
            Ok(attempt_result) => attempt_result,
            Err(_) if sent => {
                AttemptResult::without_load(RunResult::unknown("deadline at another daemon"))
            }
            Err(_) => {
                let refusal = Refusal::permanent(RefusalReason::Deadline);
                AttemptResult::without_load(RunResult::NotRun(refusal))
            }
        }
    }
}

impl CallResult {
    /// Creates the result of a call that has no open attempt record.
    pub(super) fn without_attempt(result: RunResult) -> Self {
        Self {
            result,
            attempt: None,
        }
    }
}

/// Combines the result of the earlier attempts with that of the latest.
///
/// A latest attempt that did not run does not rule out that an earlier one ran.
fn combine_results(earlier: Option<RunResult>, latest: RunResult) -> RunResult {
    match (earlier, latest) {
        (Some(RunResult::Unknown(step)), RunResult::NotRun(_)) => RunResult::Unknown(step),
        (_, latest) => latest,
    }
}

/// Rejects HTTP versions and methods that the ingress does not support.
fn reject_unsupported(request: &Request<Incoming>) -> Option<Response<CallerBody>> {
    if request.version() != Version::HTTP_11 {
        // An HTTP/1.0 response may be delimited by connection close, so that a truncated one would
        // look complete.
        let status = StatusCode::HTTP_VERSION_NOT_SUPPORTED;
        let refusal = response::bad_request(status, "bad-version", "allowed: HTTP/1.1");
        return Some(refusal);
    }
    if request.method() == Method::CONNECT {
        let status = StatusCode::METHOD_NOT_ALLOWED;
        let refusal = response::bad_request(status, "bad-method", "CONNECT is not proxied");
        return Some(refusal);
    }
    None
}

/// Builds the response for an answer; the records are finished with the body.
fn answer_response(
    id: RequestId,
    answer: Answer,
    deadline: Deadline,
    attempt: Option<AttemptRecord>,
    mut call: CallRecord,
) -> Response<CallerBody> {
    call.set_status(answer.status);
    let records = AnswerRecords { attempt, call };
    let body = match answer.body {
        AnswerBody::Whole(bytes) => BufferedAnswer::new(bytes, records).boxed_unsync(),
        AnswerBody::Stream(body) => AnswerStream::new(body, deadline.0, records).boxed_unsync(),
    };
    response::answered(id, answer.status, &answer.fields, answer.stored, body)
}
