//! Estimates how long callers had waited before a request that this daemon has not seen before.

use std::collections::HashMap;
use std::time::Duration;

use crate::CallKind;

/// The timeouts of callers of one kind lie above this fraction of the longest; one whose timeout is below has waited
/// before, for example at a daemon that has ended.
const MIN_FIRST_TIMEOUT_RATIO: f64 = 0.75;
/// The divisor of the moving average with which the longest timeout approaches shorter ones: a caller with an
/// exceptionally long timeout is forgotten within some hundred requests.
const DECAY_DIVISOR: f64 = 64.0;
/// The maximum number of kinds that are tracked; bounds memory.
const MAX_KINDS: usize = 512;

/// Learns the longest caller timeout of each kind. A retry keeps its original deadline, so its timeout is shorter by
/// the time already waited. The timeouts of first attempts differ too, so that a small difference says nothing;
/// requests that were refused here are recognized by [`CallerReturns`](crate::CallerReturns).
#[derive(Debug, Clone, Default)]
pub struct CallerTimeouts {
    longest: HashMap<CallKind, Duration>,
}

impl CallerTimeouts {
    /// Returns how long the caller of a request with this timeout has waited in earlier attempts, at least.
    pub fn already_waited(&mut self, kind: &CallKind, timeout: Duration) -> Duration {
        if self.longest.len() >= MAX_KINDS && !self.longest.contains_key(kind) {
            return Duration::ZERO;
        }
        let longest = self.longest.entry(kind.clone()).or_default();
        let shortfall = longest.saturating_sub(timeout);
        let peak = (*longest).max(timeout);
        *longest = peak.saturating_sub(shortfall.div_f64(DECAY_DIVISOR));
        let first = longest.mul_f64(MIN_FIRST_TIMEOUT_RATIO);
        if timeout < first {
            shortfall
        } else {
            Duration::ZERO
        }
    }
}
