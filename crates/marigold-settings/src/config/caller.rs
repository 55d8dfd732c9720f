//! Section `[caller]`.

use std::net::SocketAddr;

use marigold_types::{ByteSize, Interval};

use crate::reader::Reader;

/// The callers' side.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerSettings {
    /// Where it listens for callers, over HTTP.
    pub listen: SocketAddr,
    /// The largest head of a request.
    pub max_head: ByteSize,
    /// The largest body of a request.
    pub max_body: ByteSize,
    /// How long a caller may take over the head of a request.
    pub head_timeout: Interval,
    /// How long a caller may leave an answer unread before it is given up.
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
        let base = Self::default();
        let settings = Self {
            listen: reader.required(
                "listen",
                base.listen,
                "an IP number and port",
                "where it listens for callers (HTTP)",
            ),
            max_head: reader.ranged(
                "max_head",
                base.max_head,
                ByteSize(8 << 10)..=ByteSize(1 << 20),
                "the largest head of a request",
            ),
            max_body: reader.ranged(
                "max_body",
                base.max_body,
                ByteSize(1 << 10)..=ByteSize(64 << 30),
                "the largest body of a request",
            ),
            head_timeout: reader.ranged(
                "head_timeout",
                base.head_timeout,
                Interval::from_millis(100)..=Interval::from_millis(120_000),
                "how long a caller may take over the head of a request",
            ),
            write_timeout: reader.ranged(
                "write_timeout",
                base.write_timeout,
                Interval::from_millis(100)..=Interval::from_millis(600_000),
                "how long a caller may leave an answer unread before it is given up",
            ),
        };
        reader.finish();
        settings
    }
}
