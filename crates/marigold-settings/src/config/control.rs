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

/// The control side; what is not set goes by the profile.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlSettings {
    /// What is favoured; it gives the defaults of the others.
    pub profile: Profile,
    /// How often the controllers are run.
    pub tick: Interval,
    /// How often a peer is probed.
    pub probe: Option<Interval>,
    /// How long a silent daemon is suspected before it is held dead.
    pub suspicion: Option<Interval>,
    /// How many daemons of a data centre follow the log.
    pub followers: Option<u32>,
    /// How many daemons each node of the fan-out tree sends to.
    pub fanout: Option<u32>,
    /// How often the configuration is compared with a random peer's.
    pub compare: Option<Interval>,
    /// How long changes of members are gathered before they are sent on.
    pub batch: Option<Interval>,
    /// How often a daemon reports who holds which version below it.
    pub report: Option<Interval>,
    /// How often a follower reads the platform's log.
    pub poll: Option<Interval>,
}

impl Default for ControlSettings {
    fn default() -> Self {
        Self {
            profile: Profile::Time,
            tick: Interval::from_millis(100),
            probe: None,
            suspicion: None,
            followers: None,
            fanout: None,
            compare: None,
            batch: None,
            report: None,
            poll: None,
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
            probe: reader.ranged_or(
                "probe",
                "1s for time, 2s for bytes",
                Interval::from_millis(100)..=Interval::from_millis(30_000),
                "how often a peer is probed",
            ),
            suspicion: reader.ranged_or(
                "suspicion",
                "4s for time, 6s for bytes",
                Interval::from_millis(500)..=Interval::from_millis(120_000),
                "how long a silent daemon is suspected before it is held dead",
            ),
            followers: reader.ranged_or(
                "followers",
                "3 for time, 2 for bytes",
                1..=16,
                "how many daemons of a data centre follow the log",
            ),
            fanout: reader.ranged_or(
                "fanout",
                "20",
                2..=200,
                "how many daemons each node of the fan-out tree sends to",
            ),
            compare: reader.ranged_or(
                "compare",
                "5s for time, 15s for bytes",
                Interval::from_millis(500)..=Interval::from_millis(300_000),
                "how often the configuration is compared with a random peer's",
            ),
            batch: reader.ranged_or(
                "batch",
                "100ms for time, 500ms for bytes",
                Interval::from_millis(10)..=Interval::from_millis(10_000),
                "how long changes of members are gathered before they are sent on",
            ),
            report: reader.ranged_or(
                "report",
                "1s for time, 5s for bytes",
                Interval::from_millis(100)..=Interval::from_millis(60_000),
                "how often a daemon reports who holds which version below it",
            ),
            poll: reader.ranged_or(
                "poll",
                "500ms for time, 2s for bytes",
                Interval::from_millis(50)..=Interval::from_millis(10_000),
                "how often a follower reads the platform's log",
            ),
        };
        reader.finish();
        settings
    }
}
