//! The idempotency key of a request.

use std::fmt;
use std::sync::Arc;

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use marigold_auth::MeshKey;
use marigold_types::{InstanceId, ServiceName};
use serde::{Deserialize, Serialize};

use crate::at_most_once::KeyError;

/// Identifies the version of the text format.
const PREFIX: &str = "mk1.";
/// The maximum length of the text: two instances, a service name, two numbers and the MAC.
const MAX_TEXT_BYTES: usize = 256;

/// A random number that is unique among the keys of one executor.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Nonce(pub u128);

impl fmt::Display for Nonce {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Names the only executor that may run a request, and the witness that must permit it first.
///
/// Any daemon issues keys. The caller sends the key in the `Idempotency-Key` header.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestKey {
    /// The only instance that may run the request.
    pub executor: InstanceId,
    /// The instance that records whether the request started.
    pub witness: InstanceId,
    /// The service for which the key was issued.
    pub service: ServiceName,
    /// The expiry of the key, in milliseconds of the witness's uptime.
    pub expiry: u64,
    /// Distinguishes the key from the executor's other keys.
    pub nonce: Nonce,
}

impl RequestKey {
    /// Returns the text form of the key, authenticated with a MAC under `secret`.
    ///
    /// # Panics
    ///
    /// Never panics: every key can be serialized with postcard.
    #[must_use]
    pub fn encode(&self, secret: &MeshKey) -> Arc<str> {
        let mut bytes =
            postcard::to_allocvec(self).expect("every key can be serialized with postcard");
        let tag = secret.tag(&bytes);
        bytes.extend_from_slice(&tag);
        Arc::from(format!("{PREFIX}{}", URL_SAFE_NO_PAD.encode(bytes)))
    }

    /// Parses the text of a key and verifies its MAC.
    ///
    /// # Errors
    ///
    /// Fails if this mesh did not issue the key. The length is checked before decoding.
    pub fn decode(text: &str, secret: &MeshKey) -> Result<Self, KeyError> {
        if text.len() > MAX_TEXT_BYTES {
            return Err(KeyError::TooLong(text.len()));
        }
        let encoded = text.strip_prefix(PREFIX).ok_or(KeyError::Malformed)?;
        let bytes = URL_SAFE_NO_PAD
            .decode(encoded)
            .map_err(|_| KeyError::Malformed)?;
        let (body, tag) = bytes
            .split_last_chunk::<{ MeshKey::TAG_BYTES }>()
            .ok_or(KeyError::Malformed)?;
        if !secret.verifies(body, tag) {
            return Err(KeyError::Forged);
        }
        postcard::from_bytes(body).map_err(|_| KeyError::Malformed)
    }

    /// Parses the text of a key as [`RequestKey::decode`] does, for a request to `service`.
    ///
    /// # Errors
    ///
    /// Also fails if the key was issued for another service.
    pub fn decode_for(
        text: &str,
        service: &ServiceName,
        secret: &MeshKey,
    ) -> Result<Self, KeyError> {
        let key = Self::decode(text, secret)?;
        if key.service == *service {
            Ok(key)
        } else {
            Err(KeyError::OtherService)
        }
    }
}
