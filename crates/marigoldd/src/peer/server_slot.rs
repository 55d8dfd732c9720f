//! Where the connections find what serves their streams.

use std::sync::{Arc, PoisonError, RwLock};

use super::StreamServer;

/// Holds the server from its start until the daemon leaves.
#[derive(Clone, Default)]
pub(super) struct ServerSlot {
    server: Arc<RwLock<Option<Arc<dyn StreamServer>>>>,
}

impl ServerSlot {
    pub(super) fn set(&self, server: Arc<dyn StreamServer>) {
        *self.server.write().unwrap_or_else(PoisonError::into_inner) = Some(server);
    }

    /// Lets the server go, which holds the connections in its turn.
    pub(super) fn clear(&self) {
        *self.server.write().unwrap_or_else(PoisonError::into_inner) = None;
    }

    pub(super) fn get(&self) -> Option<Arc<dyn StreamServer>> {
        let server = self.server.read().unwrap_or_else(PoisonError::into_inner);
        server.clone()
    }
}
