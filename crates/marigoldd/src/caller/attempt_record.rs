//! One attempt at a backend server, as routing learns from it.

use std::sync::Arc;

use marigold_request::router::CallReport;
use marigold_request::{LoadReport, RefusalReason};
use marigold_types::{Address, Outcome};
use tokio::time::Instant;

use super::decisions::Decisions;

/// Tells routing how an attempt ended, exactly once.
pub struct AttemptRecord {
    decisions: Arc<Decisions>,
    address: Address,
    start: Instant,
    /// The load that came back with the answer.
    pub load: Option<LoadReport>,
    /// The status of the answer.
    pub status: Option<u16>,
    done: bool,
}

impl AttemptRecord {
    /// Starts to record an attempt at the backend server of `address`, which is counted already.
    #[must_use]
    pub fn new(decisions: Arc<Decisions>, address: Address) -> Self {
        Self {
            decisions,
            address,
            start: Instant::now(),
            load: None,
            status: None,
            done: false,
        }
    }

    /// Ends the record.
    pub fn finish(mut self, outcome: Outcome, refusal: Option<RefusalReason>) {
        self.tell(outcome, refusal);
    }

    fn tell(&mut self, outcome: Outcome, refusal: Option<RefusalReason>) {
        self.done = true;
        let report = CallReport {
            outcome,
            status: self.status,
            refusal,
            load: self.load,
            elapsed: self.start.elapsed(),
        };
        self.decisions.finished(self.address, &report);
    }
}

impl Drop for AttemptRecord {
    fn drop(&mut self) {
        if !self.done {
            // A caller that left says nothing of the backend server.
            self.tell(Outcome::NotRun, Some(RefusalReason::Cancelled));
        }
    }
}
