//! Connections of callers that can be told to give up what they hold.

use std::cell::RefCell;
use std::rc::Rc;

use marigold_dispatch::{Claimant, Holding, longest_still, select_victim};
use slotmap::{SlotMap, new_key_type};
use tokio::sync::Notify;
use tokio::time::Instant;

new_key_type! {
    /// Key of a connection.
    pub struct HolderKey;
}

/// What a connection is told to make room for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvictionCause {
    /// Bytes of others.
    Memory,
    /// Other connections.
    Descriptors,
}

impl EvictionCause {
    fn label(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Descriptors => "descriptors",
        }
    }
}

struct Holder {
    /// What the connection can give up, or `None` while it only waits for responses.
    holding: Option<Holding>,
    /// Set until the connection has given it up.
    eviction: Option<EvictionCause>,
    wake: Rc<Notify>,
}

/// The open connections of callers.
#[derive(Default)]
pub struct Holders {
    holders: RefCell<SlotMap<HolderKey, Holder>>,
}

impl Holders {
    /// Adds a connection.
    #[must_use]
    pub fn add(self: &Rc<Self>) -> Share {
        let wake = Rc::new(Notify::new());
        let holder = Holder {
            holding: None,
            eviction: None,
            wake: wake.clone(),
        };
        Share {
            key: self.holders.borrow_mut().insert(holder),
            holders: self.clone(),
            wake,
        }
    }

    /// Returns the number of connections.
    #[must_use]
    pub fn count(&self) -> usize {
        self.holders.borrow().len()
    }

    /// Returns whether a connection that was told to give up what it holds has not done so yet.
    #[must_use]
    pub fn is_evicting(&self) -> bool {
        let holders = self.holders.borrow();
        holders.values().any(|holder| holder.eviction.is_some())
    }

    /// Tells a connection to give up what it holds, so that `claimant` gets it. Returns `false` if there is none, or if the
    /// claimant itself has to.
    pub fn evict_for(&self, claimant: Claimant<HolderKey>) -> bool {
        let victim = {
            let holders = self.holders.borrow();
            let held = holders
                .iter()
                .filter_map(|(key, holder)| Some((key, holder.holding?)));
            select_victim(held, claimant, Instant::now())
        };
        let own = match claimant {
            Claimant::Caller { key, .. } => Some(key),
            Claimant::Transit => None,
        };
        let Some(victim) = victim.filter(|victim| Some(*victim) != own) else {
            return false;
        };
        self.evict(victim, EvictionCause::Memory);
        true
    }

    /// Tells the connection whose caller has been still for longest to close; returns `false` if all have requests at work.
    pub fn evict_longest_still(&self) -> bool {
        let victim = {
            let holders = self.holders.borrow();
            let held = holders
                .iter()
                .filter_map(|(key, holder)| Some((key, holder.holding?)));
            longest_still(held)
        };
        let Some(victim) = victim else {
            return false;
        };
        self.evict(victim, EvictionCause::Descriptors);
        true
    }

    fn evict(&self, key: HolderKey, cause: EvictionCause) {
        if let Some(holder) = self.holders.borrow_mut().get_mut(key) {
            holder.eviction = Some(cause);
            holder.wake.notify_one();
            metrics::counter!("marigold_callers_evicted_total", "cause" => cause.label())
                .increment(1);
        }
    }
}

/// The entry of one connection, removed when it is dropped.
pub struct Share {
    holders: Rc<Holders>,
    key: HolderKey,
    wake: Rc<Notify>,
}

impl Share {
    /// Returns the key of the connection.
    #[must_use]
    pub fn key(&self) -> HolderKey {
        self.key
    }

    /// Sets what the connection can give up, or `None` while it only waits for responses.
    pub fn set(&self, holding: Option<Holding>) {
        if let Some(holder) = self.holders.holders.borrow_mut().get_mut(self.key) {
            holder.holding = holding;
        }
    }

    /// Waits until the connection is told to give up what it holds.
    pub async fn evicted(&self) -> EvictionCause {
        loop {
            let holder_cause = {
                let holders = self.holders.holders.borrow();
                holders.get(self.key).and_then(|holder| holder.eviction)
            };
            if let Some(cause) = holder_cause {
                return cause;
            }
            self.wake.notified().await;
        }
    }

    /// Records that the connection has given up what it held.
    pub fn settle(&self) {
        if let Some(holder) = self.holders.holders.borrow_mut().get_mut(self.key) {
            holder.holding = None;
            holder.eviction = None;
        }
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.holders.holders.borrow_mut().remove(self.key);
    }
}
