//! One attempt at a backend server, as routing learns from it.

use std::sync::Arc;

use marigold_request::router::CallReport;
use marigold_request::{LoadReport, RefusalReason};
use marigold_types::{Address, Outcome};
use tokio::time::Instant;

use super::ingress_state::IngressState;

/// Tells routing how an attempt ended, exactly once.
pub struct AttemptRecord {
    state: Arc<IngressState>,
    address: Address,
    start: Instant,
    /// The load that came back with the answer.
    pub load: Option<LoadReport>,
    /// The status of the answer.
    pub status: Option<u16>,
    reported: bool,
}

impl AttemptRecord {
    /// Starts to record an attempt at the backend server of `address`, which is counted already.
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

    /// Ends the record.
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
            // A caller that left says nothing of the backend server.
            self.report(Outcome::NotRun, Some(RefusalReason::Cancelled));
        }
    }
}
