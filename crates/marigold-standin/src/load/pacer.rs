//! Lets calls fall due at a fixed rate.

use std::time::{Duration, Instant};

/// Walks through the due times of a run; it sleeps on a thread of its own, since the runtime's timer
/// is no finer than a millisecond.
pub struct Pacer {
    start: Instant,
    rate: u64,
    calls: u64,
}

impl Pacer {
    /// Starts now; `calls` calls fall due at `rate` a second.
    pub fn new(rate: u64, calls: u64) -> Self {
        Self {
            start: Instant::now(),
            rate: rate.max(1),
            calls,
        }
    }

    /// Gives the number and the due time of each call to `send`, each not before it is due.
    pub fn walk(self, mut send: impl FnMut(u64, Instant)) {
        for number in 0..self.calls {
            let due = self.start + self.offset(number);
            let wait = due.saturating_duration_since(Instant::now());
            if !wait.is_zero() {
                std::thread::sleep(wait);
            }
            send(number, due);
        }
    }

    fn offset(&self, number: u64) -> Duration {
        let nanos = u128::from(number) * 1_000_000_000 / u128::from(self.rate);
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }
}
