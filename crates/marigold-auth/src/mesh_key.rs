//! The secret that all daemons of a mesh share.

use ring::hmac;
use ring::rand::{SecureRandom, SystemRandom};

use crate::AuthError;

const KEY_BYTES: usize = 32;
const TAG_BYTES: usize = 16;

/// Makes and checks the MAC of request keys.
pub struct MeshKey {
    bytes: [u8; KEY_BYTES],
    key: hmac::Key,
}

impl MeshKey {
    /// The length of a tag, in bytes.
    pub const TAG_BYTES: usize = TAG_BYTES;

    /// Draws a new key.
    ///
    /// # Errors
    ///
    /// When the system gives no randomness.
    pub fn generate() -> Result<Self, AuthError> {
        let mut bytes = [0; KEY_BYTES];
        SystemRandom::new()
            .fill(&mut bytes)
            .map_err(|error| AuthError::new("generate mesh key", &error))?;
        Ok(Self::new(bytes))
    }

    /// Builds the key from its bytes.
    #[must_use]
    pub fn new(bytes: [u8; KEY_BYTES]) -> Self {
        Self {
            bytes,
            key: hmac::Key::new(hmac::HMAC_SHA256, &bytes),
        }
    }

    /// Reads the text of a key file.
    ///
    /// # Errors
    ///
    /// When the text is not 64 hexadecimal digits; the text is not repeated.
    pub fn from_file_text(text: &str) -> Result<Self, AuthError> {
        let mut bytes = [0; KEY_BYTES];
        hex::decode_to_slice(text.trim(), &mut bytes)
            .map_err(|_| AuthError::new("read mesh key", &"not 64 hexadecimal digits"))?;
        Ok(Self::new(bytes))
    }

    /// Returns the text of a key file, which is secret.
    #[must_use]
    pub fn to_file_text(&self) -> String {
        hex::encode(self.bytes)
    }

    /// Derives the key for another purpose, so that a tag made for one is of no use for another.
    #[must_use]
    pub fn derive(&self, purpose: &str) -> Self {
        let mut bytes = [0; KEY_BYTES];
        bytes.copy_from_slice(hmac::sign(&self.key, purpose.as_bytes()).as_ref());
        Self::new(bytes)
    }

    /// Returns the MAC over `bytes`, cut to [`MeshKey::TAG_BYTES`].
    #[must_use]
    pub fn tag(&self, bytes: &[u8]) -> [u8; TAG_BYTES] {
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&hmac::sign(&self.key, bytes).as_ref()[..TAG_BYTES]);
        tag
    }

    /// Returns whether `tag` is the MAC over `bytes`, in a time that does not depend on where they
    /// differ.
    #[must_use]
    pub fn verifies(&self, bytes: &[u8], tag: &[u8; TAG_BYTES]) -> bool {
        // A MAC of the tags hides from the timing at which byte the comparison ends.
        let made = hmac::sign(&self.key, &self.tag(bytes));
        hmac::verify(&self.key, tag, made.as_ref()).is_ok()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn tags_verify() {
        let key = MeshKey::new([7; KEY_BYTES]);
        let tag = key.tag(b"key");
        assert!(key.verifies(b"key", &tag));
        assert!(!key.verifies(b"kex", &tag));
        assert!(!MeshKey::new([8; KEY_BYTES]).verifies(b"key", &tag));
    }

    #[test]
    fn derived_keys_differ() {
        let key = MeshKey::new([7; KEY_BYTES]);
        let tag = key.derive("checkpoint").tag(b"key");
        assert!(key.derive("checkpoint").verifies(b"key", &tag));
        assert!(!key.verifies(b"key", &tag));
        assert!(!key.derive("other").verifies(b"key", &tag));
    }
}
