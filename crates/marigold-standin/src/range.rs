//! Bounds on the arguments that carry a unit.

use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;

use marigold_types::{ByteSize, Interval, Rate};

const MAX_INTERVAL_MS: u64 = 30 * 86_400_000;
const MAX_SIZE: u64 = 1 << 30;
const MAX_RATE: u64 = 1_000_000;

/// Parses an interval of up to 30 days.
///
/// # Errors
///
/// What is allowed, when `text` is something else.
pub fn interval(text: &str) -> Result<Interval, String> {
    within(
        text,
        &(Interval::from_millis(0)..=Interval::from_millis(MAX_INTERVAL_MS)),
    )
}

/// Parses a size of 1 byte to 1 GB.
///
/// # Errors
///
/// What is allowed, when `text` is something else.
pub fn size(text: &str) -> Result<ByteSize, String> {
    within(text, &(ByteSize(1)..=ByteSize(MAX_SIZE)))
}

/// Parses a rate of 1 to a million a second.
///
/// # Errors
///
/// What is allowed, when `text` is something else.
pub fn rate(text: &str) -> Result<Rate, String> {
    within(text, &(Rate(1)..=Rate(MAX_RATE)))
}

fn within<T>(text: &str, range: &RangeInclusive<T>) -> Result<T, String>
where
    T: FromStr + Display + PartialOrd,
    T::Err: Display,
{
    let value: T = text.parse().map_err(|error: T::Err| error.to_string())?;
    if range.contains(&value) {
        Ok(value)
    } else {
        Err(format!("allowed is {} to {}", range.start(), range.end()))
    }
}
