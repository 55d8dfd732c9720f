//! Accepts the connections that other daemons open.

use std::sync::{Arc, OnceLock};

use marigold_types::{Address, Interval};
use quinn::crypto::rustls::HandshakeData;
use quinn::{Connection, Endpoint, Incoming};
use tokio::sync::Semaphore;
use tokio::time::timeout;

use super::call_stream::{CallSend, IncomingStream};
use super::control_links::ControlLinks;
use super::dialler::HANDSHAKE_TIMEOUT;
use super::link_monitor::LinkMonitor;
use super::meters::Meters;
use super::peer_tls::is_identity;
use super::registry::Registry;
use super::server_slot::ServerSlot;
use super::{LinkKind, PeerLink, codec};

/// Concurrent handshakes; a dialler above this limit must first validate its address with a Retry
/// packet, so that a mass reconnect does not exhaust the daemon.
const MAX_CONCURRENT_HANDSHAKES: usize = 128;

/// Accepts connections and dispatches their streams.
pub(super) struct Acceptor {
    pub(super) registry: Arc<Registry>,
    pub(super) meters: Arc<Meters>,
    pub(super) control: Arc<ControlLinks>,
    pub(super) silence: Interval,
    pub(super) server: ServerSlot,
}

impl Acceptor {
    /// Accepts connections until the endpoint is closed.
    pub(super) async fn run(self: Arc<Self>, endpoint: Endpoint) {
        let handshakes = Arc::new(Semaphore::new(MAX_CONCURRENT_HANDSHAKES));
        while let Some(incoming) = endpoint.accept().await {
            let Ok(permit) = handshakes.clone().try_acquire_owned() else {
                self.request_retry(incoming);
                continue;
            };
            let acceptor = self.clone();
            tokio::spawn(async move {
                let connection = acceptor.handshake(incoming).await;
                drop(permit);
                if let Some(connection) = connection {
                    acceptor.serve(connection).await;
                }
            });
        }
    }

    /// Makes the dialler retry with a token that proves that it receives packets at its address.
    fn request_retry(&self, incoming: Incoming) {
        self.meters.count_fault("too many handshakes");
        if let Err(error) = incoming.retry() {
            error.into_incoming().refuse();
        }
    }

    async fn handshake(&self, incoming: Incoming) -> Option<Connection> {
        let connecting = incoming.accept().ok()?;
        if let Ok(Ok(connection)) = timeout(HANDSHAKE_TIMEOUT, connecting).await {
            return Some(connection);
        }
        self.meters.count_fault("handshake");
        None
    }

    async fn serve(self: &Arc<Self>, connection: Connection) {
        let data = connection
            .handshake_data()
            .and_then(|any| any.downcast::<HandshakeData>().ok());
        let kind = data
            .and_then(|data| data.protocol)
            .and_then(|protocol| LinkKind::from_protocol(&protocol));
        let Some(kind) = kind else {
            self.meters.count_fault("protocol");
            return;
        };
        let usage = self.registry.add(&connection, kind);
        let link = PeerLink {
            connection,
            usage,
            monitor: Arc::new(LinkMonitor::new(self.silence)),
        };
        match kind {
            LinkKind::Control => self.serve_control(link).await,
            LinkKind::Call => self.serve_calls(&link).await,
        }
    }

    async fn serve_control(&self, link: PeerLink) {
        let Some((from, frames)) = self.greeting(&link).await else {
            return;
        };
        self.control.adopt(from, link.clone());
        ControlLinks::read(self.control.context(), from, &link, frames).await;
    }

    /// Reads the address that the dialler claims, and checks it against the certificate.
    async fn greeting(&self, link: &PeerLink) -> Option<(Address, codec::Frames)> {
        let reading = async {
            let stream = link.connection.accept_uni().await.ok()?;
            let mut frames = codec::frames(stream);
            let from: Address = codec::read(&mut frames).await.ok()?;
            is_identity(link.connection.peer_identity(), from).then_some((from, frames))
        };
        let verified = timeout(HANDSHAKE_TIMEOUT, reading).await.ok().flatten();
        if verified.is_none() {
            self.meters.count_fault("greeting");
            link.close_protocol_error("the greeting does not fit the certificate");
        }
        verified
    }

    async fn serve_calls(self: &Arc<Self>, link: &PeerLink) {
        let from = Arc::new(OnceLock::new());
        let (acceptor, greeted, dialler_address) = (self.clone(), link.clone(), from.clone());
        tokio::spawn(async move {
            if let Some((address, _)) = acceptor.greeting(&greeted).await {
                // It cannot be set already: this is the only place that sets it.
                let _ = dialler_address.set(address);
            }
        });
        while let Ok((send, receive)) = link.connection.accept_bi().await {
            // Without a server the stream is dropped, so that the peer gets no answer.
            let Some(server) = self.server.get() else {
                continue;
            };
            let stream = IncomingStream {
                send: CallSend::new(send),
                frames: codec::frames(receive),
                guard: link.usage.open(),
                from: from.clone(),
            };
            let (meters, link) = (self.meters.clone(), link.clone());
            tokio::spawn(async move {
                if let Err(error) = server.serve(stream).await {
                    meters.count_fault("serve stream");
                    if matches!(error, codec::FrameError::Malformed(_)) {
                        link.close_protocol_error(&error.to_string());
                    }
                }
            });
        }
    }
}
