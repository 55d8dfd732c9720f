//! Slots of the backend server, and the tasks that wait for one.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use marigold_request::admission::{
    AdmissionController, AdmissionDecision, AdmissionRequest, Permit, QueueUpdate, Ticket,
};
use marigold_request::{LoadReport, Refusal, RefusalReason};
use marigold_types::SlotCount;
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep_until};

type Answer = Result<Permit, Refusal>;

struct Inner {
    admission: AdmissionController,
    waiting: HashMap<Ticket, oneshot::Sender<Answer>>,
}

/// An [`AdmissionController`] shared between tasks.
pub struct Slots {
    inner: Mutex<Inner>,
    changed: Notify,
}

/// One slot, which is released when dropped.
pub struct Slot {
    slots: Arc<Slots>,
    permit: Permit,
}

impl Slots {
    /// Creates the slots of a backend server that has not announced itself yet, where each class
    /// may queue `max_queue_per_slot` requests per slot.
    #[must_use]
    pub fn new(max_queue_per_slot: u32) -> Arc<Self> {
        Arc::new(Self {
            inner: Mutex::new(Inner {
                admission: AdmissionController::new(SlotCount(0), max_queue_per_slot),
                waiting: HashMap::new(),
            }),
            changed: Notify::new(),
        })
    }

    /// Returns the load to report to ingresses.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        self.lock().admission.load()
    }

    /// Sets the number of slots that the backend server announced.
    pub fn resize(&self, slots: SlotCount) {
        let mut inner = self.lock();
        if inner.admission.load().slots != slots {
            let update = inner.admission.set_slots(slots, Instant::now());
            inner.apply(&update);
        }
    }

    /// Refuses all waiting requests.
    pub fn drop_waiting(&self, reason: RefusalReason) {
        let mut inner = self.lock();
        for dropped in inner.admission.drop_waiting(reason) {
            inner.answer(dropped.ticket, Err(dropped.refusal));
        }
    }

    /// Acquires a slot, waiting in the queue if necessary.
    ///
    /// # Errors
    ///
    /// If the request is refused. It has not run.
    pub async fn acquire(self: &Arc<Self>, request: &AdmissionRequest) -> Result<Slot, Refusal> {
        let (ticket, answer) = {
            let mut inner = self.lock();
            match inner.admission.offer(request, Instant::now()) {
                AdmissionDecision::Run(permit) => return Ok(self.slot(permit)),
                AdmissionDecision::Refuse(refusal) => return Err(refusal),
                AdmissionDecision::Wait(ticket) => {
                    let (sender, answer) = oneshot::channel();
                    inner.waiting.insert(ticket, sender);
                    (ticket, answer)
                }
            }
        };
        self.changed.notify_one();
        let mut queued = QueuedRequest {
            slots: self.clone(),
            ticket,
            answer,
            done: false,
        };
        let result = (&mut queued.answer).await;
        queued.done = true;
        // The sender is dropped only after it has sent an answer.
        let permit = result.map_err(|_| Refusal::permanent(RefusalReason::Draining))??;
        Ok(self.slot(permit))
    }

    /// Refuses waiting requests that can no longer meet their deadline, for as long as the daemon
    /// runs.
    pub async fn expire(self: Arc<Self>) {
        loop {
            let next = self.lock().admission.next_expiry();
            let due = async {
                match next {
                    Some(due) => sleep_until(due).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = due => {
                    let mut inner = self.lock();
                    let update = inner.admission.expire(Instant::now());
                    inner.apply(&update);
                }
                () = self.changed.notified() => {}
            }
        }
    }

    fn slot(self: &Arc<Self>, permit: Permit) -> Slot {
        Slot {
            slots: self.clone(),
            permit,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn apply(&mut self, update: &QueueUpdate) {
        for dropped in &update.dropped {
            self.answer(dropped.ticket, Err(dropped.refusal));
        }
        for granted in &update.granted {
            self.answer(granted.ticket, Ok(granted.permit));
        }
    }

    fn answer(&mut self, ticket: Ticket, answer: Answer) {
        let undelivered = match self.waiting.remove(&ticket) {
            Some(sender) => sender.send(answer).err(),
            None => Some(answer),
        };
        // The request no longer waits: the slot goes to the next one.
        if let Some(Ok(permit)) = undelivered {
            let update = self.admission.release(permit, Instant::now());
            self.apply(&update);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut inner = self.slots.lock();
        let update = inner.admission.release(self.permit, Instant::now());
        inner.apply(&update);
    }
}

/// A request in the queue, which is removed from it when dropped.
struct QueuedRequest {
    slots: Arc<Slots>,
    ticket: Ticket,
    answer: oneshot::Receiver<Answer>,
    done: bool,
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        if self.done {
            return;
        }
        let mut inner = self.slots.lock();
        inner.waiting.remove(&self.ticket);
        inner.admission.cancel(self.ticket);
        // The slot may have been granted just before.
        if let Ok(Ok(permit)) = self.answer.try_recv() {
            let update = inner.admission.release(permit, Instant::now());
            inner.apply(&update);
        }
    }
}
