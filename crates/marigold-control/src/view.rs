//! What the request path reads.

use std::collections::BTreeMap;
use std::sync::Arc;

use marigold_config::Config;
use marigold_types::{InstanceId, ServiceName};

use crate::Endpoint;

/// A published snapshot of the board; it is swapped whole and never changed.
#[derive(Debug, Clone)]
pub struct View {
    /// The daemon's own life.
    pub local: InstanceId,
    /// Whether the daemon may serve: it holds at least what it is known to have held before.
    pub serving: bool,
    /// The configuration in force here.
    pub config: Arc<Config>,
    /// The backend servers of each service, ordered by address.
    pub endpoints: BTreeMap<ServiceName, Arc<[Endpoint]>>,
}

impl View {
    /// Returns the backend servers of `service`, whatever their state.
    #[must_use]
    pub fn endpoints_of(&self, service: &ServiceName) -> &[Endpoint] {
        self.endpoints.get(service).map_or(&[], AsRef::as_ref)
    }
}
