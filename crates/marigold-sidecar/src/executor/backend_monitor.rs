//! What is known of the backend server: its announcements, its responses, and whether it can be reached.

use std::cell::{Cell, Ref, RefCell};
use std::rc::Rc;
use std::time::Duration;

use marigold_dispatch::{
    Announcement, AnnouncementOutcome, BackendInstance, BackendState, Departure, NamedLimit,
};
use marigold_request::RefusalReason;
use marigold_types::{ServiceName, SlotCount};
use tokio::time::Instant;

use super::backend_pool::BackendPool;
use super::crash_check::CrashCheck;
use super::limit_watch::LimitWatch;
use super::silence_watch::SilenceWatch;

/// How long calls are refused after the backend server has failed to accept a connection.
pub const UNREACHABLE_COOLDOWN: Duration = Duration::from_millis(500);

/// The state of the backend server beside the daemon.
#[derive(Default)]
pub struct BackendMonitor {
    state: RefCell<BackendState>,
    pool: RefCell<Option<Rc<BackendPool>>>,
    /// Whether the daemon is shutting down and refuses new calls.
    closing: Cell<bool>,
    unreachable_until: Cell<Option<Instant>>,
    pub crash_check: CrashCheck,
    pub silence: SilenceWatch,
    pub limits: LimitWatch,
}

impl BackendMonitor {
    /// Applies an announcement. A new instance starts without the history of the previous one.
    pub fn apply_announcement(&self, announcement: &Announcement) -> AnnouncementOutcome {
        let outcome = self
            .state
            .borrow_mut()
            .apply_announcement(announcement, Instant::now());
        if outcome == AnnouncementOutcome::NewInstance {
            self.silence.reset();
            self.unreachable_until.set(None);
            *self.pool.borrow_mut() = Some(Rc::new(BackendPool::new(announcement.address)));
        }
        outcome
    }

    /// Marks the instance with `identity` as departed or about to depart.
    pub fn mark_departed(&self, identity: &str) -> AnnouncementOutcome {
        let mut state = self.state.borrow_mut();
        state.mark_departed(identity, Instant::now())
    }

    /// Returns the current instance if it has said that it leaves.
    pub fn leaving(&self) -> Option<Departure> {
        self.state.borrow().leaving()
    }

    /// Restores a departure that a previous run of the daemon has recorded.
    pub fn restore_departure(&self, departure: &Departure) {
        let mut state = self.state.borrow_mut();
        state.restore_departure(departure, Instant::now());
    }

    /// Records the limit after a response; returns what was known before if it differs.
    pub fn record_limit(&self, limit: NamedLimit) -> Option<NamedLimit> {
        self.state.borrow_mut().record_limit(limit)
    }

    /// Refuses calls from now on; returns whether it did not before.
    pub fn close(&self) -> bool {
        !self.closing.replace(true)
    }

    /// Returns the current instance, even if it is draining.
    pub fn current(&self) -> Option<Ref<'_, BackendInstance>> {
        Ref::filter_map(self.state.borrow(), BackendState::current).ok()
    }

    /// Returns whether the daemon refuses calls because it shuts down.
    pub fn is_closing(&self) -> bool {
        self.closing.get()
    }

    /// Returns the current instance if it accepts requests.
    pub fn serving(&self) -> Option<Ref<'_, BackendInstance>> {
        Ref::filter_map(self.state.borrow(), BackendState::serving).ok()
    }

    /// Returns the connections to the current instance.
    pub fn pool(&self) -> Option<Rc<BackendPool>> {
        self.pool.borrow().clone()
    }

    /// Returns whether these are the connections to the current instance.
    pub fn is_current(&self, pool: &Rc<BackendPool>) -> bool {
        self.pool()
            .is_some_and(|current| Rc::ptr_eq(&current, pool))
    }

    /// Returns the number of slots that calls may use now.
    pub fn usable_slots(&self) -> SlotCount {
        if self.is_closing() || !self.is_reachable() {
            return SlotCount(0);
        }
        let slots = self.serving().map(|instance| instance.slots);
        slots.unwrap_or(SlotCount(0))
    }

    /// Returns whether the backend server has served before this daemon started, may have named a limit to its
    /// predecessor, and has not responded since. It gets one request at a time until then.
    pub fn is_limit_unknown(&self) -> bool {
        self.serving()
            .is_some_and(|instance| instance.limit == NamedLimit::Unknown)
    }

    /// Returns why a call for `service` cannot run now, if the backend server is of another service or accepts no
    /// calls.
    pub fn check(&self, service: &ServiceName) -> Result<(), RefusalReason> {
        if self.closing.get() {
            return Err(RefusalReason::Draining);
        }
        let instance = self.current().ok_or(RefusalReason::NoBackendServer)?;
        if instance.service != *service {
            return Err(RefusalReason::NoBackendServer);
        }
        if instance.draining_since.is_some() {
            return Err(RefusalReason::Draining);
        }
        if !self.is_reachable() {
            return Err(RefusalReason::NoConnection);
        }
        Ok(())
    }

    /// Records that the backend server has failed to accept a connection.
    pub fn mark_unreachable(&self) {
        let until = Instant::now() + UNREACHABLE_COOLDOWN;
        self.unreachable_until.set(Some(until));
    }

    /// Ends the time after a failure to connect if it is over; returns whether it ended now.
    pub fn end_cooldown(&self) -> bool {
        let is_over = (self.unreachable_until.get()).is_some_and(|at| at <= Instant::now());
        if is_over {
            self.unreachable_until.set(None);
        }
        is_over
    }

    fn is_reachable(&self) -> bool {
        self.unreachable_until.get().is_none() && !self.silence.is_silent()
    }
}
