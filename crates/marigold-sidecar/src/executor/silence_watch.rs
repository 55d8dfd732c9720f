//! Notices when nothing is heard from the backend server any more, and when it is heard again.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use marigold_dispatch::{SilenceDetector, WatchedRun};
use tokio::time::Instant;

/// The silence of the current instance of the backend server.
#[derive(Default)]
pub struct SilenceWatch {
    detector: RefCell<SilenceDetector>,
    is_silent: Cell<bool>,
    /// Whether a health check of a quiet backend server is pending.
    is_probing: Cell<bool>,
}

/// A change in what is heard from the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilenceChange {
    /// Nothing is heard any more.
    Silent,
    /// It has responded again.
    Heard,
}

impl SilenceWatch {
    /// Watches an exchange that is about to start, until the guard is dropped.
    pub fn watch(&self, expected: Duration) -> WatchedExchange<'_> {
        let run = self.detector.borrow_mut().start(expected, Instant::now());
        WatchedExchange { watch: self, run }
    }

    /// Returns whether the backend server is idle or has responded so recently that it is alive.
    pub fn is_alive(&self) -> bool {
        self.detector.borrow().is_alive(Instant::now())
    }

    /// Returns whether nothing was heard from the backend server, as of the last call of [`Self::poll`].
    pub fn is_silent(&self) -> bool {
        self.is_silent.get()
    }

    /// Records that the backend server has responded.
    pub fn record_sound(&self) {
        self.detector.borrow_mut().record_sound(Instant::now());
    }

    /// Returns whether the backend server has responded since `time`.
    pub fn heard_since(&self, time: Instant) -> bool {
        self.detector.borrow().heard_since(time)
    }

    /// Records that a health check sent at `sent_at` went unanswered.
    pub fn record_failed_probe(&self, sent_at: Instant) {
        self.detector.borrow_mut().record_failed_probe(sent_at);
    }

    /// Returns whether a health check is to be sent to a backend server with `slots`, which [`Self::end_probe`] ends.
    pub fn begin_probe(&self, slots: u32) -> bool {
        let is_due = self.detector.borrow().needs_probe(slots, Instant::now());
        is_due && !self.is_probing.replace(true)
    }

    /// Records the end of a health check sent at `sent_at`; `answered` is whether there was a response, if one was sent.
    pub fn end_probe(&self, sent_at: Instant, answered: Option<bool>) {
        self.is_probing.set(false);
        match answered {
            Some(true) => self.record_sound(),
            Some(false) => self.record_failed_probe(sent_at),
            None => {}
        }
    }

    /// Returns what has changed since the last call for a backend server with `slots`.
    pub fn poll(&self, slots: u32) -> Option<SilenceChange> {
        let is_silent = self.detector.borrow().is_silent(slots, Instant::now());
        match (self.is_silent.replace(is_silent), is_silent) {
            (false, true) => Some(SilenceChange::Silent),
            (true, false) => Some(SilenceChange::Heard),
            _ => None,
        }
    }

    /// Forgets the previous instance.
    pub fn reset(&self) {
        *self.detector.borrow_mut() = SilenceDetector::default();
        self.is_silent.set(false);
        self.is_probing.set(false);
    }
}

/// An exchange with the backend server. Dropping it records that nobody waits for the response any more.
pub struct WatchedExchange<'a> {
    watch: &'a SilenceWatch,
    run: WatchedRun,
}

impl WatchedExchange<'_> {
    /// Records that the backend server has responded.
    pub fn record_sound(&self) {
        self.watch.record_sound();
    }
}

impl Drop for WatchedExchange<'_> {
    fn drop(&mut self) {
        let mut detector = self.watch.detector.borrow_mut();
        detector.end(self.run, Instant::now());
    }
}
