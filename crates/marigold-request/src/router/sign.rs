//! What one call says of a backend server.

/// What a call says of the backend server's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sign {
    /// It works.
    Good,
    /// It fails.
    Bad,
    /// It says nothing either way.
    None,
}
