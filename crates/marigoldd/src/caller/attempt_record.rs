//! The record of one attempt, which the router learns from.

use std::sync::Arc;

use marigold_request::router::CallReport;
use marigold_request::{LoadReport, RefusalReason};
use marigold_types::{Address, Outcome};
use tokio::time::Instant;

use super::ingress_state::IngressState;

/// Reports the end of an attempt to the router exactly once; as cancelled when dropped unfinished.
pub struct AttemptRecord {
    state: Arc<IngressState>,
    address: Address,
    start: Instant,
    /// The load that the executor reported; none when it did not reply.
    pub load: Option<LoadReport>,
    /// The HTTP status of the answer.
    pub status: Option<u16>,
    reported: bool,
}

impl AttemptRecord {
    /// Starts the record of an attempt at the backend server of the daemon at `address`.
    ///
    /// The start must already be recorded, with [`IngressState::start_attempt`] or
    /// [`IngressState::record_attempt_start`].
    #[must_use]
    pub fn new(state: Arc<IngressState>, address: Address) -> Self {
        Self {
            state,
            address,
            start: Instant::now(),
            load: None,
            status: None,
            reported: false,
        }
    }

    /// Reports how the attempt ended.
    pub fn finish(mut self, outcome: Outcome, refusal: Option<RefusalReason>) {
        self.report(outcome, refusal);
    }

    fn report(&mut self, outcome: Outcome, refusal: Option<RefusalReason>) {
        self.reported = true;
        let report = CallReport {
            outcome,
            status: self.status,
            refusal,
            load: self.load,
            elapsed: self.start.elapsed(),
        };
        self.state.record_attempt_end(self.address, &report);
    }
}

impl Drop for AttemptRecord {
    fn drop(&mut self) {
        if !self.reported {
            // The caller disconnected, which says nothing about the backend server.
            self.report(Outcome::NotRun, Some(RefusalReason::Cancelled));
        }
    }
}
