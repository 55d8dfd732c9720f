//! Kinds and names of declarations.

use std::fmt;
use std::sync::Arc;

use marigold_types::{OperatorName, RouteName, ServiceName};
use serde::{Deserialize, Serialize};

/// The kind and name of a declaration, which also determine its order in a configuration.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Resource {
    /// An operator, declared with its public key.
    Operator(OperatorName),
    /// A rule that lets an operator change resources.
    Rule(Arc<str>),
    /// A service that backend servers provide.
    Service(ServiceName),
    /// A route from callers to a service.
    Route(RouteName),
    /// A rate limit on the calls of a service.
    Limit(Arc<str>),
    /// The service-level objective of a service.
    Objective(ServiceName),
}

impl Resource {
    /// Returns the kind of the intent section that declares it.
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

    /// Returns whether the name has valid syntax, which parsing a record does not check.
    #[must_use]
    pub fn has_valid_name(&self) -> bool {
        self.name().parse::<RouteName>().is_ok()
    }

    /// Returns the name, which is unique within the kind.
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
