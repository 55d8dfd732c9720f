//! How long callers have waited already when they come back.

use std::collections::HashMap;
use std::time::Duration;

use crate::CallKind;

/// A caller that waits less than this part of its usual patience has come back after a refusal.
const RETURNED_PART: f64 = 0.97;
/// The kinds of work whose patience is remembered.
const MAX_KINDS: usize = 512;

/// Learns the usual patience of each kind of work, which one that came back has spent a part of.
#[derive(Debug, Clone, Default)]
pub struct CallerTimeouts {
    usual: HashMap<CallKind, Duration>,
}

impl CallerTimeouts {
    /// Returns how long a caller with this patience has waited in attempts before this one.
    pub fn already_waited(&mut self, kind: &CallKind, patience: Duration) -> Duration {
        if self.usual.len() >= MAX_KINDS && !self.usual.contains_key(kind) {
            return Duration::ZERO;
        }
        let usual = self.usual.entry(kind.clone()).or_default();
        *usual = (*usual).max(patience);
        if patience < usual.mul_f64(RETURNED_PART) {
            usual.saturating_sub(patience)
        } else {
            Duration::ZERO
        }
    }
}
