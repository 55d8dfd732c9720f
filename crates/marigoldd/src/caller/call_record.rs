//! The record of one call, from the point of view of its caller.

use std::sync::Arc;

use marigold_request::RefusalReason;
use marigold_request::burn::CallEnd;
use marigold_types::{Class, Outcome, ServiceName};
use tokio::time::Instant;

use super::call_metrics::CallMetrics;
use super::ingress_state::IngressState;
use crate::executor::InFlightGuard;

/// Counts the end of a call exactly once and delays a shutdown until then.
///
/// A record that is dropped unfinished counts as cancelled.
pub struct CallRecord {
    state: Arc<IngressState>,
    metrics: Arc<CallMetrics>,
    service: ServiceName,
    class: Class,
    start: Instant,
    status: Option<u16>,
    reported: bool,
    _guard: InFlightGuard,
}

impl CallRecord {
    /// Starts the record of a call that arrived at `start`.
    #[must_use]
    pub fn new(
        state: Arc<IngressState>,
        metrics: Arc<CallMetrics>,
        service: ServiceName,
        class: Class,
        start: Instant,
        guard: InFlightGuard,
    ) -> Self {
        Self {
            state,
            metrics,
            service,
            class,
            start,
            status: None,
            reported: false,
            _guard: guard,
        }
    }

    /// Sets the HTTP status of the answer.
    pub fn set_status(&mut self, status: u16) {
        self.status = Some(status);
    }

    /// Counts the end of the call.
    pub fn finish(mut self, outcome: Outcome, refusal: Option<RefusalReason>) {
        self.report(outcome, refusal);
    }

    fn report(&mut self, outcome: Outcome, refusal: Option<RefusalReason>) {
        self.reported = true;
        let end = CallEnd {
            outcome,
            status: self.status,
            refusal,
            elapsed: self.start.elapsed(),
        };
        self.state.record_call_end(&self.service, self.class, &end);
        self.metrics.count(outcome, refusal, end.elapsed);
    }
}

impl Drop for CallRecord {
    fn drop(&mut self) {
        if !self.reported {
            self.report(Outcome::NotRun, Some(RefusalReason::Cancelled));
        }
    }
}
