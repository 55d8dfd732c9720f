//! Decides how much of the demand for a service that arises in a data centre is sent to others, and where to.
//!
//! Load pattern: demand moves between data centres, one lacks room while another has some, and each daemon learns of
//! that late. What each data centre publishes, the demand that arises in it and its room, does not depend on what is
//! sent, so that decisions on old news don't swing, and all daemons come to the same shares without a message between
//! them. See docs/design/locality.md.

mod data_centre_figures;
mod flows;
mod kind_demand;
mod locality_plan;
mod locality_planner;
mod room_ramp;

pub use data_centre_figures::DataCentreFigures;
pub use kind_demand::KindDemand;
pub use locality_plan::{LocalityPlan, ShareReason};
pub use locality_planner::LocalityPlanner;
