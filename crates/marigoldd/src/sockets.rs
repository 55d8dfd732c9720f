//! The sockets that a daemon listens on.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::Arc;

use marigold_settings::Settings;

/// A socket that could not be bound.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("listen for {side} at {address}: {reason}")]
pub struct SocketError {
    /// Whom the socket is for.
    pub side: &'static str,
    /// The address that was asked for.
    pub address: SocketAddr,
    /// Why it could not be bound, as "address in use".
    pub reason: Arc<str>,
}

/// Bound sockets; a test binds port 0 and reads back which port it got.
#[derive(Debug)]
pub struct Sockets {
    /// For other daemons, over UDP.
    pub peer: UdpSocket,
    /// For callers, over TCP.
    pub caller: TcpListener,
    /// For operators and the backend server, over TCP.
    pub admin: TcpListener,
}

impl Sockets {
    /// Binds what `settings` name.
    ///
    /// # Errors
    ///
    /// When an address is in use or not this machine's.
    pub fn bind(settings: &Settings) -> Result<Self, SocketError> {
        let peer = settings.daemon.address.0;
        let caller = settings.caller.listen;
        let admin = settings.admin.listen;
        Ok(Self {
            peer: UdpSocket::bind(peer).map_err(|error| fail("daemons", peer, &error))?,
            caller: TcpListener::bind(caller).map_err(|error| fail("callers", caller, &error))?,
            admin: TcpListener::bind(admin).map_err(|error| fail("operators", admin, &error))?,
        })
    }
}

fn fail(side: &'static str, address: SocketAddr, error: &std::io::Error) -> SocketError {
    SocketError {
        side,
        address,
        reason: Arc::from(error.to_string()),
    }
}
