//! Why a declaration cannot stand.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Resource;

/// The most characters of a problem's text, which may repeat what an operator wrote.
const MAX_PROBLEM: usize = 200;

/// A field of a declaration that has no valid value, with what is allowed there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InvalidField {
    /// The declaration that is at fault.
    pub resource: Resource,
    /// The field, as an intent names it.
    pub field: Arc<str>,
    /// What is wrong.
    pub problem: Arc<str>,
    /// What is allowed.
    pub allowed: Arc<str>,
}

impl InvalidField {
    /// Builds the fault of `field` in `resource`.
    #[must_use]
    pub fn new(resource: &Resource, field: &str, problem: &str, allowed: &str) -> Self {
        Self {
            resource: resource.clone(),
            field: Arc::from(field),
            problem: Arc::from(problem.chars().take(MAX_PROBLEM).collect::<String>()),
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
