//! Selection of the holding that is given up.

use std::time::Duration;

use marigold_types::ByteSize;
use tokio::time::Instant;

use super::{Holding, HoldingKind};

/// Requests up to this size never lose to larger ones.
pub const SMALL_BODY: ByteSize = ByteSize(64 << 10);
/// A caller that neither sends nor reads for this long has stalled.
pub const STALL_TIME: Duration = Duration::from_secs(1);

/// Who needs memory that is not there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Claimant<K> {
    /// A caller, for a request of this size that is still arriving.
    Caller {
        /// The caller's holding.
        key: K,
        /// The size of the request so far.
        size: ByteSize,
    },
    /// A call or a reply on its way between daemons, or a response of the backend server.
    Transit,
}

impl<K: Copy + PartialEq> Claimant<K> {
    fn is(&self, other: K) -> bool {
        matches!(self, Self::Caller { key, .. } if *key == other)
    }

    fn is_large_caller(&self) -> bool {
        matches!(self, Self::Caller { size, .. } if *size > SMALL_BODY)
    }
}

/// Selects the holding to give up for `claimant`, or returns `None` if there is none. It may be the claimant's own.
///
/// Stalled callers go first, the longest stalled one before the others: whoever keeps sending and reading does not lose
/// to one that does not. Among large requests that keep arriving, the newest goes, so that the oldest ends. A small
/// claimant takes from the caller that has been still for longest if all of them are small.
pub fn select_victim<K: Copy + PartialEq>(
    holdings: impl Iterator<Item = (K, Holding)> + Clone,
    claimant: Claimant<K>,
    now: Instant,
) -> Option<K> {
    let held = holdings.filter(|(_, holding)| holding.kind != HoldingKind::Idle);
    let others = held.clone().filter(|(key, _)| !claimant.is(*key));
    let stalled = others
        .clone()
        .filter(|(_, holding)| holding.is_stalled(STALL_TIME, now));
    if let Some(key) = stillest(stalled) {
        return Some(key);
    }
    let is_large = |holding: &Holding| holding.size > SMALL_BODY;
    let large_requests = held.filter(|(key, holding)| {
        let is_claimant = claimant.is(*key) && claimant.is_large_caller();
        holding.kind == HoldingKind::Request && (is_claimant || is_large(holding))
    });
    let newest = large_requests.max_by_key(|(_, holding)| holding.began_at);
    if let Some((key, _)) = newest {
        return Some(key);
    }
    match claimant {
        Claimant::Caller { .. } if !claimant.is_large_caller() => stillest(others),
        _ => stillest(others.filter(|(_, holding)| is_large(holding))),
    }
}

/// Selects the connection that is closed to make room for another: the one without a request at work whose caller has been
/// still for longest.
pub fn longest_still<K>(holdings: impl Iterator<Item = (K, Holding)>) -> Option<K> {
    stillest(holdings)
}

fn stillest<K>(holdings: impl Iterator<Item = (K, Holding)>) -> Option<K> {
    let first = holdings.min_by_key(|(_, holding)| holding.moved_at);
    first.map(|(key, _)| key)
}
