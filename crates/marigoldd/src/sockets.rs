//! The sockets that a daemon listens on.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::Arc;

use marigold_settings::Settings;

/// A socket that could not be bound.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("listen for {clients} at {address}: {reason}")]
pub struct SocketError {
    /// Who connects to the socket: `daemons`, `callers` or `operators`.
    pub clients: &'static str,
    /// The address from the settings.
    pub address: SocketAddr,
    /// The error text of the operating system, for example "address in use".
    pub reason: Arc<str>,
}

/// The bound sockets; tests bind port 0 and read the assigned port back.
#[derive(Debug)]
pub struct Sockets {
    /// The UDP socket for other daemons.
    pub peer: UdpSocket,
    /// The TCP listener for callers.
    pub caller: TcpListener,
    /// The TCP listener for operators and the backend server.
    pub admin: TcpListener,
}

impl Sockets {
    /// Binds the addresses in `settings`.
    ///
    /// # Errors
    ///
    /// When an address is in use or does not belong to this host.
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

fn fail(clients: &'static str, address: SocketAddr, error: &std::io::Error) -> SocketError {
    SocketError {
        clients,
        address,
        reason: Arc::from(error.to_string()),
    }
}
