//! Section `[control]`.

use marigold_types::Interval;

use crate::choice::choice;
use crate::reader::Reader;

choice!(
    /// What the control side favours where time and bytes pull against each other.
    Profile, "profile", "time or bytes",
    /// Short convergence, as Tregaron weighs it.
    Time = "time",
    /// Few control bytes, as Aspen Coulee weighs it.
    Bytes = "bytes",
);

/// The control side.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlSettings {
    /// What is favoured; it scales the intervals.
    pub profile: Profile,
    /// How often the controllers are run.
    pub tick: Interval,
    /// How often a peer is probed.
    pub probe: Interval,
    /// How long a silent daemon is suspected before it is held dead.
    pub suspicion: Interval,
    /// How many daemons of a data centre follow the log.
    pub followers: u32,
    /// How many daemons each node of the fan-out tree sends to.
    pub fanout: u32,
    /// How often the configuration is compared with a random peer's.
    pub compare: Interval,
}

impl Default for ControlSettings {
    fn default() -> Self {
        Self {
            profile: Profile::Time,
            tick: Interval::from_millis(100),
            probe: Interval::from_millis(1_000),
            suspicion: Interval::from_millis(4_000),
            followers: 3,
            fanout: 20,
            compare: Interval::from_millis(5_000),
        }
    }
}

impl ControlSettings {
    pub(crate) fn read(mut reader: Reader<'_>) -> Self {
        let base = Self::default();
        let settings = Self {
            profile: reader.value(
                "profile",
                base.profile,
                "time or bytes",
                "what is favoured where convergence time and control bytes pull apart",
            ),
            tick: reader.ranged(
                "tick",
                base.tick,
                Interval::from_millis(10)..=Interval::from_millis(1_000),
                "how often the controllers are run",
            ),
            probe: reader.ranged(
                "probe",
                base.probe,
                Interval::from_millis(100)..=Interval::from_millis(30_000),
                "how often a peer is probed",
            ),
            suspicion: reader.ranged(
                "suspicion",
                base.suspicion,
                Interval::from_millis(500)..=Interval::from_millis(120_000),
                "how long a silent daemon is suspected before it is held dead",
            ),
            followers: reader.ranged(
                "followers",
                base.followers,
                1..=16,
                "how many daemons of a data centre follow the log",
            ),
            fanout: reader.ranged(
                "fanout",
                base.fanout,
                2..=200,
                "how many daemons each node of the fan-out tree sends to",
            ),
            compare: reader.ranged(
                "compare",
                base.compare,
                Interval::from_millis(500)..=Interval::from_millis(300_000),
                "how often the configuration is compared with a random peer's",
            ),
        };
        reader.finish();
        settings
    }
}
