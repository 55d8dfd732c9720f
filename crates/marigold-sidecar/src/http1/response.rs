//! An answer.

use bytes::Bytes;

/// An answer that was read, or is to be written, as a whole.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Response {
    /// Its status.
    pub status: u16,
    /// The fields that are passed on.
    pub fields: Bytes,
    /// Its body, out of its framing.
    pub body: Bytes,
}
