//! Declarations of resources.

use serde::{Deserialize, Serialize};

use crate::{Limit, Objective, Operator, Route, Rule, Service};

/// The content of a declaration, without its name, which is the [`Resource`](crate::Resource).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Declaration {
    /// An operator's public key.
    Operator(Operator),
    /// A rule that lets an operator change resources.
    Rule(Rule),
    /// A service that backend servers provide.
    Service(Service),
    /// A route from callers to a service.
    Route(Route),
    /// A rate limit on the calls of a service.
    Limit(Limit),
    /// A service-level objective of a service.
    Objective(Objective),
}
