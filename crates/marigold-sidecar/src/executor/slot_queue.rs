//! Waiting for a slot of the backend server.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use marigold_dispatch::{
    AdmissionController, AdmissionDecision, Permit, Precedence, RequestLimit, SlotRequest, Ticket,
};
use marigold_types::SlotCount;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A slot, or the delay after which one is likely to be free.
pub type SlotResult = Result<Slot, Duration>;

/// Passes the decisions of the admission controller to the tasks that wait for them.
pub struct SlotQueue {
    controller: RefCell<AdmissionController>,
    waiters: RefCell<HashMap<Ticket, oneshot::Sender<SlotResult>>>,
}

impl SlotQueue {
    /// Creates a queue without slots.
    #[must_use]
    pub fn new() -> Rc<Self> {
        Rc::new(Self {
            controller: RefCell::new(AdmissionController::new(SlotCount(0))),
            waiters: RefCell::default(),
        })
    }

    /// Calls `get` with the admission controller.
    pub fn read<T>(&self, get: impl FnOnce(&AdmissionController) -> T) -> T {
        get(&self.controller.borrow())
    }

    /// Changes the number of slots and grants those that are free, all or one at a time.
    pub fn set_slots(self: &Rc<Self>, slots: SlotCount, one_at_a_time: bool) {
        let mut controller = self.controller.borrow_mut();
        controller.set_slots(slots);
        controller.set_one_at_a_time(one_at_a_time);
        drop(controller);
        self.grant_free_slots();
    }

    /// Changes the limit of requests per second.
    pub fn set_request_limit(self: &Rc<Self>, limit: Option<RequestLimit>) {
        let now = Instant::now();
        self.controller.borrow_mut().set_request_limit(limit, now);
        // What waits may have too little time now.
        self.remove_expired();
    }

    /// Counts a health check towards the limit of requests per second.
    pub fn record_probe(&self) {
        let mut controller = self.controller.borrow_mut();
        controller.record_unslotted(Instant::now());
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// If no slot can become free in time. The error is the delay after which one is likely to be free.
    pub async fn acquire(self: &Rc<Self>, request: SlotRequest) -> SlotResult {
        let now = Instant::now();
        match self.admit(request, now) {
            AdmissionDecision::Run(permit) => Ok(self.slot(permit)),
            AdmissionDecision::Refuse(retry_after) => Err(retry_after),
            AdmissionDecision::Wait(ticket) => {
                let (sender, receiver) = oneshot::channel();
                self.waiters.borrow_mut().insert(ticket, sender);
                let registration = Registration {
                    queue: self.clone(),
                    ticket,
                };
                let result = receiver.await.unwrap_or(Err(Duration::ZERO));
                drop(registration);
                result
            }
        }
    }

    fn admit(&self, request: SlotRequest, now: Instant) -> AdmissionDecision {
        let precedence = request.precedence;
        let mut controller = self.controller.borrow_mut();
        let decision = controller.admit(request, now);
        let displaced = controller.take_displaced();
        drop(controller);
        record_decision(precedence, decision);
        self.refuse(displaced);
        decision
    }

    /// Refuses waiting requests that can no longer be served in time.
    pub fn remove_expired(self: &Rc<Self>) {
        if self.waiters.borrow().is_empty() {
            return;
        }
        let expired = self.controller.borrow_mut().remove_expired(Instant::now());
        self.refuse(expired);
        self.grant_free_slots();
    }

    fn refuse(&self, tickets: Vec<(Ticket, Duration)>) {
        for (ticket, retry_after) in tickets {
            self.notify(ticket, Err(retry_after));
        }
    }

    /// Gives the slots of requests whose response is most likely lost to others.
    pub fn reclaim_overdue(self: &Rc<Self>) {
        let has_new = self.controller.borrow_mut().mark_overdue(Instant::now());
        if has_new {
            self.grant_free_slots();
        }
    }

    /// Refuses all waiting requests.
    pub fn clear(self: &Rc<Self>, retry_after: Duration) {
        let waiters: Vec<_> = self.waiters.borrow_mut().drain().collect();
        for (ticket, waiter) in waiters {
            self.controller.borrow_mut().cancel(ticket);
            waiter.send(Err(retry_after)).ok();
        }
    }

    fn slot(self: &Rc<Self>, permit: Permit) -> Slot {
        Slot {
            queue: self.clone(),
            permit,
            is_completed: false,
        }
    }

    fn grant_free_slots(self: &Rc<Self>) {
        loop {
            let result = self.controller.borrow_mut().grant(Instant::now());
            let Some((ticket, permit)) = result else {
                return;
            };
            let slot = self.slot(permit);
            self.notify(ticket, Ok(slot));
        }
    }

    fn notify(&self, ticket: Ticket, result: SlotResult) {
        let waiter = self.waiters.borrow_mut().remove(&ticket);
        // Without a waiter the slot is dropped here and thereby freed.
        if let Some(waiter) = waiter {
            waiter.send(result).ok();
        }
    }
}

/// Counts a decision; few precedences have a label of their own.
fn record_decision(precedence: Precedence, decision: AdmissionDecision) {
    let precedence = match precedence.0 {
        0 => "0",
        1 => "1",
        2 => "2",
        3 => "3",
        _ => "4 and more",
    };
    let decision = match decision {
        AdmissionDecision::Run(_) => "run",
        AdmissionDecision::Wait(_) => "wait",
        AdmissionDecision::Refuse(_) => "refuse",
    };
    metrics::counter!(
        "marigold_admissions_total",
        "precedence" => precedence, "decision" => decision
    )
    .increment(1);
}

/// Entry of a waiting task, removed when the task stops waiting.
struct Registration {
    queue: Rc<SlotQueue>,
    ticket: Ticket,
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.queue.waiters.borrow_mut().remove(&self.ticket);
        self.queue.controller.borrow_mut().cancel(self.ticket);
    }
}

/// An acquired slot of the backend server, freed when dropped.
pub struct Slot {
    queue: Rc<SlotQueue>,
    permit: Permit,
    is_completed: bool,
}

impl Slot {
    /// Records that the backend server has responded. Only then does the time that the slot was held count
    /// towards the mean run time.
    pub fn mark_completed(&mut self) {
        self.is_completed = true;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = Instant::now();
        self.queue
            .controller
            .borrow_mut()
            .release(self.permit, self.is_completed, now);
        self.queue.grant_free_slots();
    }
}
