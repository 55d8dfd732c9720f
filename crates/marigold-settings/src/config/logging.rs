//! Section `[logging]`.

use std::fmt;
use std::path::PathBuf;
use std::str::FromStr;

use marigold_types::ParseError;

use crate::choice::choice;
use crate::reader::Reader;

choice!(
    /// The least important line that is written.
    Level, "level", "error, warn, info or debug",
    /// Only what stops the daemon from doing its work.
    Error = "error",
    /// What an operator should look at.
    Warn = "warn",
    /// Changes of state.
    Info = "info",
    /// Each decision.
    Debug = "debug",
);
choice!(
    /// The form of the lines.
    Format, "format", "text or json",
    /// For people.
    Text = "text",
    /// For programs.
    Json = "json",
);

/// Where the lines go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Target {
    /// The standard error.
    Stderr,
    /// A file, which is appended to.
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

/// The daemon's own log lines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoggingSettings {
    /// The least important line that is written.
    pub level: Level,
    /// The form of the lines.
    pub format: Format,
    /// Where the lines go.
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
        let base = Self::default();
        let settings = Self {
            level: reader.value(
                "level",
                base.level,
                "error, warn, info or debug",
                "the least important line that is written",
            ),
            format: reader.value(
                "format",
                base.format,
                "text or json",
                "the form of the lines",
            ),
            target: reader.value(
                "target",
                base.target,
                "stderr or file:PATH",
                "where the lines go",
            ),
        };
        reader.finish();
        settings
    }
}
