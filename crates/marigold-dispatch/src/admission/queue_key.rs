//! The queues in which requests wait for a slot.

use marigold_types::WorkspaceName;

use crate::{CallKind, Precedence, SlotRequest};

/// Each queue holds requests of one kind and workspace, either on time or late.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey {
    pub late: bool,
    pub kind: CallKind,
    pub precedence: Precedence,
    pub workspace: Option<WorkspaceName>,
}

impl QueueKey {
    /// Returns the queue of a request.
    pub fn of(request: &SlotRequest, late: bool) -> Self {
        Self {
            late,
            kind: request.kind.clone(),
            precedence: request.precedence,
            workspace: request.workspace.clone(),
        }
    }
}
