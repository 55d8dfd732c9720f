//! Detects silent connections.

use std::sync::{Mutex, MutexGuard, PoisonError};

use marigold_request::silence::{ConnectionMonitor, ConnectionState};
use marigold_types::Interval;
use tokio::time::Instant;

struct Inner {
    monitor: ConnectionMonitor,
    /// The number of datagrams received at the last check.
    received_datagrams: u64,
}

/// A [`ConnectionMonitor`] that observes the count of received datagrams.
pub struct LinkMonitor {
    inner: Mutex<Inner>,
}

impl LinkMonitor {
    /// Creates the monitor of a connection that was just opened.
    #[must_use]
    pub fn new(silence: Interval) -> Self {
        Self {
            inner: Mutex::new(Inner {
                monitor: ConnectionMonitor::new(silence, Instant::now()),
                received_datagrams: 0,
            }),
        }
    }

    pub(super) fn request_sent(&self) {
        self.lock().monitor.sent(Instant::now());
    }

    pub(super) fn request_ended(&self, answered: bool) {
        let mut inner = self.lock();
        inner.monitor.ended();
        if answered {
            inner.monitor.received(Instant::now());
        }
    }

    pub(super) fn probe_sent(&self) {
        self.lock().monitor.probe_sent(Instant::now());
    }

    pub(super) fn state(&self, received_datagrams: u64) -> ConnectionState {
        let mut inner = self.lock();
        inner.update(received_datagrams);
        inner.monitor.state(Instant::now())
    }

    pub(super) fn may_carry(&self, received_datagrams: u64, idempotent: bool) -> bool {
        let mut inner = self.lock();
        inner.update(received_datagrams);
        inner.monitor.may_carry(idempotent, Instant::now())
    }

    pub(super) fn next_check(&self) -> Option<Instant> {
        self.lock().monitor.next_check()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn update(&mut self, received_datagrams: u64) {
        if received_datagrams != self.received_datagrams {
            self.received_datagrams = received_datagrams;
            self.monitor.received(Instant::now());
        }
    }
}
