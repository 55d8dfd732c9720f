//! Fault injection for a backend server.

use marigold_types::SlotCount;
use serde::{Deserialize, Serialize};

/// The state that the health and load endpoints report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HealthMode {
    /// The current state.
    #[default]
    Honest,
    /// A state that is up to this many milliseconds old.
    Lagging(u64),
    /// Always ready and idle.
    AlwaysWell,
    /// Always not ready.
    AlwaysIll,
}

/// Changes to the stand-in's injected faults. Absent fields leave the current value in place.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendControl {
    /// Whether to refuse new requests; running requests finish.
    pub draining: Option<bool>,
    /// The state that the health and load endpoints report.
    pub health: Option<HealthMode>,
    /// Whether the connections that are open now stop responding for good without being closed.
    pub silence: bool,
    /// The number of requests that run at once.
    pub slots: Option<SlotCount>,
    /// Delay added to each request, in milliseconds.
    pub extra_ms: Option<u64>,
    /// Whether every request is answered with status 500 after it ran.
    pub failing: Option<bool>,
}
