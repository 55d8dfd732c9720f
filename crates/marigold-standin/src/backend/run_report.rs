//! What a backend server says of its runs.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The answer to `GET /runs`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReport {
    /// Every run, whether its id is remembered or not.
    pub total: u64,
    /// The runs of each `Load-Id`.
    pub loads: BTreeMap<String, u32>,
    /// How many of the mesh's own request ids ran more than once here.
    pub doubled_requests: u64,
    /// Runs whose ids found no room; the report is partial when it is not zero.
    pub overflow: u64,
}
