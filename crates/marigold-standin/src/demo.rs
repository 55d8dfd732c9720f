//! End-to-end demonstration of a mesh in one process, without external dependencies.

mod args;
mod report;
mod run;

pub use args::DemoArgs;
pub use report::{ConfirmedChange, DemoReport};
pub use run::DemoRun;
