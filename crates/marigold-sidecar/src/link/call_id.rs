//! Names calls and sessions.

use serde::{Deserialize, Serialize};

/// Names one call within its session; grows with each call.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct CallId(pub u64);

/// Names the calls from one life of a daemon to another daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionId(pub u64);
