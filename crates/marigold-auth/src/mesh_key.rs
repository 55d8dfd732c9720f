//! The secret key shared by all daemons of a mesh.

use ring::hmac;
use ring::rand::{SecureRandom, SystemRandom};

use crate::AuthError;

const KEY_BYTES: usize = 32;
const TAG_BYTES: usize = 16;

/// A secret HMAC-SHA256 key, which computes and verifies the MACs of request keys.
pub struct MeshKey {
    bytes: [u8; KEY_BYTES],
    key: hmac::Key,
}

impl MeshKey {
    /// Length of a truncated MAC in bytes.
    pub const TAG_BYTES: usize = TAG_BYTES;

    /// Generates a random key.
    ///
    /// # Errors
    ///
    /// If the system's random number generator fails.
    pub fn generate() -> Result<Self, AuthError> {
        let mut bytes = [0; KEY_BYTES];
        SystemRandom::new()
            .fill(&mut bytes)
            .map_err(|error| AuthError::new("generate mesh key", &error))?;
        Ok(Self::new(bytes))
    }

    /// Creates a key from its bytes.
    #[must_use]
    pub fn new(bytes: [u8; KEY_BYTES]) -> Self {
        Self {
            bytes,
            key: hmac::Key::new(hmac::HMAC_SHA256, &bytes),
        }
    }

    /// Parses the content of a key file.
    ///
    /// # Errors
    ///
    /// If the text is not 64 hexadecimal digits. The error does not contain the text.
    pub fn from_file_text(text: &str) -> Result<Self, AuthError> {
        let mut bytes = [0; KEY_BYTES];
        hex::decode_to_slice(text.trim(), &mut bytes)
            .map_err(|_| AuthError::new("read mesh key", &"not 64 hexadecimal digits"))?;
        Ok(Self::new(bytes))
    }

    /// Returns the content of a key file, which must be kept secret.
    #[must_use]
    pub fn to_file_text(&self) -> String {
        hex::encode(self.bytes)
    }

    /// Derives a key for `purpose`, so that a MAC for one purpose is not valid for another.
    #[must_use]
    pub fn derive(&self, purpose: &str) -> Self {
        let mut bytes = [0; KEY_BYTES];
        bytes.copy_from_slice(hmac::sign(&self.key, purpose.as_bytes()).as_ref());
        Self::new(bytes)
    }

    /// Returns the MAC of `bytes`, truncated to [`MeshKey::TAG_BYTES`].
    #[must_use]
    pub fn tag(&self, bytes: &[u8]) -> [u8; TAG_BYTES] {
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&hmac::sign(&self.key, bytes).as_ref()[..TAG_BYTES]);
        tag
    }

    /// Returns whether `tag` is the truncated MAC of `bytes`. The time of the comparison does not
    /// depend on where the tags differ.
    #[must_use]
    pub fn verifies(&self, bytes: &[u8], tag: &[u8; TAG_BYTES]) -> bool {
        // Comparing MACs of the tags does not reveal through timing at which byte the tags differ.
        let expected = hmac::sign(&self.key, &self.tag(bytes));
        hmac::verify(&self.key, tag, expected.as_ref()).is_ok()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn verifies_only_matching_tags() {
        let key = MeshKey::new([7; KEY_BYTES]);
        let tag = key.tag(b"key");
        assert!(key.verifies(b"key", &tag));
        assert!(!key.verifies(b"kex", &tag));
        assert!(!MeshKey::new([8; KEY_BYTES]).verifies(b"key", &tag));
    }

    #[test]
    fn derived_keys_reject_tags_of_other_purposes() {
        let key = MeshKey::new([7; KEY_BYTES]);
        let tag = key.derive("checkpoint").tag(b"key");
        assert!(key.derive("checkpoint").verifies(b"key", &tag));
        assert!(!key.verifies(b"key", &tag));
        assert!(!key.derive("other").verifies(b"key", &tag));
    }
}
