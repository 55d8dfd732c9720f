//! Scenarios of the control side.

mod fake_log;
mod mesh;
mod operator;

pub use fake_log::FakeLog;
pub use mesh::{Mesh, Node};
pub use operator::Operator;
