//! Options of the control plane.

use std::time::Duration;

/// The intervals and limits of the control plane; the daemon reads them from its settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlOptions {
    /// The interval between probes.
    pub probe: Duration,
    /// How long a daemon is suspected before it is declared dead.
    pub suspicion: Duration,
    /// The interval between comparisons of the configuration and the members table with a peer.
    pub compare: Duration,
    /// How long updates are collected before they are gossiped.
    pub batch: Duration,
    /// The interval between version reports to the parent in the fan-out tree.
    pub report: Duration,
    /// The interval between a follower's reads of the log.
    pub poll: Duration,
    /// The number of followers in a data centre.
    pub followers: usize,
    /// The maximum number of children of a node in the fan-out tree.
    pub fanout: usize,
    /// The maximum number of concurrent snapshot transfers from one daemon.
    pub fetches: usize,
    /// How long daemons are suspected during a mass failure before they are declared dead.
    pub hold: Duration,
    /// How long a dead member is kept and occasionally probed before it is removed.
    pub forget: Duration,
}

impl ControlOptions {
    /// Returns the options optimized for a short convergence time.
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

    /// Returns the options optimized for low control traffic.
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
