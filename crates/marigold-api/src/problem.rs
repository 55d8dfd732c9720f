//! Error responses of the admin API.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The machine-readable kind of an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProblemKind {
    /// The request is malformed or too large.
    BadRequest,
    /// The operator could not be authenticated.
    Unauthorised,
    /// The operator is not permitted to do this, or the plan would be rejected.
    Refused,
    /// The requested resource does not exist.
    NotFound,
    /// The platform's log is unavailable and nothing was written. It is safe to repeat the request.
    LogUnavailable,
    /// The daemon is overloaded. It is safe to repeat the request.
    Busy,
}

/// The body of an error response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Kind of error.
    pub kind: ProblemKind,
    /// Human-readable description of the error and its remedy.
    pub text: String,
}

impl Problem {
    /// Creates an error response.
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
