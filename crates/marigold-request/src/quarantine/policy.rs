//! When requests are suspected and refused.

use std::time::Duration;

use marigold_types::Interval;

/// A backend server that ended has been replaced by then, or is not replaced at all.
const MAX_HOLD: Interval = Interval::from_millis(10_000);

/// How many crashes make a request a suspect, and how long it is refused and remembered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantinePolicy {
    /// The number of crashes, without an answer since the first, after which a request only runs exclusively.
    pub crashes: usize,
    /// How long a request is refused after the first crash during an exclusive run. Doubles with each
    /// further one.
    pub term: Interval,
    /// Limit on the time that a request is refused after a crash.
    pub max_term: Interval,
    /// How long the outcome of an exclusive run without an answer is awaited at most.
    pub hold: Interval,
    /// How long a request is remembered after its last crash; at least `max_term`.
    pub memory: Interval,
}

impl QuarantinePolicy {
    /// Returns the policy under which one crash makes a request a suspect, and a second one refuses it for
    /// `term`, after which it is forgotten.
    #[must_use]
    pub fn fixed(term: Interval) -> Self {
        Self {
            crashes: 1,
            term,
            max_term: term,
            hold: term.min(MAX_HOLD),
            memory: term,
        }
    }

    /// Returns how long a request is refused after `trials` crashes during exclusive runs.
    #[must_use]
    pub fn refusal(&self, trials: u32) -> Duration {
        let Some(doublings) = trials.checked_sub(1) else {
            return Duration::ZERO;
        };
        let factor = 1_u32.checked_shl(doublings).unwrap_or(u32::MAX);
        let term = self.term.duration().saturating_mul(factor);
        term.min(self.max_term.duration())
    }
}
