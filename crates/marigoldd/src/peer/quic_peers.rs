//! All connections between one daemon and others.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use marigold_auth::AuthError;
use marigold_control::Event;
use marigold_types::{Address, Interval};
use quinn::{Endpoint, EndpointConfig, TokioRuntime, VarInt};
use tokio::sync::mpsc;

use super::acceptor::Acceptor;
use super::call_links::CallLinks;
use super::call_stream::{CallSend, CallStream};
use super::control_links::{ControlContext, ControlLinks};
use super::dialler::Dialler;
use super::meters::{MessageCount, Meters};
use super::registry::Registry;
use super::server_slot::ServerSlot;
use super::{PeerError, PeerLink, PeerSender, PeerTls, StreamServer, Traffic, codec};

const CLOSE_SHUTDOWN: VarInt = VarInt::from_u32(0);

/// The QUIC endpoint of a daemon and its connections.
pub struct QuicPeers {
    endpoint: Endpoint,
    local: Address,
    registry: Arc<Registry>,
    meters: Arc<Meters>,
    control: Arc<ControlLinks>,
    calls: CallLinks,
    server: ServerSlot,
}

impl QuicPeers {
    /// Starts the endpoint of the daemon at `local` on a bound `socket`. Control messages and
    /// failures go to `events`.
    ///
    /// A connection on which an answer is overdue for `silence` is probed, and replaced if the
    /// probe is not answered within `silence` either. Must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// If the certificate does not match its key, or the socket cannot be used.
    pub fn start(
        socket: UdpSocket,
        local: Address,
        tls: &PeerTls,
        silence: Interval,
        events: mpsc::Sender<Event>,
    ) -> Result<Arc<Self>, AuthError> {
        let config = EndpointConfig::new(Arc::new(tls.reset_key()));
        let runtime = Arc::new(TokioRuntime);
        let endpoint = Endpoint::new(config, Some(tls.server()?), socket, runtime);
        let endpoint = endpoint.map_err(|error| AuthError {
            step: "open peer endpoint",
            reason: Arc::from(error.to_string()),
        })?;
        let registry = Arc::new(Registry::new());
        let meters = Arc::new(Meters::new(local));
        let dialler = Arc::new(Dialler::new(
            endpoint.clone(),
            tls,
            registry.clone(),
            local,
            silence,
        )?);
        let control = ControlLinks::new(ControlContext {
            local,
            dialler: dialler.clone(),
            events,
            meters: meters.clone(),
        });
        let server = ServerSlot::default();
        let acceptor = Acceptor {
            registry: registry.clone(),
            meters: meters.clone(),
            control: control.clone(),
            silence,
            server: server.clone(),
        };
        tokio::spawn(Arc::new(acceptor).run(endpoint.clone()));
        Ok(Arc::new(Self {
            endpoint,
            local,
            registry,
            meters,
            control,
            calls: CallLinks::new(dialler),
            server,
        }))
    }

    /// Sets the server of streams that other daemons open. Until then streams get no answer.
    pub fn serve(&self, server: Arc<dyn StreamServer>) {
        self.server.set(server);
    }

    /// Returns the address of this daemon.
    #[must_use]
    pub fn local(&self) -> Address {
        self.local
    }

    /// Opens a stream to the daemon at `to`, over a new connection if no existing one may carry the
    /// request.
    ///
    /// # Errors
    ///
    /// If the daemon cannot be reached. Nothing was sent then.
    pub async fn open(&self, to: Address, idempotent: bool) -> Result<CallStream, PeerError> {
        let mut link = self.calls.get(to).await?;
        if !link.may_carry(idempotent) {
            self.calls.retire(to, &link);
            link = self.calls.get(to).await?;
        }
        let opened = link.connection.open_bi().await;
        let (send, receive) = opened.map_err(|error| PeerError {
            step: "open stream",
            peer: to,
            reason: Arc::from(error.to_string()),
            sent: false,
        })?;
        Ok(CallStream {
            send: CallSend::new(send),
            frames: codec::frames(receive),
            guard: link.usage.open(),
            link,
        })
    }

    /// Stops using a silent call connection for new requests.
    pub fn retire(&self, to: Address, link: &PeerLink) {
        self.meters.count_fault("silent call");
        self.calls.retire(to, link);
    }

    /// Returns the totals of all connections since the start.
    #[must_use]
    pub fn traffic(&self) -> Traffic {
        self.registry.traffic()
    }

    /// Returns the control messages sent since the start, by kind.
    #[must_use]
    pub fn messages(&self) -> BTreeMap<&'static str, MessageCount> {
        self.meters.sent()
    }

    /// Publishes the totals as metrics and returns them.
    pub fn publish_metrics(&self) -> Traffic {
        let traffic = self.traffic();
        self.meters.publish(&traffic);
        traffic
    }

    /// Closes all connections and waits until the peers have been notified.
    pub async fn close(&self) {
        self.control.stop();
        self.server.clear();
        self.endpoint.close(CLOSE_SHUTDOWN, b"leaving");
        self.endpoint.wait_idle().await;
    }

    /// Goes silent at once, like a process that was killed; for tests and stand-ins.
    pub fn abort(&self) {
        self.control.stop();
        self.server.clear();
        // Packets sent from now on come from another port, so that no peer accepts them. If no
        // socket can be bound, the peers are notified of the close, which cannot be avoided then.
        let any_port = SocketAddr::new(self.local.0.ip(), 0);
        if let Ok(socket) = UdpSocket::bind(any_port) {
            let _ = self.endpoint.rebind(socket);
        }
        self.endpoint.close(CLOSE_SHUTDOWN, b"");
    }
}

#[async_trait]
impl PeerSender for QuicPeers {
    async fn send(
        &self,
        to: Address,
        kind: &'static str,
        message: Vec<u8>,
    ) -> Result<(), PeerError> {
        self.control.send(to, kind, Bytes::from(message))
    }
}
