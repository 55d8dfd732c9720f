//! The interface between the admin server and the rest of the daemon.

use std::sync::Arc;

use marigold_api::Status;
use marigold_config::Trust;
use marigold_request::burn::BurnReport;
use tokio::runtime::Handle;

use super::LogSession;
use crate::Shared;

/// Provides the status of the mesh.
pub trait StatusSource: Send + Sync {
    /// Returns the daemons and the versions they hold, as this daemon knows them.
    fn status(&self) -> Status;
}

/// Provides the report on error budget burn.
pub trait BurnSource: Send + Sync {
    /// Returns this daemon's counts.
    fn burn(&self) -> BurnReport;
}

/// Provides the metrics.
pub trait MetricsSource: Send + Sync {
    /// Returns the metrics in the Prometheus text format.
    fn render(&self) -> String;
}

/// Starts the daemon's graceful shutdown.
pub trait DrainSink: Send + Sync {
    /// Stops accepting new work; idempotent.
    fn drain(&self);
}

/// The dependencies of [`AdminServer`](super::AdminServer).
#[derive(Clone)]
pub struct AdminParts {
    /// The state shared by all parts of the daemon.
    pub shared: Arc<Shared>,
    /// The roots of trust of the mesh.
    pub trust: Trust,
    /// Access to the platform's log.
    pub session: Arc<LogSession>,
    /// The runtime that runs the requests to the log.
    pub runtime: Handle,
    /// The status of the mesh.
    pub status: Arc<dyn StatusSource>,
    /// The report on error budget burn.
    pub burn: Arc<dyn BurnSource>,
    /// The metrics of the process.
    pub metrics: Arc<dyn MetricsSource>,
    /// Starts a graceful shutdown.
    pub drain: Arc<dyn DrainSink>,
}
