//! Section `[log]`.

use std::sync::Arc;

use marigold_types::Interval;

use crate::reader::Reader;

/// The platform's log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSettings {
    /// Its base address, over HTTP.
    pub url: Arc<str>,
    /// How long one request to it may take.
    pub timeout: Interval,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            url: Arc::from("http://127.0.0.1:9000"),
            timeout: Interval::from_millis(5_000),
        }
    }
}

impl LogSettings {
    pub(crate) fn read(mut reader: Reader<'_>) -> Self {
        let base = Self::default();
        let settings = Self {
            url: reader
                .required(
                    "url",
                    base.url.to_string(),
                    "an address as http://10.0.0.1:9000",
                    "the base address of the platform's log",
                )
                .into(),
            timeout: reader.ranged(
                "timeout",
                base.timeout,
                Interval::from_millis(100)..=Interval::from_millis(60_000),
                "how long one request to the log may take",
            ),
        };
        reader.finish();
        settings
    }
}
