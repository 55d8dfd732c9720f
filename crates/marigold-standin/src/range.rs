//! Range-checked parsers for command-line arguments with a unit.

use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;

use marigold_types::{ByteSize, Interval, Rate};

const MAX_INTERVAL_MS: u64 = 30 * 86_400_000;
const MAX_SIZE_BYTES: u64 = 1 << 30;
const MAX_RATE_PER_SECOND: u64 = 1_000_000;

/// Parses an interval of up to 30 days.
///
/// # Errors
///
/// Returns the allowed range if `text` is malformed or out of range.
pub fn interval(text: &str) -> Result<Interval, String> {
    parse_in_range(
        text,
        &(Interval::from_millis(0)..=Interval::from_millis(MAX_INTERVAL_MS)),
    )
}

/// Parses a size from 1 byte to 1 GB.
///
/// # Errors
///
/// Returns the allowed range if `text` is malformed or out of range.
pub fn size(text: &str) -> Result<ByteSize, String> {
    parse_in_range(text, &(ByteSize(1)..=ByteSize(MAX_SIZE_BYTES)))
}

/// Parses a rate from 1 to 1,000,000 per second.
///
/// # Errors
///
/// Returns the allowed range if `text` is malformed or out of range.
pub fn rate(text: &str) -> Result<Rate, String> {
    parse_in_range(text, &(Rate(1)..=Rate(MAX_RATE_PER_SECOND)))
}

fn parse_in_range<T>(text: &str, range: &RangeInclusive<T>) -> Result<T, String>
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
