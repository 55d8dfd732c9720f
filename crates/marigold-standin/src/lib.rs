//! Stand-ins for the platform's log, backend servers and callers, and the measurements.
//!
//! They are for tests and measurements only; nothing here is part of a running mesh.

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
