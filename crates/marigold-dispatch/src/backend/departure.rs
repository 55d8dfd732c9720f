//! Departures of backend servers, as daemons publish them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// An instance of a backend server that has said that it leaves. A daemon that starts again learns of it from its record in
/// the store, since neither a health check nor a late announcement is sure to tell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// The identifier of the instance.
    pub identity: Arc<str>,
    /// The start time of the instance in milliseconds, by its own clock, if it was announced.
    pub started_ms: Option<u64>,
}
