//! What a reader of the log trusts before it has read anything.

use std::fmt;
use std::sync::Arc;

use marigold_auth::{MeshKey, PublicKey};
use marigold_types::OperatorName;

const CHECKPOINT_PURPOSE: &str = "marigold checkpoint";

/// The roots of trust of a mesh, the same on every daemon by its settings.
#[derive(Clone)]
pub struct Trust {
    /// The operator who may change anything, so that a first configuration can be made.
    pub operator: OperatorName,
    /// That operator's public key.
    pub key: PublicKey,
    seal: Arc<MeshKey>,
}

impl Trust {
    /// Builds the roots of trust; checkpoints are sealed with a key derived from `mesh`.
    #[must_use]
    pub fn new(operator: OperatorName, key: PublicKey, mesh: &MeshKey) -> Self {
        Self {
            operator,
            key,
            seal: Arc::new(mesh.derive(CHECKPOINT_PURPOSE)),
        }
    }

    /// Returns the key that seals checkpoints.
    pub(crate) fn seal(&self) -> &MeshKey {
        &self.seal
    }
}

impl fmt::Debug for Trust {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Trust")
            .field("operator", &self.operator)
            .field("key", &self.key)
            .finish_non_exhaustive()
    }
}
