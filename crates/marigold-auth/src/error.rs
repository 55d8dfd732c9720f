//! Errors of keys and certificates.

use std::sync::Arc;

/// A failed operation on a key, certificate or signed request. It never contains a secret key.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{step}: {reason}")]
pub struct AuthError {
    /// The failed operation, such as "read operator key".
    pub step: &'static str,
    /// The cause.
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
