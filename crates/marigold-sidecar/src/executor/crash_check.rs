//! Checks whether the backend server has ended after an exchange with it broke.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::backend_pool::BackendPool;
use crate::CrashTracker;

/// Delay of a check after a broken exchange, as an ending process closes one socket after another.
const DELAY: Duration = Duration::from_millis(10);

/// Distinguishes a crash of the backend server from the loss of single connections. A crash breaks many exchanges,
/// which are checked together.
#[derive(Default)]
pub struct CrashCheck {
    is_running: Cell<bool>,
    /// The number of exchanges that have broken.
    breaks: Cell<u64>,
    /// Whether the crash of the current instance has been recorded.
    is_recorded: Cell<bool>,
}

impl CrashCheck {
    /// Records that an exchange broke; returns whether a check is to be started.
    pub fn begin(&self) -> bool {
        self.breaks.set(self.breaks.get() + 1);
        !self.is_running.replace(true)
    }

    /// Waits until no exchange breaks any more; returns when the last one did at the latest and how many have, or `None` if no
    /// process accepts connections at the address of the backend server.
    pub async fn settle(&self, pool: &BackendPool) -> Option<(Instant, u64)> {
        loop {
            let breaks = self.breaks.get();
            let checked_at = Instant::now();
            sleep(DELAY).await;
            if pool.has_ended().await {
                return None;
            }
            if self.breaks.get() == breaks {
                return Some((checked_at, breaks));
            }
        }
    }

    /// Returns the number of exchanges that have broken.
    pub fn breaks(&self) -> u64 {
        self.breaks.get()
    }

    /// Ends the check.
    pub fn end(&self) {
        self.is_running.set(false);
    }

    /// Records the crash of the current instance once.
    pub fn record(&self, crashes: &CrashTracker) {
        if !self.is_recorded.replace(true) {
            crashes.record_crash();
        }
    }

    /// Makes the next crash count, since the backend server accepts connections or is another instance. An instance
    /// may start again under the same identity.
    pub fn reset(&self) {
        self.is_recorded.set(false);
    }
}
