//! How long ago the configuration was known to be the newest.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// When the configuration in force was last confirmed, and for how long a confirmation counts.
///
/// A daemon that is cut off cannot tell whether a key has been withdrawn. Whether it goes on serving is the operators'
/// choice, see docs/design/workspaces.md.
#[derive(Debug, Default)]
pub struct ConfigFreshness {
    confirmed_at: Cell<Option<Instant>>,
    max_age: Cell<Option<Duration>>,
}

impl ConfigFreshness {
    /// Records that the configuration in force was the newest at `at`.
    pub fn confirm(&self, at: Option<Instant>) {
        self.confirmed_at.set(self.confirmed_at.get().max(at));
    }

    /// Returns when the configuration was last known to be the newest.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at.get()
    }

    /// Sets the age beyond which a configuration may be outdated, or `None` if it always counts.
    pub fn set_max_age(&self, max_age: Option<Duration>) {
        self.max_age.set(max_age);
    }

    /// Returns whether keys may have been withdrawn that the configuration still has.
    #[must_use]
    pub fn is_outdated(&self, now: Instant) -> bool {
        let Some(max_age) = self.max_age.get() else {
            return false;
        };
        let age = |at| now.saturating_duration_since(at);
        self.confirmed_at.get().is_none_or(|at| age(at) > max_age)
    }
}
