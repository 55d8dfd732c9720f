//! Invalid fields of declarations.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Resource;

/// The length limit of a problem's text in characters, since it can quote what an operator wrote.
const MAX_PROBLEM_CHARS: usize = 200;

/// An invalid field of a declaration, with the problem and the allowed values.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InvalidField {
    /// The resource whose declaration is invalid.
    pub resource: Resource,
    /// The name of the field, as in an intent.
    pub field: Arc<str>,
    /// A description of the problem, cut to 200 characters.
    pub problem: Arc<str>,
    /// The allowed values.
    pub allowed: Arc<str>,
}

impl InvalidField {
    /// Describes a problem with `field` of `resource`.
    #[must_use]
    pub fn new(resource: &Resource, field: &str, problem: &str, allowed: &str) -> Self {
        Self {
            resource: resource.clone(),
            field: Arc::from(field),
            problem: Arc::from(problem.chars().take(MAX_PROBLEM_CHARS).collect::<String>()),
            allowed: Arc::from(allowed),
        }
    }
}

impl fmt::Display for InvalidField {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            resource,
            field,
            problem,
            allowed,
        } = self;
        write!(f, "{resource} {field}: {problem}; allowed: {allowed}")
    }
}
