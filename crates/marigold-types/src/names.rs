//! Names chosen by operators. All have the same syntax, with one type per kind of name.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ParseError;

/// Length limit of a name in bytes.
const MAX_NAME_BYTES: usize = 64;
const ALLOWED: &str = "1 to 64 of a-z, 0-9, `-`, `_` and `.`";

fn is_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_.".contains(&b);
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}

/// Defines the type of one kind of name.
macro_rules! name {
    ($(#[$doc:meta])* $type:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $type(Arc<str>);

        impl $type {
            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $type {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                if is_name(text) {
                    Ok(Self(Arc::from(text)))
                } else {
                    Err(ParseError::new(text, $kind, ALLOWED))
                }
            }
        }

        impl TryFrom<String> for $type {
            type Error = ParseError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$type> for String {
            fn from(name: $type) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }
    };
}

name!(
    /// The name of a service that backend servers provide.
    ServiceName,
    "service name"
);
name!(
    /// The name of a route in the configuration.
    RouteName,
    "route name"
);
name!(
    /// The name of an operator, whose public key is in the configuration.
    OperatorName,
    "operator name"
);
name!(
    /// The name of a data centre, the failure domain within which routing prefers to stay.
    DataCentre,
    "data centre name"
);
name!(
    /// The name of a region, a group of data centres.
    Region,
    "region name"
);
name!(
    /// The name of a caller, to which limits apply.
    CallerName,
    "caller name"
);
name!(
    /// The name of a workspace, whose callers share keys, a quota and a precedence.
    WorkspaceName,
    "workspace name"
);

#[cfg(test)]
mod tests {
    use super::*;

    macro_rules! rejects {
        ($($name:ident: $text:expr;)*) => {$(
            #[test]
            fn $name() {
                assert!($text.parse::<ServiceName>().is_err());
            }
        )*};
    }

    rejects! {
        empty: "";
        space: "a b";
        upper_case: "Desk";
        control_character: "a\n";
        too_long: "a".repeat(MAX_NAME_BYTES + 1);
    }

    #[test]
    fn accepts_valid_name() {
        assert_eq!(
            "dispatch-desk".parse::<ServiceName>().unwrap().as_str(),
            "dispatch-desk"
        );
    }
}
