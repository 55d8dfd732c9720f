//! Section `[peers]`.

use marigold_types::Address;

use crate::reader::Reader;

/// Discovery of other daemons.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PeerSettings {
    /// Daemons contacted first after a start. If none responds, the log's members stream is used.
    pub seeds: Vec<Address>,
}

impl PeerSettings {
    pub(crate) fn read(mut reader: Reader<'_>) -> Self {
        let settings = Self {
            seeds: reader.list(
                "seeds",
                "addresses separated by commas",
                "daemons contacted first after a start",
            ),
        };
        reader.finish();
        settings
    }
}
