//! How fast services use up their objectives. See docs/design/burn.md.

mod cause;
mod counters;
mod report;
mod ring;

pub use cause::Cause;
pub use counters::{BurnCounters, CallEnd};
pub use report::{BurnReport, CauseCount, ServiceBurn, Spend, Tally};
pub use ring::Ring;
