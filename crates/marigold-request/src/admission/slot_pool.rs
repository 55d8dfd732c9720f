//! Who holds the slots, and who may.

use std::time::Duration;

use marigold_types::{Class, SlotCount};
use slotmap::SlotMap;
use tokio::time::Instant;

use crate::admission::Permit;

const CLASSES: usize = Class::ALL.len();
/// One slot in so many, and at least one, is kept for the first class.
const RESERVE_PART: u32 = 8;
/// The least slots of which one is kept: with fewer it would cost too much of them.
const MIN_SLOTS: u32 = 4;
/// How long after its last request slots are still kept for the first class.
const RESERVE_TIME: Duration = Duration::from_secs(10);
/// The last class holds at most one slot in so many while others may need it.
const BATCH_PART: u32 = 2;

/// A request that holds a slot.
#[derive(Debug, Clone, Copy)]
pub struct Running {
    /// Its class.
    pub class: Class,
    /// Since when it holds the slot.
    pub since: Instant,
}

/// The slots of one backend server and the parts of them that each class may hold.
#[derive(Debug, Default)]
pub struct SlotPool {
    slots: u32,
    running: SlotMap<Permit, Running>,
    held: [u32; CLASSES],
    /// When the first class last asked for a slot.
    urgent: Option<Instant>,
}

impl SlotPool {
    /// Builds the pool of a backend server with `slots`, none of them held.
    pub fn new(slots: SlotCount) -> Self {
        Self {
            slots: slots.0,
            ..Self::default()
        }
    }

    /// Returns the slots, held or free.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Takes another number of slots; those that are held stay so.
    pub fn set_slots(&mut self, slots: SlotCount) {
        self.slots = slots.0;
    }

    /// Returns how many slots are held.
    pub fn busy(&self) -> usize {
        self.running.len()
    }

    /// Counts that a request of `class` asks for a slot.
    pub fn asked(&mut self, class: Class, now: Instant) {
        if class == Class::Critical {
            self.urgent = Some(now);
        }
    }

    /// Gives a slot to a request of `class`.
    pub fn take(&mut self, class: Class, now: Instant) -> Permit {
        self.held[class.index()] += 1;
        self.running.insert(Running { class, since: now })
    }

    /// Takes a slot back; none if it was given back before.
    pub fn give_back(&mut self, permit: Permit) -> Option<Running> {
        let running = self.running.remove(permit)?;
        self.held[running.class.index()] -= 1;
        Some(running)
    }

    /// Returns the slots that `class` may hold when no other runs.
    pub fn room(&self, class: Class, now: Instant) -> u32 {
        let open = self.slots - self.reserve(now);
        match class {
            Class::Critical => self.slots,
            Class::Interactive => open,
            Class::Batch => {
                let part = (self.slots / BATCH_PART).clamp(1, open.max(1));
                part.min(self.slots)
            }
        }
    }

    /// Returns whether a request of `class` may run now.
    pub fn has_room(&self, class: Class, now: Instant) -> bool {
        let total: u32 = self.held.iter().sum();
        let batch = self.held[Class::Batch.index()];
        let later = self.held[Class::Interactive.index()] + batch;
        if total >= self.slots {
            return false;
        }
        let open = later < self.slots - self.reserve(now);
        match class {
            Class::Critical => true,
            Class::Interactive => open,
            Class::Batch => open && batch < self.room(class, now),
        }
    }

    /// Returns the slots that are kept for the first class while it is there.
    fn reserve(&self, now: Instant) -> u32 {
        let since = self.urgent.map(|at| now.saturating_duration_since(at));
        if self.slots < MIN_SLOTS || since.is_none_or(|since| since >= RESERVE_TIME) {
            0
        } else {
            (self.slots / RESERVE_PART).max(1)
        }
    }
}
