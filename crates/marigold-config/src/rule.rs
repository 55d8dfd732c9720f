//! What the customer declares of who may change what and when.

use std::sync::Arc;

use marigold_types::OperatorName;
use serde::{Deserialize, Serialize};

/// Lets an operator change some resources within a window of time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rule {
    /// The operator that it lets.
    pub operator: OperatorName,
    /// Patterns over [`Resource`](crate::Resource) as displayed, such as `route:*`.
    pub resources: Vec<Arc<str>>,
    /// The days and hours in UTC, such as `mon-fri 06:00-18:00`; `always` for any time.
    pub window: Arc<str>,
}
