//! Joins the admission decisions to tasks that wait.

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

/// The slots of the backend server beside the daemon, for tasks.
pub struct Slots {
    inner: Mutex<Inner>,
    changed: Notify,
}

/// One slot, which is given back when it is dropped.
pub struct Slot {
    slots: Arc<Slots>,
    permit: Permit,
}

impl Slots {
    /// Builds the slots of a backend server that has not announced itself yet.
    #[must_use]
    pub fn new(depth: u32) -> Arc<Self> {
        Arc::new(Self {
            inner: Mutex::new(Inner {
                admission: AdmissionController::new(SlotCount(0), depth),
                waiting: HashMap::new(),
            }),
            changed: Notify::new(),
        })
    }

    /// Returns how busy the backend server is.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        self.lock().admission.load()
    }

    /// Takes the number of slots that the backend server announced last.
    pub fn resize(&self, slots: SlotCount) {
        let mut inner = self.lock();
        if inner.admission.load().slots != slots {
            let moves = inner.admission.set_slots(slots, Instant::now());
            inner.carry_out(&moves);
        }
    }

    /// Refuses everything that waits.
    pub fn drop_waiting(&self, reason: RefusalReason) {
        let mut inner = self.lock();
        for dropped in inner.admission.drop_waiting(reason) {
            inner.answer(dropped.ticket, Err(dropped.refusal));
        }
    }

    /// Takes a slot, waiting for one as long as that makes sense.
    ///
    /// # Errors
    ///
    /// When the request is refused; it has not run.
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
        let mut wait = Wait {
            slots: self.clone(),
            ticket,
            answer,
            done: false,
        };
        let result = (&mut wait.answer).await;
        wait.done = true;
        // The sender goes only with an answer.
        let permit = result.map_err(|_| Refusal::permanent(RefusalReason::Draining))??;
        Ok(self.slot(permit))
    }

    /// Gives up what cannot make its deadline any more, as long as the daemon runs.
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
                    let moves = inner.admission.expire(Instant::now());
                    inner.carry_out(&moves);
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
    fn carry_out(&mut self, moves: &QueueUpdate) {
        for dropped in &moves.dropped {
            self.answer(dropped.ticket, Err(dropped.refusal));
        }
        for granted in &moves.granted {
            self.answer(granted.ticket, Ok(granted.permit));
        }
    }

    fn answer(&mut self, ticket: Ticket, answer: Answer) {
        let unheard = match self.waiting.remove(&ticket) {
            Some(sender) => sender.send(answer).err(),
            None => Some(answer),
        };
        // Nobody waits any more: the slot goes on to the next.
        if let Some(Ok(permit)) = unheard {
            let moves = self.admission.release(permit, Instant::now());
            self.carry_out(&moves);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut inner = self.slots.lock();
        let moves = inner.admission.release(self.permit, Instant::now());
        inner.carry_out(&moves);
    }
}

/// A request in a line, which leaves it when its caller does.
struct Wait {
    slots: Arc<Slots>,
    ticket: Ticket,
    answer: oneshot::Receiver<Answer>,
    done: bool,
}

impl Drop for Wait {
    fn drop(&mut self) {
        if self.done {
            return;
        }
        let mut inner = self.slots.lock();
        inner.waiting.remove(&self.ticket);
        inner.admission.cancel(self.ticket);
        // The slot may have been granted just before.
        if let Ok(Ok(permit)) = self.answer.try_recv() {
            let moves = inner.admission.release(permit, Instant::now());
            inner.carry_out(&moves);
        }
    }
}
