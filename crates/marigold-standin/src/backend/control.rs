//! How a test tells a backend server to misbehave.

use marigold_types::SlotCount;
use serde::{Deserialize, Serialize};

/// What the health and load endpoints say.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HealthMode {
    /// The truth.
    #[default]
    Honest,
    /// The truth of up to so many milliseconds ago.
    Lagging(u64),
    /// Always well and idle.
    AlwaysWell,
    /// Always ill.
    AlwaysIll,
}

/// A change of the stand-in's behaviour; what is absent stays as it is.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendControl {
    /// Whether new work is refused while running work ends.
    pub draining: Option<bool>,
    /// What the health and load endpoints say.
    pub health: Option<HealthMode>,
    /// Whether every connection that is open now goes silent for good.
    pub silence: bool,
    /// Requests that run at once.
    pub slots: Option<SlotCount>,
    /// Milliseconds added to each request.
    pub extra_ms: Option<u64>,
    /// Whether every request is answered 500 after it ran.
    pub failing: Option<bool>,
}
