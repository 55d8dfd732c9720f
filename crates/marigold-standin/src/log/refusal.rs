//! Why the log took no action.

use std::time::Duration;

use marigold_types::{ByteSize, LogOffset};

/// A request that had no effect on the log.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LogRefusal {
    /// The log is down.
    #[error("the log is down")]
    Down,
    /// There were too many appends.
    #[error("too many appends, come back in {} ms", .wait.as_millis().max(1))]
    TooMany {
        /// How long to wait for the next append.
        wait: Duration,
    },
    /// The record is too large.
    #[error("a record of {size} is too large: allowed is up to {allowed}")]
    TooLarge {
        /// The record's size.
        size: ByteSize,
        /// The largest size.
        allowed: ByteSize,
    },
    /// The record is not one line of text.
    #[error("a record is one line of UTF-8 text without line breaks")]
    NotOneLine,
    /// The stream's name is malformed.
    #[error("`{name}` is not a stream name: allowed is 1 to 64 of a-z, 0-9 and `-`")]
    BadStream {
        /// The name that was refused.
        name: String,
    },
    /// There are too many streams.
    #[error("no room for another stream: allowed are {allowed}")]
    TooManyStreams {
        /// The most streams.
        allowed: usize,
    },
    /// The records asked for are no longer kept.
    #[error("records before offset {earliest} are trimmed")]
    Trimmed {
        /// The first offset that is kept.
        earliest: LogOffset,
    },
}
