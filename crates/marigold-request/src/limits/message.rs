//! What daemons tell each other of a shared limit.

use std::sync::Arc;

use marigold_types::Interval;
use serde::{Deserialize, Serialize};

use crate::limits::MilliRate;

/// A daemon says how much of a limit its callers ask for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The name of the limit's declaration.
    pub limit: Arc<str>,
    /// What is asked for, passed or not.
    pub rate: MilliRate,
}

/// The keeper of a limit gives a daemon a share for a time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The name of the limit's declaration.
    pub limit: Arc<str>,
    /// The share.
    pub rate: MilliRate,
    /// How long it holds, counted by its user from when it asked.
    pub lease: Interval,
}
