//! Selects the backend server for each request. See docs/design/routing.md.

mod backend_pool;
mod backend_stats;
mod call_report;
mod ejection;
mod health_signal;
mod routing;

pub use call_report::CallReport;
pub use ejection::{Ejection, Health};
pub use health_signal::HealthSignal;
pub use routing::Router;
