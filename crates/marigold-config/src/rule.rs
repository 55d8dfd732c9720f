//! Authorization rules, which say who may change what and when.

use std::sync::Arc;

use marigold_types::OperatorName;
use serde::{Deserialize, Serialize};

/// Lets an operator change the matching resources within a time window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rule {
    /// The operator who gets the permission.
    pub operator: OperatorName,
    /// Patterns that match a [`Resource`](crate::Resource) by its text form, such as `route:*`.
    pub resources: Vec<Arc<str>>,
    /// The days and hours in UTC, such as `mon-fri 06:00-18:00`; `always` for any time.
    pub window: Arc<str>,
}
