//! Structured log events, limited in rate and written without blocking.

use std::cell::RefCell;
use std::collections::HashMap;
use std::num::NonZeroUsize;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::{Map, Value};
use spdlog::formatter::PatternFormatter;
use spdlog::formatter::pattern;
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, Sink, StdStreamSink};
use spdlog::{Logger, ThreadPool};
use tokio::time::Instant;

/// Capacity of the queue to the writer thread. Further lines are dropped, so that no request waits for a
/// slow reader of the log.
const LOG_QUEUE_LINES: usize = 1024;
/// Limit for each event name. Warnings have a limit of their own, so that failures are logged even while
/// many requests are refused.
const MAX_LINES_PER_SECOND: u32 = 40;
/// One in this many routine events of a name is written.
const ROUTINE_SAMPLE_INTERVAL: u64 = 50;
const SECOND: Duration = Duration::from_secs(1);

/// Importance of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Severity {
    /// An ordinary success, of which only a sample is written.
    Routine,
    /// A decision or a change of state.
    Info,
    /// A problem that may need an operator's attention.
    Warn,
}

/// Rate limit state of one event name.
#[derive(Debug)]
struct RateWindow {
    since: Instant,
    lines: u32,
    /// Events left out since the last line.
    skipped: u64,
}

/// Writes each event as a JSON object on a line of its own, see docs/LOGS.md.
#[derive(Debug)]
pub struct EventLog {
    instance: Arc<str>,
    logger: Arc<Logger>,
    /// By event name and whether the event is a warning.
    rate_windows: RefCell<HashMap<(&'static str, bool), RateWindow>>,
    routine_counts: RefCell<HashMap<&'static str, u64>>,
}

impl EventLog {
    /// Creates a log that writes to `logger`, with `instance` as the instance name of each event.
    #[must_use]
    pub fn new(instance: Arc<str>, logger: Arc<Logger>) -> Self {
        Self {
            instance,
            logger,
            rate_windows: RefCell::default(),
            routine_counts: RefCell::default(),
        }
    }

    /// Writes an event unless its rate limit is reached. The line contains the number of events of the same
    /// name that were skipped before.
    pub fn emit(&self, event: &'static str, severity: Severity, fields: &[(&str, Value)]) {
        if severity == Severity::Routine && !self.is_sampled(event) {
            return;
        }
        let Some(skipped) = self.admit(event, severity == Severity::Warn) else {
            return;
        };
        let mut line = Map::new();
        line.insert("time_ms".to_owned(), unix_millis().into());
        line.insert("instance".to_owned(), self.instance.as_ref().into());
        line.insert("event".to_owned(), event.into());
        for (name, value) in fields {
            line.insert((*name).to_owned(), value.clone());
        }
        if skipped > 0 {
            line.insert("skipped".to_owned(), skipped.into());
        }
        let text = Value::Object(line).to_string();
        match severity {
            Severity::Routine | Severity::Info => spdlog::info!(logger: self.logger, "{text}"),
            Severity::Warn => spdlog::warn!(logger: self.logger, "{text}"),
        }
    }

    fn is_sampled(&self, event: &'static str) -> bool {
        let mut counts = self.routine_counts.borrow_mut();
        let count = counts.entry(event).or_default();
        *count += 1;
        *count % ROUTINE_SAMPLE_INTERVAL == 1
    }

    /// Returns the number of events skipped before this one, or `None` if this one is skipped too.
    fn admit(&self, event: &'static str, is_warning: bool) -> Option<u64> {
        let now = Instant::now();
        let mut windows = self.rate_windows.borrow_mut();
        let window = windows.entry((event, is_warning)).or_insert(RateWindow {
            since: now,
            lines: 0,
            skipped: 0,
        });
        if now.saturating_duration_since(window.since) >= SECOND {
            window.since = now;
            window.lines = 0;
        }
        if window.lines >= MAX_LINES_PER_SECOND {
            window.skipped += 1;
            metrics::counter!("marigold_log_lines_skipped_total").increment(1);
            return None;
        }
        window.lines += 1;
        Some(std::mem::take(&mut window.skipped))
    }
}

/// Installs a default logger that writes to standard output from a separate thread.
///
/// # Errors
///
/// If the writer thread cannot be started.
pub fn init_logging() -> Result<(), spdlog::Error> {
    let output = StdStreamSink::builder()
        .stdout()
        .formatter(PatternFormatter::new(pattern!("{payload}{eol}")))
        .build_arc()?;
    spdlog::set_default_logger(async_logger(output)?);
    Ok(())
}

/// Creates a logger that writes to `output` from a separate thread and drops lines while its queue is full.
///
/// # Errors
///
/// If the writer thread cannot be started.
pub fn async_logger(output: Arc<dyn Sink>) -> Result<Arc<Logger>, spdlog::Error> {
    let capacity = NonZeroUsize::new(LOG_QUEUE_LINES).unwrap_or(NonZeroUsize::MIN);
    let pool = ThreadPool::builder().capacity(capacity).build_arc()?;
    let sink: Arc<dyn Sink> = AsyncPoolSink::builder()
        .sink(output)
        .thread_pool(pool)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .build_arc()?;
    // By default the library reports each dropped line on standard error, which may have no reader.
    Logger::builder()
        .sink(sink)
        .error_handler(|_: spdlog::Error| {
            metrics::counter!("marigold_log_lines_lost_total").increment(1);
        })
        .build_arc()
}

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |time| {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    })
}
