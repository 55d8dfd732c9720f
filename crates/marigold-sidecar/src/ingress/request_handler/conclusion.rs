//! The outcome of a request for which no further attempt is made.

use std::time::Duration;

use marigold_dispatch::{Conclusion, Progress};

use super::UNAVAILABLE_RETRY_DELAY;
use crate::Lifecycle;
use crate::http1::Response;
use crate::ingress::caller_check::CallerRefusal;
use crate::ingress::request_outcome::RequestOutcome;

/// Maximum jitter of retry delays relative to the delay, so that callers do not retry at the same time.
const RETRY_JITTER_FRACTION: f64 = 0.5;

/// Maximum jitter of the delay until a daemon is back, which is short of what callers wait for.
const LEAVING_JITTER_FRACTION: f64 = 0.1;

/// Limit on retry delays with their jitter, for requests that nothing is held against: estimates of load reach no further.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Returns the outcome of a request for which no further attempt is made.
pub(super) fn conclude(progress: &Progress, failure: Option<Response>) -> RequestOutcome {
    if let Some(response) = failure {
        return RequestOutcome::Answered(response);
    }
    match progress.conclusion() {
        Conclusion::Unknown => unknown("no backend server answered"),
        Conclusion::NotRun(soonest) => {
            let delay = soonest.unwrap_or(UNAVAILABLE_RETRY_DELAY);
            // The jitter fits below the limit, so that callers do not return together at the limit.
            let longest = MAX_RETRY_DELAY.div_f64(1.0 + RETRY_JITTER_FRACTION);
            let delay = with_jitter(delay.min(longest), RETRY_JITTER_FRACTION);
            not_run("no backend server has room", delay)
        }
    }
}

/// Returns the retry delay of a request that this daemon refuses since it is shutting down: until it is back, since its
/// callers have no other way in while too few others are ready.
pub(super) fn leaving_delay(lifecycle: &Lifecycle) -> Duration {
    with_jitter(lifecycle.back_after(), LEAVING_JITTER_FRACTION)
}

fn with_jitter(delay: Duration, fraction: f64) -> Duration {
    delay.mul_f64(1.0 + fraction * rand::random::<f64>())
}

/// Returns the outcome of a request that may not run because it may crash a backend server.
pub(super) fn conclude_quarantined(
    progress: &Progress,
    failure: Option<Response>,
    retry_after: Duration,
) -> RequestOutcome {
    match progress.conclusion() {
        Conclusion::NotRun(_) => not_run("the request may crash backend servers", retry_after),
        Conclusion::Unknown => conclude(progress, failure),
    }
}

/// Returns the outcome of a request that may no longer run for its caller.
pub(super) fn conclude_refused(
    refusal: CallerRefusal,
    progress: &Progress,
    failure: Option<Response>,
) -> RequestOutcome {
    match progress.conclusion() {
        Conclusion::NotRun(_) => refuse_caller(refusal),
        Conclusion::Unknown => conclude(progress, failure),
    }
}

/// Returns the outcome of a request that was not sent since it may not run for its caller.
pub(super) fn refuse_caller(refusal: CallerRefusal) -> RequestOutcome {
    match refusal {
        CallerRefusal::InvalidKey { reason } | CallerRefusal::UnknownKey { reason } => {
            invalid(401, reason)
        }
        CallerRefusal::Undecided { reason } => not_run(reason, UNAVAILABLE_RETRY_DELAY),
    }
}

pub(super) fn not_run(reason: &'static str, retry_after: Duration) -> RequestOutcome {
    RequestOutcome::NotRun {
        reason,
        retry_after,
    }
}

pub(super) fn unknown(reason: &'static str) -> RequestOutcome {
    RequestOutcome::Unknown {
        reason,
        timed_out: false,
    }
}

pub(super) fn invalid(status: u16, reason: &'static str) -> RequestOutcome {
    RequestOutcome::Invalid { status, reason }
}
