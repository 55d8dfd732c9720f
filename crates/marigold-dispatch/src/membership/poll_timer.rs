//! How long the reader of a data centre waits for a change of the configuration.
//!
//! Load pattern: followers read the store themselves once the reader has not confirmed the configuration for a while. A
//! slow store, and the delay by which the reader batches changes, must not make all of them do that at once.

use std::time::Duration;

/// The time between two confirmations of the configuration by the reader.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(900);
/// The shortest wait, so that a store that is slower than the interval is not polled without a pause.
const MIN_WAIT: Duration = Duration::from_millis(150);

/// Chooses the waits so that the reader confirms the configuration in time.
#[derive(Debug, Clone, Copy, Default)]
pub struct PollTimer {
    /// How much longer than its wait the last read without a change took.
    latency: Duration,
}

impl PollTimer {
    /// Returns how long the next read waits for a change, `since` the previous one ended.
    #[must_use]
    pub fn wait(&self, since: Duration) -> Duration {
        let spent = self.latency + since;
        CONFIRMATION_INTERVAL.saturating_sub(spent).max(MIN_WAIT)
    }

    /// Records a read that found no change and took `elapsed` with a wait of `wait`.
    pub fn record_unchanged(&mut self, elapsed: Duration, wait: Duration) {
        self.latency = elapsed.saturating_sub(wait);
    }
}
