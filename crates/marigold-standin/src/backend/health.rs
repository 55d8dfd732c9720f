//! What the health and load endpoints say.

use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;

use super::HealthMode;

/// How the backend server is, or says it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct HealthReport {
    /// Whether it takes work.
    pub ready: bool,
    /// Requests running.
    pub busy: u32,
    /// Requests that may run at once.
    pub slots: u32,
}

/// Gives the truth, or an older or false one.
#[derive(Debug, Default)]
pub struct HealthBoard {
    kept: Option<(Instant, HealthReport)>,
}

impl HealthBoard {
    /// Returns what is said at `now` when `truth` holds.
    pub fn report(&mut self, mode: HealthMode, truth: HealthReport, now: Instant) -> HealthReport {
        match mode {
            HealthMode::Honest => truth,
            HealthMode::Lagging(lag) => self.lagging(Duration::from_millis(lag), truth, now),
            HealthMode::AlwaysWell => HealthReport {
                ready: true,
                busy: 0,
                ..truth
            },
            HealthMode::AlwaysIll => HealthReport {
                ready: false,
                ..truth
            },
        }
    }

    fn lagging(&mut self, lag: Duration, truth: HealthReport, now: Instant) -> HealthReport {
        match self.kept {
            Some((taken, kept)) if now.saturating_duration_since(taken) < lag => kept,
            _ => {
                self.kept = Some((now, truth));
                truth
            }
        }
    }
}
