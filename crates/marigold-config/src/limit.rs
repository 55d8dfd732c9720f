//! What operators declare of a limit.

use marigold_types::{CallerName, Rate, ServiceName};
use serde::{Deserialize, Serialize};

/// The most calls a second that the whole mesh passes to a service, in all or for one caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limit {
    /// The service that is protected.
    pub service: ServiceName,
    /// The caller it counts; every caller together when absent.
    pub caller: Option<CallerName>,
    /// The most calls a second over the whole mesh.
    pub rate: Rate,
}
