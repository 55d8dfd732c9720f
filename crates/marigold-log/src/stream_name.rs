//! Streams of the mesh in the platform's log.

use std::fmt;

/// A stream of the platform's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum StreamName {
    /// Plans, confirmations and checkpoints.
    Config,
    /// Joins, which daemons read at startup if none of the peers in their settings responds.
    Members,
}

impl fmt::Display for StreamName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Config => "config",
            Self::Members => "members",
        })
    }
}
