//! One call, as its caller saw it end.

use std::sync::Arc;

use marigold_request::RefusalReason;
use marigold_request::burn::CallEnd;
use marigold_types::{Class, Outcome, ServiceName};
use tokio::time::Instant;

use super::decisions::Decisions;
use super::meters::CallMeters;
use crate::executor::Counted;

/// Counts how a call ended, exactly once, and holds a shutdown until then.
pub struct CallRecord {
    decisions: Arc<Decisions>,
    meters: Arc<CallMeters>,
    service: ServiceName,
    class: Class,
    start: Instant,
    status: Option<u16>,
    done: bool,
    _counted: Counted,
}

impl CallRecord {
    /// Starts to record a call.
    #[must_use]
    pub fn new(
        decisions: Arc<Decisions>,
        meters: Arc<CallMeters>,
        service: ServiceName,
        class: Class,
        start: Instant,
        counted: Counted,
    ) -> Self {
        Self {
            decisions,
            meters,
            service,
            class,
            start,
            status: None,
            done: false,
            _counted: counted,
        }
    }

    /// Notes the status of the answer.
    pub fn answer(&mut self, status: u16) {
        self.status = Some(status);
    }

    /// Ends the record.
    pub fn finish(mut self, outcome: Outcome, refusal: Option<RefusalReason>) {
        self.tell(outcome, refusal);
    }

    fn tell(&mut self, outcome: Outcome, refusal: Option<RefusalReason>) {
        self.done = true;
        let end = CallEnd {
            outcome,
            status: self.status,
            refusal,
            elapsed: self.start.elapsed(),
        };
        self.decisions.count(&self.service, self.class, &end);
        self.meters.count(outcome, refusal, end.elapsed);
    }
}

impl Drop for CallRecord {
    fn drop(&mut self) {
        if !self.done {
            self.tell(Outcome::NotRun, Some(RefusalReason::Cancelled));
        }
    }
}
