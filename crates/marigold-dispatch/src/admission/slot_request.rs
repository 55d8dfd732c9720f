//! Requests for a slot of the backend server.

use marigold_types::WorkspaceName;
use tokio::time::Instant;

use crate::{CallKind, Precedence, Rank};

/// A request for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotRequest {
    /// The kind of the request.
    pub kind: CallKind,
    /// The workspace of the caller, or `None` if the route is open or the configuration has no workspaces.
    pub workspace: Option<WorkspaceName>,
    /// The precedence of the workspace, which goes before the rank.
    pub precedence: Precedence,
    /// The priority of the request.
    pub rank: Rank,
    /// The time after which a response no longer has its full value.
    pub objective: Instant,
    /// The time at which the caller stops waiting.
    pub deadline: Instant,
}
