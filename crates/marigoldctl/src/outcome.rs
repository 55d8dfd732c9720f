//! Results of commands and their exit codes.

/// The result of a command that did not fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The command did what was asked.
    Done,
    /// The answer is no: refused, not converged, different, or no matching log line.
    Negative,
    /// The request was sent, but its result is not yet known.
    NotYetKnown,
}

/// The exit codes and their meanings, for the command reference. Errors add 2 and 3, see
/// `CtlError::code`.
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
        "no daemon could be reached, or the platform's log could not; nothing was written",
    ),
    (
        4,
        "not yet known whether it took effect; running the same command again is safe and shows \
         the result",
    ),
];

impl Outcome {
    /// Returns the exit code, see [`EXIT_CODES`].
    #[must_use]
    pub fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Negative => 1,
            Self::NotYetKnown => 4,
        }
    }
}
