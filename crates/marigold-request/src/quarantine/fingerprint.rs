//! Fingerprints that identify a request when its caller repeats it.

use std::fmt;
use std::str::FromStr;

use marigold_types::{Digest, ParseError, ServiceName};
use serde::{Deserialize, Serialize};

use crate::CallHead;

const FINGERPRINT_BYTES: usize = 16;
/// The length of the prefix of the body that is hashed.
const BODY_BYTES: usize = 4096;

/// A digest of the service, method, target and first bytes of the body of a request.
///
/// Headers are not included, since client libraries change them between attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub [u8; FINGERPRINT_BYTES]);

impl Fingerprint {
    /// The length of the prefix of the body that is hashed.
    pub const BODY_BYTES: usize = BODY_BYTES;

    /// Returns the fingerprint of a request; `body` is the body or at least its first
    /// [`Fingerprint::BODY_BYTES`] bytes.
    #[must_use]
    pub fn of(head: &CallHead, body: &[u8]) -> Self {
        let service = head.service.as_str().as_bytes();
        Self::of_parts(
            &[service, head.method.as_bytes(), head.target.as_bytes()],
            body,
        )
    }

    /// Returns the fingerprint of a request that is also identified by the service of its caller, which the
    /// mesh itself states to the backend server.
    #[must_use]
    pub fn with_caller(
        service: &ServiceName,
        caller: &ServiceName,
        method: &str,
        target: &str,
        body: &[u8],
    ) -> Self {
        let (service, caller) = (service.as_str().as_bytes(), caller.as_str().as_bytes());
        Self::of_parts(
            &[service, caller, method.as_bytes(), target.as_bytes()],
            body,
        )
    }

    fn of_parts(parts: &[&[u8]], body: &[u8]) -> Self {
        let body = &body[..body.len().min(BODY_BYTES)];
        let mut bytes = Vec::new();
        for part in parts.iter().chain([&body]) {
            bytes.extend_from_slice(&(part.len() as u64).to_be_bytes());
            bytes.extend_from_slice(part);
        }
        let mut fingerprint = [0; FINGERPRINT_BYTES];
        fingerprint.copy_from_slice(&Digest::of(&bytes).0[..FINGERPRINT_BYTES]);
        Self(fingerprint)
    }
}

impl FromStr for Fingerprint {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = u128::from_str_radix(text, 16).ok();
        let number = number.filter(|_| text.len() == 2 * FINGERPRINT_BYTES);
        number
            .map(|number| Self(number.to_be_bytes()))
            .ok_or_else(|| ParseError::new(text, "fingerprint", "32 hexadecimal digits"))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}
