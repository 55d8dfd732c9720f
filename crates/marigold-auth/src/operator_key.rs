//! Private keys of operators.

use marigold_types::OperatorName;
use ring::rand::SystemRandom;
use ring::signature::{Ed25519KeyPair, KeyPair};
use serde::{Deserialize, Serialize};

use crate::{AuthError, PublicKey, Signature};

/// The JSON content of an operator's key file.
#[derive(Serialize, Deserialize)]
struct KeyFile {
    operator: OperatorName,
    pkcs8: String,
}

/// An operator's Ed25519 key pair and name. It never leaves the operator's machine.
pub struct OperatorKey {
    operator: OperatorName,
    pair: Ed25519KeyPair,
    pkcs8: Vec<u8>,
}

impl OperatorKey {
    /// Generates a random key pair.
    ///
    /// # Errors
    ///
    /// If the system's random number generator fails.
    pub fn generate(operator: OperatorName) -> Result<Self, AuthError> {
        let document = Ed25519KeyPair::generate_pkcs8(&SystemRandom::new())
            .map_err(|error| AuthError::new("generate operator key", &error))?;
        Self::from_pkcs8(operator, document.as_ref().to_vec())
    }

    /// Parses the content of a key file.
    ///
    /// # Errors
    ///
    /// If the text is not a valid key file. The error does not contain the text.
    pub fn from_file_text(text: &str) -> Result<Self, AuthError> {
        const STEP: &str = "read operator key";
        let file: KeyFile =
            serde_json::from_str(text).map_err(|_| AuthError::new(STEP, &"not a key file"))?;
        let pkcs8 = hex::decode(&file.pkcs8)
            .map_err(|_| AuthError::new(STEP, &"the key is not hexadecimal"))?;
        Self::from_pkcs8(file.operator, pkcs8)
    }

    /// Returns the content of a key file, which must be kept secret.
    ///
    /// # Panics
    ///
    /// Never, since serializing a key file cannot fail.
    #[must_use]
    pub fn to_file_text(&self) -> String {
        let file = KeyFile {
            operator: self.operator.clone(),
            pkcs8: hex::encode(&self.pkcs8),
        };
        serde_json::to_string(&file).expect("a key file serializes to JSON")
    }

    /// Returns the name of the operator.
    #[must_use]
    pub fn operator(&self) -> &OperatorName {
        &self.operator
    }

    /// Returns the public key.
    ///
    /// # Panics
    ///
    /// Never, since an Ed25519 public key has 32 bytes.
    #[must_use]
    pub fn public(&self) -> PublicKey {
        PublicKey(
            self.pair
                .public_key()
                .as_ref()
                .try_into()
                .expect("32 bytes"),
        )
    }

    /// Signs `bytes`.
    ///
    /// # Panics
    ///
    /// Never, since an Ed25519 signature has 64 bytes.
    #[must_use]
    pub fn sign(&self, bytes: &[u8]) -> Signature {
        Signature(self.pair.sign(bytes).as_ref().try_into().expect("64 bytes"))
    }

    fn from_pkcs8(operator: OperatorName, pkcs8: Vec<u8>) -> Result<Self, AuthError> {
        let pair = Ed25519KeyPair::from_pkcs8(&pkcs8)
            .map_err(|error| AuthError::new("read operator key", &error))?;
        Ok(Self {
            operator,
            pair,
            pkcs8,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn restored_key_signs() {
        let key = OperatorKey::generate("ann".parse().unwrap()).unwrap();
        let restored = OperatorKey::from_file_text(&key.to_file_text()).unwrap();
        let signature = restored.sign(b"plan");
        assert!(key.public().verifies(b"plan", &signature));
        assert!(!key.public().verifies(b"other", &signature));
    }

    #[test]
    fn error_does_not_contain_key() {
        let text = r#"{"operator":"ann","pkcs8":"abcd"}"#;
        let error = OperatorKey::from_file_text(text).err().unwrap();
        assert!(!error.to_string().contains("abcd"));
    }
}
