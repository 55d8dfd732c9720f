//! The shares of one limit that are out.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use marigold_types::Address;
use tokio::time::Instant;

use crate::limits::MilliRate;

/// How long a share is out while few daemons use the limit.
const LEASE: Duration = Duration::from_secs(6);
/// The daemons for which that lease lasts; more make it longer, so that their questions stay few.
const LEASE_USERS: usize = 500;
/// The most daemons that shares are out to.
const MAX_USERS: usize = 8192;
/// What a daemon gets above its demand while there is enough for all, in hundredths of the demand.
const HEADROOM: u64 = 150;

/// One daemon's share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Share {
    demand: u64,
    granted: u64,
    until: Instant,
}

/// What a daemon gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Allocation {
    /// Its share of the limit.
    pub rate: MilliRate,
    /// How long it is out.
    pub lease: Duration,
}

/// Divides one limit among the daemons that ask, so that what is out never adds up to more.
///
/// Every operation takes logarithmic time.
#[derive(Debug, Clone)]
pub struct LimitAllocator {
    /// Nothing is given out before: shares of an earlier keeper may still be out.
    opens: Instant,
    shares: BTreeMap<Address, Share>,
    ends: BTreeSet<(Instant, Address)>,
    demand: u64,
    granted: u64,
}

impl LimitAllocator {
    /// Returns how long a share is out when `users` daemons use the limit.
    #[must_use]
    pub fn lease(users: usize) -> Duration {
        let times = users.div_ceil(LEASE_USERS).max(1);
        LEASE * u32::try_from(times).unwrap_or(u32::MAX)
    }

    /// Builds the keeper of a limit, which this daemon has been since `settled` by the `members` that
    /// it sees.
    #[must_use]
    pub fn new(settled: Instant, members: usize) -> Self {
        Self {
            opens: settled + Self::lease(members),
            shares: BTreeMap::new(),
            ends: BTreeSet::new(),
            demand: 0,
            granted: 0,
        }
    }

    /// Returns what is out to all.
    #[must_use]
    pub fn granted(&self) -> MilliRate {
        MilliRate(self.granted)
    }

    /// Returns whether nobody has asked for so long that no share is out.
    #[must_use]
    pub fn is_idle(&self, now: Instant) -> bool {
        self.ends.last().is_none_or(|(until, _)| *until <= now) && self.opens <= now
    }

    /// Gives `user`, which asks for `demand`, its share of `total`, and says for how long.
    pub fn grant(
        &mut self,
        user: Address,
        demand: MilliRate,
        total: MilliRate,
        now: Instant,
    ) -> Allocation {
        self.expire(now);
        self.remove(user);
        let lease = Self::lease(self.shares.len() + 1);
        if now < self.opens || self.shares.len() >= MAX_USERS {
            return Allocation {
                rate: MilliRate(0),
                lease,
            };
        }
        let all = self.demand.saturating_add(demand.0);
        let fair = if all > total.0 {
            total.scaled(demand.0, all)
        } else {
            demand.scaled(HEADROOM, 100)
        };
        let free = total.0.saturating_sub(self.granted);
        let share = Share {
            demand: demand.0,
            granted: fair.0.min(free),
            until: now + lease,
        };
        self.insert(user, share);
        Allocation {
            rate: MilliRate(share.granted),
            lease,
        }
    }

    fn insert(&mut self, user: Address, share: Share) {
        self.demand = self.demand.saturating_add(share.demand);
        self.granted += share.granted;
        self.ends.insert((share.until, user));
        self.shares.insert(user, share);
    }

    fn remove(&mut self, user: Address) {
        let Some(share) = self.shares.remove(&user) else {
            return;
        };
        self.demand = self.demand.saturating_sub(share.demand);
        self.granted -= share.granted;
        self.ends.remove(&(share.until, user));
    }

    fn expire(&mut self, now: Instant) {
        while let Some(&(until, user)) = self.ends.first() {
            if until > now {
                break;
            }
            self.remove(user);
        }
    }
}
