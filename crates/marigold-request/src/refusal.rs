//! Refusals of requests that did not run.

use std::fmt;

use marigold_types::Interval;
use serde::{Deserialize, Serialize};

/// The reason for a refusal. Each one proves that the request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RefusalReason {
    /// No route matches the path.
    NoRoute,
    /// The daemon is not allowed to serve yet.
    NotServing,
    /// The service has no backend server that takes work.
    NoBackendServer,
    /// All slots are busy, and the queue is full or too slow for the deadline.
    Overloaded,
    /// A declared rate limit is used up.
    Limited,
    /// The backend server is draining.
    Draining,
    /// The deadline passed before the request ran.
    Deadline,
    /// The caller disconnected before the request ran.
    Cancelled,
    /// The executor was unreachable, so nothing was sent to it.
    Unreachable,
    /// The request is quarantined because it is suspected of crashing backend servers.
    Quarantined,
    /// The key was sealed, has expired, or belongs to another instance or service.
    KeyRefused,
    /// The key was not issued by this mesh.
    KeyInvalid,
    /// The key was already used for a different request.
    KeyReused,
    /// The key table is full.
    KeysFull,
    /// The witness did not confirm that the request may start.
    NoWitness,
    /// No connection to the backend server could be opened.
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

/// A refusal, with the delay after which a retry may succeed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Refusal {
    /// The reason for the refusal.
    pub reason: RefusalReason,
    /// The delay before a retry; absent if a retry cannot succeed.
    pub retry_after: Option<Interval>,
}

impl Refusal {
    /// Creates a refusal of a request that cannot succeed on a retry.
    #[must_use]
    pub const fn permanent(reason: RefusalReason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }

    /// Creates a refusal of a request that may be retried after `delay`.
    #[must_use]
    pub const fn retryable(reason: RefusalReason, delay: Interval) -> Self {
        Self {
            reason,
            retry_after: Some(delay),
        }
    }
}
