//! Settings of a section.

use std::sync::Arc;

/// A `key = value` line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The trimmed text before `=`.
    pub key: Arc<str>,
    /// The trimmed text after `=`.
    pub value: Arc<str>,
    /// Line number, starting at 1.
    pub line: u32,
}
