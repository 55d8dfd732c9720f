//! Responses.

use bytes::Bytes;

use crate::Body;

/// A complete response.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Encoded header fields to forward.
    pub fields: Bytes,
    /// Body without transfer encoding.
    pub body: Body,
}
