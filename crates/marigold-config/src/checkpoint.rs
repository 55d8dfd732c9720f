//! Snapshots of the state, stored as records in the log.

use std::collections::BTreeMap;
use std::sync::Arc;

use marigold_auth::MeshKey;
use marigold_types::{LogOffset, RecordTime, Version};
use serde::{Deserialize, Serialize};

use crate::{Config, Declaration, History, Resource, SignedPlan, StoredOutcome, Trust};

/// A declaration and the resource that it declares.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedDeclaration {
    /// The kind and name of the declaration.
    pub resource: Resource,
    /// The declared content.
    pub declaration: Arc<Declaration>,
}

/// The whole state after all records before `next`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// The version in force.
    pub version: Version,
    /// The declarations in force.
    pub declarations: Vec<NamedDeclaration>,
    /// The offset of the first record that is not included.
    pub next: LogOffset,
    /// The latest time of the included records.
    pub time: RecordTime,
    /// The highest version that was restored without its records; zero if none was restored.
    pub floor: Version,
    /// The plans that await confirmation, oldest first.
    pub pending: Vec<SignedPlan>,
    /// The outcomes that apply to repeated records.
    pub settled: Vec<StoredOutcome>,
    /// The most recent confirmations and their outcomes.
    pub history: History,
}

impl Checkpoint {
    /// Returns the configuration in force.
    #[must_use]
    pub fn to_config(&self) -> Config {
        let declared = self.declarations.iter();
        let declarations: BTreeMap<_, _> = declared
            .map(|declared| (declared.resource.clone(), declared.declaration.clone()))
            .collect();
        Config::new(self.version, declarations)
    }

    /// Lists the declarations of `config`.
    #[must_use]
    pub fn declarations_of(config: &Config) -> Vec<NamedDeclaration> {
        let declared = config.declarations().iter();
        let declared = declared.map(|(resource, declaration)| NamedDeclaration {
            resource: resource.clone(),
            declaration: declaration.clone(),
        });
        declared.collect()
    }

    fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a checkpoint serializes to JSON")
    }
}

/// A checkpoint with a MAC that only daemons of the mesh can make.
///
/// Daemons have no signing keys that others know, and only daemons read checkpoints, so a MAC under
/// a key derived from the mesh key is sufficient. Write access to the log alone is not enough to
/// forge one. See docs/design/security.md.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SealedCheckpoint {
    checkpoint: Box<Checkpoint>,
    seal: String,
}

impl SealedCheckpoint {
    /// Computes the MAC of `checkpoint`.
    #[must_use]
    pub fn seal(checkpoint: Checkpoint, trust: &Trust) -> Self {
        let seal = hex::encode(trust.checkpoint_key().tag(&checkpoint.to_bytes()));
        Self {
            checkpoint: Box::new(checkpoint),
            seal,
        }
    }

    /// Returns the checkpoint if its MAC is valid and its configuration is complete.
    #[must_use]
    pub fn open(self, trust: &Trust) -> Option<Checkpoint> {
        let mut seal = [0; MeshKey::TAG_BYTES];
        hex::decode_to_slice(&self.seal, &mut seal).ok()?;
        let verified = trust
            .checkpoint_key()
            .verifies(&self.checkpoint.to_bytes(), &seal);
        (verified && self.checkpoint.to_config().is_complete()).then_some(*self.checkpoint)
    }
}
