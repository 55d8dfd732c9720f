//! What the control side hears.

use std::time::Duration;

use marigold_log::{Batch, LogError, StreamName};
use marigold_types::{Address, LogOffset, ServiceName, SlotCount};

/// Something that happened outside the decisions.
#[derive(Debug, Clone)]
pub enum Event {
    /// Some time has passed.
    Tick,
    /// The process was paused: its clock jumped by `gap`, so what it knows may be old.
    Resumed {
        /// How much later it is than it should be.
        gap: Duration,
    },
    /// A message came from another daemon.
    Received {
        /// The sender's address, as its certificate and greeting say.
        from: Address,
        /// The encoded message.
        message: Vec<u8>,
    },
    /// A message could not be delivered.
    Unreachable {
        /// The daemon that was not reached.
        peer: Address,
    },
    /// The log answered a read.
    LogRead {
        /// The stream that was read.
        stream: StreamName,
        /// What it answered.
        result: Result<Batch, LogError>,
    },
    /// The log answered an append.
    LogAppended {
        /// The stream that was appended to.
        stream: StreamName,
        /// What it answered.
        result: Result<LogOffset, LogError>,
    },
    /// The backend server beside the daemon announced itself or changed its health.
    Announced {
        /// The service it runs.
        service: ServiceName,
        /// How many requests it runs at once.
        slots: SlotCount,
        /// Whether it answers its health probes.
        healthy: bool,
    },
    /// The backend server or the daemon is leaving.
    Draining,
}
