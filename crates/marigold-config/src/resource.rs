//! Names one thing that an intent can declare.

use std::fmt;
use std::sync::Arc;

use marigold_types::{OperatorName, RouteName, ServiceName};
use serde::{Deserialize, Serialize};

/// The kind and name of a declaration; it orders the declarations of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Resource {
    /// An operator and the key that proves it.
    Operator(OperatorName),
    /// A rule on who may change what and when.
    Rule(Arc<str>),
    /// A service that backend servers offer.
    Service(ServiceName),
    /// A route from callers to a service.
    Route(RouteName),
    /// A limit on the calls of a service.
    Limit(Arc<str>),
    /// A service-level objective.
    Objective(ServiceName),
}

impl Resource {
    /// Returns the section kind that declares it in an intent.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Operator(_) => "operator",
            Self::Rule(_) => "rule",
            Self::Service(_) => "service",
            Self::Route(_) => "route",
            Self::Limit(_) => "limit",
            Self::Objective(_) => "objective",
        }
    }

    /// Returns whether the name has the grammar of names; a record can hold others.
    #[must_use]
    pub fn has_valid_name(&self) -> bool {
        self.name().parse::<RouteName>().is_ok()
    }

    /// Returns the name within its kind.
    #[must_use]
    pub fn name(&self) -> &str {
        match self {
            Self::Operator(name) => name.as_str(),
            Self::Rule(name) | Self::Limit(name) => name,
            Self::Service(name) | Self::Objective(name) => name.as_str(),
            Self::Route(name) => name.as_str(),
        }
    }
}

impl fmt::Display for Resource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.kind(), self.name())
    }
}
