//! The outcome of a request with several attempts.

use marigold_types::Outcome;

/// Combines the outcome of the earlier attempts with that of the last one.
///
/// A last attempt that did not run does not rule out that an earlier one ran.
#[must_use]
pub fn combined_outcome(earlier: Option<Outcome>, last: Outcome) -> Outcome {
    match (earlier, last) {
        (_, Outcome::Answered) | (Some(Outcome::Answered), _) => Outcome::Answered,
        (_, Outcome::Unknown) | (Some(Outcome::Unknown), _) => Outcome::Unknown,
        (None | Some(Outcome::NotRun), Outcome::NotRun) => Outcome::NotRun,
    }
}
