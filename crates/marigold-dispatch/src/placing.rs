//! Which executor a request goes to. See docs/design/platform.md.

mod executor_state;
mod placement;
mod placement_request;
mod risk;
mod site_report;

pub use executor_state::{ExecutorState, Reached};
pub use placement::{ExecutorChoice, Placement};
pub use placement_request::PlacementRequest;
pub use site_report::SiteReport;
