//! Options of TCP connections.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// How long a quiet connection waits for its first probe, and between probes.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection counts as dead.
const PROBES: u32 = 3;

/// Sends small messages at once, and lets the system notice a dead peer; `silence` is how long sent
/// bytes may stay unacknowledged.
///
/// # Errors
///
/// When the system refuses an option.
pub fn set_socket_options(stream: &TcpStream, silence: Duration) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(silence))
}
