//! Operators.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// An operator's public key; the private key stays with the operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operator {
    /// The Ed25519 public key in hexadecimal.
    pub key: Arc<str>,
}
