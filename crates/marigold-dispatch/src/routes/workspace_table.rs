//! The workspaces of a configuration version, found by the keys of their callers.

use std::collections::HashMap;
use std::sync::Arc;

use marigold_types::{Digest, WorkspaceName};

use crate::Workspace;

/// Workspaces by the digests of their keys. The keys themselves are not kept, and the time of a lookup by digest says
/// nothing about them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct WorkspaceTable {
    by_key: HashMap<Digest, Arc<Workspace>>,
    by_name: HashMap<WorkspaceName, Arc<Workspace>>,
    has_quotas: bool,
}

impl WorkspaceTable {
    /// Adds a workspace with its `keys`.
    pub fn insert<'a>(&mut self, workspace: Workspace, keys: impl IntoIterator<Item = &'a str>) {
        self.has_quotas |= workspace.quota.is_some();
        let workspace = Arc::new(workspace);
        for key in keys {
            let digest = Digest::of(key.as_bytes());
            self.by_key.insert(digest, workspace.clone());
        }
        self.by_name.insert(workspace.name.clone(), workspace);
    }

    /// Returns the workspace that holds the key with `digest`.
    #[must_use]
    pub fn of_key(&self, digest: &Digest) -> Option<&Arc<Workspace>> {
        self.by_key.get(digest)
    }

    /// Returns the workspace called `name`.
    #[must_use]
    pub fn get(&self, name: &WorkspaceName) -> Option<&Arc<Workspace>> {
        self.by_name.get(name)
    }

    /// Returns whether any workspace has a quota.
    #[must_use]
    pub fn has_quotas(&self) -> bool {
        self.has_quotas
    }

    /// Returns the number of workspaces.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Returns whether there are no workspaces.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}
