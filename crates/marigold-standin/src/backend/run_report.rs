//! The report on the runs of a backend server.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The response to `GET /runs`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReport {
    /// All runs, including those whose id was not stored.
    pub total: u64,
    /// The number of runs of each `Load-Id`.
    pub loads: BTreeMap<String, u32>,
    /// The number of request ids of the mesh that ran more than once on this backend server.
    pub doubled_requests: u64,
    /// Runs whose ids were not stored because the limit was reached. The report is incomplete unless this
    /// is zero.
    pub overflow: u64,
}
