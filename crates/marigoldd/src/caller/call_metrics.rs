//! Metrics of the calls of one ingress.

use std::time::Duration;

use marigold_request::RefusalReason;
use marigold_types::{Address, Outcome};
use metrics::{Counter, Histogram, counter, histogram};

/// Metric handles that are registered once, so that a call only updates them.
pub struct CallMetrics {
    daemon: String,
    answered: Counter,
    unknown: Counter,
    elapsed: Histogram,
    retries: Counter,
    attempts: Counter,
}

impl CallMetrics {
    /// Registers the metrics of the daemon at `local`; the recorder must be installed first.
    #[must_use]
    pub fn new(local: Address) -> Self {
        let daemon = local.to_string();
        let calls = |outcome: &'static str| counter!("marigold_calls_total", "daemon" => daemon.clone(), "outcome" => outcome);
        Self {
            answered: calls("answered"),
            unknown: calls("unknown"),
            elapsed: histogram!("marigold_call_seconds", "daemon" => daemon.clone()),
            retries: counter!("marigold_retries_total", "daemon" => daemon.clone()),
            attempts: counter!("marigold_attempts_total", "daemon" => daemon.clone()),
            daemon,
        }
    }

    /// Counts the end of a call.
    pub fn count(&self, outcome: Outcome, refusal: Option<RefusalReason>, elapsed: Duration) {
        self.elapsed.record(elapsed);
        match outcome {
            Outcome::Answered => self.answered.increment(1),
            Outcome::Unknown => self.unknown.increment(1),
            Outcome::NotRun => self.count_refused(refusal),
        }
    }

    /// Counts an attempt; those with a `number` above 0 are retries.
    pub fn count_attempt(&self, number: u8) {
        self.attempts.increment(1);
        if number > 0 {
            self.retries.increment(1);
        }
    }

    /// Counts a call with an unknown outcome that was refused before it was read; its duration is
    /// not recorded.
    pub fn count_unknown(&self) {
        self.unknown.increment(1);
    }

    /// Counts a refused call without its duration; a call refused before it was read has none.
    pub fn count_refused(&self, refusal: Option<RefusalReason>) {
        let reason = refusal.map_or_else(String::new, |reason| reason.to_string());
        let daemon = self.daemon.clone();
        counter!(
            "marigold_calls_total",
            "daemon" => daemon, "outcome" => "not-run", "reason" => reason
        )
        .increment(1);
    }
}
