//! Documentation of one setting.

/// One row of the settings reference.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingDoc {
    /// Section without its brackets.
    pub section: &'static str,
    /// Key of the setting.
    pub key: &'static str,
    /// Default value; empty if the setting is required.
    pub default: String,
    /// Description of the allowed values.
    pub allowed: String,
    /// Purpose of the setting.
    pub meaning: &'static str,
}
