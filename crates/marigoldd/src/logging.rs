//! Sets up the daemon's logger from its settings.

use std::sync::Arc;

use marigold_settings::{Format, Level, LoggingSettings, Target};
use spdlog::formatter::{FullFormatter, JsonFormatter};
use spdlog::sink::{FileSink, Sink, StdStreamSink};
use spdlog::{LevelFilter, Logger};

/// Installs a logger with `settings` as the default logger of the process.
///
/// # Errors
///
/// When the target file cannot be opened.
pub fn install(settings: &LoggingSettings) -> Result<(), spdlog::Error> {
    let sink = build_sink(settings)?;
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(to_spdlog_level(
            settings.level,
        )))
        .flush_level_filter(LevelFilter::All)
        .build_arc()?;
    spdlog::set_default_logger(logger);
    Ok(())
}

fn build_sink(settings: &LoggingSettings) -> Result<Arc<dyn Sink>, spdlog::Error> {
    match (&settings.target, settings.format) {
        (Target::Stderr, Format::Text) => {
            let builder = StdStreamSink::builder().stderr();
            Ok(builder.formatter(FullFormatter::new()).build_arc()?)
        }
        (Target::Stderr, Format::Json) => {
            let builder = StdStreamSink::builder().stderr();
            Ok(builder.formatter(JsonFormatter::new()).build_arc()?)
        }
        (Target::File(path), Format::Text) => {
            let builder = FileSink::builder().path(path);
            Ok(builder.formatter(FullFormatter::new()).build_arc()?)
        }
        (Target::File(path), Format::Json) => {
            let builder = FileSink::builder().path(path);
            Ok(builder.formatter(JsonFormatter::new()).build_arc()?)
        }
    }
}

fn to_spdlog_level(level: Level) -> spdlog::Level {
    match level {
        Level::Error => spdlog::Level::Error,
        Level::Warn => spdlog::Level::Warn,
        Level::Info => spdlog::Level::Info,
        Level::Debug => spdlog::Level::Debug,
    }
}
