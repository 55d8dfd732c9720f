//! Events handled by the control plane.

use std::time::Duration;

use marigold_log::{Batch, LogError, StreamName};
use marigold_types::{Address, LogOffset, ServiceName, SlotCount};

/// An input of the control plane.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed; sent at regular intervals.
    Tick,
    /// The process was paused for `gap`, so its state may be stale.
    Resumed {
        /// How late the process resumed.
        gap: Duration,
    },
    /// A message arrived from another daemon.
    Received {
        /// The sender's address, according to its certificate and greeting.
        from: Address,
        /// The encoded message.
        message: Vec<u8>,
    },
    /// A message could not be delivered.
    Unreachable {
        /// The daemon that could not be reached.
        peer: Address,
    },
    /// A read of the log completed.
    LogRead {
        /// The stream that was read.
        stream: StreamName,
        /// The records read, or the error.
        result: Result<Batch, LogError>,
    },
    /// An append to the log completed.
    LogAppended {
        /// The stream that was appended to.
        stream: StreamName,
        /// The offset of the appended record, or the error.
        result: Result<LogOffset, LogError>,
    },
    /// The backend server next to the daemon announced itself or its health changed.
    Announced {
        /// The service that it provides.
        service: ServiceName,
        /// How many requests it processes concurrently.
        slots: SlotCount,
        /// Whether it passes its health probes.
        healthy: bool,
    },
    /// The backend server or the daemon is shutting down.
    Draining,
}
