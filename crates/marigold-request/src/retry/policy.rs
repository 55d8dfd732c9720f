//! Decides whether one request is sent again.

use marigold_types::{Interval, Outcome};

use crate::retry::RetryBudget;
use crate::{Refusal, RefusalReason};

/// The least time left with which another attempt is worth its cost.
const MIN_LEFT: Interval = Interval::from_millis(2);

/// An attempt that did not bring an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// Which attempt of this daemon it was, from 0.
    pub number: u8,
    /// The attempt that the request came with: above 0 it is another daemon's retry.
    pub inherited: u8,
    /// What became of it.
    pub outcome: Outcome,
    /// Why it did not run, where that is known.
    pub refusal: Option<Refusal>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the request carries a key, which binds it to one executor.
    pub keyed: bool,
    /// The time left to the request.
    pub left: Interval,
}

/// What to do after an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Send it to another backend server at once.
    Retry,
    /// Tell the caller now.
    GiveUp,
}

/// Allows retries of what is safe, from one budget, at one hop only.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryPolicy {
    attempts: u8,
    budget: RetryBudget,
}

impl RetryPolicy {
    /// Builds the policy with `percent` retries for each hundred requests and at most `attempts`
    /// attempts for one.
    #[must_use]
    pub fn new(percent: u32, attempts: u8) -> Self {
        Self {
            attempts,
            budget: RetryBudget::new(percent),
        }
    }

    /// Counts a request's first attempt here, which came with the attempt `inherited`.
    ///
    /// A retry from above earns nothing: otherwise the budgets of a call's levels would multiply.
    pub fn started(&mut self, inherited: u8) {
        if inherited == 0 {
            self.budget.earn();
        }
    }

    /// Decides on an attempt, and takes a retry from the budget when it allows one.
    pub fn decide(&mut self, attempt: &Attempt) -> Decision {
        let allowed = attempt.left >= MIN_LEFT
            && attempt.number + 1 < self.attempts
            && is_safe(attempt)
            && is_useful(attempt);
        if allowed && self.budget.spend() {
            Decision::Retry
        } else {
            Decision::GiveUp
        }
    }
}

/// Returns whether a second run cannot happen or does no harm.
fn is_safe(attempt: &Attempt) -> bool {
    match attempt.outcome {
        Outcome::Answered => false,
        // A key binds its request to one executor, so that another one has nothing to offer.
        Outcome::NotRun => !attempt.keyed,
        // A retry from above is not multiplied: whoever retried it first goes on.
        Outcome::Unknown => attempt.idempotent && !attempt.keyed && attempt.inherited == 0,
    }
}

/// Returns whether another backend server may do better.
fn is_useful(attempt: &Attempt) -> bool {
    let Some(refusal) = attempt.refusal else {
        return true;
    };
    match refusal.reason {
        RefusalReason::NotServing
        | RefusalReason::Overloaded
        | RefusalReason::Draining
        | RefusalReason::Unreachable
        | RefusalReason::NoConnection => true,
        RefusalReason::NoRoute
        | RefusalReason::NoBackendServer
        | RefusalReason::Limited
        | RefusalReason::Deadline
        | RefusalReason::Cancelled
        | RefusalReason::Quarantined
        | RefusalReason::KeyRefused
        | RefusalReason::KeyInvalid
        | RefusalReason::KeyReused
        | RefusalReason::KeysFull
        | RefusalReason::NoWitness => false,
    }
}
