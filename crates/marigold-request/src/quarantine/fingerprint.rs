//! Knows a request again when its caller sends it again.

use std::fmt;
use std::str::FromStr;

use marigold_types::{Digest, ParseError};
use serde::{Deserialize, Serialize};

use crate::CallHead;

const FINGERPRINT_BYTES: usize = 16;
/// The bytes at the start of a body that count.
const BODY_BYTES: usize = 4096;

/// A digest of what a backend server is given: service, method, target and the start of the body.
///
/// Headers do not count, since a caller's library changes them from one send to the next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub [u8; FINGERPRINT_BYTES]);

impl Fingerprint {
    /// The bytes at the start of a body that count.
    pub const BODY_BYTES: usize = BODY_BYTES;

    /// Returns the fingerprint of a request whose body starts with `body`.
    #[must_use]
    pub fn of(head: &CallHead, body: &[u8]) -> Self {
        let parts = [
            head.service.as_str().as_bytes(),
            head.method.as_bytes(),
            head.target.as_bytes(),
            &body[..body.len().min(BODY_BYTES)],
        ];
        let mut bytes = Vec::new();
        for part in parts {
            bytes.extend_from_slice(&(part.len() as u64).to_be_bytes());
            bytes.extend_from_slice(part);
        }
        let mut print = [0; FINGERPRINT_BYTES];
        print.copy_from_slice(&Digest::of(&bytes).0[..FINGERPRINT_BYTES]);
        Self(print)
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
