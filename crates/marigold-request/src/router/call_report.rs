//! What one call showed of a backend server.

use std::time::Duration;

use marigold_types::Outcome;

use crate::router::HealthSignal;
use crate::{LoadReport, RefusalReason};

/// The lowest HTTP status of a backend server's own failure.
const FAILURE_STATUS: u16 = 500;

/// The end of one call as its ingress saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallReport {
    /// What became of it.
    pub outcome: Outcome,
    /// The HTTP status, where there is one.
    pub status: Option<u16>,
    /// Why it did not run, where it did not.
    pub refusal: Option<RefusalReason>,
    /// How busy the executor said it is.
    pub load: Option<LoadReport>,
    /// From the first byte out to the end.
    pub elapsed: Duration,
}

impl CallReport {
    /// Returns what the call says of the backend server's health.
    ///
    /// A refusal for want of room is load and no failure.
    #[must_use]
    pub fn health_signal(&self) -> HealthSignal {
        match (self.outcome, self.refusal) {
            (Outcome::Answered, _) if self.status >= Some(FAILURE_STATUS) => HealthSignal::Failure,
            (Outcome::Answered, _) => HealthSignal::Success,
            (Outcome::Unknown, _) => HealthSignal::Failure,
            (Outcome::NotRun, Some(refusal)) if cannot_serve(refusal) => HealthSignal::Failure,
            (Outcome::NotRun, _) => HealthSignal::Neutral,
        }
    }
}

/// Returns whether a refusal shows that the next request would fare no better there.
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
