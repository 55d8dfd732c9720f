//! Limits for each service and caller, shared by all daemons. See docs/design/admission.md.

mod allocator;
mod bucket;
mod fraction;
mod limiter;
mod message;
mod user;

pub use allocator::{Allocation, LimitAllocator};
pub use bucket::TokenBucket;
pub use fraction::MilliRate;
pub use limiter::Limiter;
pub use message::{Demand, Grant};
