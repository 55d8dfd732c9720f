//! A roll-out as far as this daemon knows it.

use std::time::Duration;

use marigold_dispatch::{RolloutOrder, RolloutState, RolloutStatus};
use marigold_types::LogOffset;
use tokio::time::Instant;

/// A roll-out as far as this daemon knows it.
#[derive(Debug, Clone)]
pub struct KnownRollout {
    pub order: RolloutOrder,
    /// When it was ordered; later if this daemon heard of it late.
    pub ordered_at: Instant,
    /// Whether the time of the order is known, rather than only when this daemon heard of it.
    pub is_exact: bool,
    /// The status of this order.
    pub status: Option<RolloutStatus>,
    /// Whether the store has been replaced by a copy since, and has not been seen to have this order.
    pub is_carried: bool,
}

impl KnownRollout {
    /// Starts without a status.
    pub fn new(order: RolloutOrder, ordered_at: Instant, is_exact: bool) -> Self {
        Self {
            order,
            ordered_at,
            is_exact,
            status: None,
            is_carried: false,
        }
    }

    /// Gives the order the number that it has in another history of the store, and its status as well.
    pub fn renumber(&mut self, id: LogOffset) {
        self.order.id = id;
        self.is_carried = false;
        if let Some(status) = &mut self.status {
            status.order = Some(id);
        }
    }

    /// Returns whether `status`, which the store has, is of this roll-out and at least as far, or of a later one.
    pub fn is_recorded_by(&self, status: &RolloutStatus) -> bool {
        if !status.is_of(&self.order) {
            let began_ms = self.status.as_ref().and_then(|status| status.began_ms);
            return status.began_ms > began_ms;
        }
        Some(progress(status.state)) >= self.state().map(progress)
    }

    /// Returns whether it is not decided.
    pub fn is_open(&self) -> bool {
        !self.state().is_some_and(RolloutState::is_final)
    }

    /// Returns its state, or `None` if none is known.
    pub fn state(&self) -> Option<RolloutState> {
        self.status.as_ref().map(|status| status.state)
    }

    /// Applies a status; returns whether it is new. States only advance, so that late messages change nothing.
    pub fn apply_status(&mut self, status: &RolloutStatus, unix_ms: u64, now: Instant) -> bool {
        if !status.is_of(&self.order) {
            return false;
        }
        if !self.is_exact
            && let Some(began_ms) = status.began_ms
        {
            let age = Duration::from_millis(unix_ms.saturating_sub(began_ms));
            // The instance may have started after the roll-out.
            let ordered_at = now.checked_sub(age);
            let ordered_at = ordered_at.or_else(|| now.checked_sub(self.order.duration));
            self.ordered_at = ordered_at.unwrap_or(now);
            self.is_exact = true;
        }
        if self.state().map(progress) >= Some(progress(status.state)) {
            return false;
        }
        self.status = Some(status.clone());
        true
    }
}

fn progress(state: RolloutState) -> u8 {
    match state {
        RolloutState::Canary => 0,
        RolloutState::Shifting => 1,
        RolloutState::Completed | RolloutState::RolledBack => 2,
    }
}
