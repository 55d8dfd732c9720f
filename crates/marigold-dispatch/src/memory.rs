//! Whose bytes a daemon gives up when it has no memory left.

mod holding;
mod reclaim;

pub use holding::{Holding, HoldingKind};
pub use reclaim::{Claimant, SMALL_BODY, STALL_TIME, longest_still, select_victim};
