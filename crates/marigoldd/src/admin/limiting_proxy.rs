//! Limits the resources that a peer of the admin server can use.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt, copy};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

/// The maximum number of bytes read from one connection: the largest body and its head.
const MAX_REQUEST_BYTES: u64 = 1_100_000;
/// The maximum number of open connections per pool: one pool for this host, one for all others.
const MAX_CONNECTIONS_PER_POOL: usize = 32;
/// The delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maps the source port of each connection from the proxy to the server to the peer's address.
#[derive(Debug, Clone, Default)]
pub struct PeerMap(Arc<Mutex<HashMap<u16, SocketAddr>>>);

impl PeerMap {
    /// Returns the peer whose connection is proxied from `source`, or `None` if the connection
    /// bypasses the proxy.
    #[must_use]
    pub fn find(&self, source: SocketAddr) -> Option<SocketAddr> {
        if source.ip().to_canonical() != IpAddr::V4(Ipv4Addr::LOCALHOST) {
            return None;
        }
        self.lock().get(&source.port()).copied()
    }

    fn insert(&self, port: u16, peer: SocketAddr) -> PeerEntry {
        self.lock().insert(port, peer);
        PeerEntry {
            peers: self.clone(),
            port,
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<u16, SocketAddr>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Removes the peer from the map when its connection closes.
struct PeerEntry {
    peers: PeerMap,
    port: u16,
}

impl Drop for PeerEntry {
    fn drop(&mut self) {
        self.peers.lock().remove(&self.port);
    }
}

/// Proxies connections to the server and limits their size, duration and number.
///
/// The server library limits neither the size of a request head nor how long an idle connection
/// occupies a thread. The proxy does not parse what it forwards.
#[derive(Debug, Clone)]
pub struct LimitingProxy {
    /// The loopback address that the server listens on.
    pub server: SocketAddr,
    /// The maximum duration of a connection.
    pub lifetime: Duration,
    /// The peer of each proxied connection; the request handlers read it.
    pub peers: PeerMap,
    /// Stops the proxy and closes its connections.
    pub stop: CancellationToken,
}

impl LimitingProxy {
    /// Accepts connections until the proxy is stopped.
    pub async fn run(self, listener: TcpListener) {
        let stop = self.stop.clone();
        stop.run_until_cancelled(self.accept(listener)).await;
    }

    async fn accept(self, listener: TcpListener) {
        // Separate pools, so that other hosts cannot keep the backend server from announcing
        // itself.
        let local_permits = Arc::new(Semaphore::new(MAX_CONNECTIONS_PER_POOL));
        let remote_permits = Arc::new(Semaphore::new(MAX_CONNECTIONS_PER_POOL));
        loop {
            let Ok((stream, peer)) = listener.accept().await else {
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let local = stream.local_addr().map(|local| local.ip());
            let is_local =
                peer.ip().to_canonical().is_loopback() || local.is_ok_and(|ip| ip == peer.ip());
            let permits = if is_local {
                &local_permits
            } else {
                &remote_permits
            };
            let Ok(permit) = permits.clone().try_acquire_owned() else {
                metrics::counter!("marigold_admin_connections_refused_total").increment(1);
                continue;
            };
            let proxy = self.clone();
            tokio::spawn(async move {
                let _permit = permit;
                // A connection that fails or times out is closed, which the peer notices.
                let forward = timeout(proxy.lifetime, proxy.forward(stream, peer));
                let _ = proxy.stop.run_until_cancelled(forward).await;
            });
        }
    }

    async fn forward(&self, mut stream: TcpStream, peer: SocketAddr) -> std::io::Result<()> {
        let mut server = TcpStream::connect(self.server).await?;
        let _entry = self.peers.insert(server.local_addr()?.port(), peer);
        let (from_peer, mut to_peer) = stream.split();
        let (mut from_server, mut to_server) = server.split();
        let request = async {
            copy(&mut from_peer.take(MAX_REQUEST_BYTES), &mut to_server).await?;
            to_server.shutdown().await?;
            std::future::pending::<std::io::Result<u64>>().await
        };
        // The connection ends with the response.
        tokio::select! {
            _ = copy(&mut from_server, &mut to_peer) => {}
            failed = request => { failed?; }
        }
        to_peer.shutdown().await
    }
}
