//! Log level of the daemons that run in this process.

use marigold_settings::{Level, LoggingSettings};

use crate::StandinError;

/// Limits the log output of the daemons in this process to errors, so that it does not mix with the
/// output of the program.
///
/// # Errors
///
/// If the logger cannot be installed.
pub fn log_errors_only() -> Result<(), StandinError> {
    let settings = LoggingSettings {
        level: Level::Error,
        ..LoggingSettings::default()
    };
    marigoldd::install_logging(&settings)
        .map_err(|error| StandinError::new("set up", &"logger", &error))
}
