//! Tells a silent connection from a slow answer.

use std::sync::{Mutex, MutexGuard, PoisonError};

use marigold_request::silence::{ConnectionMonitor, Verdict};
use marigold_types::Interval;
use tokio::time::Instant;

struct Inner {
    monitor: ConnectionMonitor,
    heard: u64,
}

/// Watches one connection by the datagrams that come in on it.
pub struct LinkMonitor {
    inner: Mutex<Inner>,
}

impl LinkMonitor {
    /// Builds the monitor of a connection that has just been opened.
    #[must_use]
    pub fn new(silence: Interval) -> Self {
        Self {
            inner: Mutex::new(Inner {
                monitor: ConnectionMonitor::new(silence, Instant::now()),
                heard: 0,
            }),
        }
    }

    pub(super) fn sent(&self) {
        self.lock().monitor.sent(Instant::now());
    }

    pub(super) fn ended(&self, answered: bool) {
        let mut inner = self.lock();
        inner.monitor.ended();
        if answered {
            inner.monitor.heard(Instant::now());
        }
    }

    pub(super) fn probed(&self) {
        self.lock().monitor.probe_sent(Instant::now());
    }

    pub(super) fn verdict(&self, heard: u64) -> Verdict {
        let mut inner = self.lock();
        inner.listen(heard);
        inner.monitor.verdict(Instant::now())
    }

    pub(super) fn may_carry(&self, heard: u64, idempotent: bool) -> bool {
        let mut inner = self.lock();
        inner.listen(heard);
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
    fn listen(&mut self, heard: u64) {
        if heard != self.heard {
            self.heard = heard;
            self.monitor.heard(Instant::now());
        }
    }
}
