//! Socket options of TCP connections.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Idle time before the first keepalive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which the connection fails.
const MAX_KEEPALIVE_PROBES: u32 = 3;

/// Disables Nagle's algorithm, so that small messages are sent immediately, and enables the detection of dead
/// peers. The connection fails once sent bytes have been unacknowledged for `unacked_timeout`.
///
/// # Errors
///
/// If the operating system rejects an option.
pub fn set_socket_options(stream: &TcpStream, unacked_timeout: Duration) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(MAX_KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(unacked_timeout))
}
