//! Why a request was refused before it ran.

use std::fmt;

use marigold_types::Interval;
use serde::{Deserialize, Serialize};

/// Why the mesh holds proof that a request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RefusalReason {
    /// No route takes the path.
    NoRoute,
    /// The daemon may not serve yet.
    NotServing,
    /// The service has no backend server that takes work.
    NoBackendServer,
    /// Every slot is busy and the queue is full or too slow for the deadline.
    Overloaded,
    /// A declared limit is used up.
    Limited,
    /// The backend server is leaving.
    Draining,
    /// The deadline passed before the request ran.
    Deadline,
    /// The caller left before the request ran.
    Cancelled,
    /// The executor could not be reached, so nothing was sent to it.
    Unreachable,
    /// The request is held to crash backend servers.
    Quarantined,
    /// The key was sealed, has expired, or is for another instance or service.
    KeyRefused,
    /// The key was not made by this mesh.
    KeyInvalid,
    /// The key was used for another request before.
    KeyReused,
    /// The table of keys is full.
    KeysFull,
    /// The witness did not confirm that the request may start.
    NoWitness,
    /// The backend server's connection could not be opened.
    NoConnection,
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoRoute => "no-route",
            Self::NotServing => "not-serving",
            Self::NoBackendServer => "no-backend-server",
            Self::Overloaded => "overloaded",
            Self::Limited => "limited",
            Self::Draining => "draining",
            Self::Deadline => "deadline",
            Self::Cancelled => "cancelled",
            Self::Unreachable => "unreachable",
            Self::Quarantined => "quarantined",
            Self::KeyRefused => "key-refused",
            Self::KeyInvalid => "key-invalid",
            Self::KeyReused => "key-reused",
            Self::KeysFull => "keys-full",
            Self::NoWitness => "no-witness",
            Self::NoConnection => "no-connection",
        })
    }
}

/// A refusal with the time after which it is worth sending again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Refusal {
    /// Why it was refused.
    pub reason: RefusalReason,
    /// When to come back; absent when sending again cannot help.
    pub retry_after: Option<Interval>,
}

impl Refusal {
    /// Builds a refusal after which sending the same again cannot help.
    #[must_use]
    pub const fn permanent(reason: RefusalReason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }

    /// Builds a refusal that is worth another try after `delay`.
    #[must_use]
    pub const fn retryable(reason: RefusalReason, delay: Interval) -> Self {
        Self {
            reason,
            retry_after: Some(delay),
        }
    }
}
