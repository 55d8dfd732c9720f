//! Progress of a call at the executor.

use std::time::Duration;

use tokio::time::Instant;

use crate::Body;
use crate::events::{EventLog, Severity};
use crate::link::{Call, CallOutcome};

/// Progress of a call, known even if it is cancelled.
#[derive(Debug, Default)]
pub struct CallProgress {
    /// Time spent waiting for a slot.
    pub waited: Duration,
    /// When it was sent to the backend server.
    pub started_at: Option<Instant>,
    /// Body of the response.
    pub body: Body,
}

impl CallProgress {
    /// Returns the time since the call was sent to the backend server, or zero if it was not.
    pub fn ran(&self) -> Duration {
        self.started_at.map_or(Duration::ZERO, |at| at.elapsed())
    }

    /// Records the outcome of the call in log and metrics; `busy` and `queued` are the calls at the backend
    /// server.
    pub fn record(
        &self,
        events: &EventLog,
        call: &Call,
        outcome: &CallOutcome,
        busy: usize,
        queued: usize,
    ) {
        let (label, detail, severity) = describe(outcome);
        metrics::counter!("marigold_executor_calls_total", "outcome" => label).increment(1);
        metrics::histogram!("marigold_executor_wait_seconds").record(self.waited.as_secs_f64());
        events.emit(
            "call_ended",
            severity,
            &[
                ("request", call.request_id.to_string().into()),
                ("route", call.kind.to_string().into()),
                ("version", call.version.0.into()),
                ("outcome", label.into()),
                ("detail", detail.into()),
                ("waited_ms", millis(self.waited).into()),
                ("ran_ms", millis(self.ran()).into()),
                ("busy", busy.into()),
                ("queued", queued.into()),
            ],
        );
    }
}

/// Returns `time` in whole milliseconds.
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn describe(outcome: &CallOutcome) -> (&'static str, String, Severity) {
    match outcome {
        CallOutcome::Answered { status, .. } => ("answered", status.to_string(), Severity::Routine),
        CallOutcome::Refused { reason, .. } => ("refused", reason.to_string(), Severity::Info),
        CallOutcome::Rejected { status } => ("rejected", status.to_string(), Severity::Info),
        CallOutcome::Lost { broken } => {
            let detail = if *broken { "broken" } else { "silent" };
            ("lost", detail.to_owned(), Severity::Warn)
        }
    }
}
