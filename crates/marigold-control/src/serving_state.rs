//! Whether the daemon may serve.

/// How far the daemon trusts what it holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServingState {
    /// It has started and does not know yet what its address held before.
    Starting,
    /// It was paused and has not refreshed what it holds.
    Stale,
    /// It serves.
    Serving,
}
