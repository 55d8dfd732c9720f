//! What a daemon holds, in a few bytes.

use marigold_types::Version;
use serde::{Deserialize, Serialize};

/// The version and digests that two daemons compare.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateDigest {
    /// The version held.
    pub version: Version,
    /// The first eight bytes of the configuration's digest.
    pub config: u64,
    /// The digest of the members table.
    pub table: u64,
}
