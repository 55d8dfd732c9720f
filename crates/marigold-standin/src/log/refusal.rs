//! Requests that the log refuses.

use std::time::Duration;

use marigold_types::{ByteSize, LogOffset};

/// The reason for refusing a request, which then had no effect on the log.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LogRefusal {
    /// The log is set to refuse every request.
    #[error("the log is down")]
    Down,
    /// The append rate is above the limit.
    #[error("append rate limit exceeded; retry in {} ms", .wait.as_millis().max(1))]
    RateLimited {
        /// The time until the next append is allowed.
        wait: Duration,
    },
    /// The record is larger than the limit.
    #[error("record of {size} exceeds the limit of {allowed}")]
    TooLarge {
        /// The size of the record.
        size: ByteSize,
        /// The maximum size.
        allowed: ByteSize,
    },
    /// The record is empty or contains a line break.
    #[error("a record must be one non-empty line of UTF-8 text")]
    NotOneLine,
    /// The name of the stream is invalid.
    #[error("invalid stream name `{name}`: must be 1 to 64 characters of a-z, 0-9 and `-`")]
    InvalidStreamName {
        /// The name, cut to 64 characters.
        name: String,
    },
    /// The log already holds the maximum number of streams.
    #[error("cannot create another stream: the limit is {allowed}")]
    TooManyStreams {
        /// The maximum number of streams.
        allowed: usize,
    },
    /// The requested records have been dropped.
    #[error("records before offset {earliest} have been trimmed")]
    Trimmed {
        /// The first offset that the log still holds.
        earliest: LogOffset,
    },
}
