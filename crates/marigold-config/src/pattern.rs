//! Resource patterns of rules.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use marigold_types::ParseError;

use crate::Resource;

const ALLOWED: &str = "`*`, or KIND:NAME with KIND one of operator, rule, service, route, limit, \
    objective or `*`, and NAME with `*` for any text, as service:dispatch-*";
const KINDS: [&str; 7] = [
    "operator",
    "rule",
    "service",
    "route",
    "limit",
    "objective",
    ANY,
];
const ANY: &str = "*";
/// The length limit of a pattern.
const MAX_BYTES: usize = 160;

/// A pattern that matches a [`Resource`] by its text form; `*` in the name matches any text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pattern {
    kind: Arc<str>,
    name: Arc<str>,
}

impl Pattern {
    /// Returns whether the pattern matches `resource`.
    #[must_use]
    pub fn matches(&self, resource: &Resource) -> bool {
        let kind = &*self.kind == ANY || &*self.kind == resource.kind();
        kind && matches_name(&self.name, resource.name())
    }
}

/// Matches a name without recursion, so that a malicious pattern costs at most the product of the
/// lengths.
fn matches_name(pattern: &str, name: &str) -> bool {
    let parts: Vec<&str> = pattern.split('*').collect();
    let [first, middle @ .., last] = parts.as_slice() else {
        return pattern == name;
    };
    let Some(mut rest) = name.strip_prefix(first) else {
        return false;
    };
    for part in middle {
        let Some(at) = rest.find(part) else {
            return false;
        };
        rest = &rest[at + part.len()..];
    }
    rest.ends_with(last)
}

impl FromStr for Pattern {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (kind, name) = if text == ANY {
            (ANY, ANY)
        } else {
            text.split_once(':').unwrap_or(("", ""))
        };
        let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_.*".contains(&b);
        let valid = KINDS.contains(&kind) && !name.is_empty() && name.bytes().all(allowed);
        if !valid || text.len() > MAX_BYTES {
            return Err(ParseError::new(text, "resource pattern", ALLOWED));
        }
        Ok(Self {
            kind: Arc::from(kind),
            name: Arc::from(name),
        })
    }
}

impl fmt::Display for Pattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.kind, self.name)
    }
}
