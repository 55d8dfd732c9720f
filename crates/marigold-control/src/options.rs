//! What the control side is tuned by.

use std::time::Duration;

/// The intervals and bounds of the control side; the daemon fills it from its settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlOptions {
    /// How often a peer is probed.
    pub probe: Duration,
    /// How long a silent daemon is suspected before it is held dead.
    pub suspicion: Duration,
    /// How often the configuration and the members are compared with a peer's.
    pub compare: Duration,
    /// How long changes of members are gathered before they are sent on.
    pub batch: Duration,
    /// How often a daemon tells its parent who holds which version below it.
    pub report: Duration,
    /// How often a follower reads the log.
    pub poll: Duration,
    /// How many daemons of a data centre follow the log.
    pub followers: usize,
    /// How many daemons each node of the fan-out tree sends to.
    pub fanout: usize,
    /// How many whole states a daemon hands out at one time.
    pub fetches: usize,
    /// How long the members of a herd that fell silent are kept before they are held dead.
    pub hold: Duration,
    /// How long a dead member is remembered and probed now and then.
    pub forget: Duration,
}

impl ControlOptions {
    /// Returns the options that favour a short convergence time.
    #[must_use]
    pub fn time() -> Self {
        Self {
            probe: Duration::from_secs(1),
            suspicion: Duration::from_secs(4),
            compare: Duration::from_secs(5),
            batch: Duration::from_millis(100),
            report: Duration::from_secs(1),
            poll: Duration::from_millis(500),
            followers: 3,
            fanout: 20,
            fetches: 4,
            hold: Duration::from_mins(10),
            forget: Duration::from_hours(4),
        }
    }

    /// Returns the options that favour few control bytes.
    #[must_use]
    pub fn bytes() -> Self {
        Self {
            probe: Duration::from_secs(2),
            suspicion: Duration::from_secs(6),
            compare: Duration::from_secs(15),
            batch: Duration::from_millis(500),
            report: Duration::from_secs(5),
            poll: Duration::from_secs(2),
            followers: 2,
            ..Self::time()
        }
    }
}

impl Default for ControlOptions {
    fn default() -> Self {
        Self::time()
    }
}
