//! The wall clock, and the format of times and durations in output.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use marigold_types::{Interval, RecordTime};

/// The end of the year 9999, in milliseconds since 1970: RFC 3339 has no later times.
const MAX_RFC3339_MILLIS: u64 = 253_402_300_799_999;

/// Returns the current time; a clock before 1970 gives 0.
pub fn now() -> RecordTime {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = elapsed.map_or(0, |elapsed| elapsed.as_millis());
    RecordTime(u64::try_from(millis).unwrap_or(u64::MAX))
}

/// Returns `time` plus `interval`.
pub fn add(time: RecordTime, interval: Interval) -> RecordTime {
    let millis = u64::try_from(interval.duration().as_millis()).unwrap_or(u64::MAX);
    RecordTime(time.0.saturating_add(millis))
}

/// Formats a duration in whole seconds, as `1m 5s`.
pub fn display_interval(interval: Interval) -> String {
    let seconds = interval.duration().as_secs();
    humantime::format_duration(Duration::from_secs(seconds)).to_string()
}

/// Formats a time as RFC 3339 in UTC, or as its number when it is past the year 9999.
pub fn display_time(time: RecordTime) -> String {
    if time.0 > MAX_RFC3339_MILLIS {
        return time.to_string();
    }
    let time = UNIX_EPOCH + Duration::from_millis(time.0);
    humantime::format_rfc3339_seconds(time).to_string()
}
