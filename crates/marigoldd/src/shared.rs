//! State shared by the parts of one daemon.

use std::sync::Arc;

use arc_swap::ArcSwap;
use marigold_auth::MeshKey;
use marigold_control::{Event, View};
use marigold_log::PlatformLog;
use marigold_settings::Settings;
use marigold_types::InstanceId;
use tokio::sync::{mpsc, watch};

use crate::BackendServer;

/// The state shared by the parts of a daemon; each field has a single writer.
pub struct Shared {
    /// The settings that the daemon was started with.
    pub settings: Settings,
    /// The daemon's own instance.
    pub local: InstanceId,
    /// The snapshot for the request path; written by the control loop.
    pub view: ArcSwap<View>,
    /// The announced backend server; written by the admin server.
    pub server: watch::Sender<Option<BackendServer>>,
    /// Whether the backend server passes its health probes; written by the prober.
    pub healthy: watch::Sender<bool>,
    /// Whether the daemon is draining; written by
    /// [`RequestSide::signal`](crate::RequestSide::signal).
    pub draining: watch::Sender<bool>,
    /// The platform's log.
    pub log: Arc<dyn PlatformLog>,
    /// The sender of events to the control loop.
    pub events: mpsc::Sender<Event>,
    /// The secret that authenticates request keys.
    pub mesh_key: MeshKey,
}
