//! Why a request had no answer of its own kind.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What kind of failure it is, for programs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProblemKind {
    /// The request is malformed or too large.
    BadRequest,
    /// The operator could not be told from anyone else.
    Unauthorised,
    /// The operator is known but may not do this, or the plan would be rejected.
    Refused,
    /// There is no such thing.
    NotFound,
    /// The platform's log could not be used and nothing was written; the same request again is
    /// safe.
    LogUnavailable,
    /// The daemon has too much to do; the same request again is safe.
    Busy,
}

/// The body of an answer that is an error.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// What kind of failure it is.
    pub kind: ProblemKind,
    /// What went wrong and what to do, in words.
    pub text: String,
}

impl Problem {
    /// Builds a problem.
    #[must_use]
    pub fn new(kind: ProblemKind, text: impl Into<String>) -> Self {
        let text = text.into();
        Self { kind, text }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}
