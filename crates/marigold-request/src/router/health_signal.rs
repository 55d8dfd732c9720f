//! Input to passive health checking.

/// What the result of a call implies about the health of its backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthSignal {
    /// The backend server is healthy.
    Success,
    /// The backend server is failing.
    Failure,
    /// The result says nothing about its health.
    Neutral,
}
