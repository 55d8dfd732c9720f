//! When a daemon that has just started looks for the others again.
//!
//! Load pattern: hundreds of daemons start at the same time and find no records of each other yet. If each followed the
//! store on its own until it learned of the rest, a start of all would cost several reads a daemon.

use std::time::Duration;

use tokio::time::Instant;

/// How long a daemon that has found no records of others waits for them: they write theirs once their backend servers
/// have announced themselves.
const RECORDS_DELAY: Duration = Duration::from_secs(2);
/// How long a daemon that has found records waits for its links to the others, before it concludes that none of them can
/// be reached.
const LINKS_DELAY: Duration = Duration::from_millis(300);

/// Tracks what a daemon has learned of others since its start.
#[derive(Debug, Clone, Copy, Default)]
pub struct FirstContact {
    /// When the records of daemons were first read.
    read_at: Option<Instant>,
    /// When records of others were first known.
    known_at: Option<Instant>,
}

impl FirstContact {
    /// Records a read of the records of daemons, after which `others` are known.
    pub fn record_read(&mut self, others: usize, now: Instant) {
        self.read_at.get_or_insert(now);
        if others > 0 {
            self.known_at.get_or_insert(now);
        }
    }

    /// Returns whether the store should not be read for a moment, as others are about to tell more. `others` is the
    /// number of daemons that are known now, and `has_link` is whether one of them has been reached.
    #[must_use]
    pub fn is_waiting(&self, others: usize, has_link: bool, now: Instant) -> bool {
        let is_recent = |at: Option<Instant>, delay: Duration| {
            at.is_some_and(|at| now.saturating_duration_since(at) < delay)
        };
        if others == 0 {
            return is_recent(self.read_at, RECORDS_DELAY);
        }
        !has_link && is_recent(self.known_at, LINKS_DELAY)
    }
}
