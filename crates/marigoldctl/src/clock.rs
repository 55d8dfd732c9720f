//! The operator's wall clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use marigold_types::{Interval, RecordTime};

/// The end of the year 9999, in milliseconds since 1970: later times have no calendar form.
const LAST_MILLIS: u64 = 253_402_300_799_999;

/// Returns the time now.
pub fn now() -> RecordTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.map_or(0, |since| since.as_millis());
    RecordTime(u64::try_from(millis).unwrap_or(u64::MAX))
}

/// Returns the time so much later.
pub fn later(time: RecordTime, by: Interval) -> RecordTime {
    let millis = u64::try_from(by.duration().as_millis()).unwrap_or(u64::MAX);
    RecordTime(time.0.saturating_add(millis))
}

/// Returns a length of time as operators read it, in whole seconds.
pub fn display_span(span: Interval) -> String {
    let seconds = span.duration().as_secs();
    humantime::format_duration(Duration::from_secs(seconds)).to_string()
}

/// Returns a time as operators read it, in UTC.
pub fn display(time: RecordTime) -> String {
    if time.0 > LAST_MILLIS {
        return time.to_string();
    }
    let time = UNIX_EPOCH + Duration::from_millis(time.0);
    humantime::format_rfc3339_seconds(time).to_string()
}
