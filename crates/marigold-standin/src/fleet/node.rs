//! A daemon and its backend server.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use marigold_auth::{Authority, MeshKey};
use marigold_control::Counters;
use marigold_log::PlatformLog;
use marigold_settings::Settings;
use marigold_types::{Address, Version};
use marigoldd::{Daemon, DaemonParts, Secrets, Sockets};
use tokio::time::Instant;

use super::NodePlan;
use crate::StandinError;
use crate::backend::{BackendPlan, BackendStandin};

const REBIND_TIMEOUT: Duration = Duration::from_secs(20);
const REBIND_INTERVAL: Duration = Duration::from_millis(50);

/// A daemon with its backend server, and what is needed to restart it at the same addresses.
pub struct Node {
    plan: NodePlan,
    settings: Settings,
    secrets: Secrets,
    log: Arc<dyn PlatformLog>,
    daemon: Option<Daemon>,
    backend: Option<BackendStandin>,
}

/// Sockets of a node, bound before any node starts so that the seed addresses are known.
pub(super) struct NodeSockets {
    sockets: Sockets,
    peer: Address,
    caller: SocketAddr,
    admin: SocketAddr,
}

impl NodeSockets {
    pub(super) fn bind() -> Result<Self, StandinError> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let wrap = |error: std::io::Error| StandinError::new("listen", &any, &error);
        let peer = UdpSocket::bind(any).map_err(wrap)?;
        let caller = TcpListener::bind(any).map_err(wrap)?;
        let admin = TcpListener::bind(any).map_err(wrap)?;
        Ok(Self {
            peer: Address(peer.local_addr().map_err(wrap)?),
            caller: caller.local_addr().map_err(wrap)?,
            admin: admin.local_addr().map_err(wrap)?,
            sockets: Sockets {
                peer,
                caller,
                admin,
            },
        })
    }

    pub(super) fn peer(&self) -> Address {
        self.peer
    }
}

/// Settings and keys shared by all nodes of a mesh.
pub(super) struct NodeContext<'a> {
    pub(super) base: &'a Settings,
    pub(super) authority: &'a Authority,
    pub(super) mesh_key: &'a MeshKey,
    pub(super) log: &'a Arc<dyn PlatformLog>,
}

impl Node {
    pub(super) async fn start(
        context: &NodeContext<'_>,
        plan: NodePlan,
        bound: NodeSockets,
    ) -> Result<Self, StandinError> {
        let mut settings = context.base.clone();
        settings.daemon.address = bound.peer;
        settings.daemon.data_centre = plan.data_centre.clone();
        settings.daemon.region = plan.region.clone();
        settings.caller.listen = bound.caller;
        settings.admin.listen = bound.admin;
        let issued = context.authority.issue(bound.peer);
        let issued = issued.map_err(|error| StandinError::new("issue", &bound.peer, &error))?;
        let secrets = Secrets {
            authority: Arc::from(context.authority.to_credentials().certificate),
            certificate: Arc::from(issued.certificate),
            key: Arc::from(issued.key),
            mesh_key: Arc::from(context.mesh_key.to_file_text()),
        };
        let mut node = Self {
            plan,
            settings,
            secrets,
            log: context.log.clone(),
            daemon: None,
            backend: None,
        };
        node.start_daemon(bound.sockets)?;
        node.start_backend().await?;
        Ok(node)
    }

    fn start_daemon(&mut self, sockets: Sockets) -> Result<(), StandinError> {
        let parts = DaemonParts {
            settings: self.settings.clone(),
            sockets,
            secrets: self.secrets.clone(),
            log: self.log.clone(),
        };
        let daemon = Daemon::start(parts);
        let wrap = |error| StandinError::new("start daemon", &self.settings.daemon.address, &error);
        self.daemon = Some(daemon.map_err(wrap)?);
        Ok(())
    }

    async fn start_backend(&mut self) -> Result<(), StandinError> {
        let Some(plan) = &self.plan.backend else {
            return Ok(());
        };
        let plan = BackendPlan {
            egress: Some(self.caller_address()),
            ..plan.clone()
        };
        let mut backend = BackendStandin::start(plan).await?;
        backend.announce_to(self.admin_address());
        self.backend = Some(backend);
        Ok(())
    }

    /// Restarts the daemon at its addresses as a new instance and announces the backend server to
    /// it.
    ///
    /// # Errors
    ///
    /// Returns an error if an address stays in use for 20 s or the daemon does not start.
    pub async fn restart(&mut self) -> Result<(), StandinError> {
        // The sockets of the previous instance may still be closing.
        let until = Instant::now() + REBIND_TIMEOUT;
        let sockets = loop {
            match Sockets::bind(&self.settings) {
                Ok(sockets) => break sockets,
                Err(_) if Instant::now() < until => tokio::time::sleep(REBIND_INTERVAL).await,
                Err(error) => {
                    let address = &self.settings.daemon.address;
                    return Err(StandinError::new("listen", address, &error));
                }
            }
        };
        self.start_daemon(sockets)?;
        let admin = self.admin_address();
        if let Some(backend) = &mut self.backend {
            backend.announce_to(admin);
        }
        Ok(())
    }

    /// Withdraws the backend server, which then refuses new calls, and stops the daemon gracefully.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon does not accept the withdrawal.
    pub async fn stop(&mut self) -> Result<(), StandinError> {
        if let Some(backend) = &mut self.backend {
            backend.drain().await?;
        }
        if let Some(daemon) = self.daemon.take() {
            daemon.stop().await;
            // Dropping the admin server joins its threads, which would block the runtime.
            let dropped = tokio::task::spawn_blocking(move || drop(daemon)).await;
            dropped.map_err(|error| {
                StandinError::new("stop", &self.settings.daemon.address, &error)
            })?;
        }
        Ok(())
    }

    /// Terminates the daemon without warning; the backend server keeps its counters.
    pub fn abort(&mut self) {
        if let Some(daemon) = self.daemon.take() {
            daemon.abort();
            tokio::task::spawn_blocking(move || drop(daemon));
        }
        if let Some(backend) = &mut self.backend {
            backend.stop_announcing();
        }
    }

    /// Returns whether the daemon is running.
    #[must_use]
    pub fn is_up(&self) -> bool {
        self.daemon.is_some()
    }

    /// Returns the daemon, or `None` while it is down.
    #[must_use]
    pub fn daemon(&self) -> Option<&Daemon> {
        self.daemon.as_ref()
    }

    /// Returns the backend server, or `None` if the plan has none.
    #[must_use]
    pub fn backend(&self) -> Option<&BackendStandin> {
        self.backend.as_ref()
    }

    /// Returns the backend server mutably, to withdraw or announce it.
    #[must_use]
    pub fn backend_mut(&mut self) -> Option<&mut BackendStandin> {
        self.backend.as_mut()
    }

    /// Returns the listen address for callers.
    #[must_use]
    pub fn caller_address(&self) -> SocketAddr {
        self.settings.caller.listen
    }

    /// Returns the listen address for operators.
    #[must_use]
    pub fn admin_address(&self) -> SocketAddr {
        self.settings.admin.listen
    }

    /// Returns the listen address for other daemons.
    #[must_use]
    pub fn peer_address(&self) -> Address {
        self.settings.daemon.address
    }

    /// Returns the version that the daemon holds, or `None` while it is down.
    #[must_use]
    pub fn version(&self) -> Option<Version> {
        self.daemon
            .as_ref()
            .map(|daemon| daemon.view().config.version)
    }

    /// Returns whether the daemon is running and serves callers.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        let daemon = self.daemon.as_ref();
        daemon.is_some_and(|daemon| daemon.view().serving)
    }

    /// Returns the number of daemons in the member list, including itself; 0 while it is down.
    #[must_use]
    pub fn member_count(&self) -> usize {
        let daemon = self.daemon.as_ref();
        daemon.map_or(0, |daemon| daemon.status().members.len())
    }

    /// Returns the bytes of control messages sent since the daemon started, without encryption and
    /// framing.
    #[must_use]
    pub fn control_bytes(&self) -> u64 {
        let counters = self.counters();
        counters.sent.values().map(|kind| kind.bytes).sum()
    }

    /// Returns the number of known backend servers that are healthy and not draining.
    #[must_use]
    pub fn ready_backend_count(&self) -> usize {
        let Some(daemon) = &self.daemon else {
            return 0;
        };
        let members = daemon.status().members;
        let ready = members
            .iter()
            .filter(|member| member.service.is_some() && member.healthy && !member.draining);
        ready.count()
    }

    /// Returns the message counters of the daemon's control plane; empty while it is down.
    #[must_use]
    pub fn counters(&self) -> Counters {
        let daemon = self.daemon.as_ref();
        daemon.map_or_else(Counters::default, |daemon| daemon.status().counters)
    }

    /// Returns the bytes sent and received over control connections since the daemon started.
    #[must_use]
    pub fn link_bytes(&self) -> u64 {
        let daemon = self.daemon.as_ref();
        daemon.map_or(0, |daemon| daemon.traffic().control())
    }
}
