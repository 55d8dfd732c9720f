//! One `key = value` line.

use std::sync::Arc;

/// A setting with its line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The text before `=`.
    pub key: Arc<str>,
    /// The text after `=`.
    pub value: Arc<str>,
    /// The line, counted from 1.
    pub line: u32,
}
