//! Section `[trust]`.

use marigold_auth::PublicKey;
use marigold_types::OperatorName;

use crate::reader::Reader;

/// The operator who may change anything, so that a first configuration can be made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrustSettings {
    /// The operator's name.
    pub operator: OperatorName,
    /// The operator's Ed25519 public key.
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
        let base = Self::default();
        let settings = Self {
            operator: reader.required(
                "operator",
                base.operator,
                "1 to 64 of a-z, 0-9, `-`, `_` and `.`",
                "the operator who may change anything",
            ),
            key: reader.required(
                "key",
                base.key,
                "64 hexadecimal digits",
                "that operator's public key; the same on every daemon of the mesh",
            ),
        };
        reader.finish();
        settings
    }
}
