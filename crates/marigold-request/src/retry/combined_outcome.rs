//! The outcome of a request that was sent more than once.

use marigold_types::Outcome;

/// Joins the outcome of the earlier attempts with that of the last one.
///
/// A last attempt that did not run proves nothing of an earlier one that may have.
#[must_use]
pub fn combined_outcome(earlier: Option<Outcome>, last: Outcome) -> Outcome {
    match (earlier, last) {
        (_, Outcome::Answered) | (Some(Outcome::Answered), _) => Outcome::Answered,
        (_, Outcome::Unknown) | (Some(Outcome::Unknown), _) => Outcome::Unknown,
        (None | Some(Outcome::NotRun), Outcome::NotRun) => Outcome::NotRun,
    }
}
