//! A whole mesh before it is started.

use marigold_settings::{ControlSettings, RequestSettings};

use super::NodePlan;

/// The daemons of a mesh and the settings that they share.
#[derive(Debug, Clone)]
pub struct MeshPlan {
    /// The daemons.
    pub nodes: Vec<NodePlan>,
    /// The control side.
    pub control: ControlSettings,
    /// The request side.
    pub request: RequestSettings,
}
