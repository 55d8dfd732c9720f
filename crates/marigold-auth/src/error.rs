//! What can go wrong with keys and certificates.

use std::sync::Arc;

/// A failed step on a key; it never carries the key.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{step}: {reason}")]
pub struct AuthError {
    /// What was being done, as "read operator key".
    pub step: &'static str,
    /// Why it failed.
    pub reason: Arc<str>,
}

impl AuthError {
    pub(crate) fn new(step: &'static str, reason: &dyn ToString) -> Self {
        Self {
            step,
            reason: Arc::from(reason.to_string()),
        }
    }
}
