//! Section `[request]`.

use marigold_types::Interval;

use crate::reader::Reader;

/// The request side.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestSettings {
    /// Retries allowed for each hundred requests.
    pub retry_percent: u32,
    /// The most attempts for one request.
    pub attempts: u32,
    /// Requests that may wait for each slot.
    pub queue: u32,
    /// How long an answer may be overdue before its connection is probed.
    pub silence: Interval,
    /// How long a graceful shutdown waits for requests in flight.
    pub drain: Interval,
    /// How long a key may be used after it was made.
    pub key_ttl: Interval,
    /// The most keys that are remembered.
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
        let base = Self::default();
        let settings = Self {
            retry_percent: reader.ranged(
                "retry_percent",
                base.retry_percent,
                0..=100,
                "retries allowed for each hundred requests",
            ),
            attempts: reader.ranged(
                "attempts",
                base.attempts,
                1..=10,
                "the most attempts for one request",
            ),
            queue: reader.ranged(
                "queue",
                base.queue,
                0..=100,
                "requests that may wait for each slot",
            ),
            silence: reader.ranged(
                "silence",
                base.silence,
                Interval::from_millis(100)..=Interval::from_millis(60_000),
                "how long an answer may be overdue before its connection is probed",
            ),
            drain: reader.ranged(
                "drain",
                base.drain,
                Interval::from_millis(1_000)..=Interval::from_millis(3_600_000),
                "how long a graceful shutdown waits for requests in flight",
            ),
            key_ttl: reader.ranged(
                "key_ttl",
                base.key_ttl,
                Interval::from_millis(1_000)..=Interval::from_millis(3_600_000),
                "how long a key may be used after it was made",
            ),
            keys: reader.ranged(
                "keys",
                base.keys,
                1_000..=10_000_000,
                "the most keys that are remembered",
            ),
            quarantine: reader.ranged(
                "quarantine",
                base.quarantine,
                Interval::from_millis(1_000)..=Interval::from_millis(86_400_000),
                "how long a request that crashed backend servers is refused",
            ),
        };
        reader.finish();
        settings
    }
}
