//! Actions requested by the controllers.

use marigold_log::StreamName;
use marigold_types::{Address, LogOffset};

/// An I/O operation for the daemon to carry out; its result comes back as an event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message to another daemon.
    Send {
        /// The receiver.
        to: Address,
        /// The kind of the message, a label of the control traffic counters.
        kind: &'static str,
        /// The encoded message.
        message: Vec<u8>,
    },
    /// Read records from the log.
    ReadLog {
        /// The stream to read.
        stream: StreamName,
        /// The offset of the first record to read.
        from: LogOffset,
        /// The maximum number of records to read.
        limit: usize,
    },
    /// Append a record to the log.
    AppendLog {
        /// The stream to append to.
        stream: StreamName,
        /// The encoded record.
        data: String,
    },
}
