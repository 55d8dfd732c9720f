//! What the members stream of the log holds.

use marigold_types::{Address, DataCentre};
use serde::{Deserialize, Serialize};

/// The most addresses in one record.
pub const MAX_ROSTER_MEMBERS: usize = 16;

/// Some live daemons of a data centre, for daemons that start with no live peer in their settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// The data centre.
    pub data_centre: DataCentre,
    /// Some of its daemons.
    pub members: Vec<Address>,
}
