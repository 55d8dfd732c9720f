//! Section `[control]`.

use marigold_types::Interval;

use crate::choice::choice;
use crate::reader::Reader;

choice!(
    /// The trade-off between convergence time and control traffic.
    Profile, "profile", "time or bytes",
    /// Favours short convergence times, as Tregaron does.
    Time = "time",
    /// Favours little control traffic, as Aspen Coulee does.
    Bytes = "bytes",
);

/// The control plane; the profile gives the value of each setting that is `None`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlSettings {
    /// Source of the defaults of the optional settings.
    pub profile: Profile,
    /// Interval between runs of the controllers.
    pub tick: Interval,
    /// Interval between probes of peers.
    pub probe: Option<Interval>,
    /// How long an unresponsive daemon is suspected before it is declared dead.
    pub suspicion: Option<Interval>,
    /// Number of daemons per data centre that follow the log.
    pub followers: Option<u32>,
    /// Number of daemons that each node of the fan-out tree sends to.
    pub fanout: Option<u32>,
    /// Interval between comparisons of the configuration with a random peer's.
    pub compare: Option<Interval>,
    /// How long membership changes are collected before they are forwarded.
    pub batch: Option<Interval>,
    /// Interval between a daemon's reports of the versions held in its subtree.
    pub report: Option<Interval>,
    /// Interval between a follower's reads of the platform's log.
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
        let defaults = Self::default();
        let settings = Self {
            profile: reader.value(
                "profile",
                defaults.profile,
                "time or bytes",
                "whether to favour short convergence times or little control traffic",
            ),
            tick: reader.ranged(
                "tick",
                defaults.tick,
                Interval::from_millis(10)..=Interval::from_millis(1_000),
                "interval between runs of the controllers",
            ),
            probe: reader.optional_ranged(
                "probe",
                "1s for time, 2s for bytes",
                Interval::from_millis(100)..=Interval::from_millis(30_000),
                "interval between probes of peers",
            ),
            suspicion: reader.optional_ranged(
                "suspicion",
                "4s for time, 6s for bytes",
                Interval::from_millis(500)..=Interval::from_millis(120_000),
                "how long an unresponsive daemon is suspected before it is declared dead",
            ),
            followers: reader.optional_ranged(
                "followers",
                "3 for time, 2 for bytes",
                1..=16,
                "number of daemons per data centre that follow the log",
            ),
            fanout: reader.optional_ranged(
                "fanout",
                "20",
                2..=200,
                "number of daemons that each node of the fan-out tree sends to",
            ),
            compare: reader.optional_ranged(
                "compare",
                "5s for time, 15s for bytes",
                Interval::from_millis(500)..=Interval::from_millis(300_000),
                "interval between comparisons of the configuration with a random peer's",
            ),
            batch: reader.optional_ranged(
                "batch",
                "100ms for time, 500ms for bytes",
                Interval::from_millis(10)..=Interval::from_millis(10_000),
                "how long membership changes are collected before they are forwarded",
            ),
            report: reader.optional_ranged(
                "report",
                "1s for time, 5s for bytes",
                Interval::from_millis(100)..=Interval::from_millis(60_000),
                "interval between a daemon's reports of the versions held in its subtree",
            ),
            poll: reader.optional_ranged(
                "poll",
                "500ms for time, 2s for bytes",
                Interval::from_millis(50)..=Interval::from_millis(10_000),
                "interval between a follower's reads of the platform's log",
            ),
        };
        reader.finish();
        settings
    }
}
