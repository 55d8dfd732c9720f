//! Description of a mesh to start.

use marigold_settings::{ControlSettings, RequestSettings};

use super::NodePlan;

/// The daemons of a mesh and their common settings.
#[derive(Debug, Clone)]
pub struct MeshPlan {
    /// One entry per daemon; the first ones become the seeds.
    pub nodes: Vec<NodePlan>,
    /// Control settings of every daemon.
    pub control: ControlSettings,
    /// Request settings of every daemon.
    pub request: RequestSettings,
}
