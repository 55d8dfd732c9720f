//! The work that a stopping daemon has to end.

use std::time::Duration;

use tokio::time::Instant;

/// The requests and calls that were accepted and have not ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OpenWork {
    open: usize,
    early: usize,
    /// When one was accepted or ended last.
    changed_at: Option<Instant>,
    /// When the longest run is expected to end, and the longest of the early ones.
    due_at: Option<Instant>,
    early_due_at: Option<Instant>,
}

impl OpenWork {
    /// Returns the number of requests and calls.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open
    }

    /// Returns the number of those accepted while every request was. The daemon stays for these.
    #[must_use]
    pub fn early(&self) -> usize {
        self.early
    }

    /// Adds one that is accepted and expected to end after `expected`; `early` is whether every request is accepted at
    /// this time.
    pub fn start(&mut self, early: bool, expected: Duration, now: Instant) {
        self.open += 1;
        self.early += usize::from(early);
        self.changed_at = Some(now);
        self.due_at = self.due_at.max(Some(now + expected));
        if early {
            self.early_due_at = self.due_at;
        }
    }

    /// Removes one that has ended, with the same `early` as at its start.
    pub fn end(&mut self, early: bool, now: Instant) {
        self.open -= 1;
        self.early -= usize::from(early);
        self.changed_at = Some(now);
    }

    /// Returns when one was accepted or ended last, or `None` if there was none.
    #[must_use]
    pub fn changed_at(&self) -> Option<Instant> {
        self.changed_at
    }

    /// Returns the time until the early ones are expected to have ended.
    #[must_use]
    pub fn early_time_left(&self, now: Instant) -> Duration {
        let due_at = self.early_due_at.filter(|_| self.early > 0);
        due_at.map_or(Duration::ZERO, |at| at.saturating_duration_since(now))
    }

    /// Returns the time until all are expected to have ended.
    #[must_use]
    pub fn time_left(&self, now: Instant) -> Duration {
        let due_at = self.due_at.filter(|_| self.open > 0);
        due_at.map_or(Duration::ZERO, |at| at.saturating_duration_since(now))
    }
}
