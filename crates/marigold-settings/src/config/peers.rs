//! Section `[peers]`.

use marigold_types::Address;

use crate::reader::Reader;

/// The daemons that are asked first after a start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PeerSettings {
    /// Some daemons' addresses; the log's members stream serves when none answers.
    pub seeds: Vec<Address>,
}

impl PeerSettings {
    pub(crate) fn read(mut reader: Reader<'_>) -> Self {
        let settings = Self {
            seeds: reader.list(
                "seeds",
                "addresses with commas between them",
                "daemons that are asked first after a start",
            ),
        };
        reader.finish();
        settings
    }
}
