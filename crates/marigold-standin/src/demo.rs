//! The main job from end to end in one process, with nothing else installed.

mod args;
mod report;
mod scene;

pub use args::DemoArgs;
pub use report::{DemoReport, Step};
pub use scene::Scene;
