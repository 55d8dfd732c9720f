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

/// The limit on a handshake, longer than most deadlines so that a mass reconnect can complete.
pub(super) const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);
/// The limit on a handshake that requests wait for, short enough for a retry at another daemon.
const CALL_HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an ephemeral port is shared by new connections, which limits the number of ports that a
/// daemon uses when many peers are silent.
const EPHEMERAL_PORT_INTERVAL: Duration = Duration::from_secs(1);

/// The local port of an outgoing connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LocalPort {
    /// The port that the daemon listens on.
    Listening,
    /// Another port, since a middlebox may have lost the flow state of the listening port.
    Ephemeral,
}

/// Opens connections to other daemons and checks their certificates.
pub(super) struct Dialler {
    endpoint: Endpoint,
    configs: [ClientConfig; 2],
    registry: Arc<Registry>,
    local: Address,
    silence: Interval,
    /// The endpoint of the current ephemeral port, with the time at which it was opened.
    ephemeral: Mutex<Option<(Instant, Endpoint)>>,
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
            ephemeral: Mutex::default(),
        })
    }

    /// Opens a connection of `kind` to the daemon at `to`.
    pub(super) async fn dial(
        &self,
        to: Address,
        kind: LinkKind,
        port: LocalPort,
    ) -> Result<PeerLink, PeerError> {
        let error = |reason: String| PeerError {
            step: "connect",
            peer: to,
            reason: Arc::from(reason),
            sent: false,
        };
        let endpoint = match port {
            LocalPort::Listening => self.endpoint.clone(),
            LocalPort::Ephemeral => self
                .ephemeral_endpoint()
                .map_err(|e| error(e.to_string()))?,
        };
        let config = self.configs[kind.index()].clone();
        let connecting = endpoint
            .connect_with(config, to.0, &daemon_name(to))
            .map_err(|e| error(e.to_string()))?;
        let limit = match kind {
            LinkKind::Control => HANDSHAKE_TIMEOUT,
            LinkKind::Call => CALL_HANDSHAKE_TIMEOUT,
        };
        let connection = timeout(limit, connecting)
            .await
            .map_err(|_| error("the handshake timed out".to_owned()))?
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

    /// Sends the address of this daemon, which the peer checks against the certificate.
    async fn greet(&self, connection: &Connection) -> Result<(), String> {
        let greeting = codec::encode(&self.local).map_err(|e| e.to_string())?;
        let mut stream = connection.open_uni().await.map_err(|e| e.to_string())?;
        let written = stream.write_all(&greeting).await;
        written.map_err(|e| e.to_string())?;
        stream.finish().map_err(|e| e.to_string())
    }

    /// Returns an endpoint at an ephemeral port that was opened within [`EPHEMERAL_PORT_INTERVAL`].
    fn ephemeral_endpoint(&self) -> std::io::Result<Endpoint> {
        let mut ephemeral = self
            .ephemeral
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some((since, endpoint)) = ephemeral.as_ref()
            && since.elapsed() < EPHEMERAL_PORT_INTERVAL
        {
            return Ok(endpoint.clone());
        }
        let local = self.endpoint.local_addr()?;
        let endpoint = Endpoint::client(SocketAddr::new(local.ip(), 0))?;
        *ephemeral = Some((Instant::now(), endpoint.clone()));
        Ok(endpoint)
    }
}
