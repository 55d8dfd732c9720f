//! The configuration as returned to operators.

use std::collections::BTreeMap;

use marigold_config::{Checkpoint, Config, NamedDeclaration};
use marigold_types::{Digest, Version};
use serde::{Deserialize, Serialize};

/// A complete configuration with its version and digest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDocument {
    /// Version in force.
    pub version: Version,
    /// Digest of the declarations.
    pub digest: Digest,
    /// Whether the daemon read the log to its end for this response. If not, this is the
    /// configuration that the daemon had in memory.
    pub fresh: bool,
    /// Declarations in the order of their names.
    pub declarations: Vec<NamedDeclaration>,
}

impl ConfigDocument {
    /// Creates the document of `config`.
    #[must_use]
    pub fn new(config: &Config, fresh: bool) -> Self {
        Self {
            version: config.version,
            digest: config.digest(),
            fresh,
            declarations: Checkpoint::declarations_of(config),
        }
    }

    /// Converts the document back to a configuration.
    #[must_use]
    pub fn to_config(&self) -> Config {
        let declared = self.declarations.iter();
        let declarations: BTreeMap<_, _> = declared
            .map(|declared| (declared.resource.clone(), declared.declaration.clone()))
            .collect();
        Config::new(self.version, declarations)
    }
}
