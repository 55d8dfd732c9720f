//! Transport parameters of the connections between daemons. See docs/design/peer-protocol.md.

use std::sync::Arc;
use std::time::Duration;

use quinn::congestion::CubicConfig;
use quinn::{AckFrequencyConfig, IdleTimeout, TransportConfig, VarInt};

use super::LinkKind;

/// The round trip that is assumed before the first one is measured.
const INITIAL_RTT: Duration = Duration::from_millis(20);
/// How long a peer may hold an acknowledgement back.
const ACK_DELAY: Duration = Duration::from_millis(5);
/// How long a quiet connection is kept.
const CONTROL_IDLE_MILLIS: u32 = 60_000;
const CALL_IDLE_MILLIS: u32 = 30_000;
/// How many requests one daemon may have open at another.
const CALL_STREAMS: u32 = 2_048;
/// A control connection carries one stream in each direction.
const CONTROL_STREAMS: u32 = 1;
/// Bytes that may wait unread on one stream; it bounds the memory of a slow reader.
const STREAM_WINDOW: u32 = 256 << 10;
/// Bytes that may wait unread on one connection.
const CONNECTION_WINDOW: u32 = 8 << 20;
/// Bytes that may wait unacknowledged on one connection.
const SEND_WINDOW: u64 = 4 << 20;
/// Bytes in flight before the first acknowledgement.
const INITIAL_WINDOW: u64 = 128 << 10;
/// Bytes of probes that may wait; they are never read.
const DATAGRAM_BUFFER: usize = 1 << 10;

/// Returns the parameters of the dialling side of a connection of `kind`.
pub(super) fn dialling(kind: LinkKind) -> Arc<TransportConfig> {
    let mut config = common();
    match kind {
        LinkKind::Control => {
            config.max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(
                CONTROL_IDLE_MILLIS,
            ))));
            // Probes for a larger packet size would cost more than the messages save.
            config.mtu_discovery_config(None);
            config.max_concurrent_bidi_streams(VarInt::from_u32(0));
        }
        LinkKind::Call => {
            config.max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(CALL_IDLE_MILLIS))));
            config.max_concurrent_bidi_streams(VarInt::from_u32(0));
        }
    }
    Arc::new(config)
}

/// Returns the parameters of the accepting side, which cannot know the kind beforehand.
pub(super) fn accepting() -> Arc<TransportConfig> {
    let mut config = common();
    config.max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(
        CONTROL_IDLE_MILLIS,
    ))));
    config.mtu_discovery_config(None);
    config.max_concurrent_bidi_streams(VarInt::from_u32(CALL_STREAMS));
    Arc::new(config)
}

fn common() -> TransportConfig {
    let mut acks = AckFrequencyConfig::default();
    acks.max_ack_delay(Some(ACK_DELAY));
    let mut congestion = CubicConfig::default();
    congestion.initial_window(INITIAL_WINDOW);
    let mut config = TransportConfig::default();
    config.initial_rtt(INITIAL_RTT);
    config.ack_frequency_config(Some(acks));
    config.congestion_controller_factory(Arc::new(congestion));
    config.max_concurrent_uni_streams(VarInt::from_u32(CONTROL_STREAMS));
    config.stream_receive_window(VarInt::from_u32(STREAM_WINDOW));
    config.receive_window(VarInt::from_u32(CONNECTION_WINDOW));
    config.send_window(SEND_WINDOW);
    config.datagram_receive_buffer_size(Some(DATAGRAM_BUFFER));
    config
}
