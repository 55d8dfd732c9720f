//! The main job from end to end in one process, with nothing else installed.

mod args;
mod report;
mod run;

pub use args::DemoArgs;
pub use report::{ConfirmedChange, DemoReport};
pub use run::DemoRun;
