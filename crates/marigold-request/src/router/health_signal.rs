//! What one call says of a backend server.

/// What a call says of the backend server's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthSignal {
    /// It works.
    Success,
    /// It fails.
    Failure,
    /// It says nothing either way.
    Neutral,
}
