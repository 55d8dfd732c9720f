//! Weekly time windows of rules.

use std::fmt;
use std::str::FromStr;

use marigold_types::{ParseError, RecordTime};

const ALLOWED: &str = "`always`, or DAYS HH:MM-HH:MM in UTC with DAYS as mon-fri, sat or mon,wed \
    (an end of 24:00 is midnight), as mon-fri 06:00-18:00";
/// The length limit of the text form.
const MAX_BYTES: usize = 64;
const ALWAYS: &str = "always";
const DAYS: [&str; 7] = ["mon", "tue", "wed", "thu", "fri", "sat", "sun"];
const MINUTES_PER_DAY: u32 = 24 * 60;
const MILLIS_PER_MINUTE: u64 = 60_000;
/// The weekday of 1970-01-01, a Thursday, counted from Monday.
const EPOCH_WEEKDAY: u64 = 3;

/// Days of the week and a time span within each of them, in UTC.
///
/// A span that ends before it starts runs over midnight and belongs to the day on which it starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Window {
    /// Whether the window opens on each day, from Monday.
    days: [bool; 7],
    /// The minute of the day at which the window opens.
    start: u32,
    /// The minute of the day at which the window closes.
    end: u32,
}

impl Window {
    /// The window that is always open.
    pub const ALWAYS: Self = Self {
        days: [true; 7],
        start: 0,
        end: MINUTES_PER_DAY,
    };

    /// Returns whether the window is open at `time`.
    #[must_use]
    pub fn contains(&self, time: RecordTime) -> bool {
        let minutes = time.0 / MILLIS_PER_MINUTE;
        let day_minutes = u64::from(MINUTES_PER_DAY);
        let day = usize::try_from((minutes / day_minutes + EPOCH_WEEKDAY) % 7).unwrap_or(0);
        let minute = u32::try_from(minutes % day_minutes).unwrap_or(0);
        if self.start < self.end {
            return self.days[day] && (self.start..self.end).contains(&minute);
        }
        let evening = self.days[day] && minute >= self.start;
        let morning = self.days[(day + 6) % 7] && minute < self.end;
        evening || morning
    }
}

fn parse_days(text: &str) -> Option<[bool; 7]> {
    let index = |name: &str| DAYS.iter().position(|day| *day == name);
    let mut days = [false; 7];
    for part in text.split(',') {
        let (first, last) = part.split_once('-').unwrap_or((part, part));
        let (first, last) = (index(first)?, index(last)?);
        let mut day = first;
        days[day] = true;
        // A range such as sat-mon wraps around the end of the week.
        while day != last {
            day = (day + 1) % 7;
            days[day] = true;
        }
    }
    Some(days)
}

fn parse_minute(text: &str) -> Option<u32> {
    let (hour, minute) = text.split_once(':')?;
    let two_digits = |part: &str| part.len() == 2 && part.bytes().all(|b| b.is_ascii_digit());
    if !two_digits(hour) || !two_digits(minute) {
        return None;
    }
    let (hour, minute): (u32, u32) = (hour.parse().ok()?, minute.parse().ok()?);
    let total = hour * 60 + minute;
    (minute < 60 && total <= MINUTES_PER_DAY).then_some(total)
}

fn parse_window(text: &str) -> Option<Window> {
    if text == ALWAYS {
        return Some(Window::ALWAYS);
    }
    if text.len() > MAX_BYTES {
        return None;
    }
    let (days, span) = text.split_once(' ')?;
    let (start, end) = span.trim().split_once('-')?;
    let window = Window {
        days: parse_days(days)?,
        start: parse_minute(start)?,
        end: parse_minute(end)?,
    };
    (window.start != window.end && window.start < MINUTES_PER_DAY).then_some(window)
}

impl FromStr for Window {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse_window(text).ok_or_else(|| ParseError::new(text, "time window", ALLOWED))
    }
}

impl fmt::Display for Window {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if *self == Self::ALWAYS {
            return f.write_str(ALWAYS);
        }
        let days = DAYS.iter().zip(self.days).filter(|(_, open)| *open);
        let days: Vec<&str> = days.map(|(name, _)| *name).collect();
        let clock = |minute: u32| format!("{:02}:{:02}", minute / 60, minute % 60);
        write!(
            f,
            "{} {}-{}",
            days.join(","),
            clock(self.start),
            clock(self.end)
        )
    }
}
