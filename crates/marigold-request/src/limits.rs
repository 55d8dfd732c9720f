//! Rate limits for each service and caller, shared by all daemons. See docs/design/admission.md.

mod allocator;
mod bucket;
mod limiter;
mod local_limit;
mod message;
mod milli_rate;

pub use allocator::{Allocation, LimitAllocator};
pub use bucket::TokenBucket;
pub use limiter::Limiter;
pub use message::{Demand, Grant};
pub use milli_rate::MilliRate;
