//! Error budgets of services and the rate at which they burn. See docs/design/burn.md.

mod cause;
mod counters;
mod report;
mod sliding_window;

pub use cause::Cause;
pub use counters::{BurnCounters, CallEnd};
pub use report::{BurnReport, CauseCount, ServiceBurn, Tally, WindowTallies};
pub use sliding_window::SlidingWindow;
