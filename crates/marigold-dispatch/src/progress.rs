//! What is known of a request after each attempt.

use std::time::Duration;

/// What a request that no executor is left for has come to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Conclusion {
    /// It has not run and never will; the time after which there is likely room, if any executor told.
    NotRun(Option<Duration>),
    /// It may have run.
    Unknown,
}

/// Joins the outcomes of a request's attempts.
///
/// A last attempt that did not run proves nothing of an earlier one that may have, which is why "not run"
/// has to be concluded from all of them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Progress {
    arrivals: u32,
    may_have_run: bool,
    soonest: Option<Duration>,
}

impl Progress {
    /// Returns the attempts that reached, or may have reached, a backend server.
    #[must_use]
    pub fn arrivals(&self) -> u32 {
        self.arrivals
    }

    /// Notes that an executor refused it, with the time after which there is likely room.
    pub fn refused(&mut self, retry_after: Duration) {
        let soonest = self.soonest.map_or(retry_after, |old| old.min(retry_after));
        self.soonest = Some(soonest);
    }

    /// Notes that a backend server said that it did not run it, and when to come back.
    pub fn rejected(&mut self, retry_after: Duration) {
        self.arrivals += 1;
        self.refused(retry_after);
    }

    /// Notes that it may have run.
    pub fn may_have_run(&mut self) {
        self.arrivals += 1;
        self.may_have_run = true;
    }

    /// Returns what all attempts together have come to.
    #[must_use]
    pub fn conclusion(&self) -> Conclusion {
        if self.may_have_run {
            Conclusion::Unknown
        } else {
            Conclusion::NotRun(self.soonest)
        }
    }
}
