//! Whole meshes in one process: daemons with their backend servers, and an operator.
//!
//! The daemons are the same code as `marigoldd`; only the platform's log may be in memory.

mod customer;
mod mesh;
mod mesh_plan;
mod node;
mod node_plan;

pub use customer::Customer;
pub use mesh::Mesh;
pub use mesh_plan::MeshPlan;
pub use node::Node;
pub use node_plan::NodePlan;
