//! One daemon's share of the retry slack, see docs/design/retries.md.
//!
//! Load pattern: daemons are killed in series while backend servers fail. A daemon that has started again has
//! forgotten the retries that its previous run spent, and may know few of the daemons that it shares the slack with.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// The fraction of the slack that the shares of all daemons amount to. Within one window, two runs of a daemon can
/// each spend a whole share: one that ends in it and the ones after that together.
const USED_SLACK_RATIO: f64 = 0.45;

/// The number of daemons that were known until a time.
#[derive(Debug, Clone, Copy)]
struct FormerCount {
    daemons: usize,
    until: Instant,
}

/// Divides the slack, which all daemons share, among those that this daemon knows.
///
/// The share grows from nothing during the first window, so that the runs of a daemon that is killed again and again
/// have one share together. It is divided by the largest number of daemons known within the window, since records of
/// daemons that are missing for a moment do not mean that the daemons are.
#[derive(Debug, Clone)]
pub struct SlackShare {
    window: Duration,
    /// When other daemons became known, if they have.
    known_since: Option<Instant>,
    daemons: usize,
    former: VecDeque<FormerCount>,
}

impl SlackShare {
    /// Builds the share of a daemon that knows no others yet. `window` is the one over which retries are counted.
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            known_since: None,
            daemons: 0,
            former: VecDeque::new(),
        }
    }

    /// Changes the window over which retries are counted.
    pub fn set_window(&mut self, window: Duration) {
        self.window = window;
    }

    /// Records the number of daemons that are known, including this one.
    pub fn record_daemons(&mut self, count: usize, now: Instant) {
        if count > 0 {
            self.known_since.get_or_insert(now);
        }
        if count < self.daemons {
            self.former.push_back(FormerCount {
                daemons: self.daemons,
                until: now,
            });
        }
        self.daemons = count;
        let oldest = now.checked_sub(self.window);
        self.former
            .retain(|former| former.daemons > count && oldest.is_none_or(|at| former.until > at));
    }

    /// Returns the retries that this daemon may spend in a window out of a `slack` that all daemons share.
    #[must_use]
    pub fn of(&self, slack: f64, now: Instant) -> f64 {
        let Some(known_since) = self.known_since else {
            return 0.0;
        };
        let age = now.saturating_duration_since(known_since).as_secs_f64();
        let grown = (age / self.window.as_secs_f64()).min(1.0);
        let count = u32::try_from(self.max_daemons(now)).unwrap_or(u32::MAX);
        slack * USED_SLACK_RATIO * grown / f64::from(count)
    }

    fn max_daemons(&self, now: Instant) -> usize {
        let oldest = now.checked_sub(self.window);
        let former = self.former.iter();
        let recent = former.filter(|former| oldest.is_none_or(|at| former.until > at));
        let max = recent.map(|former| former.daemons).max().unwrap_or(0);
        max.max(self.daemons).max(1)
    }
}
