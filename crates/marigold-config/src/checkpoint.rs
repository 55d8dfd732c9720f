//! The state of the fold, as a record of the log.

use std::collections::BTreeMap;
use std::sync::Arc;

use marigold_auth::MeshKey;
use marigold_types::{LogOffset, RecordTime, Version};
use serde::{Deserialize, Serialize};

use crate::{Config, Declaration, History, Resource, SettledVerdict, SignedPlan, Trust};

/// One declaration with its name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedDeclaration {
    /// The name.
    pub resource: Resource,
    /// The content.
    pub declaration: Arc<Declaration>,
}

/// Everything that the fold knows after the records before `next`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// The version in force.
    pub version: Version,
    /// The declarations in force.
    pub declarations: Vec<NamedDeclaration>,
    /// The first record that it does not include.
    pub next: LogOffset,
    /// The latest time of the records that it includes.
    pub time: RecordTime,
    /// The highest version that was restored without its records; zero when none ever was.
    pub floor: Version,
    /// The plans that wait for a confirmation, the oldest first.
    pub pending: Vec<SignedPlan>,
    /// The verdicts that a repeat is answered with.
    pub settled: Vec<SettledVerdict>,
    /// The last judged confirmations.
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
        serde_json::to_vec(self).expect("a checkpoint has a JSON form")
    }
}

/// A checkpoint with the MAC of a daemon of the mesh.
///
/// Daemons have no signing keys that others know, and a checkpoint is for daemons only, so a MAC
/// under a key derived from the mesh key is enough: whoever can only write to the log cannot make
/// one. See docs/design/security.md.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SealedCheckpoint {
    checkpoint: Box<Checkpoint>,
    seal: String,
}

impl SealedCheckpoint {
    /// Seals `checkpoint`.
    #[must_use]
    pub fn seal(checkpoint: Checkpoint, trust: &Trust) -> Self {
        let seal = hex::encode(trust.seal().tag(&checkpoint.to_bytes()));
        Self {
            checkpoint: Box::new(checkpoint),
            seal,
        }
    }

    /// Returns the checkpoint if its seal is right and its configuration whole.
    #[must_use]
    pub fn open(self, trust: &Trust) -> Option<Checkpoint> {
        let mut seal = [0; MeshKey::TAG_BYTES];
        hex::decode_to_slice(&self.seal, &mut seal).ok()?;
        let verified = trust.seal().verifies(&self.checkpoint.to_bytes(), &seal);
        (verified && self.checkpoint.to_config().is_complete()).then_some(*self.checkpoint)
    }
}
