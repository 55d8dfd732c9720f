//! Positions in a table of the keyed store.

use std::fmt;
use std::str::FromStr;

use marigold_types::{LogOffset, ParseError};

/// Number of the history of a store. It rises when the store comes back from an older copy: what was written since is lost, and
/// its offsets are given out again. See docs/design/platform.md.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreEra(pub u64);

impl FromStr for StoreEra {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse()
            .map(Self)
            .map_err(|_| ParseError::new(text, "store era", "a whole number"))
    }
}

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// An offset in a table, in the history that it was read in. In another one the same offset may have another record.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StorePosition {
    /// The history, or `None` if the store names none.
    pub era: Option<StoreEra>,
    /// The offset.
    pub offset: LogOffset,
}

impl StorePosition {
    /// Returns the position of the following record.
    #[must_use]
    pub fn next(self) -> Self {
        Self {
            offset: self.offset.next(),
            ..self
        }
    }
}

impl fmt::Display for StorePosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            Some(era) => write!(f, "{} of history {era}", self.offset),
            None => self.offset.fmt(f),
        }
    }
}
