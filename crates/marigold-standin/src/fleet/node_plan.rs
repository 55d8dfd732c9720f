//! One daemon with the backend server beside it.

use marigold_types::{DataCentre, Region};

use crate::backend::BackendPlan;

/// Where a daemon stands and what runs beside it.
#[derive(Debug, Clone)]
pub struct NodePlan {
    /// The data centre.
    pub data_centre: DataCentre,
    /// The region of the data centre.
    pub region: Region,
    /// The backend server beside it; a daemon may stand alone.
    pub backend: Option<BackendPlan>,
}
