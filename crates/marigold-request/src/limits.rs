//! Limits for each service and caller, shared by all daemons. See docs/design/admission.md.

mod bucket;
mod fraction;
mod keeper;
mod limiter;
mod message;
mod user;

pub use bucket::TokenBucket;
pub use fraction::MilliRate;
pub use keeper::{Given, Keeper};
pub use limiter::Limiter;
pub use message::{Demand, Grant};
