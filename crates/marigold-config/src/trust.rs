//! The roots of trust for reading the log.

use std::fmt;
use std::sync::Arc;

use marigold_auth::{MeshKey, PublicKey};
use marigold_types::OperatorName;

const CHECKPOINT_PURPOSE: &str = "marigold checkpoint";

/// The roots of trust of a mesh, set identically in the settings of every daemon.
#[derive(Clone)]
pub struct Trust {
    /// The root operator, who may change any resource, which is needed for the first configuration.
    pub operator: OperatorName,
    /// The root operator's public key.
    pub key: PublicKey,
    checkpoint_key: Arc<MeshKey>,
}

impl Trust {
    /// Creates the roots of trust; the MAC key of checkpoints is derived from `mesh`.
    #[must_use]
    pub fn new(operator: OperatorName, key: PublicKey, mesh: &MeshKey) -> Self {
        Self {
            operator,
            key,
            checkpoint_key: Arc::new(mesh.derive(CHECKPOINT_PURPOSE)),
        }
    }

    /// Returns the MAC key of checkpoints.
    pub(crate) fn checkpoint_key(&self) -> &MeshKey {
        &self.checkpoint_key
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
