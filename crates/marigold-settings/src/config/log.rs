//! Section `[log]`.

use std::sync::Arc;

use marigold_types::Interval;

use crate::reader::Reader;

/// The connection to the platform's log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSettings {
    /// Base URL of the log.
    pub url: Arc<str>,
    /// Time limit for one request to the log.
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
        let defaults = Self::default();
        let settings = Self {
            url: reader
                .required(
                    "url",
                    defaults.url.to_string(),
                    "a URL such as http://10.0.0.1:9000",
                    "base URL of the platform's log",
                )
                .into(),
            timeout: reader.ranged(
                "timeout",
                defaults.timeout,
                Interval::from_millis(100)..=Interval::from_millis(60_000),
                "time limit for one request to the log",
            ),
        };
        reader.finish();
        settings
    }
}
