//! Section `[caller]`.

use std::net::SocketAddr;

use marigold_types::{ByteSize, Interval};

use crate::reader::Reader;

/// The listener for callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerSettings {
    /// Listening address, HTTP.
    pub listen: SocketAddr,
    /// Size limit of a request head.
    pub max_head: ByteSize,
    /// Size limit of a request body.
    pub max_body: ByteSize,
    /// Time limit for receiving a request head.
    pub head_timeout: Interval,
    /// How long a caller may leave a response unread before it is abandoned.
    pub write_timeout: Interval,
}

impl Default for CallerSettings {
    fn default() -> Self {
        Self {
            listen: ([127, 0, 0, 1], 0).into(),
            max_head: ByteSize(32 << 10),
            max_body: ByteSize(4 << 30),
            head_timeout: Interval::from_millis(10_000),
            write_timeout: Interval::from_millis(30_000),
        }
    }
}

impl CallerSettings {
    pub(crate) fn read(mut reader: Reader<'_>) -> Self {
        let defaults = Self::default();
        let settings = Self {
            listen: reader.required(
                "listen",
                defaults.listen,
                "an IP address and port",
                "listening address for callers (HTTP)",
            ),
            max_head: reader.ranged(
                "max_head",
                defaults.max_head,
                ByteSize(8 << 10)..=ByteSize(1 << 20),
                "size limit of a request head",
            ),
            max_body: reader.ranged(
                "max_body",
                defaults.max_body,
                ByteSize(1 << 10)..=ByteSize(64 << 30),
                "size limit of a request body",
            ),
            head_timeout: reader.ranged(
                "head_timeout",
                defaults.head_timeout,
                Interval::from_millis(100)..=Interval::from_millis(120_000),
                "time limit for receiving a request head",
            ),
            write_timeout: reader.ranged(
                "write_timeout",
                defaults.write_timeout,
                Interval::from_millis(100)..=Interval::from_millis(600_000),
                "how long a caller may leave a response unread before it is abandoned",
            ),
        };
        reader.finish();
        settings
    }
}
