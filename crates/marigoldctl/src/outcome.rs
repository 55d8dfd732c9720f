//! How a command ended, and the exit code that says so.

/// A command that ran to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It did what was asked.
    Done,
    /// The answer is no: refused, not converged, or different.
    Negative,
    /// What became of the request is not yet known.
    NotYetKnown,
}

/// The exit codes with their meaning, for the command reference.
pub const EXIT_CODES: [(u8, &str); 5] = [
    (0, "done"),
    (
        1,
        "the answer is no: a plan or confirmation was refused, the mesh has not converged, or \
        `diff` found differences",
    ),
    (2, "bad input: an argument, a file or a key"),
    (
        3,
        "no daemon, or not the platform's log, could be reached; nothing was written",
    ),
    (
        4,
        "not yet known whether it took effect; running the same command again is safe and tells",
    ),
];

impl Outcome {
    /// Returns the exit code.
    #[must_use]
    pub fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Negative => 1,
            Self::NotYetKnown => 4,
        }
    }
}
