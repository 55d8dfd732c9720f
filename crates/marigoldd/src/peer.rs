//! Connections between daemons, over QUIC with certificates on both ends.

mod error;
mod sender;

pub use error::PeerError;
pub use sender::PeerSender;
