//! The demand of one kind of request in a data centre.

use std::cmp::Ordering;
use std::time::Duration;

use crate::{CallKind, Rank};

/// The demand of one kind that arises in a data centre, and what it costs to send it elsewhere.
#[derive(Debug, Clone, PartialEq)]
pub struct KindDemand {
    /// The kind of the requests.
    pub kind: CallKind,
    /// Their priority.
    pub rank: Rank,
    /// The slots that they would hold.
    pub arising: f64,
    /// The expected run time.
    pub run: Duration,
    /// The time within which a response has its full value.
    pub objective: Duration,
    /// The size of a request and its response.
    pub bytes: f64,
}

impl KindDemand {
    /// Returns whether it would miss its objective after a wait and two ways of these times.
    pub(super) fn is_late(&self, wait: Duration, way: Duration) -> bool {
        wait + way * 2 + self.run > self.objective
    }

    /// Returns the cost of sending one request elsewhere, as a fraction of its value. `byte_cost` is that of a kibibyte,
    /// relative to the value of the most urgent rank.
    pub(super) fn relative_cost(&self, byte_cost: f64) -> f64 {
        byte_cost * self.bytes / 1024.0 / self.rank.value()
    }

    /// Orders kinds by which leaves first, given the wait at home: those that would be late, then the smallest.
    pub(super) fn leaving_order(&self, other: &Self, wait: Duration) -> Ordering {
        let is_late = |demand: &Self| demand.is_late(wait, Duration::ZERO);
        is_late(other)
            .cmp(&is_late(self))
            .then(self.bytes.total_cmp(&other.bytes))
            .then_with(|| self.kind.cmp(&other.kind))
    }
}
