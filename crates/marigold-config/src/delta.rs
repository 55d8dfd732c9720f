//! The step from one version to another.

use marigold_types::{Digest, Version};
use serde::{Deserialize, Serialize};

use crate::Change;

/// The changes between two versions, with the digest that the result must have.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The version that it applies to.
    pub from: Version,
    /// The version that it makes.
    pub to: Version,
    /// The digest of the configuration that it makes.
    pub digest: Digest,
    /// The changes, one for each resource.
    pub changes: Vec<Change>,
}

/// Why a delta was refused; the configuration it was meant for stays untouched.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum DeltaError {
    /// It applies to another version.
    #[error("the delta applies to version {from}, but version {held} is held")]
    BaseMismatch {
        /// The version that the delta applies to.
        from: Version,
        /// The version that is held.
        held: Version,
    },
    /// It would move back.
    #[error("the delta leads back from version {held} to {to}")]
    Backwards {
        /// The version that is held.
        held: Version,
        /// The version that the delta makes.
        to: Version,
    },
    /// The result is not what the sender meant.
    #[error("the delta to version {to} makes another digest than it names")]
    WrongDigest {
        /// The version that the delta makes.
        to: Version,
    },
    /// A route of the result has no service.
    #[error("the delta to version {to} leaves a route without its service")]
    Incomplete {
        /// The version that the delta makes.
        to: Version,
    },
}
