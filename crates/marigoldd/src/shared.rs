//! What the parts of one daemon share.

use std::sync::Arc;

use arc_swap::ArcSwap;
use marigold_auth::MeshKey;
use marigold_control::{Event, View};
use marigold_log::PlatformLog;
use marigold_settings::Settings;
use marigold_types::InstanceId;
use tokio::sync::{mpsc, watch};

use crate::BackendServer;

/// The daemon's blackboard between its parts; each field has one writer.
pub struct Shared {
    /// The settings it was started with.
    pub settings: Settings,
    /// Its own life.
    pub local: InstanceId,
    /// The snapshot for the request path; written by the control loop.
    pub view: ArcSwap<View>,
    /// The backend server beside it; written by the admin side on announcements.
    pub server: watch::Sender<Option<BackendServer>>,
    /// Whether the backend server answers its probes; written by the prober.
    pub healthy: watch::Sender<bool>,
    /// Whether the daemon is leaving; written by the shutdown.
    pub draining: watch::Sender<bool>,
    /// The platform's log.
    pub log: Arc<dyn PlatformLog>,
    /// The way into the control loop.
    pub events: mpsc::Sender<Event>,
    /// The secret for request keys.
    pub mesh_key: MeshKey,
}
