//! Schedule of calls at a fixed rate.

use std::time::{Duration, Instant};

/// Schedules the calls of a run. It sleeps on its own thread between calls, since the timer of the Tokio
/// runtime has a resolution of only one millisecond.
pub struct Pacer {
    start: Instant,
    rate: u64,
    calls: u64,
}

impl Pacer {
    /// Creates a schedule of `calls` calls at `rate` per second whose first call is due now.
    pub fn new(rate: u64, calls: u64) -> Self {
        Self {
            start: Instant::now(),
            rate: rate.max(1),
            calls,
        }
    }

    /// Calls `send` with the number and the due time of each call, never before that time.
    pub fn run(self, mut send: impl FnMut(u64, Instant)) {
        for number in 0..self.calls {
            let due = self.start + self.due_offset(number);
            let wait = due.saturating_duration_since(Instant::now());
            if !wait.is_zero() {
                std::thread::sleep(wait);
            }
            send(number, due);
        }
    }

    fn due_offset(&self, number: u64) -> Duration {
        let nanos = u128::from(number) * 1_000_000_000 / u128::from(self.rate);
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }
}
