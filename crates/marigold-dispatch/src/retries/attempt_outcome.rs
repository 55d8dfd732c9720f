//! Attempt outcomes and their effect on the health of an executor.

use marigold_request::router::HealthSignal;

/// The fraction of a request's value lost when the backend server fails it: all of it, unless the request
/// can be retried.
const FAILED_VALUE_LOSS: f64 = 1.0;
/// The fraction lost when the backend server rejects it: a retry elsewhere uses up the retry budget, and
/// without one the caller retries later.
const REJECTED_VALUE_LOSS: f64 = 0.3;

/// The result of sending a request to one executor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The backend server answered the request.
    Served,
    /// The backend server failed the request, or its response was lost.
    Failed,
    /// The backend server rejected the request although it had been given a slot. Such servers shed at
    /// random, so they stay in use: part of their capacity is better than none.
    Rejected,
    /// The executor refused the request before it reached the backend server. The load report already
    /// reflects this.
    Refused,
}

impl AttemptOutcome {
    /// Returns the effect of the outcome on the backend server's health.
    #[must_use]
    pub fn health_signal(self) -> HealthSignal {
        match self {
            Self::Served => HealthSignal::Success,
            Self::Failed => HealthSignal::Failure,
            Self::Rejected | Self::Refused => HealthSignal::Neutral,
        }
    }

    /// Returns the fraction of the request's value that was lost, or `None` if the request did not reach the
    /// backend server.
    #[must_use]
    pub fn lost_value(self) -> Option<f64> {
        match self {
            Self::Served => Some(0.0),
            Self::Failed => Some(FAILED_VALUE_LOSS),
            Self::Rejected => Some(REJECTED_VALUE_LOSS),
            Self::Refused => None,
        }
    }
}
