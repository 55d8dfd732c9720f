//! QUIC transport parameters of the connections between daemons. See docs/design/peer-protocol.md.

use std::sync::Arc;
use std::time::Duration;

use quinn::congestion::CubicConfig;
use quinn::{AckFrequencyConfig, IdleTimeout, TransportConfig, VarInt};

use super::LinkKind;

/// The assumed round-trip time before the first sample.
const INITIAL_RTT: Duration = Duration::from_millis(20);
/// How long a peer may delay an acknowledgement.
const ACK_DELAY: Duration = Duration::from_millis(5);
/// The idle timeout of a control connection, and of every accepted one.
const CONTROL_IDLE_TIMEOUT_MILLIS: u32 = 60_000;
/// The idle timeout of a call connection at the dialling side.
const CALL_IDLE_TIMEOUT_MILLIS: u32 = 30_000;
/// The maximum number of concurrent requests from one daemon to another.
const MAX_CALL_STREAMS: u32 = 2_048;
/// A control connection carries one stream in each direction.
const MAX_CONTROL_STREAMS: u32 = 1;
/// Unread bytes allowed on one stream, which limits the memory used for a slow reader.
const STREAM_WINDOW_BYTES: u32 = 256 << 10;
/// Unread bytes allowed on one connection.
const CONNECTION_WINDOW_BYTES: u32 = 8 << 20;
/// Unacknowledged bytes allowed on one connection.
const SEND_WINDOW_BYTES: u64 = 4 << 20;
/// The initial congestion window.
const INITIAL_WINDOW_BYTES: u64 = 128 << 10;
/// The receive buffer for probe datagrams, which are never read.
const DATAGRAM_BUFFER_BYTES: usize = 1 << 10;

/// Returns the parameters for opening a connection of `kind`.
pub(super) fn dialling(kind: LinkKind) -> Arc<TransportConfig> {
    let mut config = common();
    match kind {
        LinkKind::Control => {
            config.max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(
                CONTROL_IDLE_TIMEOUT_MILLIS,
            ))));
            // MTU probes would cost more bytes than larger packets save.
            config.mtu_discovery_config(None);
            config.max_concurrent_bidi_streams(VarInt::from_u32(0));
        }
        LinkKind::Call => {
            config.max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(
                CALL_IDLE_TIMEOUT_MILLIS,
            ))));
            config.max_concurrent_bidi_streams(VarInt::from_u32(0));
        }
    }
    Arc::new(config)
}

/// Returns the parameters for accepting a connection, whose kind is not known in advance.
pub(super) fn accepting() -> Arc<TransportConfig> {
    let mut config = common();
    config.max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(
        CONTROL_IDLE_TIMEOUT_MILLIS,
    ))));
    config.mtu_discovery_config(None);
    config.max_concurrent_bidi_streams(VarInt::from_u32(MAX_CALL_STREAMS));
    Arc::new(config)
}

fn common() -> TransportConfig {
    let mut acks = AckFrequencyConfig::default();
    acks.max_ack_delay(Some(ACK_DELAY));
    let mut congestion = CubicConfig::default();
    congestion.initial_window(INITIAL_WINDOW_BYTES);
    let mut config = TransportConfig::default();
    config.initial_rtt(INITIAL_RTT);
    config.ack_frequency_config(Some(acks));
    config.congestion_controller_factory(Arc::new(congestion));
    config.max_concurrent_uni_streams(VarInt::from_u32(MAX_CONTROL_STREAMS));
    config.stream_receive_window(VarInt::from_u32(STREAM_WINDOW_BYTES));
    config.receive_window(VarInt::from_u32(CONNECTION_WINDOW_BYTES));
    config.send_window(SEND_WINDOW_BYTES);
    config.datagram_receive_buffer_size(Some(DATAGRAM_BUFFER_BYTES));
    config
}
