//! Structured log lines: one for each decision, bounded and never blocking.

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

/// Lines that wait for the writer at most; more are dropped so that no request waits for a reader.
const QUEUE_LINES: usize = 1024;
/// The lines of one event that are written in a second at most, counted apart for warnings: failures have
/// lines also while many requests are refused.
const LINES_A_SECOND: u32 = 40;
/// One in so many routine lines is written.
const ROUTINE_SAMPLE: u64 = 50;
const SECOND: Duration = Duration::from_secs(1);

/// How much a line matters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Severity {
    /// A success like many; only a sample is written.
    Routine,
    /// A decision or a change of state.
    Info,
    /// Something that an operator should look at.
    Warn,
}

#[derive(Debug)]
struct Window {
    since: Instant,
    lines: u32,
    skipped: u64,
}

/// Writes events as one JSON object a line, see docs/LOGS.md.
#[derive(Debug)]
pub struct EventLog {
    instance: Arc<str>,
    logger: Arc<Logger>,
    windows: RefCell<HashMap<(&'static str, bool), Window>>,
    routine: RefCell<HashMap<&'static str, u64>>,
}

impl EventLog {
    /// Builds the log of the instance called `instance`, which writes to `logger`.
    #[must_use]
    pub fn new(instance: Arc<str>, logger: Arc<Logger>) -> Self {
        Self {
            instance,
            logger,
            windows: RefCell::default(),
            routine: RefCell::default(),
        }
    }

    /// Writes an event if its budget allows; the line says how many of its kind were left out.
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
        let mut routine = self.routine.borrow_mut();
        let count = routine.entry(event).or_default();
        *count += 1;
        *count % ROUTINE_SAMPLE == 1
    }

    /// Returns how many lines were left out before this one, or none if this one is left out too.
    fn admit(&self, event: &'static str, is_warning: bool) -> Option<u64> {
        let now = Instant::now();
        let mut windows = self.windows.borrow_mut();
        let window = windows.entry((event, is_warning)).or_insert(Window {
            since: now,
            lines: 0,
            skipped: 0,
        });
        if now.saturating_duration_since(window.since) >= SECOND {
            window.since = now;
            window.lines = 0;
        }
        if window.lines >= LINES_A_SECOND {
            window.skipped += 1;
            metrics::counter!("marigold_log_lines_skipped_total").increment(1);
            return None;
        }
        window.lines += 1;
        Some(std::mem::take(&mut window.skipped))
    }
}

/// Sends all log lines to the standard output.
///
/// # Errors
///
/// When the thread that writes them cannot be started.
pub fn init_logging() -> Result<(), spdlog::Error> {
    let output = StdStreamSink::builder()
        .stdout()
        .formatter(PatternFormatter::new(pattern!("{payload}{eol}")))
        .build_arc()?;
    spdlog::set_default_logger(async_logger(output)?);
    Ok(())
}

/// Builds a logger that writes to `output` from a thread of its own; what that one cannot take is dropped.
///
/// # Errors
///
/// When the thread cannot be started.
pub fn async_logger(output: Arc<dyn Sink>) -> Result<Arc<Logger>, spdlog::Error> {
    let lines = NonZeroUsize::new(QUEUE_LINES).unwrap_or(NonZeroUsize::MIN);
    let pool = ThreadPool::builder().capacity(lines).build_arc()?;
    let sink: Arc<dyn Sink> = AsyncPoolSink::builder()
        .sink(output)
        .thread_pool(pool)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .build_arc()?;
    // Without a handler the library would write each lost line to the standard error, where nobody may read.
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
