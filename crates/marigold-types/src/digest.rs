//! A SHA-256 digest.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::ParseError;

const DIGEST_BYTES: usize = 32;

/// The SHA-256 digest of some bytes; it names plans and tells configurations apart.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest(pub [u8; DIGEST_BYTES]);

impl Digest {
    /// Digests `bytes`.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }

    /// Returns the first eight bytes as a number, for hashing into buckets and for display.
    #[must_use]
    pub fn prefix(&self) -> u64 {
        let mut head = [0; 8];
        head.copy_from_slice(&self.0[..8]);
        u64::from_be_bytes(head)
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
