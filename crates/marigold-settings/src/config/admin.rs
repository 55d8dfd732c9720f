//! Section `[admin]`.

use std::net::SocketAddr;

use marigold_types::Interval;

use crate::reader::Reader;

/// The operators' side, which also takes the backend server's announcements and gives metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdminSettings {
    /// Where it listens for operators, over HTTP.
    pub listen: SocketAddr,
    /// How far an operator's clock may differ in a signed question.
    pub clock_skew: Interval,
    /// How long an announcement of the backend server holds.
    pub announce_ttl: Interval,
    /// How often the backend server's health is probed.
    pub health_interval: Interval,
}

impl Default for AdminSettings {
    fn default() -> Self {
        Self {
            listen: ([127, 0, 0, 1], 0).into(),
            clock_skew: Interval::from_millis(60_000),
            announce_ttl: Interval::from_millis(6_000),
            health_interval: Interval::from_millis(1_000),
        }
    }
}

impl AdminSettings {
    pub(crate) fn read(mut reader: Reader<'_>) -> Self {
        let base = Self::default();
        let settings = Self {
            listen: reader.required(
                "listen",
                base.listen,
                "an IP number and port",
                "where it listens for operators, announcements and metrics (HTTP)",
            ),
            clock_skew: reader.ranged(
                "clock_skew",
                base.clock_skew,
                Interval::from_millis(1_000)..=Interval::from_millis(3_600_000),
                "how far an operator's clock may differ in a signed question",
            ),
            announce_ttl: reader.ranged(
                "announce_ttl",
                base.announce_ttl,
                Interval::from_millis(500)..=Interval::from_millis(300_000),
                "how long an announcement of the backend server holds",
            ),
            health_interval: reader.ranged(
                "health_interval",
                base.health_interval,
                Interval::from_millis(100)..=Interval::from_millis(60_000),
                "how often the backend server's health is probed",
            ),
        };
        reader.finish();
        settings
    }
}
