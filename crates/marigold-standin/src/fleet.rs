//! Complete meshes in one process: daemons, their backend servers and an operator.
//!
//! The daemons run the same code as `marigoldd`; only the platform's log is kept in memory.

mod convergence;
mod customer;
mod mesh;
mod mesh_plan;
mod node;
mod node_plan;
mod operator;
mod version_tracker;

pub use convergence::Convergence;
pub use customer::Customer;
pub use mesh::Mesh;
pub use mesh_plan::MeshPlan;
pub use node::Node;
pub use node_plan::NodePlan;
pub use operator::{Operator, PendingPlan};
