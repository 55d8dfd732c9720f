//! Rate limits.

use marigold_types::{CallerName, Rate, ServiceName};
use serde::{Deserialize, Serialize};

/// A limit on the rate of calls to a service over the whole mesh, from one caller or from all.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limit {
    /// The service whose calls are limited.
    pub service: ServiceName,
    /// The caller whose calls are counted; if absent, all callers are counted together.
    pub caller: Option<CallerName>,
    /// The maximum rate of calls over the whole mesh.
    pub rate: Rate,
}
