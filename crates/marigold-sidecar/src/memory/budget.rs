//! The limit on the bytes that a process holds for others.

use std::cell::RefCell;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use marigold_dispatch::{Claimant, SMALL_BODY};
use marigold_types::ByteSize;
use tokio::time::timeout;

use super::charge::Usage;
use super::{Charge, HolderKey, Holders};

/// Least memory that is left to the process itself: its code, configuration, directory of daemons and buffers of links.
const OWN_MEMORY: ByteSize = ByteSize(16 << 20);
/// On a large instance it is the memory limit divided by this.
const OWN_MEMORY_DIVISOR: u64 = 16;
/// On a small instance the budget is the memory limit divided by this at least.
const MIN_BUDGET_DIVISOR: u64 = 4;
/// The budget divided by this is kept free of large bodies.
const SMALL_BODY_DIVISOR: u64 = 16;
/// Buffers that the largest body needs besides its own size.
const BODY_OVERHEAD: ByteSize = ByteSize(256 << 10);
/// Fields up to this size do not count by themselves.
const SMALL_FIELDS_BYTES: usize = 2 << 10;
/// Limit on the wait for a connection that was told to give up what it holds.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(250);

/// Holds bytes that it can do without.
pub trait ShrinkableCache {
    /// Drops them; returns whether there were any.
    fn shrink(&self) -> bool;
}

/// No memory is left, and nobody has any to give up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("no memory left")]
pub struct OutOfMemory;

/// Bounds the bytes that a process holds for others.
pub struct MemoryBudget {
    limit: ByteSize,
    /// Limit that large bodies observe, so that there is always room for small ones.
    large_limit: ByteSize,
    usage: Arc<Usage>,
    holders: Rc<Holders>,
    caches: RefCell<Vec<Weak<dyn ShrinkableCache>>>,
}

impl std::fmt::Debug for MemoryBudget {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("MemoryBudget")
            .field("limit", &self.limit)
            .field("held", &self.held())
            .finish_non_exhaustive()
    }
}

impl MemoryBudget {
    /// Creates a budget of this size.
    #[must_use]
    pub fn new(limit: ByteSize) -> Rc<Self> {
        Rc::new(Self {
            limit,
            large_limit: ByteSize(limit.0 - limit.0 / SMALL_BODY_DIVISOR),
            usage: Arc::default(),
            holders: Rc::default(),
            caches: RefCell::default(),
        })
    }

    /// Creates the budget of a process that may use this much memory.
    #[must_use]
    pub fn for_process(memory: ByteSize) -> Rc<Self> {
        let own = OWN_MEMORY.0.max(memory.0 / OWN_MEMORY_DIVISOR);
        let rest = memory.0.saturating_sub(own);
        Self::new(ByteSize(rest.max(memory.0 / MIN_BUDGET_DIVISOR)))
    }

    /// Creates a budget without a limit.
    #[must_use]
    pub fn unlimited() -> Rc<Self> {
        Self::new(ByteSize(u64::MAX))
    }

    /// Returns the bytes held.
    #[must_use]
    pub fn held(&self) -> usize {
        self.usage.held()
    }

    /// Returns the size of the largest body that can be held.
    #[must_use]
    pub fn max_body(&self) -> ByteSize {
        ByteSize(self.large_limit.0.saturating_sub(BODY_OVERHEAD.0))
    }

    /// Returns the connections that can be told to give up what they hold.
    #[must_use]
    pub fn holders(&self) -> &Rc<Holders> {
        &self.holders
    }

    /// Adds a cache that is shrunk before anybody loses bytes.
    pub fn add_cache(&self, cache: Weak<dyn ShrinkableCache>) {
        self.caches.borrow_mut().push(cache);
    }

    /// Returns a charge of no bytes.
    #[must_use]
    pub fn charge(&self) -> Charge {
        Charge::new(self.usage.clone())
    }

    /// Returns the same fields of a message, which count as held even beyond the limit: they come with a body that has
    /// found room, or with none. Small ones belong to the memory of a request.
    #[must_use]
    pub fn hold_fields(&self, fields: Bytes) -> Bytes {
        if fields.len() <= SMALL_FIELDS_BYTES {
            return fields;
        }
        let mut charge = self.charge();
        charge.set(fields.len());
        charge.attach_bytes(fields)
    }

    /// Increases `charge` to `bytes` if that fits, or returns `false`.
    #[must_use]
    pub fn try_grow(&self, charge: &mut Charge, bytes: usize) -> bool {
        let added = bytes.saturating_sub(charge.bytes());
        if added == 0 {
            return true;
        }
        let limit = if bytes as u64 > SMALL_BODY.0 {
            self.large_limit
        } else {
            self.limit
        };
        let fits = (self.held() as u64).saturating_add(added as u64) <= limit.0;
        if fits {
            charge.set(bytes);
        }
        fits
    }

    /// Increases `charge` to `bytes`, taking what is missing from others.
    ///
    /// # Errors
    ///
    /// If others have nothing to give up for `claimant`. The charge is unchanged then.
    pub async fn grow(
        &self,
        charge: &mut Charge,
        bytes: usize,
        claimant: Claimant<HolderKey>,
    ) -> Result<(), OutOfMemory> {
        loop {
            let released = self.usage.released.notified();
            if self.try_grow(charge, bytes) {
                return Ok(());
            }
            if self.shrink_caches() {
                continue;
            }
            if !self.holders.is_evicting() && !self.holders.evict_for(claimant) {
                return Err(OutOfMemory);
            }
            // The connection gives up its bytes when its task runs next.
            timeout(RELEASE_TIMEOUT, released)
                .await
                .map_err(|_| OutOfMemory)?;
        }
    }

    fn shrink_caches(&self) -> bool {
        let mut has_shrunk = false;
        self.caches.borrow_mut().retain(|cache| {
            let cache = cache.upgrade();
            has_shrunk |= cache.as_ref().is_some_and(|cache| cache.shrink());
            cache.is_some()
        });
        has_shrunk
    }
}
