//! What announcements, responses and silence say of the backend server, and what follows for waiting calls.

use std::io;

use marigold_dispatch::{
    AdmissionController, Announcement, AnnouncementOutcome, Departure, NamedLimit,
};
use marigold_request::quarantine::EventNumber;

use super::{LocalExecutor, UNAVAILABLE_RETRY_DELAY};
use crate::events::Severity;
use crate::executor::exchange::BackendStatement;
use crate::executor::health_probes::{
    probe_quiet_backend, probe_until_heard, probe_until_limit_is_known,
};
use crate::executor::limit_watch::LimitWatch;
use crate::executor::silence_watch::SilenceChange;

impl LocalExecutor {
    /// Records that the backend server has fallen silent, or is heard again.
    pub(in crate::executor) fn check_silence(&self) {
        let Some((_, slots)) = self.serving() else {
            return;
        };
        if self.backend.silence.begin_probe(slots.0)
            && let Some(executor) = self.myself.upgrade()
        {
            tokio::task::spawn_local(probe_quiet_backend(executor));
        }
        match self.backend.silence.poll(slots.0) {
            Some(SilenceChange::Silent) => {
                self.crashes.record_silence();
                self.apply_backend_state();
                if let Some(executor) = self.myself.upgrade() {
                    tokio::task::spawn_local(probe_until_heard(executor));
                }
            }
            Some(SilenceChange::Heard) => {
                self.crashes.record_sound();
                self.apply_backend_state();
            }
            None => {}
        }
    }

    /// Records that no process accepts connections at the address of the backend server.
    pub(in crate::executor) fn record_crash(&self) {
        self.backend.crash_check.record(&self.crashes);
        self.mark_unreachable(&io::ErrorKind::ConnectionRefused.into());
    }

    /// Returns the number of the latest event at the backend server, for [`Self::record_alive`].
    pub(in crate::executor) fn latest_event(&self) -> EventNumber {
        self.crashes.latest_event()
    }

    /// Records that the backend server has outlived the exchanges that broke before `event`.
    pub(in crate::executor) fn record_alive(&self, event: EventNumber) {
        self.crashes.record_alive(event);
    }

    /// Applies an announcement of the backend server.
    pub fn apply_announcement(&self, announcement: &Announcement) -> AnnouncementOutcome {
        let was_serving = self.backend.serving().is_some();
        let outcome = self.backend.apply_announcement(announcement);
        self.evidence.announced(outcome, announcement.warmup);
        match outcome {
            AnnouncementOutcome::NewInstance => {
                let crash_check = &self.backend.crash_check;
                // An instance that ended without draining may have crashed without closing its connections.
                if was_serving {
                    crash_check.record(&self.crashes);
                }
                crash_check.reset();
                self.queue.set_request_limit(None);
                self.apply_backend_state();
                if let Some(executor) = self.myself.upgrade()
                    && self.backend.is_limit_unknown()
                {
                    tokio::task::spawn_local(probe_until_limit_is_known(executor));
                }
            }
            AnnouncementOutcome::Unchanged => {
                if self.queue.read(AdmissionController::slots) != self.backend.usable_slots() {
                    self.apply_backend_state();
                }
            }
            AnnouncementOutcome::Draining => self.apply_backend_state(),
            AnnouncementOutcome::Stale => {}
        }
        outcome
    }

    /// Gives up learning the limit from the first response, as the backend server breaks exchanges: one request at a time
    /// would leave its slots unused for as long as it does.
    pub(super) fn end_wait_for_limit(&self) {
        if self.backend.is_limit_unknown() {
            self.backend.record_limit(NamedLimit::None);
            self.apply_backend_state();
        }
    }

    /// Applies what a response of the backend server says about it.
    pub fn apply_statement(&self, statement: &BackendStatement) {
        if statement.leaving {
            self.mark_current_departed();
            return;
        }
        let Some(limit) = self.backend.limits.interpret(statement, &self.events) else {
            return;
        };
        let Some(previous) = self.backend.record_limit(limit) else {
            return;
        };
        let (previous, limit) = (previous.limit(), limit.limit());
        if previous != limit {
            self.queue.set_request_limit(limit);
            LimitWatch::record_change(previous, limit, &self.events);
        }
        self.apply_backend_state();
    }

    /// Marks the backend server with `identity` as departed or about to depart.
    pub fn mark_departed(&self, identity: &str) -> AnnouncementOutcome {
        let outcome = self.backend.mark_departed(identity);
        if outcome == AnnouncementOutcome::Draining {
            self.apply_backend_state();
        }
        outcome
    }

    /// Records that the current instance says in a response that it is shutting down, like an announcement of that.
    pub(super) fn mark_current_departed(&self) {
        let identity = self
            .backend
            .serving()
            .map(|instance| instance.identity.clone());
        if let Some(identity) = identity {
            let fields = [("identity", identity.to_string().into())];
            self.events.emit("backend_leaving", Severity::Info, &fields);
            self.mark_departed(&identity);
        }
    }

    /// Returns the instance of the backend server that has said that it leaves.
    #[must_use]
    pub fn leaving(&self) -> Option<Departure> {
        self.backend.leaving()
    }

    /// Restores a departure that a previous run of this daemon has recorded.
    pub fn restore_departure(&self, departure: &Departure) {
        self.backend.restore_departure(departure);
        self.apply_backend_state();
    }

    /// Refuses new calls from now on, because the daemon is shutting down.
    pub fn close(&self) {
        if self.backend.close() {
            self.apply_backend_state();
        }
    }

    /// Applies the state of the backend server to the queue and reports it to other daemons.
    pub(super) fn apply_backend_state(&self) {
        let slots = self.backend.usable_slots();
        let one_at_a_time = self.backend.is_limit_unknown();
        self.queue.set_slots(slots, one_at_a_time);
        if slots.0 == 0 {
            // Other backend servers may still be able to run the queued calls in time.
            self.queue.clear(UNAVAILABLE_RETRY_DELAY);
        }
        self.broadcast_report();
    }

    pub(super) fn broadcast_report(&self) {
        if let Some(server) = self.link_server.borrow().upgrade() {
            server.broadcast_report();
        }
    }

    pub(super) fn mark_unreachable(&self, error: &io::Error) {
        self.events.emit(
            "backend_unreachable",
            Severity::Warn,
            &[("cause", error.to_string().into())],
        );
        self.backend.mark_unreachable();
        self.apply_backend_state();
    }
}
