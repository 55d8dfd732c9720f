//! The slots of a backend server and their limits for each class.

use std::time::Duration;

use marigold_types::{Class, SlotCount};
use slotmap::SlotMap;
use tokio::time::Instant;

use crate::admission::Permit;

const CLASSES: usize = Class::ALL.len();
/// One in this many slots, and at least one, is reserved for critical requests.
const RESERVE_DIVISOR: u32 = 8;
/// Pools with fewer slots reserve none, since a single slot would be too large a share of them.
const MIN_SLOTS_FOR_RESERVE: u32 = 4;
/// How long after the last critical request slots stay reserved.
const RESERVE_TIME: Duration = Duration::from_secs(10);
/// Batch requests hold at most one in this many slots.
const BATCH_DIVISOR: u32 = 2;

/// A request that holds a slot.
#[derive(Debug, Clone, Copy)]
pub struct Running {
    /// The class the slot is charged to.
    pub class: Class,
    /// When the request took the slot.
    pub since: Instant,
}

/// The slots of one backend server, with the number that each class may hold.
#[derive(Debug, Default)]
pub struct SlotPool {
    slots: u32,
    running: SlotMap<Permit, Running>,
    held: [u32; CLASSES],
    /// When a critical request last asked for a slot.
    last_critical: Option<Instant>,
}

impl SlotPool {
    /// Creates a pool of free slots.
    pub fn new(slots: SlotCount) -> Self {
        Self {
            slots: slots.0,
            ..Self::default()
        }
    }

    /// Returns the total number of slots, held or free.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Changes the total; requests that hold a slot keep it even if there are now fewer.
    pub fn set_slots(&mut self, slots: SlotCount) {
        self.slots = slots.0;
    }

    /// Returns the number of held slots.
    pub fn busy(&self) -> usize {
        self.running.len()
    }

    /// Records that a request of `class` asks for a slot.
    pub fn record_request(&mut self, class: Class, now: Instant) {
        if class == Class::Critical {
            self.last_critical = Some(now);
        }
    }

    /// Assigns a slot to a request of `class`.
    pub fn acquire(&mut self, class: Class, now: Instant) -> Permit {
        self.held[class.index()] += 1;
        self.running.insert(Running { class, since: now })
    }

    /// Frees a slot; returns none if the permit was already released.
    pub fn release(&mut self, permit: Permit) -> Option<Running> {
        let running = self.running.remove(permit)?;
        self.held[running.class.index()] -= 1;
        Some(running)
    }

    /// Returns the number of slots that `class` may hold while no other class runs.
    pub fn class_limit(&self, class: Class, now: Instant) -> u32 {
        let unreserved = self.slots - self.reserved(now);
        match class {
            Class::Critical => self.slots,
            Class::Interactive => unreserved,
            Class::Batch => {
                let limit = (self.slots / BATCH_DIVISOR).clamp(1, unreserved.max(1));
                limit.min(self.slots)
            }
        }
    }

    /// Returns whether a request of `class` may run now.
    pub fn has_room(&self, class: Class, now: Instant) -> bool {
        let total: u32 = self.held.iter().sum();
        let batch = self.held[Class::Batch.index()];
        let non_critical = self.held[Class::Interactive.index()] + batch;
        if total >= self.slots {
            return false;
        }
        let has_unreserved = non_critical < self.slots - self.reserved(now);
        match class {
            Class::Critical => true,
            Class::Interactive => has_unreserved,
            Class::Batch => has_unreserved && batch < self.class_limit(class, now),
        }
    }

    /// Returns the slots reserved for critical requests; zero if none came recently.
    fn reserved(&self, now: Instant) -> u32 {
        let since = self
            .last_critical
            .map(|at| now.saturating_duration_since(at));
        if self.slots < MIN_SLOTS_FOR_RESERVE || since.is_none_or(|since| since >= RESERVE_TIME) {
            0
        } else {
            (self.slots / RESERVE_DIVISOR).max(1)
        }
    }
}
