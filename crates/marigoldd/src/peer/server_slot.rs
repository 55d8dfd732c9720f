//! The current server of incoming streams.

use std::sync::{Arc, PoisonError, RwLock};

use super::StreamServer;

/// Holds the server of incoming streams; empty before it is set and after the daemon shuts down.
#[derive(Clone, Default)]
pub(super) struct ServerSlot {
    server: Arc<RwLock<Option<Arc<dyn StreamServer>>>>,
}

impl ServerSlot {
    pub(super) fn set(&self, server: Arc<dyn StreamServer>) {
        *self.server.write().unwrap_or_else(PoisonError::into_inner) = Some(server);
    }

    /// Drops the server, which breaks the reference cycle between it and the connections.
    pub(super) fn clear(&self) {
        *self.server.write().unwrap_or_else(PoisonError::into_inner) = None;
    }

    pub(super) fn get(&self) -> Option<Arc<dyn StreamServer>> {
        let server = self.server.read().unwrap_or_else(PoisonError::into_inner);
        server.clone()
    }
}
