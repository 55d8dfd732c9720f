//! Bounds what a peer of the operators' side can take up.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt, copy};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

/// The most bytes that are taken from one connection: a body of the largest size with its head.
const MAX_REQUEST_BYTES: u64 = 1_100_000;
/// How many connections other hosts may hold together, and this host.
const MAX_CONNECTIONS: usize = 32;
/// The pause after a failed accept, as when no file descriptor is left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Which peer stands behind each connection of the gate to the server.
#[derive(Debug, Clone, Default)]
pub struct Peers(Arc<Mutex<HashMap<u16, SocketAddr>>>);

impl Peers {
    /// Returns the peer behind a connection from `inner`; none when it did not come by the gate.
    #[must_use]
    pub fn find(&self, inner: SocketAddr) -> Option<SocketAddr> {
        if inner.ip().to_canonical() != IpAddr::V4(Ipv4Addr::LOCALHOST) {
            return None;
        }
        self.lock().get(&inner.port()).copied()
    }

    fn enter(&self, port: u16, peer: SocketAddr) -> Entry {
        self.lock().insert(port, peer);
        Entry {
            peers: self.clone(),
            port,
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<u16, SocketAddr>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Forgets a peer when its connection ends.
struct Entry {
    peers: Peers,
    port: u16,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.peers.lock().remove(&self.port);
    }
}

/// Takes connections and hands their bytes to the server, up to a size, a time and a number.
///
/// The server library bounds neither the size of a request's head nor the time that a silent
/// connection keeps a thread for. The gate counts bytes and seconds and looks into nothing.
#[derive(Debug, Clone)]
pub struct Gate {
    /// Where the server listens, on loopback.
    pub inner: SocketAddr,
    /// How long a connection may last.
    pub lifetime: Duration,
    /// Who stands behind each connection.
    pub peers: Peers,
    /// Ends the gate and its connections.
    pub stop: CancellationToken,
}

impl Gate {
    /// Takes connections until it is stopped.
    pub async fn run(self, listener: TcpListener) {
        let stop = self.stop.clone();
        stop.run_until_cancelled(self.accept(listener)).await;
    }

    async fn accept(self, listener: TcpListener) {
        // Other hosts cannot keep the backend server from announcing itself.
        let near = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        let far = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        loop {
            let Ok((stream, peer)) = listener.accept().await else {
                sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let local = stream.local_addr().map(|local| local.ip());
            let own =
                peer.ip().to_canonical().is_loopback() || local.is_ok_and(|ip| ip == peer.ip());
            let permits = if own { &near } else { &far };
            let Ok(permit) = permits.clone().try_acquire_owned() else {
                metrics::counter!("marigold_admin_connections_refused_total").increment(1);
                continue;
            };
            let gate = self.clone();
            tokio::spawn(async move {
                let _permit = permit;
                // A connection that fails or lasts too long is closed, and its peer sees that.
                let pass = timeout(gate.lifetime, gate.pass(stream, peer));
                let _ = gate.stop.run_until_cancelled(pass).await;
            });
        }
    }

    async fn pass(&self, mut stream: TcpStream, peer: SocketAddr) -> std::io::Result<()> {
        let mut inner = TcpStream::connect(self.inner).await?;
        let _entry = self.peers.enter(inner.local_addr()?.port(), peer);
        let (from_peer, mut to_peer) = stream.split();
        let (mut from_server, mut to_server) = inner.split();
        let request = async {
            copy(&mut from_peer.take(MAX_REQUEST_BYTES), &mut to_server).await?;
            to_server.shutdown().await?;
            std::future::pending::<std::io::Result<u64>>().await
        };
        // The answer's end is the connection's end.
        tokio::select! {
            _ = copy(&mut from_server, &mut to_peer) => {}
            failed = request => { failed?; }
        }
        to_peer.shutdown().await
    }
}
