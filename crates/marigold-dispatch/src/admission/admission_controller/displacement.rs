//! Waiting requests that make room for those of other workspaces.

use std::time::Duration;

use tokio::time::Instant;

use super::{AdmissionController, Ticket};
use crate::admission::queue_key::QueueKey;
use crate::admission::queue_order::QueueOrder;
use crate::admission::wait_queue::WaitQueue;

impl AdmissionController {
    /// Returns the requests that have made room for others since the last call, with the retry delay of each.
    pub fn take_displaced(&mut self) -> Vec<(Ticket, Duration)> {
        std::mem::take(&mut self.displaced)
    }

    /// Removes the last request of the last queue if that queue is served after `order` regardless of its urgency;
    /// returns whether there was one.
    pub(super) fn displace_last(&mut self, order: &QueueOrder, now: Instant) -> bool {
        let queues = self.queues.keys().map(|key| (key, self.order(key)));
        let last = queues.min_by(|(_, a), (_, b)| a.cmp(b));
        let key = last
            .filter(|(_, other)| other.cmp_band(order).is_lt())
            .map(|(key, _)| key.clone());
        let Some(key) = key else {
            return false;
        };
        self.displace_last_of(&key, now);
        true
    }

    /// Removes the requests that others have overtaken and that can no longer complete by their deadline.
    ///
    /// Only requests of a workspace beyond its part, or with a lower precedence, are overtaken by so many.
    pub(super) fn displace_overtaken(&mut self, now: Instant) {
        let Some(first) = (self.queues.keys())
            .map(|key| self.order(key))
            .max_by(QueueOrder::cmp)
        else {
            return;
        };
        let is_overtaken = |key: &&QueueKey| self.order(key).cmp_band(&first).is_lt();
        let overtaken: Vec<_> = self.queues.keys().filter(is_overtaken).cloned().collect();
        for key in overtaken {
            while self.is_last_too_late(&key, now) {
                self.displace_last_of(&key, now);
            }
        }
    }

    fn is_last_too_late(&self, key: &QueueKey, now: Instant) -> bool {
        let last = self.queues.get(key).and_then(WaitQueue::last);
        let Some(waiting) = last.and_then(|ticket| self.waiting.get(ticket)) else {
            return false;
        };
        let run = self.expected_run(&waiting.request, now);
        let wait = self.estimated_wait(key, now).saturating_sub(run);
        now + wait + run > waiting.request.deadline
    }

    fn displace_last_of(&mut self, key: &QueueKey, now: Instant) {
        if let Some(ticket) = self.queues.get(key).and_then(WaitQueue::last) {
            self.cancel(ticket);
            let retry_after = self.retry_after(key, Duration::ZERO, now);
            self.displaced.push((ticket, retry_after));
        }
    }
}
