//! Witnesses that no longer report their uptime.

use std::collections::BTreeMap;
use std::time::Duration;

use marigold_types::InstanceId;
use tokio::time::Instant;

/// How long a witness may be silent before it is considered gone for good.
///
/// Network partitions between regions last about an hour at times and must not close a witness.
const MAX_WITNESS_SILENCE: Duration = Duration::from_hours(4);

/// Decides when the keys of a silent witness may be removed.
///
/// Closing a witness that is still alive is safe, since no request starts under its keys from then
/// on; it only makes more repeats *unknown*. If witnesses were never closed, the keys of every
/// replaced instance would accumulate and fill the key table.
#[derive(Debug, Clone, Default)]
pub struct SilentWitnesses {
    silent_since: BTreeMap<InstanceId, Instant>,
}

impl SilentWitnesses {
    /// Records that a witness reported its uptime.
    pub fn record_answer(&mut self, witness: &InstanceId) {
        self.silent_since.remove(witness);
    }

    /// Records that a witness did not answer; returns whether it should be closed.
    pub fn record_silence(&mut self, witness: &InstanceId, now: Instant) -> bool {
        let since = *self.silent_since.entry(*witness).or_insert(now);
        let is_gone = now.saturating_duration_since(since) >= MAX_WITNESS_SILENCE;
        if is_gone {
            self.silent_since.remove(witness);
        }
        is_gone
    }
}
