//! Section `[request]`.

use marigold_types::Interval;

use crate::reader::Reader;

/// The processing of requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestSettings {
    /// Retries allowed per 100 requests.
    pub retry_percent: u32,
    /// Maximum number of attempts per request.
    pub attempts: u32,
    /// Maximum number of waiting requests per slot.
    pub queue: u32,
    /// How long a response may be overdue before its connection is probed.
    pub silence: Interval,
    /// How long a graceful shutdown waits for requests in flight.
    pub drain: Interval,
    /// How long a request key is valid after it is issued.
    pub key_ttl: Interval,
    /// Maximum number of request keys stored.
    pub keys: u32,
    /// How long a request that crashed backend servers is refused.
    pub quarantine: Interval,
}

impl Default for RequestSettings {
    fn default() -> Self {
        Self {
            retry_percent: 10,
            attempts: 3,
            queue: 2,
            silence: Interval::from_millis(1_000),
            drain: Interval::from_millis(30_000),
            key_ttl: Interval::from_millis(120_000),
            keys: 100_000,
            quarantine: Interval::from_millis(300_000),
        }
    }
}

impl RequestSettings {
    pub(crate) fn read(mut reader: Reader<'_>) -> Self {
        let defaults = Self::default();
        let settings = Self {
            retry_percent: reader.ranged(
                "retry_percent",
                defaults.retry_percent,
                0..=100,
                "retries allowed per 100 requests",
            ),
            attempts: reader.ranged(
                "attempts",
                defaults.attempts,
                1..=10,
                "maximum number of attempts per request",
            ),
            queue: reader.ranged(
                "queue",
                defaults.queue,
                0..=100,
                "maximum number of waiting requests per slot",
            ),
            silence: reader.ranged(
                "silence",
                defaults.silence,
                Interval::from_millis(100)..=Interval::from_millis(60_000),
                "how long a response may be overdue before its connection is probed",
            ),
            drain: reader.ranged(
                "drain",
                defaults.drain,
                Interval::from_millis(1_000)..=Interval::from_millis(3_600_000),
                "how long a graceful shutdown waits for requests in flight",
            ),
            key_ttl: reader.ranged(
                "key_ttl",
                defaults.key_ttl,
                Interval::from_millis(1_000)..=Interval::from_millis(3_600_000),
                "how long a request key is valid after it is issued",
            ),
            keys: reader.ranged(
                "keys",
                defaults.keys,
                1_000..=10_000_000,
                "maximum number of request keys stored",
            ),
            quarantine: reader.ranged(
                "quarantine",
                defaults.quarantine,
                Interval::from_millis(1_000)..=Interval::from_millis(86_400_000),
                "how long a request that crashed backend servers is refused",
            ),
        };
        reader.finish();
        settings
    }
}
