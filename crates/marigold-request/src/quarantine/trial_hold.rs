//! Holds of requests whose exclusive run has an unknown outcome.

use marigold_types::Interval;
use serde::{Deserialize, Serialize};

/// Whether the outcome of a request's exclusive run is awaited, so that no other daemon runs the request meanwhile.
///
/// Daemons merge holds like the other parts of a record, in any order. The greater number of changes holds, and an
/// odd number is an open hold.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialHold {
    changes: u32,
    /// The time since the last change.
    pub age: Interval,
}

impl TrialHold {
    /// Returns whether the outcome is still unknown.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.changes % 2 == 1
    }

    /// Records that an exclusive run has ended without an answer.
    pub fn open(&mut self) {
        if !self.is_open() {
            self.change();
        }
    }

    /// Records that the outcome is known.
    pub fn close(&mut self) {
        if self.is_open() {
            self.change();
        }
    }

    /// Returns the same state with another age.
    #[must_use]
    pub fn with_age(self, age: Interval) -> Self {
        Self { age, ..self }
    }

    /// Merges the state known to another daemon.
    pub fn merge(&mut self, other: &Self) {
        if other.changes > self.changes {
            *self = *other;
        } else if other.changes == self.changes {
            self.age = self.age.max(other.age);
        }
    }

    /// Returns whether the states differ in more than their age.
    #[must_use]
    pub fn differs(&self, other: &Self) -> bool {
        self.changes != other.changes
    }

    fn change(&mut self) {
        self.changes = self.changes.saturating_add(1);
        self.age = Interval::default();
    }
}
