//! What a controller asks for.

use marigold_log::StreamName;
use marigold_types::{Address, LogOffset};

/// Something to be done outside the decisions; its result comes back as an event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message to another daemon.
    Send {
        /// The daemon that is to get it.
        to: Address,
        /// What kind it is, for the counters of control bytes.
        kind: &'static str,
        /// The encoded message.
        message: Vec<u8>,
    },
    /// Read the log.
    ReadLog {
        /// The stream to read.
        stream: StreamName,
        /// The first offset wanted.
        from: LogOffset,
        /// The most records wanted.
        limit: usize,
    },
    /// Append to the log.
    AppendLog {
        /// The stream to append to.
        stream: StreamName,
        /// The record.
        data: String,
    },
}
