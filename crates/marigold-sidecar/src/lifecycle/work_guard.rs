//! Accounting of the work that a shutdown waits for.

use std::rc::Rc;

use tokio::time::Instant;

use super::Lifecycle;

/// Counts a request or call as open until dropped, including when the caller disconnects.
#[derive(Debug)]
pub struct WorkGuard {
    pub(super) lifecycle: Rc<Lifecycle>,
    /// Whether every request was accepted when it was.
    pub(super) is_early: bool,
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        let mut work = self.lifecycle.work.get();
        work.end(self.is_early, Instant::now());
        self.lifecycle.work.set(work);
    }
}
