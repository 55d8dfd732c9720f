//! Stand-ins for the platform log, backend servers and callers, and the demonstration and measurements.
//!
//! The crate is for tests and measurements only; no daemon of a mesh uses it.

pub mod backend;
pub mod demo;
pub mod fleet;
pub mod load;
pub mod log;
pub mod measure;
pub mod range;

mod error;
mod logging;

pub use error::StandinError;
pub use logging::log_errors_only;
