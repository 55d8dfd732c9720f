//! One daemon with the backend server beside it.

use marigold_types::DataCentre;

use crate::backend::BackendPlan;

/// Where a daemon stands and what runs beside it.
#[derive(Debug, Clone)]
pub struct NodePlan {
    /// The data centre.
    pub data_centre: DataCentre,
    /// The backend server beside it; a daemon may stand alone.
    pub backend: Option<BackendPlan>,
}
