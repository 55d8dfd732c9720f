//! Description of a daemon and its backend server.

use marigold_types::{DataCentre, Region};

use crate::backend::BackendPlan;

/// Location of a daemon and its optional backend server.
#[derive(Debug, Clone)]
pub struct NodePlan {
    /// Data centre of the daemon and its backend server.
    pub data_centre: DataCentre,
    /// Region of the data centre.
    pub region: Region,
    /// Backend server that is announced to the daemon; `None` for a daemon that only accepts calls.
    pub backend: Option<BackendPlan>,
}
