//! How an attempt ended, as far as its executor's health is concerned.

use marigold_request::router::HealthSignal;

/// The part of a request's value that a failure of its backend server loses: all that cannot be repeated.
const FAILED_PART: f64 = 1.0;
/// The part that is lost when a backend server turns it away: it may be sent elsewhere, which draws on the
/// budget, or its caller comes back later.
const REJECTED_PART: f64 = 0.3;

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The backend server answered it.
    Served,
    /// The backend server failed it, or its answer was lost.
    Failed,
    /// The backend server turned it away, though it had a slot for it. It sheds at random, and a share of
    /// its slots is better than none.
    Rejected,
    /// The executor refused it before it reached the backend server, which its load shows.
    Refused,
}

impl AttemptOutcome {
    /// Returns what it says of the backend server's health.
    #[must_use]
    pub fn health_signal(self) -> HealthSignal {
        match self {
            Self::Served => HealthSignal::Success,
            Self::Failed => HealthSignal::Failure,
            Self::Rejected | Self::Refused => HealthSignal::Neutral,
        }
    }

    /// Returns the part of the request's value that was lost, none if the backend server had no part in it.
    #[must_use]
    pub fn lost_value(self) -> Option<f64> {
        match self {
            Self::Served => Some(0.0),
            Self::Failed => Some(FAILED_PART),
            Self::Rejected => Some(REJECTED_PART),
            Self::Refused => None,
        }
    }
}
