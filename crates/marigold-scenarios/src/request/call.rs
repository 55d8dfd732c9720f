//! The state of a call at its ingress.

use std::sync::Arc;

use marigold_request::deadline::Deadline;
use marigold_request::{Refusal, RefusalReason};
use marigold_types::{Address, Interval, Outcome};
use tokio::time::Instant;

use super::message::{AttemptId, AttemptResult, NodeId, Request};

/// A caller's request, from its arrival to the result that the caller receives.
#[derive(Debug)]
pub struct Call {
    /// The request.
    pub request: Request,
    /// The ingress.
    pub at: NodeId,
    /// When it arrived.
    pub started_at: Instant,
    /// Its deadline.
    pub deadline: Deadline,
    /// The attempt in progress, if any.
    pub attempt: Option<CurrentAttempt>,
    /// The number of attempts that have ended.
    pub attempt_number: u8,
    /// The executors of the attempts that have ended.
    pub tried: Vec<Address>,
    /// Why the key is being sealed; `None` unless the witness has been asked.
    pub seal_reason: Option<RefusalReason>,
    /// The step at which an earlier attempt failed so that the request may have run.
    pub unknown_step: Option<&'static str>,
    /// The refusal of an earlier attempt. It is reported in place of the router's refusal when no
    /// other server is left, as it is more specific.
    pub last_refusal: Option<Refusal>,
    /// Whether the request is suspected of crashing backend servers.
    pub is_suspect: bool,
    /// The result reported to the caller, once there is one.
    pub result: Option<CallResult>,
}

/// An attempt in progress.
#[derive(Debug, Clone, Copy)]
pub struct CurrentAttempt {
    /// Its number.
    pub id: AttemptId,
    /// The executor.
    pub to: NodeId,
    /// The connection it was sent on; `u64::MAX` if none could be opened.
    pub link: u64,
}

/// The result that is reported to a caller.
#[derive(Debug, Clone)]
pub struct CallResult {
    /// The outcome of the request.
    pub outcome: Outcome,
    /// The status of the answer, if any.
    pub status: Option<u16>,
    /// Why it did not run, if it did not.
    pub refusal: Option<Refusal>,
    /// The text that the scenario prints.
    pub detail: Arc<str>,
    /// The time since the arrival.
    pub elapsed: Interval,
}

impl CallResult {
    /// Builds the result of a call that started at `started_at` and ends with `attempt_result`.
    pub fn new(attempt_result: &AttemptResult, started_at: Instant, now: Instant) -> Self {
        let passed = now.saturating_duration_since(started_at).as_millis();
        let (outcome, status, refusal, detail) = match attempt_result {
            AttemptResult::Answered(status, body) => {
                let detail = format!("answered {status} \"{body}\"");
                (Outcome::Answered, Some(*status), None, detail)
            }
            AttemptResult::NotRun(refusal) => {
                let after = match refusal.retry_after {
                    Some(after) => format!("come back after {after}"),
                    None => "do not send it again".to_owned(),
                };
                let detail = format!("not-run ({}), {after}", refusal.reason);
                (Outcome::NotRun, None, Some(*refusal), detail)
            }
            AttemptResult::Unknown(step) => {
                (Outcome::Unknown, None, None, format!("unknown ({step})"))
            }
        };
        Self {
            outcome,
            status,
            refusal,
            detail: Arc::from(detail),
            elapsed: Interval::from_millis(u64::try_from(passed).unwrap_or(u64::MAX)),
        }
    }
}
