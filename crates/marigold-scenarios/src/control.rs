//! Scenarios of the control plane.

mod change;
mod command;
mod fake_log;
mod invariants;
mod mesh;
mod operator;
mod render;
mod runner;

pub use command::ControlCommand;
pub use fake_log::FakeLog;
pub use invariants::{InvariantChecker, Violation};
pub use mesh::{Mesh, Node};
pub use operator::Operator;
pub use runner::ControlRunner;
