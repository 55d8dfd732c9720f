//! Section `[logging]`.

use std::fmt;
use std::path::PathBuf;
use std::str::FromStr;

use marigold_types::ParseError;

use crate::choice::choice;
use crate::reader::Reader;

choice!(
    /// Minimum severity of the messages written.
    Level, "level", "error, warn, info or debug",
    /// Failures that prevent the daemon from working.
    Error = "error",
    /// Conditions that an operator should look into.
    Warn = "warn",
    /// State changes.
    Info = "info",
    /// Individual decisions.
    Debug = "debug",
);
choice!(
    /// Format of log lines.
    Format, "format", "text or json",
    /// Human-readable lines.
    Text = "text",
    /// One JSON object per line.
    Json = "json",
);

/// Destination of log lines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Target {
    /// Standard error.
    Stderr,
    /// A file that lines are appended to.
    File(PathBuf),
}

impl FromStr for Target {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match (text, text.strip_prefix("file:")) {
            ("stderr", _) => Ok(Self::Stderr),
            (_, Some(path)) if !path.is_empty() => Ok(Self::File(path.into())),
            _ => Err(ParseError::new(text, "log target", "stderr or file:PATH")),
        }
    }
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Stderr => f.write_str("stderr"),
            Self::File(path) => write!(f, "file:{}", path.display()),
        }
    }
}

/// The daemon's own log messages.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoggingSettings {
    /// Minimum severity of the messages written.
    pub level: Level,
    /// Format of log lines.
    pub format: Format,
    /// Destination of log lines.
    pub target: Target,
}

impl Default for LoggingSettings {
    fn default() -> Self {
        Self {
            level: Level::Info,
            format: Format::Text,
            target: Target::Stderr,
        }
    }
}

impl LoggingSettings {
    pub(crate) fn read(mut reader: Reader<'_>) -> Self {
        let defaults = Self::default();
        let settings = Self {
            level: reader.value(
                "level",
                defaults.level,
                "error, warn, info or debug",
                "minimum severity of the messages written",
            ),
            format: reader.value(
                "format",
                defaults.format,
                "text or json",
                "format of log lines",
            ),
            target: reader.value(
                "target",
                defaults.target,
                "stderr or file:PATH",
                "destination of log lines",
            ),
        };
        reader.finish();
        settings
    }
}
