//! Witnesses that no longer tell their time.

use std::collections::BTreeMap;
use std::time::Duration;

use marigold_types::InstanceId;
use tokio::time::Instant;

/// How long a witness may say nothing before its life is held to be over for good.
///
/// Regions lose each other for about an hour now and then, which must not close a life.
const CLOSE_AFTER: Duration = Duration::from_hours(4);

/// Tells when the keys of a silent witness may be forgotten.
///
/// Closing a life that is not over is safe, since nothing begins under its keys from then on; it
/// only makes more repeats *unknown*. Never closing one would fill the table of keys with those of
/// every instance that was ever replaced.
#[derive(Debug, Clone, Default)]
pub struct SilentWitnesses {
    since: BTreeMap<InstanceId, Instant>,
}

impl SilentWitnesses {
    /// Notes that a witness told its time.
    pub fn record_answer(&mut self, witness: &InstanceId) {
        self.since.remove(witness);
    }

    /// Notes that a witness did not answer at `now`, and returns whether it is to be closed.
    pub fn record_silence(&mut self, witness: &InstanceId, now: Instant) -> bool {
        let since = *self.since.entry(*witness).or_insert(now);
        let is_over = now.saturating_duration_since(since) >= CLOSE_AFTER;
        if is_over {
            self.since.remove(witness);
        }
        is_over
    }
}
