//! Estimates of run times, waits and retry delays.

use std::cmp::Ordering;
use std::time::Duration;

use tokio::time::Instant;

use super::AdmissionController;
use crate::admission::demand::DEMAND_DECAY_TIME;
use crate::admission::kind_stats::KindStats;
use crate::admission::queue_key::QueueKey;
use crate::admission::queue_order::QueueOrder;
use crate::{CallKind, Precedence, SlotRequest, Ticket};

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
        queues.sort_by(|a, b| self.order(b.0).cmp(&self.order(a.0)));
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

    /// Returns the place of a queue among all queues.
    pub(super) fn order(&self, key: &QueueKey) -> QueueOrder {
        let workspace = key.workspace.as_ref();
        QueueOrder {
            precedence: key.precedence,
            is_beyond: workspace.is_some_and(|name| self.shares.is_beyond(name)),
            urgency: self.urgency(key),
        }
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
        let own = self.order(key);
        let queues_ahead = || {
            let queues = self.queues.iter();
            queues.filter(|(other, _)| self.order(other).is_ahead_of(&own))
        };
        let ahead: Duration = queues_ahead()
            .map(|(_, queue)| queue.total_run_time())
            .sum();
        let slots = f64::from(self.slots);
        let open = self.open_ratio(key, &own, now);
        // On average, a slot becomes free after the mean run time divided by the number of slots.
        let first = self.mean_run().as_secs_f64();
        let wait = Duration::from_secs_f64((ahead.as_secs_f64() + first) / slots / open);
        let Some(limit) = self.pacer.limit() else {
            return wait;
        };
        let ahead = queues_ahead().map(|(_, queue)| queue.len()).sum();
        let overtaking: f64 = (self.kinds.iter())
            .map(|(kind, known)| known.arrival_rate(self.overtaking(key, &own, kind, known, now)))
            .sum();
        let open = 1.0 - (overtaking / limit.rate()).min(MAX_DEMAND_RATIO);
        wait.max(self.pacer.wait(ahead, now).div_f64(open))
    }

    /// Returns the fraction of the slots that is left for requests of the queue `key`.
    fn open_ratio(&self, key: &QueueKey, own: &QueueOrder, now: Instant) -> f64 {
        let overtaking: f64 = (self.kinds.iter())
            .map(|(kind, known)| self.overtaking(key, own, kind, known, now))
            .sum();
        1.0 - (overtaking / f64::from(self.slots)).min(MAX_DEMAND_RATIO)
    }

    /// Returns the demand of a kind of request that is served before a request added to the queue `key`.
    fn overtaking(
        &self,
        key: &QueueKey,
        own: &QueueOrder,
        kind: &CallKind,
        known: &KindStats,
        now: Instant,
    ) -> f64 {
        let is_other = key.late || *kind != key.kind;
        let is_more_urgent = is_other && self.urgency_of(known, false) > own.urgency;
        let more_urgent = if is_more_urgent { 1.0 } else { 0.0 };
        let ratio = |precedence: Precedence| {
            let within = self.shares.ratio_within(precedence);
            match precedence.cmp(&own.precedence) {
                Ordering::Less => 1.0,
                Ordering::Equal if own.is_beyond => within + (1.0 - within) * more_urgent,
                Ordering::Equal => within * more_urgent,
                Ordering::Greater => 0.0,
            }
        };
        let demands = known.demands_at(now);
        demands
            .map(|(precedence, demand)| ratio(precedence) * demand)
            .sum()
    }

    /// Returns the delay after which a refused caller finds a slot, if it would wait for one up to `spare`.
    pub(super) fn retry_after(
        &mut self,
        key: &QueueKey,
        spare: Duration,
        now: Instant,
    ) -> Duration {
        let wait = self.estimated_wait(key, now).min(DEMAND_DECAY_TIME);
        let delay = wait.saturating_sub(spare).max(MIN_RETRY_AFTER);
        if key.workspace.is_none() || self.slots == 0 {
            return delay;
        }
        let order = self.order(key);
        let run = self.kinds.get(&key.kind).map_or(wait, KindStats::run);
        let taken = run.div_f64(f64::from(self.slots) * self.open_ratio(key, &order, now));
        let place = (order.precedence, order.is_beyond);
        (self.returns).add(place, delay, DEMAND_DECAY_TIME, taken, now)
    }
}
