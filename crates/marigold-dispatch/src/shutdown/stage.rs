//! The stages of a shutdown.

/// The stage of a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShutdownStage {
    /// Requests are accepted.
    Serving,
    /// Requests are accepted, and every response asks the caller to reconnect elsewhere.
    Draining,
    /// The daemon waits for requests that it accepted before, and accepts those that take no longer.
    Finishing,
    /// New requests are refused; requests in flight continue.
    Refusing,
    /// Requests in flight end with the outcome that is known.
    Concluding,
    /// The process can exit.
    Ended,
}

impl ShutdownStage {
    /// Returns whether every request is accepted.
    #[must_use]
    pub fn accepts_all(self) -> bool {
        matches!(self, Self::Serving | Self::Draining)
    }
}
