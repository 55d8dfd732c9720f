//! A limit on the bodies of calls that an executor holds.

use std::cell::Cell;
use std::rc::Rc;

/// Bounds the sum of the bodies of calls that arrive, wait or run.
#[derive(Debug)]
pub struct BodyBudget {
    limit: Cell<usize>,
    held: Cell<usize>,
}

impl BodyBudget {
    /// Creates a budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(Self {
            limit: Cell::new(limit),
            held: Cell::new(0),
        })
    }

    /// Sets the limit in bytes.
    pub fn set_limit(&self, limit: usize) {
        self.limit.set(limit);
    }

    /// Returns the bytes held.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held.get()
    }

    /// Returns the reservation of a body without any bytes yet.
    #[must_use]
    pub fn reserve(self: &Rc<Self>) -> BodyReservation {
        BodyReservation {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

/// The share of one body in a [`BodyBudget`], returned when it is dropped.
#[derive(Debug)]
pub struct BodyReservation {
    budget: Rc<BodyBudget>,
    bytes: usize,
}

impl BodyReservation {
    /// Adds `bytes` to the body; returns `false` if that is too much. A body that is alone always fits: its size is bounded
    /// by the operator's limits, and nothing else will make room for it.
    #[must_use]
    pub fn grow(&mut self, bytes: usize) -> bool {
        let held = self.budget.held.get();
        if held + bytes > self.budget.limit.get() && held > self.bytes {
            return false;
        }
        self.budget.held.set(held + bytes);
        self.bytes += bytes;
        true
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.budget.held.set(self.budget.held.get() - self.bytes);
    }
}
