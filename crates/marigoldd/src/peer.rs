//! QUIC connections between daemons, with mutual TLS.
//!
//! See docs/design/peer-protocol.md.

pub mod codec;

mod acceptor;
mod call_links;
mod call_stream;
mod control_link;
mod control_links;
mod dialler;
mod error;
mod link_kind;
mod link_monitor;
mod meters;
mod peer_link;
mod peer_tls;
mod quic_body;
mod quic_peers;
mod registry;
mod sender;
mod server_slot;
mod stream_server;
mod traffic;
mod transport;

pub use call_stream::{CallSend, CallStream, IncomingStream, RESET_TRUNCATED};
pub use error::PeerError;
pub use link_kind::LinkKind;
pub use link_monitor::LinkMonitor;
pub use meters::MessageCount;
pub use peer_link::{PeerLink, PendingRequest};
pub use peer_tls::PeerTls;
pub use quic_body::{BodyError, PumpError, QuicBody, pump};
pub use quic_peers::QuicPeers;
pub use registry::{StreamGuard, Usage};
pub use sender::PeerSender;
pub use stream_server::StreamServer;
pub use traffic::Traffic;
