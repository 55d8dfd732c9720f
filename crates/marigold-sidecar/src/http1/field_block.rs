//! Header fields as lines.

use bytes::{BufMut, Bytes, BytesMut};

/// Header fields in the order and spelling in which they came, each ended by a line break.
///
/// The fields cross the mesh as they are, so they are kept as one block and not taken apart again.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FieldBlock(BytesMut);

impl FieldBlock {
    /// Adds a field.
    pub fn push(&mut self, name: &str, value: &[u8]) {
        self.0.reserve(name.len() + value.len() + 4);
        self.0.put_slice(name.as_bytes());
        self.0.put_slice(b": ");
        self.0.put_slice(value);
        self.0.put_slice(b"\r\n");
    }

    /// Returns the lines.
    #[must_use]
    pub fn freeze(self) -> Bytes {
        self.0.freeze()
    }
}

/// Fields that concern one connection only and are never passed on.
const CONNECTION_FIELDS: [&str; 10] = [
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

/// Returns whether a field concerns one connection only; `named` is the value of `Connection`.
pub fn is_hop_by_hop(name: &str, named: &str) -> bool {
    let is = |other: &str| other.eq_ignore_ascii_case(name);
    CONNECTION_FIELDS.iter().any(|field| is(field)) || named.split(',').map(str::trim).any(is)
}
