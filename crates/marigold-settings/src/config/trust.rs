//! Section `[trust]`.

use marigold_auth::PublicKey;
use marigold_types::OperatorName;

use crate::reader::Reader;

/// The operator who may change any resource, which allows the first configuration to be created.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrustSettings {
    /// Name of the operator.
    pub operator: OperatorName,
    /// Ed25519 public key of the operator.
    pub key: PublicKey,
}

impl Default for TrustSettings {
    fn default() -> Self {
        Self {
            operator: "root".parse().expect("a valid name"),
            key: PublicKey([0; 32]),
        }
    }
}

impl TrustSettings {
    pub(crate) fn read(mut reader: Reader<'_>) -> Self {
        let defaults = Self::default();
        let settings = Self {
            operator: reader.required(
                "operator",
                defaults.operator,
                "1 to 64 of a-z, 0-9, `-`, `_` and `.`",
                "operator who may change any resource",
            ),
            key: reader.required(
                "key",
                defaults.key,
                "64 hexadecimal digits",
                "Ed25519 public key of that operator; must be the same on all daemons of the mesh",
            ),
        };
        reader.finish();
        settings
    }
}
