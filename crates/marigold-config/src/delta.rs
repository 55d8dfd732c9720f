//! Deltas between two versions of the configuration.

use marigold_types::{Digest, Version};
use serde::{Deserialize, Serialize};

use crate::Change;

/// The changes between two versions, with the digest of the expected result.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The version that it applies to.
    pub from: Version,
    /// The version after the changes.
    pub to: Version,
    /// The digest of the configuration after the changes.
    pub digest: Digest,
    /// The changes, one for each resource.
    pub changes: Vec<Change>,
}

/// Why a delta could not be applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum DeltaError {
    /// It applies to another version than the current one.
    #[error("the delta applies to version {from}, but the current version is {current}")]
    BaseMismatch {
        /// The version that the delta applies to.
        from: Version,
        /// The current version.
        current: Version,
    },
    /// Its target is older than the current version.
    #[error("the delta leads from version {current} back to the older version {to}")]
    Backwards {
        /// The current version.
        current: Version,
        /// The delta's target version.
        to: Version,
    },
    /// The result differs from that of the sender.
    #[error("the result of the delta to version {to} does not match its digest")]
    WrongDigest {
        /// The delta's target version.
        to: Version,
    },
    /// A route of the result has no declared service.
    #[error("the result of the delta to version {to} has a route whose service is not declared")]
    Incomplete {
        /// The delta's target version.
        to: Version,
    },
}
