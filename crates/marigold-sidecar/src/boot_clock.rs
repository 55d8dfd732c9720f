//! A clock that also runs while the instance is suspended.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Time as [`Instant`], plus the time for which the instance was suspended, which [`Instant`] does not count.
///
/// What other daemons were promised for a time has ended after a suspension, although [`Instant`] says that no time has
/// passed.
#[derive(Debug)]
pub(crate) struct BootClock {
    /// Suspended time before the clock was created.
    suspended_before: Duration,
}

impl BootClock {
    pub(crate) fn new() -> Self {
        Self {
            suspended_before: suspended(),
        }
    }

    pub(crate) fn now(&self) -> Instant {
        Instant::now() + suspended().saturating_sub(self.suspended_before)
    }
}

/// Returns how long the instance has been suspended since it was booted; zero if it has no such clock.
fn suspended() -> Duration {
    let read = |clock| clock_gettime(clock).map(Duration::from);
    match (
        read(ClockId::CLOCK_MONOTONIC),
        read(ClockId::CLOCK_BOOTTIME),
    ) {
        (Ok(steady), Ok(since_boot)) => since_boot.saturating_sub(steady),
        _ => Duration::ZERO,
    }
}
