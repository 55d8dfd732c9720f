//! Records of the members stream of the log.

use marigold_types::{Address, DataCentre};
use serde::{Deserialize, Serialize};

/// The maximum number of addresses in one record.
pub const MAX_ROSTER_MEMBERS: usize = 16;

/// Addresses of some live daemons of a data centre, for daemons that start when no seed in their
/// settings is reachable.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// The data centre.
    pub data_centre: DataCentre,
    /// The addresses of some of its live daemons.
    pub members: Vec<Address>,
}
