//! A backend server's stand-in, with the habits and faults that real ones have.
//!
//! It counts each run of each request, so that doubling is seen by the one who would suffer it. See
//! docs/BACKEND-SERVER.md.

mod announcer;
mod args;
mod control;
mod egress;
mod faults;
mod handler;
mod health;
mod pattern;
mod plan;
mod run_report;
mod runs;
mod server;
mod service_time;
mod state;
mod work;

pub use args::BackendArgs;
pub use control::{BackendControl, HealthMode};
pub use pattern::pattern;
pub use plan::BackendPlan;
pub use run_report::RunReport;
pub use runs::RunCounter;
pub use server::{BackendExit, BackendStandin};
pub use service_time::ServiceTime;
pub use state::BackendState;

/// Names a call by the caller's own number, which the mesh hands on untouched.
pub const LOAD_ID: &str = "load-id";
/// Says on a refusal that the request did not run.
pub const LOAD_SHED: &str = "load-shed";
