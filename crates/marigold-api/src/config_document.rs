//! A whole configuration for operators.

use std::collections::BTreeMap;

use marigold_config::{Checkpoint, Config, NamedDeclaration};
use marigold_types::{Digest, Version};
use serde::{Deserialize, Serialize};

/// The declarations in force, with what tells one version from another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDocument {
    /// The version in force.
    pub version: Version,
    /// The digest of the declarations.
    pub digest: Digest,
    /// Whether the daemon has just read the log to its end; otherwise it is what the daemon holds.
    pub fresh: bool,
    /// The declarations in the order of their names.
    pub declarations: Vec<NamedDeclaration>,
}

impl ConfigDocument {
    /// Writes `config` down.
    #[must_use]
    pub fn new(config: &Config, fresh: bool) -> Self {
        Self {
            version: config.version,
            digest: config.digest(),
            fresh,
            declarations: Checkpoint::declarations_of(config),
        }
    }

    /// Returns the configuration.
    #[must_use]
    pub fn to_config(&self) -> Config {
        let declared = self.declarations.iter();
        let declarations: BTreeMap<_, _> = declared
            .map(|declared| (declared.resource.clone(), declared.declaration.clone()))
            .collect();
        Config::new(self.version, declarations)
    }
}
