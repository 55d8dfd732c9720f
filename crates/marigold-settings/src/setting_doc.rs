//! What the reference says of one setting.

/// One row of the settings reference.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingDoc {
    /// The section.
    pub section: &'static str,
    /// The setting.
    pub key: &'static str,
    /// The value without the setting; empty when the setting must be given.
    pub default: String,
    /// What is allowed.
    pub allowed: String,
    /// What it is for.
    pub meaning: &'static str,
}
