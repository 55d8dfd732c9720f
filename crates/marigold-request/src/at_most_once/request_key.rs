//! The key that a request runs under at most once.

use std::fmt;
use std::sync::Arc;

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use marigold_auth::MeshKey;
use marigold_types::{InstanceId, ServiceName};
use serde::{Deserialize, Serialize};

use crate::at_most_once::KeyError;

/// Marks the form of the text, so that a later one can be told apart.
const PREFIX: &str = "mk1.";
/// The longest text of a key: two instances, a service name, two numbers and the tag.
const MAX_TEXT_BYTES: usize = 256;

/// The random number that tells the keys of one executor apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Nonce(pub u128);

impl fmt::Display for Nonce {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Names the one executor that may run a request, and the witness that must agree first.
///
/// It is made by any daemon for a caller, who sends it as `Idempotency-Key`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestKey {
    /// The only instance that may run the request.
    pub executor: InstanceId,
    /// The instance that remembers whether it started.
    pub witness: InstanceId,
    /// The service that the key is for.
    pub service: ServiceName,
    /// When the key ends, in milliseconds of the witness's uptime.
    pub expiry: u64,
    /// Tells it from the executor's other keys.
    pub nonce: Nonce,
}

impl RequestKey {
    /// Returns the key's text with its MAC under `secret`.
    ///
    /// # Panics
    ///
    /// Never: every key has a postcard form.
    #[must_use]
    pub fn encode(&self, secret: &MeshKey) -> Arc<str> {
        let mut bytes = postcard::to_allocvec(self).expect("a key has a postcard form");
        let tag = secret.tag(&bytes);
        bytes.extend_from_slice(&tag);
        Arc::from(format!("{PREFIX}{}", URL_SAFE_NO_PAD.encode(bytes)))
    }

    /// Reads the text of a key and checks its MAC.
    ///
    /// # Errors
    ///
    /// When the text was not made by this mesh. Its length is bounded before it is decoded.
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

    /// Reads the text of a key as [`RequestKey::decode`] does, for a request to `service`.
    ///
    /// # Errors
    ///
    /// Also when the key is for another service.
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
