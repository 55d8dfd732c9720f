//! The log line and the metrics of a request that has ended.

use std::time::Duration;

use marigold_types::ServiceName;

use super::Ingress;
use crate::events::Severity;
use crate::http1::Request;
use crate::ingress::request_outcome::RequestOutcome;
use crate::ingress::request_trace::RequestTrace;

impl Ingress {
    pub(super) fn record_request(
        &self,
        request: &Request,
        outcome: &RequestOutcome,
        trace: &RequestTrace,
        took: Duration,
    ) {
        let outcome_label = outcome.label();
        let service = trace.service.as_ref().map_or("", ServiceName::as_str);
        let service_label = service.to_owned();
        metrics::counter!("marigold_requests_total", "service" => service_label, "outcome" => outcome_label)
            .increment(1);
        if outcome_label == "not_run" {
            let reason = outcome.reason();
            metrics::counter!("marigold_refusals_total", "reason" => reason).increment(1);
        }
        metrics::histogram!("marigold_request_seconds", "outcome" => outcome_label)
            .record(took.as_secs_f64());
        let severity = match outcome {
            RequestOutcome::Answered(response) if response.status < 500 => Severity::Routine,
            RequestOutcome::Answered(_)
            | RequestOutcome::NotRun { .. }
            | RequestOutcome::OverQuota { .. }
            | RequestOutcome::Invalid { .. } => Severity::Info,
            RequestOutcome::Unknown { .. } => Severity::Warn,
        };
        let executors: Vec<String> = trace.executors.iter().map(ToString::to_string).collect();
        let fingerprint = trace
            .fingerprint
            .map_or_else(String::new, |print| print.to_string());
        self.events.emit(
            "request_ended",
            severity,
            &[
                ("request", request.id.as_deref().unwrap_or_default().into()),
                ("outcome", outcome_label.into()),
                ("status", outcome.status().into()),
                ("reason", outcome.reason().into()),
                ("route", trace.route.as_str().into()),
                ("fingerprint", fingerprint.into()),
                ("service", service.into()),
                ("version", trace.version.0.into()),
                ("executors", executors.into()),
                ("steps", trace.steps.clone().into()),
                ("waited_ms", millis(trace.waited).into()),
                ("ran_ms", millis(trace.ran).into()),
                ("took_ms", millis(took).into()),
            ],
        );
    }

    /// Records that a request was rejected before it had arrived completely. It has not run.
    pub fn record_rejection(&self, id: Option<&str>, status: u16) {
        self.events.emit(
            "request_rejected",
            Severity::Info,
            &[
                ("request", id.unwrap_or_default().into()),
                ("status", status.into()),
                ("held_kib", (self.options.memory.held() >> 10).into()),
            ],
        );
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
