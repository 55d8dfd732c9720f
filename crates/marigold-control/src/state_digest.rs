//! A compact digest of a daemon's state.

use marigold_types::Version;
use serde::{Deserialize, Serialize};

/// The version and the digests that two daemons compare to find differences.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateDigest {
    /// The version of the configuration.
    pub version: Version,
    /// The first eight bytes of the configuration's digest.
    pub config: u64,
    /// The digest of the members table.
    pub table: u64,
}
