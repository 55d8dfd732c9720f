//! The order in which queues are served.

use std::cmp::Ordering;

use crate::Precedence;

/// The place of a queue among all queues: by precedence, then by whether its workspace has used its part of the slot
/// time, then by urgency. See docs/design/precedence.md.
#[derive(Debug, Clone, Copy)]
pub struct QueueOrder {
    pub precedence: Precedence,
    /// Whether the workspace has used more than its part of the slot time.
    pub is_beyond: bool,
    pub urgency: f64,
}

impl QueueOrder {
    /// Compares regardless of urgency; the greater one is served first.
    pub fn cmp_band(&self, other: &Self) -> Ordering {
        let precedence = other.precedence.cmp(&self.precedence);
        precedence.then(other.is_beyond.cmp(&self.is_beyond))
    }

    /// Compares two places; the greater one is served first.
    pub fn cmp(&self, other: &Self) -> Ordering {
        self.cmp_band(other)
            .then(self.urgency.total_cmp(&other.urgency))
    }

    /// Returns whether a queue is served before, or in turn with, `other`.
    pub fn is_ahead_of(&self, other: &Self) -> bool {
        self.cmp(other).is_ge()
    }
}
