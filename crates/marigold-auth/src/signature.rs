//! Public keys and signatures of operators.

use std::fmt;
use std::str::FromStr;

use marigold_types::ParseError;
use ring::signature::{ED25519, UnparsedPublicKey};
use serde::{Deserialize, Serialize};

const PUBLIC_KEY_BYTES: usize = 32;
const SIGNATURE_BYTES: usize = 64;

/// Defines a type of fixed-size bytes that is written in hexadecimal.
macro_rules! hexadecimal {
    ($(#[$doc:meta])* $type:ident, $bytes:ident, $kind:literal, $allowed:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $type(pub [u8; $bytes]);

        impl FromStr for $type {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let mut bytes = [0; $bytes];
                hex::decode_to_slice(text, &mut bytes)
                    .map_err(|_| ParseError::new(text, $kind, $allowed))?;
                Ok(Self(bytes))
            }
        }

        impl TryFrom<String> for $type {
            type Error = ParseError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$type> for String {
            fn from(value: $type) -> Self {
                value.to_string()
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&hex::encode(self.0))
            }
        }
    };
}

hexadecimal!(
    /// The Ed25519 public key of an operator.
    PublicKey,
    PUBLIC_KEY_BYTES,
    "public key",
    "64 hexadecimal digits"
);
hexadecimal!(
    /// An Ed25519 signature made by an operator.
    Signature,
    SIGNATURE_BYTES,
    "signature",
    "128 hexadecimal digits"
);

impl PublicKey {
    /// Returns whether `signature` is a signature of `bytes` by the corresponding private key.
    #[must_use]
    pub fn verifies(&self, bytes: &[u8], signature: &Signature) -> bool {
        UnparsedPublicKey::new(&ED25519, &self.0)
            .verify(bytes, &signature.0)
            .is_ok()
    }
}
