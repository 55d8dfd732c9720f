//! The combined outcome of a request's attempts.

use std::time::Duration;

/// The final outcome of a request that no further executor can be tried for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Conclusion {
    /// The request has not run and never will; the shortest retry delay that an executor gave, if any.
    NotRun(Option<Duration>),
    /// The request may have run.
    Unknown,
}

/// Combines the outcomes of a request's attempts.
///
/// If the last attempt did not run, an earlier one may still have run, so "not run" must be concluded
/// from all attempts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Progress {
    arrivals: u32,
    may_have_run: bool,
    min_retry_after: Option<Duration>,
}

impl Progress {
    /// Returns the number of attempts that reached, or may have reached, a backend server.
    #[must_use]
    pub fn arrivals(&self) -> u32 {
        self.arrivals
    }

    /// Records that an executor refused the request, and the delay after which to retry.
    pub fn refused(&mut self, retry_after: Duration) {
        let min = self
            .min_retry_after
            .map_or(retry_after, |old| old.min(retry_after));
        self.min_retry_after = Some(min);
    }

    /// Records that a backend server answered that it did not run the request, and the delay after which to retry.
    pub fn rejected(&mut self, retry_after: Duration) {
        self.arrivals += 1;
        self.refused(retry_after);
    }

    /// Records that the request may have run.
    pub fn may_have_run(&mut self) {
        self.arrivals += 1;
        self.may_have_run = true;
    }

    /// Returns the combined outcome of all attempts.
    #[must_use]
    pub fn conclusion(&self) -> Conclusion {
        if self.may_have_run {
            Conclusion::Unknown
        } else {
            Conclusion::NotRun(self.min_retry_after)
        }
    }
}
