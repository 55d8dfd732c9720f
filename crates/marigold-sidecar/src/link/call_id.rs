//! Ids of calls and sessions.

use serde::{Deserialize, Serialize};

/// Id of a call, unique within its session and increasing.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct CallId(pub u64);

/// Random id of the session from one run of an ingress to an executor.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionId(pub u64);
