//! The configuration of a workspace.

use marigold_types::WorkspaceName;

use crate::{Precedence, RequestQuota};

/// A workspace, as the configuration describes it. Its keys are in the [`WorkspaceTable`](crate::WorkspaceTable).
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// The name, which backend servers receive with each request.
    pub name: WorkspaceName,
    /// The precedence of its requests over those of other workspaces.
    pub precedence: Precedence,
    /// The quota that all daemons keep together, or `None` if its requests are not limited.
    pub quota: Option<RequestQuota>,
}
