//! Decides whether a request is retried.

use marigold_types::{Interval, Outcome};

use crate::retry::RetryBudget;
use crate::{Refusal, RefusalReason};

/// With less time left, another attempt is not worth its cost.
const MIN_TIME_LEFT: Interval = Interval::from_millis(2);

/// A failed attempt to run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// The number of the attempt at this daemon, from 0.
    pub number: u8,
    /// The attempt number with which the request arrived; above 0 it is a retry by another daemon.
    pub inherited: u8,
    /// The outcome of the attempt.
    pub outcome: Outcome,
    /// Why the request was refused; absent if it was not.
    pub refusal: Option<Refusal>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the request carries a key for at-most-once execution, which binds it to one executor.
    pub keyed: bool,
    /// The time left until the deadline of the request.
    pub left: Interval,
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Send the request to another backend server at once.
    Retry,
    /// Return the failure to the caller.
    GiveUp,
}

/// Allows safe retries within one budget, at one hop of a call chain only.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryPolicy {
    max_attempts: u8,
    budget: RetryBudget,
}

impl RetryPolicy {
    /// Creates a policy with `percent` retries per hundred requests and at most `max_attempts`
    /// attempts per request.
    #[must_use]
    pub fn new(percent: u32, max_attempts: u8) -> Self {
        Self {
            max_attempts,
            budget: RetryBudget::new(percent),
        }
    }

    /// Counts the first attempt at this daemon of a request that arrived with attempt number
    /// `inherited`.
    ///
    /// A retry by an earlier hop adds nothing to the budget: otherwise the budgets of the hops would
    /// multiply.
    pub fn started(&mut self, inherited: u8) {
        if inherited == 0 {
            self.budget.earn();
        }
    }

    /// Decides whether to retry, and takes an allowed retry from the budget.
    pub fn decide(&mut self, attempt: &Attempt) -> Decision {
        let allowed = attempt.left >= MIN_TIME_LEFT
            && attempt.number + 1 < self.max_attempts
            && is_safe(attempt)
            && is_useful(attempt);
        if allowed && self.budget.spend() {
            Decision::Retry
        } else {
            Decision::GiveUp
        }
    }
}

/// Returns whether a retry cannot cause a second run, or a second run is harmless.
fn is_safe(attempt: &Attempt) -> bool {
    match attempt.outcome {
        Outcome::Answered => false,
        // A key binds the request to one executor, so another one could not run it.
        Outcome::NotRun => !attempt.keyed,
        // A retry by an earlier hop is not multiplied: the hop that retried first continues.
        Outcome::Unknown => attempt.idempotent && !attempt.keyed && attempt.inherited == 0,
    }
}

/// Returns whether another backend server may accept the request.
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
