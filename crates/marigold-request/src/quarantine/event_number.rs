//! The order of what a daemon sees of its backend server.

/// Numbers the sends to the backend server and the ends of runs without an answer, in their order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct EventNumber(pub(super) u64);
