//! The error of every `FromStr` in this crate.

use std::sync::Arc;

/// Says which text was refused and what is allowed, so that an operator can mend it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("`{text}` is not a valid {kind}: allowed is {allowed}")]
pub struct ParseError {
    /// The text that was refused.
    pub text: Arc<str>,
    /// What the text should have been, such as "byte size".
    pub kind: &'static str,
    /// A description of the accepted form.
    pub allowed: &'static str,
}

impl ParseError {
    /// Builds the error for `text`.
    #[must_use]
    pub fn new(text: &str, kind: &'static str, allowed: &'static str) -> Self {
        Self {
            text: Arc::from(text),
            kind,
            allowed,
        }
    }
}
