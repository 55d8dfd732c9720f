//! Keeps the daemons' own log lines out of the stand-ins' output.

use marigold_settings::{Level, LoggingSettings};

use crate::StandinError;

/// Lets only errors of the daemons in this process through.
///
/// # Errors
///
/// When the logger cannot be set up.
pub fn log_errors_only() -> Result<(), StandinError> {
    let settings = LoggingSettings {
        level: Level::Error,
        ..LoggingSettings::default()
    };
    marigoldd::install_logging(&settings)
        .map_err(|error| StandinError::new("set up", &"logger", &error))
}
