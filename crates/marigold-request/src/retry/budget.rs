//! A retry budget that all requests of a daemon share.

/// The cost of one retry. The balance is counted in hundredths of a retry, so that a percentage adds
/// up without rounding.
const RETRY_COST: u64 = 100;
/// The number of retries that accumulate at most, which bounds a burst after a period without any.
const MAX_BURST: u64 = 10;

/// Limits retries to a percentage of first attempts, as Finagle's retry budget does.
///
/// This bounds the load that retries add, however many requests fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryBudget {
    percent: u64,
    balance: u64,
}

impl RetryBudget {
    /// Creates a budget of `percent` retries per hundred requests.
    #[must_use]
    pub fn new(percent: u32) -> Self {
        let percent = u64::from(percent);
        Self {
            percent,
            balance: if percent == 0 {
                0
            } else {
                MAX_BURST * RETRY_COST
            },
        }
    }

    /// Adds the allowance for one first attempt.
    pub fn earn(&mut self) {
        self.balance = (self.balance + self.percent).min(MAX_BURST * RETRY_COST);
    }

    /// Takes one retry from the budget; returns false if it is used up.
    pub fn spend(&mut self) -> bool {
        let Some(balance) = self.balance.checked_sub(RETRY_COST) else {
            return false;
        };
        self.balance = balance;
        true
    }
}
