//! The result of one call to a backend server.

use std::time::Duration;

use marigold_types::Outcome;

use crate::router::HealthSignal;
use crate::{LoadReport, RefusalReason};

/// The lowest HTTP status that counts as a failure of the backend server.
const MIN_FAILURE_STATUS: u16 = 500;

/// The result of one call, as its ingress observed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallReport {
    /// Whether the request was answered, did not run, or may have run.
    pub outcome: Outcome,
    /// The HTTP status; absent if there was no answer.
    pub status: Option<u16>,
    /// Why the request was refused; absent if it was not.
    pub refusal: Option<RefusalReason>,
    /// The load that the executor reported; absent if no reply came.
    pub load: Option<LoadReport>,
    /// The time from the first byte sent to the end of the call.
    pub elapsed: Duration,
}

impl CallReport {
    /// Classifies the call for passive health checking.
    ///
    /// A refusal because of overload is not a failure.
    #[must_use]
    pub fn health_signal(&self) -> HealthSignal {
        match (self.outcome, self.refusal) {
            (Outcome::Answered, _) if self.status >= Some(MIN_FAILURE_STATUS) => {
                HealthSignal::Failure
            }
            (Outcome::Answered, _) => HealthSignal::Success,
            (Outcome::Unknown, _) => HealthSignal::Failure,
            (Outcome::NotRun, Some(refusal)) if cannot_serve(refusal) => HealthSignal::Failure,
            (Outcome::NotRun, _) => HealthSignal::Neutral,
        }
    }
}

/// Returns whether a refusal implies that the backend server cannot serve the next request either.
fn cannot_serve(refusal: RefusalReason) -> bool {
    matches!(
        refusal,
        RefusalReason::Unreachable
            | RefusalReason::NoConnection
            | RefusalReason::NotServing
            | RefusalReason::Draining
            | RefusalReason::NoBackendServer
    )
}
