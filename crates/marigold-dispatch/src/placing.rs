//! Which executor a request goes to. See docs/design/platform.md.

mod executor_state;
mod placement;
mod placement_request;
mod risk;
mod site_report;
mod wait_ratio;

pub use executor_state::{ExecutorState, Reached};
pub use placement::{ExecutorChoice, Placement};
pub use placement_request::PlacementRequest;
pub use site_report::SiteReport;
pub use wait_ratio::WaitRatio;
