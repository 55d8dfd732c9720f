//! One difference between two configurations.

use serde::{Deserialize, Serialize};

use crate::{Declaration, Resource};

/// What becomes of one resource.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The resource that changes.
    pub resource: Resource,
    /// The declaration after the change; absent when the resource goes.
    pub after: Option<Declaration>,
}
