//! What a retry is asked for.

use crate::Rank;

/// The number of levels that are told apart; ranks beyond share the last one.
pub(crate) const RETRY_LEVELS: usize = 10;
/// The returns of a caller that count. Each counts like a rank: the fewer attempts a caller has left, the less likely
/// one of them is served without a retry.
const MAX_RETURNS: u8 = 2;

/// A request that asks the [`RetryBudget`](crate::RetryBudget) for one more arrival at a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryRequest {
    /// The priority of the request.
    pub rank: Rank,
    /// How often its caller has come back after a refusal.
    pub returns: u8,
}

impl RetryRequest {
    /// Returns the level at which it is granted; 0 is the most urgent.
    pub(crate) fn level(self) -> usize {
        let later = MAX_RETURNS.saturating_sub(self.returns);
        usize::from(self.rank.0.saturating_add(later)).min(RETRY_LEVELS - 1)
    }
}
