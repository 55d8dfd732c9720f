//! The retries that a daemon may still make.

/// Retries are counted in hundredths, so that a percentage adds up without rounding.
const ONE: u64 = 100;
/// Retries that may come at once after a quiet time.
const BURST: u64 = 10;

/// Earns a part of a retry with each first attempt; one budget is shared by all requests of a daemon.
///
/// The idea is Finagle's retry budget: a share of the traffic bounds the load that retries add
/// however many requests fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryBudget {
    percent: u64,
    held: u64,
}

impl RetryBudget {
    /// Builds a budget of `percent` retries for each hundred requests.
    #[must_use]
    pub fn new(percent: u32) -> Self {
        let percent = u64::from(percent);
        Self {
            percent,
            held: if percent == 0 { 0 } else { BURST * ONE },
        }
    }

    /// Counts a first attempt.
    pub fn earn(&mut self) {
        self.held = (self.held + self.percent).min(BURST * ONE);
    }

    /// Takes one retry, if there is one.
    pub fn spend(&mut self) -> bool {
        let Some(held) = self.held.checked_sub(ONE) else {
            return false;
        };
        self.held = held;
        true
    }
}
