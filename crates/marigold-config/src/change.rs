//! A difference between two configurations.

use serde::{Deserialize, Serialize};

use crate::{Declaration, Resource};

/// The new declaration of one resource, or its removal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The resource that is added, changed or removed.
    pub resource: Resource,
    /// The declaration after the change; `None` removes the resource.
    pub after: Option<Declaration>,
}
