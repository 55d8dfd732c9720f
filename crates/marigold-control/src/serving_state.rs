//! Whether the daemon may serve requests.

/// Whether the daemon's configuration is recent enough to serve requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServingState {
    /// The daemon has started and does not know yet which version its address held before.
    Starting,
    /// The daemon was paused and has not refreshed its state since.
    Stale,
    /// The daemon serves requests.
    Serving,
}
