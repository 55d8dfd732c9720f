//! Opens connections to other daemons.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use marigold_auth::{AuthError, daemon_name};
use marigold_types::{Address, Interval};
use quinn::{ClientConfig, Connection, Endpoint};
use tokio::time::{Instant, timeout};

use super::link_monitor::LinkMonitor;
use super::registry::Registry;
use super::{LinkKind, PeerError, PeerLink, PeerTls, codec};

/// How long a handshake may take, longer than most deadlines so that a storm can pass.
pub(super) const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);
/// How long the handshake may take that a request waits for, so that it can go elsewhere.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// How often a new port may be taken; it bounds the ports of a daemon among many silent peers.
const PORT_INTERVAL: Duration = Duration::from_secs(1);

/// Whether a connection goes out from the port that the daemon listens at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Port {
    /// The listening port.
    Usual,
    /// Another port, since something on the way has lost track of the usual one.
    Fresh,
}

/// Dials other daemons and checks their certificates.
pub(super) struct Dialler {
    endpoint: Endpoint,
    configs: [ClientConfig; 2],
    registry: Arc<Registry>,
    local: Address,
    silence: Interval,
    spare: Mutex<Option<(Instant, Endpoint)>>,
}

impl Dialler {
    pub(super) fn new(
        endpoint: Endpoint,
        tls: &PeerTls,
        registry: Arc<Registry>,
        local: Address,
        silence: Interval,
    ) -> Result<Self, AuthError> {
        Ok(Self {
            endpoint,
            configs: [tls.client(LinkKind::Control)?, tls.client(LinkKind::Call)?],
            registry,
            local,
            silence,
            spare: Mutex::default(),
        })
    }

    /// Opens a connection of `kind` to the daemon at `to`.
    pub(super) async fn dial(
        &self,
        to: Address,
        kind: LinkKind,
        port: Port,
    ) -> Result<PeerLink, PeerError> {
        let error = |reason: String| PeerError {
            step: "connect",
            peer: to,
            reason: Arc::from(reason),
            sent: false,
        };
        let endpoint = match port {
            Port::Usual => self.endpoint.clone(),
            Port::Fresh => self.fresh().map_err(|e| error(e.to_string()))?,
        };
        let config = self.configs[kind.index()].clone();
        let connecting = endpoint
            .connect_with(config, to.0, &daemon_name(to))
            .map_err(|e| error(e.to_string()))?;
        let limit = match kind {
            LinkKind::Control => HANDSHAKE_TIMEOUT,
            LinkKind::Call => CALL_TIMEOUT,
        };
        let connection = timeout(limit, connecting)
            .await
            .map_err(|_| error("the handshake took too long".to_owned()))?
            .map_err(|e| error(e.to_string()))?;
        if kind == LinkKind::Call {
            self.greet(&connection).await.map_err(error)?;
        }
        let usage = self.registry.add(&connection, kind);
        Ok(PeerLink {
            connection,
            usage,
            monitor: Arc::new(LinkMonitor::new(self.silence)),
        })
    }

    /// Says who has dialled, which the certificate proves.
    async fn greet(&self, connection: &Connection) -> Result<(), String> {
        let greeting = codec::encode(&self.local).map_err(|e| e.to_string())?;
        let mut stream = connection.open_uni().await.map_err(|e| e.to_string())?;
        let written = stream.write_all(&greeting).await;
        written.map_err(|e| e.to_string())?;
        stream.finish().map_err(|e| e.to_string())
    }

    /// Returns an endpoint at a port that was not used before, or lately.
    fn fresh(&self) -> std::io::Result<Endpoint> {
        let mut spare = self.spare.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((since, endpoint)) = spare.as_ref()
            && since.elapsed() < PORT_INTERVAL
        {
            return Ok(endpoint.clone());
        }
        let local = self.endpoint.local_addr()?;
        let endpoint = Endpoint::client(SocketAddr::new(local.ip(), 0))?;
        *spare = Some((Instant::now(), endpoint.clone()));
        Ok(endpoint)
    }
}
