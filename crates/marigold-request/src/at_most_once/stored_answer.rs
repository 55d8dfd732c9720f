//! An answer kept for a repeat of its request.

use std::sync::Arc;

/// A whole answer of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The headers that are handed on, in order.
    pub headers: Vec<(Arc<str>, Vec<u8>)>,
    /// The whole body.
    pub body: Arc<[u8]>,
}

impl StoredAnswer {
    /// Returns the bytes that it takes in memory, near enough to bound them.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|(n, v)| n.len() + v.len() + 64)
            .sum();
        headers + self.body.len()
    }
}
