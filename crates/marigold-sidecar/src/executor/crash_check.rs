//! Detects that the backend server has crashed.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::sleep;

use super::backend_pool::BackendPool;
use crate::CrashTracker;

/// Delay of a check after a broken exchange, as an ending process closes one socket after another.
const DELAY: Duration = Duration::from_millis(10);

/// Distinguishes a crash of the backend server from the loss of single connections.
#[derive(Debug, Default)]
pub struct CrashCheck {
    is_running: Cell<bool>,
    /// Whether the crash of the current instance has been recorded.
    is_recorded: Cell<bool>,
}

impl CrashCheck {
    /// Returns whether the backend server has ended. Of several checks at the same time only one may return
    /// `true`, since a crash breaks many exchanges.
    pub async fn run(&self, pool: &BackendPool) -> bool {
        if self.is_running.replace(true) {
            return false;
        }
        sleep(DELAY).await;
        let has_ended = pool.has_ended().await;
        self.is_running.set(false);
        has_ended
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
