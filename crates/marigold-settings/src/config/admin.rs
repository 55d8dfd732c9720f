//! Section `[admin]`.

use std::net::SocketAddr;

use marigold_types::Interval;

use crate::reader::Reader;

/// The admin listener, which serves operators, metrics and announcements of the backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdminSettings {
    /// Listening address, HTTP.
    pub listen: SocketAddr,
    /// Maximum clock difference between daemon and operator in a signed request.
    pub clock_skew: Interval,
    /// Lifetime of an announcement of the backend server.
    pub announce_ttl: Interval,
    /// Interval between health checks of the backend server.
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
        let defaults = Self::default();
        let settings = Self {
            listen: reader.required(
                "listen",
                defaults.listen,
                "an IP address and port",
                "listening address for operators, announcements and metrics (HTTP)",
            ),
            clock_skew: reader.ranged(
                "clock_skew",
                defaults.clock_skew,
                Interval::from_millis(1_000)..=Interval::from_millis(3_600_000),
                "maximum clock difference between daemon and operator in a signed request",
            ),
            announce_ttl: reader.ranged(
                "announce_ttl",
                defaults.announce_ttl,
                Interval::from_millis(500)..=Interval::from_millis(300_000),
                "lifetime of an announcement of the backend server",
            ),
            health_interval: reader.ranged(
                "health_interval",
                defaults.health_interval,
                Interval::from_millis(100)..=Interval::from_millis(60_000),
                "interval between health checks of the backend server",
            ),
        };
        reader.finish();
        settings
    }
}
