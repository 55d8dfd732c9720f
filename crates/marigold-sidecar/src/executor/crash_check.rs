//! Detects that the backend server has crashed.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use tokio::time::sleep;

use super::backend_pool::BackendPool;
use crate::{CrashTracker, TrackedRun};

/// Delay of a check after a broken exchange, as an ending process closes one socket after another.
const DELAY: Duration = Duration::from_millis(10);

/// Distinguishes a crash of the backend server from the loss of single connections.
#[derive(Default)]
pub struct CrashCheck {
    /// The runs whose exchanges broke; empty if no check is running.
    broken_runs: RefCell<Vec<TrackedRun>>,
    /// Whether the crash of the current instance has been recorded.
    is_recorded: Cell<bool>,
}

impl CrashCheck {
    /// Adds a run to the current check; returns whether the check is to be started. A crash breaks many
    /// exchanges, which are checked together.
    pub fn begin(&self, run: TrackedRun) -> bool {
        let mut runs = self.broken_runs.borrow_mut();
        runs.push(run);
        runs.len() == 1
    }

    /// Returns whether the backend server has ended. Repeats the check for the runs that are added during it.
    pub async fn run(&self, pool: &BackendPool) -> bool {
        loop {
            let checked = self.broken_runs.borrow().len();
            sleep(DELAY).await;
            if pool.has_ended().await {
                return true;
            }
            if self.broken_runs.borrow().len() == checked {
                return false;
            }
        }
    }

    /// Ends the runs of the check. If the backend server is alive, it has lost their connections only, and a
    /// later crash is not theirs.
    pub fn end(&self) {
        for run in self.broken_runs.take() {
            run.ended();
        }
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
