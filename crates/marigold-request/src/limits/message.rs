//! Messages between daemons about shared rate limits.

use std::sync::Arc;

use marigold_types::Interval;
use serde::{Deserialize, Serialize};

use crate::limits::MilliRate;

/// A daemon's demand for a limit, sent to the allocator of that limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The name of the limit's declaration.
    pub limit: Arc<str>,
    /// The rate of calls that arrive, whether passed or refused.
    pub rate: MilliRate,
}

/// A daemon's share of a limit, leased by the allocator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The name of the limit's declaration.
    pub limit: Arc<str>,
    /// The rate of the share.
    pub rate: MilliRate,
    /// How long the share is valid, counted from when its holder sent the demand.
    pub lease: Interval,
}
