//! An answer stored for repeats of its request.

use std::sync::Arc;

/// The estimated memory overhead of one header.
const HEADER_OVERHEAD_BYTES: usize = 64;

/// A complete answer of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The forwarded headers, in order.
    pub headers: Vec<(Arc<str>, Vec<u8>)>,
    /// The complete body.
    pub body: Arc<[u8]>,
}

impl StoredAnswer {
    /// Returns the approximate memory use in bytes, including a fixed overhead for each header.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|(n, v)| n.len() + v.len() + HEADER_OVERHEAD_BYTES)
            .sum();
        headers + self.body.len()
    }
}
