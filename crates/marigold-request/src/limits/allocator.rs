//! Leases shares of one rate limit to daemons.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use marigold_types::Address;
use tokio::time::Instant;

use crate::limits::MilliRate;

/// The lease of a share while few daemons use the limit.
const BASE_LEASE: Duration = Duration::from_secs(6);
/// The number of daemons up to which the base lease applies. The lease grows in proportion to their
/// number, so that the rate of their demands stays bounded.
const DAEMONS_PER_BASE_LEASE: usize = 500;
/// The maximum number of daemons that hold a share at a time.
const MAX_HOLDERS: usize = 8192;
/// The share of a daemon as a percentage of its demand, while the limit covers all demand.
const HEADROOM_PERCENT: u64 = 150;

/// The share that one daemon holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Share {
    demand: u64,
    granted: u64,
    expires_at: Instant,
}

/// The share that is leased to a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Allocation {
    /// The rate of the share; zero if none is available.
    pub rate: MilliRate,
    /// How long the share is valid.
    pub lease: Duration,
}

/// Divides one limit among the daemons that ask, so that leased shares never exceed it in total.
///
/// Every operation takes logarithmic time.
#[derive(Debug, Clone)]
pub struct LimitAllocator {
    /// Nothing is leased earlier, since leases of the previous allocator may still be valid.
    starts_at: Instant,
    shares: BTreeMap<Address, Share>,
    expiries: BTreeSet<(Instant, Address)>,
    /// The total demand of all holders, in thousandths of a call per second.
    demand: u64,
    /// The total rate of all shares, in thousandths of a call per second.
    granted: u64,
}

impl LimitAllocator {
    /// Returns the lease of a share when `daemons` daemons use the limit.
    #[must_use]
    pub fn lease(daemons: usize) -> Duration {
        let factor = daemons.div_ceil(DAEMONS_PER_BASE_LEASE).max(1);
        BASE_LEASE * u32::try_from(factor).unwrap_or(u32::MAX)
    }

    /// Creates an allocator after the set of visible daemons changed at `members_changed_at`.
    ///
    /// It leases nothing until the leases that a previous allocator may have granted to `members`
    /// daemons have ended.
    #[must_use]
    pub fn new(members_changed_at: Instant, members: usize) -> Self {
        Self {
            starts_at: members_changed_at + Self::lease(members),
            shares: BTreeMap::new(),
            expiries: BTreeSet::new(),
            demand: 0,
            granted: 0,
        }
    }

    /// Returns the total rate of the valid shares.
    #[must_use]
    pub fn granted(&self) -> MilliRate {
        MilliRate(self.granted)
    }

    /// Returns whether all leases have ended and the initial wait is over.
    #[must_use]
    pub fn is_idle(&self, now: Instant) -> bool {
        self.expiries
            .last()
            .is_none_or(|(expires_at, _)| *expires_at <= now)
            && self.starts_at <= now
    }

    /// Leases a share of `total` to `holder`, which has a demand of `demand`.
    ///
    /// The new share replaces the one that `holder` had.
    pub fn grant(
        &mut self,
        holder: Address,
        demand: MilliRate,
        total: MilliRate,
        now: Instant,
    ) -> Allocation {
        self.expire(now);
        self.remove(holder);
        let lease = Self::lease(self.shares.len() + 1);
        if now < self.starts_at || self.shares.len() >= MAX_HOLDERS {
            return Allocation {
                rate: MilliRate(0),
                lease,
            };
        }
        let total_demand = self.demand.saturating_add(demand.0);
        let fair = if total_demand > total.0 {
            total.scaled(demand.0, total_demand)
        } else {
            demand.scaled(HEADROOM_PERCENT, 100)
        };
        let free = total.0.saturating_sub(self.granted);
        let share = Share {
            demand: demand.0,
            granted: fair.0.min(free),
            expires_at: now + lease,
        };
        self.insert(holder, share);
        Allocation {
            rate: MilliRate(share.granted),
            lease,
        }
    }

    fn insert(&mut self, holder: Address, share: Share) {
        self.demand = self.demand.saturating_add(share.demand);
        self.granted += share.granted;
        self.expiries.insert((share.expires_at, holder));
        self.shares.insert(holder, share);
    }

    fn remove(&mut self, holder: Address) {
        let Some(share) = self.shares.remove(&holder) else {
            return;
        };
        self.demand = self.demand.saturating_sub(share.demand);
        self.granted -= share.granted;
        self.expiries.remove(&(share.expires_at, holder));
    }

    fn expire(&mut self, now: Instant) {
        while let Some(&(expires_at, holder)) = self.expiries.first() {
            if expires_at > now {
                break;
            }
            self.remove(holder);
        }
    }
}
