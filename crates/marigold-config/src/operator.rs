//! What the configuration holds of an operator.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// An operator's public key; the secret half never leaves the operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operator {
    /// The Ed25519 public key in hexadecimal.
    pub key: Arc<str>,
}
