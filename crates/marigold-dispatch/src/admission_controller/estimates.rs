//! Estimates of run times, waits and retry delays.

use std::time::Duration;

use tokio::time::Instant;

use super::AdmissionController;
use crate::kind_stats::{DEMAND_DECAY_TIME, KindStats};
use crate::queue_key::QueueKey;
use crate::{SlotRequest, Ticket};

/// The run time assumed before the first run is the objective divided by this number.
pub const INITIAL_RUN_DIVISOR: u32 = 3;
/// The maximum fraction of the slots that an estimate assigns to more urgent demand.
const MAX_DEMAND_RATIO: f64 = 0.9;
/// The minimum retry delay given to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(30);

impl AdmissionController {
    /// Returns when each waiting request can start at the earliest. Only a request limit delays it beyond `now`: how
    /// soon slots become free is uncertain.
    pub(super) fn earliest_starts(&self, now: Instant) -> Vec<(Ticket, Instant)> {
        if self.pacer.limit().is_none() {
            return self.waiting.keys().map(|ticket| (ticket, now)).collect();
        }
        let mut queues: Vec<_> = self.queues.iter().collect();
        queues.sort_by(|a, b| self.urgency(b.0).total_cmp(&self.urgency(a.0)));
        let tickets = queues.into_iter().flat_map(|(_, queue)| queue.tickets());
        tickets
            .enumerate()
            .map(|(ahead, ticket)| (ticket, now + self.pacer.wait(ahead, now)))
            .collect()
    }

    /// Returns how long a request is expected to run.
    #[must_use]
    pub fn expected_run(&self, request: &SlotRequest, now: Instant) -> Duration {
        let initial_run = || request.objective.saturating_duration_since(now) / INITIAL_RUN_DIVISOR;
        self.kinds
            .get(&request.kind)
            .map_or_else(initial_run, KindStats::run)
    }

    /// Returns the urgency of a queue, or 0 if its kind is not tracked.
    pub(super) fn urgency(&self, key: &QueueKey) -> f64 {
        let known = self.kinds.get(&key.kind);
        known.map_or(0.0, |kind| self.urgency_of(kind, key.late))
    }

    pub(super) fn urgency_of(&self, kind: &KindStats, late: bool) -> f64 {
        if self.pacer.limit().is_some() {
            kind.value(late)
        } else {
            kind.urgency(late)
        }
    }

    /// Estimates the wait of a request added to the queue `key` now.
    pub(super) fn estimated_wait(&self, key: &QueueKey, now: Instant) -> Duration {
        if self.slots == 0 {
            return Duration::MAX;
        }
        let own = self.urgency(key);
        let ahead: Duration = self
            .queues
            .iter()
            .filter(|(other, _)| self.urgency(other) >= own)
            .map(|(_, queue)| queue.total_run_time())
            .sum();
        let overtaking_kinds = || {
            let kinds = self.kinds.iter();
            kinds.filter(|(kind, known)| {
                (key.late || **kind != key.kind) && self.urgency_of(known, false) > own
            })
        };
        let overtaking: f64 = overtaking_kinds()
            .map(|(_, known)| known.demand_at(now))
            .sum();
        let slots = f64::from(self.slots);
        let open = 1.0 - (overtaking / slots).min(MAX_DEMAND_RATIO);
        // On average, a slot becomes free after the mean run time divided by the number of slots.
        let first = self.mean_run().as_secs_f64();
        let wait = Duration::from_secs_f64((ahead.as_secs_f64() + first) / slots / open);
        let Some(limit) = self.pacer.limit() else {
            return wait;
        };
        let ahead = self
            .queues
            .iter()
            .filter(|(other, _)| self.urgency(other) >= own)
            .map(|(_, queue)| queue.len())
            .sum();
        let overtaking: f64 = overtaking_kinds()
            .map(|(_, known)| known.arrival_rate_at(now))
            .sum();
        let open = 1.0 - (overtaking / limit.rate()).min(MAX_DEMAND_RATIO);
        wait.max(self.pacer.wait(ahead, now).div_f64(open))
    }

    pub(super) fn retry_after(&self, key: &QueueKey, spare: Duration, now: Instant) -> Duration {
        let wait = self.estimated_wait(key, now).min(DEMAND_DECAY_TIME);
        wait.saturating_sub(spare).max(MIN_RETRY_AFTER)
    }
}
