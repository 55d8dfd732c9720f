//! Requests that wait for a slot, and whoever waits for them.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use marigold_dispatch::{Admission, AdmissionController, Permit, SlotRequest, Ticket};
use marigold_types::SlotCount;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A slot, or the time after which there is likely one.
pub type Granted = Result<Slot, Duration>;

/// Joins the gate's decisions to the tasks that wait for them.
pub struct Queue {
    gate: RefCell<AdmissionController>,
    waiters: RefCell<HashMap<Ticket, oneshot::Sender<Granted>>>,
}

impl Queue {
    /// Builds the queue of a backend server that is not known yet.
    #[must_use]
    pub fn new() -> Rc<Self> {
        Rc::new(Self {
            gate: RefCell::new(AdmissionController::new(SlotCount(0))),
            waiters: RefCell::default(),
        })
    }

    /// Reads the gate.
    pub fn read<T>(&self, get: impl FnOnce(&AdmissionController) -> T) -> T {
        get(&self.gate.borrow())
    }

    /// Takes the number of slots of the backend server.
    pub fn set_slots(self: &Rc<Self>, slots: SlotCount) {
        self.gate.borrow_mut().set_slots(slots);
        self.advance();
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// When there is none in time; the time after which there is likely one.
    pub async fn acquire(self: &Rc<Self>, work: SlotRequest) -> Granted {
        let now = Instant::now();
        let admit = self.gate.borrow_mut().admit(work, now);
        match admit {
            Admission::Run(permit) => Ok(self.slot(permit)),
            Admission::Refuse(retry_after) => Err(retry_after),
            Admission::Wait(ticket) => {
                let (sender, receiver) = oneshot::channel();
                self.waiters.borrow_mut().insert(ticket, sender);
                let place = Place {
                    queue: self.clone(),
                    ticket,
                };
                let granted = receiver.await.unwrap_or(Err(Duration::ZERO));
                drop(place);
                granted
            }
        }
    }

    /// Gives up what cannot be served in time any more.
    pub fn sweep(self: &Rc<Self>) {
        if self.waiters.borrow().is_empty() {
            return;
        }
        let swept = self.gate.borrow_mut().remove_expired(Instant::now());
        for (ticket, retry_after) in swept {
            self.tell(ticket, Err(retry_after));
        }
        self.advance();
    }

    /// Turns away everything that waits.
    pub fn clear(self: &Rc<Self>, retry_after: Duration) {
        let waiters: Vec<_> = self.waiters.borrow_mut().drain().collect();
        for (ticket, waiter) in waiters {
            self.gate.borrow_mut().cancel(ticket);
            waiter.send(Err(retry_after)).ok();
        }
    }

    fn slot(self: &Rc<Self>, permit: Permit) -> Slot {
        Slot {
            queue: self.clone(),
            permit,
            ran: false,
        }
    }

    fn advance(self: &Rc<Self>) {
        loop {
            let granted = self.gate.borrow_mut().grant(Instant::now());
            let Some((ticket, permit)) = granted else {
                return;
            };
            let slot = self.slot(permit);
            self.tell(ticket, Ok(slot));
        }
    }

    fn tell(&self, ticket: Ticket, granted: Granted) {
        let waiter = self.waiters.borrow_mut().remove(&ticket);
        // Without a waiter the slot is dropped here, which frees it.
        if let Some(waiter) = waiter {
            waiter.send(granted).ok();
        }
    }
}

/// A place in the queue, given up when the one who waits leaves.
struct Place {
    queue: Rc<Queue>,
    ticket: Ticket,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.queue.waiters.borrow_mut().remove(&self.ticket);
        self.queue.gate.borrow_mut().cancel(self.ticket);
    }
}

/// A slot of the backend server, freed when dropped.
pub struct Slot {
    queue: Rc<Queue>,
    permit: Permit,
    ran: bool,
}

impl Slot {
    /// Notes that the request ran to its end, so that its time tells something.
    pub fn ran(&mut self) {
        self.ran = true;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = Instant::now();
        self.queue
            .gate
            .borrow_mut()
            .release(self.permit, self.ran, now);
        self.queue.advance();
    }
}
