//! How fast services use up their objectives. See docs/design/burn.md.

mod cause;
mod counters;
mod report;
mod sliding_window;

pub use cause::Cause;
pub use counters::{BurnCounters, CallEnd};
pub use report::{BurnReport, CauseCount, ServiceBurn, Tally, WindowTallies};
pub use sliding_window::SlidingWindow;
