//! Which requests are sent again. See docs/design/retries.md.

mod budget;
mod overall;
mod policy;

pub use budget::RetryBudget;
pub use overall::overall;
pub use policy::{Attempt, Decision, RetryPolicy};
