//! Which backend server a request goes to. See docs/design/routing.md.

mod call_report;
mod ejection;
mod health_signal;
mod pool;
mod routing;
mod track;

pub use call_report::CallReport;
pub use ejection::{Ejection, Health};
pub use health_signal::HealthSignal;
pub use routing::Router;
