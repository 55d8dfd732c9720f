//! Limits of requests a second that backend servers name in their responses.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use marigold_types::ParseError;

const ALLOWED: &str = "a finite decimal number of requests a second, 0 or more";
/// The rate at which requests go to a backend server that names a lower limit, in requests per second. Its responses
/// to them tell when the limit has ended.
const MIN_RATE: f64 = 0.25;

/// The number of requests a second that a backend server takes from all daemons together.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct RequestLimit(f64);

impl RequestLimit {
    /// Parses the values of all fields of one response that name a limit, separated by commas. The lowest one holds.
    ///
    /// # Errors
    ///
    /// If one of them is not a finite number of 0 or more.
    pub fn parse_fields(text: &str) -> Result<Self, ParseError> {
        let mut lowest: Option<Self> = None;
        for part in text.split(',') {
            let limit: Self = part.trim().parse()?;
            if lowest.is_none_or(|lowest| limit < lowest) {
                lowest = Some(limit);
            }
        }
        lowest.ok_or_else(|| ParseError::new(text, "request limit", ALLOWED))
    }

    /// Returns the rate at which requests are sent, in requests per second.
    #[must_use]
    pub fn rate(self) -> f64 {
        self.0.max(MIN_RATE)
    }

    /// Returns the time between two requests.
    #[must_use]
    pub fn interval(self) -> Duration {
        Duration::from_secs_f64(1.0 / self.rate())
    }
}

impl FromStr for RequestLimit {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.parse().ok();
        number
            .filter(|number: &f64| number.is_finite() && *number >= 0.0)
            .map(Self)
            .ok_or_else(|| ParseError::new(text, "request limit", ALLOWED))
    }
}

impl fmt::Display for RequestLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
