//! Which requests are sent again. See docs/design/retries.md.

mod budget;
mod policy;

pub use budget::RetryBudget;
pub use policy::{Attempt, Decision, RetryPolicy};
