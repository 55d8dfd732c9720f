//! Estimates how long callers had waited before a retry.

use std::collections::HashMap;
use std::time::Duration;

use crate::CallKind;

/// A request whose timeout is below the usual one by this fraction or by this time is a retry after a refusal. The
/// time is below the shortest retry delay that refused callers are given.
const RETRY_TIMEOUT_RATIO: f64 = 0.97;
const MIN_RETRY_SHORTFALL: Duration = Duration::from_millis(15);
/// The maximum number of kinds that are tracked; bounds memory.
const MAX_KINDS: usize = 512;

/// Learns the usual caller timeout of each kind. A retry keeps its original deadline, so its timeout is
/// shorter by the time already waited.
#[derive(Debug, Clone, Default)]
pub struct CallerTimeouts {
    usual: HashMap<CallKind, Duration>,
}

impl CallerTimeouts {
    /// Returns how long the caller of a request with this timeout has waited in earlier attempts.
    pub fn already_waited(&mut self, kind: &CallKind, timeout: Duration) -> Duration {
        if self.usual.len() >= MAX_KINDS && !self.usual.contains_key(kind) {
            return Duration::ZERO;
        }
        let usual = self.usual.entry(kind.clone()).or_default();
        *usual = (*usual).max(timeout);
        let shortfall = usual.saturating_sub(timeout);
        if shortfall >= MIN_RETRY_SHORTFALL || timeout < usual.mul_f64(RETRY_TIMEOUT_RATIO) {
            shortfall
        } else {
            Duration::ZERO
        }
    }
}
