//! Blocks of encoded header fields.

use bytes::{BufMut, Bytes, BytesMut};

/// Header fields in their original order and spelling, each followed by a line break.
///
/// The fields cross the mesh unchanged, so they are kept as one block and not parsed again.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FieldBlock(BytesMut);

impl FieldBlock {
    /// Appends a field.
    pub fn push(&mut self, name: &str, value: &[u8]) {
        self.0.reserve(name.len() + value.len() + 4);
        self.0.put_slice(name.as_bytes());
        self.0.put_slice(b": ");
        self.0.put_slice(value);
        self.0.put_slice(b"\r\n");
    }

    /// Returns the encoded fields.
    #[must_use]
    pub fn freeze(self) -> Bytes {
        self.0.freeze()
    }
}

/// Hop-by-hop fields, which are never forwarded.
const HOP_BY_HOP_FIELDS: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
];

/// Returns whether a field is hop-by-hop, by definition or because the `Connection` header lists it;
/// `connection` is the value of that header.
pub fn is_hop_by_hop(name: &str, connection: &str) -> bool {
    let is = |other: &str| other.eq_ignore_ascii_case(name);
    HOP_BY_HOP_FIELDS.iter().any(|field| is(field)) || connection.split(',').map(str::trim).any(is)
}
