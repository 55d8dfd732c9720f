//! SHA-256 digests.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::ParseError;

const DIGEST_BYTES: usize = 32;

/// A SHA-256 digest, which identifies plans and configurations by their content.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest(pub [u8; DIGEST_BYTES]);

impl Digest {
    /// Computes the digest of `bytes`.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }

    /// Returns the first eight bytes as a big-endian number, for hash buckets and short display.
    #[must_use]
    pub fn prefix(&self) -> u64 {
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&self.0[..8]);
        u64::from_be_bytes(prefix)
    }
}

impl FromStr for Digest {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut bytes = [0; DIGEST_BYTES];
        hex::decode_to_slice(text, &mut bytes)
            .map_err(|_| ParseError::new(text, "digest", "64 hexadecimal digits"))?;
        Ok(Self(bytes))
    }
}

impl TryFrom<String> for Digest {
    type Error = ParseError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.to_string()
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({:016x})", self.prefix())
    }
}
