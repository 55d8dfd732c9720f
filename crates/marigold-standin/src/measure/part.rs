//! The parts of the measurements, which can be run separately.

use clap::ValueEnum;

/// One part, which can be measured by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Part {
    /// Time and processor time added to a call.
    Calls,
    /// Convergence, control bytes, memory and processor time, with the time profile.
    ControlTime,
    /// The same with the bytes profile.
    ControlBytes,
    /// A herd of deaths and an outage of the log.
    Recovery,
    /// The cost of keys.
    Keys,
    /// Useful work under overload, by class.
    Overload,
    /// Lost and doubled calls in each fault, and how soon work stops.
    Faults,
}

impl Part {
    /// Returns the file stem and argument value of the part.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Calls => "calls",
            Self::ControlTime => "control-time",
            Self::ControlBytes => "control-bytes",
            Self::Recovery => "recovery",
            Self::Keys => "keys",
            Self::Overload => "overload",
            Self::Faults => "faults",
        }
    }

    /// Returns the heading of the part's page.
    #[must_use]
    pub const fn title(self) -> &'static str {
        match self {
            Self::Calls => "What the mesh adds to a call",
            Self::ControlTime => "Convergence and control, profile `time`",
            Self::ControlBytes => "Convergence and control, profile `bytes`",
            Self::Recovery => "After a herd of deaths, and during an outage of the log",
            Self::Keys => "The cost of a key",
            Self::Overload => "Work done under overload, by class",
            Self::Faults => "Lost and doubled calls in each fault",
        }
    }
}
