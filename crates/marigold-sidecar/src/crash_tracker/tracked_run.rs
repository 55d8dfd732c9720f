//! Runs of requests on the backend server, tracked for its crashes.

use std::rc::Rc;

use marigold_request::quarantine::{Fingerprint, RunToken};
use tokio::time::Instant;

use super::CrashTracker;

/// A request that is running on the backend server. Dropping it records that nobody waits for the response.
pub struct TrackedRun {
    tracker: Rc<CrashTracker>,
    fingerprint: Fingerprint,
    run: Option<RunToken>,
    is_trial: bool,
    /// How the run ended, in logs.
    outcome: &'static str,
}

impl TrackedRun {
    pub(super) fn new(tracker: Rc<CrashTracker>, run: RunToken, is_trial: bool) -> Self {
        Self {
            tracker,
            fingerprint: run.fingerprint,
            run: Some(run),
            is_trial,
            outcome: "abandoned",
        }
    }

    /// Records that the backend server responded after running the request, which clears the request.
    pub fn answered(mut self) {
        self.outcome = "answered";
        if let Some(run) = self.run.take() {
            self.tracker.record_answer(run);
        }
    }

    /// Records that the backend server did not run the request.
    pub fn rejected(mut self) {
        self.outcome = "rejected";
        if let Some(run) = self.run.take() {
            self.tracker
                .quarantine
                .borrow_mut()
                .record_refusal(run, Instant::now());
            self.tracker.share_soon();
        }
    }

    /// Records that the exchange broke without a response. The backend server may have ended by the request.
    pub fn broken(mut self) {
        self.outcome = "exchange broke";
        if let Some(run) = self.run.take() {
            self.tracker
                .quarantine
                .borrow_mut()
                .record_broken(run, Instant::now());
            if self.is_trial {
                self.tracker.share();
            }
        }
    }
}

impl Drop for TrackedRun {
    fn drop(&mut self) {
        if self.is_trial {
            self.tracker.end_trial(&self.fingerprint, self.outcome);
        }
        if let Some(run) = self.run.take() {
            let now = Instant::now();
            let quarantine = &self.tracker.quarantine;
            quarantine.borrow_mut().record_abandoned(run, now);
            // No other daemon may run it before the outcome of a trial is known.
            if self.is_trial {
                self.tracker.share();
            }
        }
    }
}
