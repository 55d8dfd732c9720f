//! Retry policy and retry budget. See docs/design/retries.md.

mod budget;
mod combined_outcome;
mod policy;

pub use budget::RetryBudget;
pub use combined_outcome::combined_outcome;
pub use policy::{Attempt, Decision, RetryPolicy};
