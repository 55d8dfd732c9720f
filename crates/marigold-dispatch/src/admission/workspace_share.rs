//! The slot time that one workspace has asked for and used.

use crate::Precedence;

/// Recent slot time of a workspace, in seconds weighted by age; see [`WorkspaceShares`](crate::admission::workspace_shares::WorkspaceShares).
#[derive(Debug, Clone, Copy, Default)]
pub struct WorkspaceShare {
    pub precedence: Precedence,
    /// Slot time that its requests would take.
    pub asked: f64,
    /// Slot time of those that got a slot.
    pub used: f64,
}
