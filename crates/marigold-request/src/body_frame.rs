//! A part of a body between two daemons.

use serde::{Deserialize, Serialize};

/// One frame of a body; a body without its end is cut off, never short.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BodyFrame {
    /// Some bytes.
    Data(Vec<u8>),
    /// The body is whole.
    End,
    /// The body is cut off; its source failed.
    Cut,
}
