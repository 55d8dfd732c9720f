//! The largest recent number of daemons.

use std::time::Duration;

use tokio::time::Instant;

/// Records of daemons that are missing for a moment, as after the store has lost its history, do not mean that the daemons
/// are. Those that left are counted for this long.
const MEMORY: Duration = Duration::from_secs(20);

/// The largest number within [`MEMORY`].
#[derive(Debug, Clone, Default)]
pub(super) struct RecentMax {
    current: usize,
    /// Larger numbers before, and until when they held.
    former: Vec<(usize, Instant)>,
}

impl RecentMax {
    /// Records the number that holds from `now` on.
    pub(super) fn record(&mut self, number: usize, now: Instant) {
        if number < self.current {
            self.former.push((self.current, now));
        }
        self.current = number;
        self.former
            .retain(|(former, until)| *former > number && is_recent(*until, now));
    }

    /// Returns the largest number.
    pub(super) fn get(&self, now: Instant) -> usize {
        let recent = self.former.iter();
        let recent = recent.filter(|(_, until)| is_recent(*until, now));
        let max = recent.map(|(former, _)| *former).max();
        max.unwrap_or(0).max(self.current)
    }
}

fn is_recent(until: Instant, now: Instant) -> bool {
    now.saturating_duration_since(until) < MEMORY
}
