//! Reports of the health and load endpoints, which can be stale or false on request.

use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;

use super::HealthMode;

/// The body of the health and load endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct HealthReport {
    /// Whether the backend server accepts requests.
    pub ready: bool,
    /// The number of requests that are running.
    pub busy: u32,
    /// The number of requests that may run at once.
    pub slots: u32,
}

/// Produces reports according to a [`HealthMode`].
#[derive(Debug, Default)]
pub struct HealthReporter {
    snapshot: Option<(Instant, HealthReport)>,
}

impl HealthReporter {
    /// Returns the report at `now` if the real state is `actual`.
    pub fn report(&mut self, mode: HealthMode, actual: HealthReport, now: Instant) -> HealthReport {
        match mode {
            HealthMode::Honest => actual,
            HealthMode::Lagging(lag) => self.lagging(Duration::from_millis(lag), actual, now),
            HealthMode::AlwaysWell => HealthReport {
                ready: true,
                busy: 0,
                ..actual
            },
            HealthMode::AlwaysIll => HealthReport {
                ready: false,
                ..actual
            },
        }
    }

    fn lagging(&mut self, lag: Duration, actual: HealthReport, now: Instant) -> HealthReport {
        match self.snapshot {
            Some((taken, snapshot)) if now.saturating_duration_since(taken) < lag => snapshot,
            _ => {
                self.snapshot = Some((now, actual));
                actual
            }
        }
    }
}
