//! A stand-in for a backend server that can inject the faults of real ones.
//!
//! It counts how often it runs each request, so that duplicate runs are detected where they take effect.
//! See docs/BACKEND-SERVER.md.

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
mod slot_guard;
mod state;

pub use args::BackendArgs;
pub use control::{BackendControl, HealthMode};
pub use pattern::pattern;
pub use plan::BackendPlan;
pub use run_report::RunReport;
pub use runs::RunCounter;
pub use server::{BackendExit, BackendStandin};
pub use service_time::ServiceTime;
pub use state::BackendState;

/// The header with the id that the load generator gives a call. The mesh forwards it unchanged.
pub const LOAD_ID: &str = "load-id";
/// The header of a refusal that states that the request did not run.
pub const LOAD_SHED: &str = "load-shed";
