//! The latest roll-out of each service, and the orders before it.

use std::collections::{BTreeMap, VecDeque};

use marigold_dispatch::RolloutOrder;
use marigold_types::ServiceName;
use tokio::time::Instant;

use super::known_rollout::KnownRollout;
use crate::control::store_history::StoreHistory;

/// The number of replaced orders to remember, so that a copy of the store or a late message does not bring one back.
const MAX_PAST: usize = 32;

/// Who told of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderSource {
    /// A read of the whole table.
    Table,
    /// A read of changes.
    Changes,
    /// Another daemon, whose history of the store is not known.
    Daemon,
}

/// The effect of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderChange {
    /// It was known, or has been replaced by a later one.
    None,
    /// It is a new one.
    New,
    /// It is the known one, which the operator has written again after the store had lost it.
    Renumbered,
    /// Only a read of the store can tell whether it is newer than the known one.
    Doubtful,
}

/// The latest roll-out of each service.
///
/// Orders are numbered by their offsets, so that the later of two is the one with the higher number, as long as the store
/// has the same history. See docs/design/rollouts.md.
#[derive(Debug, Default)]
pub struct KnownRollouts {
    by_service: BTreeMap<ServiceName, KnownRollout>,
    past: VecDeque<RolloutOrder>,
    history: Option<StoreHistory>,
}

impl KnownRollouts {
    /// Returns the roll-out of a service.
    pub fn get(&self, service: &ServiceName) -> Option<&KnownRollout> {
        self.by_service.get(service)
    }

    /// Returns the roll-out of a service for a change.
    pub fn get_mut(&mut self, service: &ServiceName) -> Option<&mut KnownRollout> {
        self.by_service.get_mut(service)
    }

    /// Returns the roll-outs ordered by service.
    pub fn all(&self) -> impl Iterator<Item = &KnownRollout> {
        self.by_service.values()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.by_service.is_empty()
    }

    /// Records the history that orders are read from now; returns whether it has replaced another one.
    pub fn set_history(&mut self, history: StoreHistory) -> bool {
        let previous = self.history.replace(history);
        let is_replaced = previous.is_some_and(|previous| previous != history);
        if is_replaced {
            for rollout in self.by_service.values_mut() {
                rollout.is_carried = true;
            }
        }
        is_replaced
    }

    /// Applies an order. `is_exact` says that `ordered_at` is not just the time at which this daemon heard of it.
    pub fn apply_order(
        &mut self,
        order: &RolloutOrder,
        ordered_at: Instant,
        is_exact: bool,
        source: OrderSource,
    ) -> OrderChange {
        let is_past = self.past.contains(order);
        let Some(known) = self.by_service.get_mut(&order.service) else {
            return self.insert(order, ordered_at, is_exact);
        };
        if known.order == *order {
            known.ordered_at = known.ordered_at.min(ordered_at);
            known.is_exact |= is_exact;
            known.is_carried &= source == OrderSource::Daemon;
            return OrderChange::None;
        }
        if source == OrderSource::Daemon {
            if order.id <= known.order.id || is_past {
                return OrderChange::Doubtful;
            }
            return self.insert(order, ordered_at, is_exact);
        }
        // Within a history, the store has no older order than the known one.
        let is_of_other_history = known.is_carried || order.id <= known.order.id;
        if !is_of_other_history {
            return self.insert(order, ordered_at, is_exact);
        }
        if known.order.has_terms_of(order) {
            let previous = known.order.clone();
            known.renumber(order.id);
            self.remember(previous);
            return OrderChange::Renumbered;
        }
        if source == OrderSource::Table && is_past {
            return OrderChange::None;
        }
        self.insert(order, ordered_at, is_exact)
    }

    fn insert(&mut self, order: &RolloutOrder, ordered_at: Instant, is_exact: bool) -> OrderChange {
        let rollout = KnownRollout::new(order.clone(), ordered_at, is_exact);
        let previous = self.by_service.insert(order.service.clone(), rollout);
        if let Some(previous) = previous {
            self.remember(previous.order);
        }
        OrderChange::New
    }

    fn remember(&mut self, order: RolloutOrder) {
        if self.past.len() == MAX_PAST {
            self.past.pop_front();
        }
        self.past.push_back(order);
    }
}
