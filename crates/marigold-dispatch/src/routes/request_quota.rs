//! The quota of a workspace.

use std::fmt;
use std::str::FromStr;

use marigold_types::ParseError;

const SYNTAX: &str = "RATE/s+BURST with a positive rate and a burst of at least 0";

/// The requests that a workspace may send through all daemons together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestQuota {
    /// Requests per second, positive and finite.
    pub rate: f64,
    /// Requests beyond the rate after a pause, at least 0 and finite.
    pub burst: f64,
}

impl FromStr for RequestQuota {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseError::new(text, "request quota", SYNTAX);
        let (rate, burst) = text.split_once("/s+").ok_or_else(error)?;
        let rate: f64 = rate.parse().map_err(|_| error())?;
        let burst: f64 = burst.parse().map_err(|_| error())?;
        let is_valid = rate > 0.0 && rate.is_finite() && burst >= 0.0 && burst.is_finite();
        is_valid.then_some(Self { rate, burst }).ok_or_else(error)
    }
}

impl fmt::Display for RequestQuota {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s+{}", self.rate, self.burst)
    }
}
