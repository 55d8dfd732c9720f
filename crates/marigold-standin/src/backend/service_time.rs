//! Distribution of service times.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use marigold_types::{Interval, ParseError};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1};

/// The distribution of the time that a backend server spends on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceTime {
    /// A constant time.
    Fixed(Interval),
    /// An exponential distribution with this mean.
    Exponential(Interval),
}

impl ServiceTime {
    /// Draws the service time of one request.
    pub fn draw(self, rng: &mut ChaCha8Rng) -> Duration {
        match self {
            Self::Fixed(time) => time.duration(),
            Self::Exponential(mean) => {
                let factor: f64 = Exp1.sample(rng);
                mean.duration().mul_f64(factor)
            }
        }
    }

    /// Returns the mean of the distribution.
    #[must_use]
    pub fn mean(self) -> Duration {
        match self {
            Self::Fixed(time) | Self::Exponential(time) => time.duration(),
        }
    }
}

impl FromStr for ServiceTime {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseError::new(text, "service time", "fixed:5ms or exponential:5ms");
        let (kind, time) = text.split_once(':').ok_or_else(error)?;
        let time: Interval = time.parse().map_err(|_| error())?;
        match kind {
            "fixed" => Ok(Self::Fixed(time)),
            "exponential" => Ok(Self::Exponential(time)),
            _ => Err(error()),
        }
    }
}

impl fmt::Display for ServiceTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Fixed(time) => write!(f, "fixed:{time}"),
            Self::Exponential(time) => write!(f, "exponential:{time}"),
        }
    }
}
