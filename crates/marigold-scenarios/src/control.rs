//! Scenarios of the control side.

mod change;
mod command;
mod fake_log;
mod mesh;
mod operator;
mod render;
mod runner;
mod watch;

pub use command::ControlCommand;
pub use fake_log::FakeLog;
pub use mesh::{Mesh, Node};
pub use operator::Operator;
pub use runner::ControlRunner;
pub use watch::{Broken, Watch};
