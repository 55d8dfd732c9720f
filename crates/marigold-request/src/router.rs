//! Which backend server a request goes to. See docs/design/routing.md.

mod call_report;
mod ejection;
mod pool;
mod routing;
mod sign;
mod track;

pub use call_report::CallReport;
pub use ejection::{Ejection, Health};
pub use routing::Router;
pub use sign::Sign;
