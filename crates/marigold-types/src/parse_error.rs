//! The error of `FromStr` implementations.

use std::sync::Arc;

/// A text that is not valid for its type, with a description of the valid ones for the operator.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("`{text}` is not a valid {kind}: allowed is {allowed}")]
pub struct ParseError {
    /// The invalid text.
    pub text: Arc<str>,
    /// The expected kind of value, such as "byte size".
    pub kind: &'static str,
    /// A description of the valid texts.
    pub allowed: &'static str,
}

impl ParseError {
    /// Creates the error for `text`.
    #[must_use]
    pub fn new(text: &str, kind: &'static str, allowed: &'static str) -> Self {
        Self {
            text: Arc::from(text),
            kind,
            allowed,
        }
    }
}
