//! The ways in which decisions are made, for operators who compare them. See docs/design/shifted-work.md.

use std::fmt;
use std::str::FromStr;

use marigold_types::ParseError;

/// Declares the ways of one decision with their names in settings.
macro_rules! ways {
    ($(#[$doc:meta])* $decision:ident, $label:literal, $names:literal {
        $($(#[$way_doc:meta])* $way:ident => $name:literal,)*
    }) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
        pub enum $decision {
            $($(#[$way_doc])* $way,)*
        }

        impl FromStr for $decision {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                match text {
                    $($name => Ok(Self::$way),)*
                    _ => Err(ParseError::new(text, $label, $names)),
                }
            }
        }

        impl fmt::Display for $decision {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(match self {
                    $(Self::$way => $name,)*
                })
            }
        }
    };
}

ways! {
    /// How long a request is expected to wait at an executor.
    WaitSource, "source of waits", "queue or learnt" {
        /// As long as the queue takes in the order of arrival.
        #[default]
        Queue => "queue",
        /// As long as requests of its kind have waited where executors seemed as full.
        Learnt => "learnt",
    }
}

ways! {
    /// What it costs to lose a request that may run once, whose run nobody can repeat.
    LossCost, "cost of a lost request", "value or double" {
        /// The value of its response.
        #[default]
        Value => "value",
        /// The value of its response, and as much for the caller that is left without an answer.
        Double => "double",
    }
}

/// The ways in force.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Decisions {
    /// How long requests wait.
    pub wait: WaitSource,
    /// What a lost request costs.
    pub loss_cost: LossCost,
}
