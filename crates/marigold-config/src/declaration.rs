//! One thing that an intent declares.

use serde::{Deserialize, Serialize};

use crate::{Limit, Objective, Operator, Route, Rule, Service};

/// The content of a declaration; its name is the [`Resource`](crate::Resource) it stands under.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Declaration {
    /// An operator and the key that proves it.
    Operator(Operator),
    /// A rule on who may change what and when.
    Rule(Rule),
    /// A service that backend servers offer.
    Service(Service),
    /// A route from callers to a service.
    Route(Route),
    /// A limit on the calls of a service.
    Limit(Limit),
    /// A service-level objective.
    Objective(Objective),
}
