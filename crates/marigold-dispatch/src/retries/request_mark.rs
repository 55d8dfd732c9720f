//! Identifies a request among the attempts of its caller.

use std::hash::{DefaultHasher, Hash, Hasher};

/// A digest of what a caller repeats when it sends a request again; each attempt has an id of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestMark(u64);

impl RequestMark {
    /// Computes the mark of a request for `target` with a body of `body_bytes`.
    #[must_use]
    pub fn new(method: &str, target: &str, body_bytes: usize) -> Self {
        let mut hasher = DefaultHasher::new();
        (method, target, body_bytes).hash(&mut hasher);
        Self(hasher.finish())
    }
}
