//! Settings of a daemon, parsed from an INI file. All errors of a file are reported at once.
//!
//! docs/SETTINGS.md lists all settings; a test compares it with [`render_reference`].

mod choice;
mod config;
mod reader;
mod reference;
mod setting_doc;
mod settings;

pub use config::admin::AdminSettings;
pub use config::caller::CallerSettings;
pub use config::control::{ControlSettings, Profile};
pub use config::daemon::DaemonSettings;
pub use config::log::LogSettings;
pub use config::logging::{Format, Level, LoggingSettings, Target};
pub use config::peers::PeerSettings;
pub use config::request::RequestSettings;
pub use config::tls::TlsSettings;
pub use config::trust::TrustSettings;
pub use reference::render_reference;
pub use setting_doc::SettingDoc;
pub use settings::Settings;
