//! A backend server behind its real gate.

use std::collections::HashMap;

use marigold_dispatch::{AdmissionController, SiteReport, Ticket};
use marigold_types::{ServiceName, SlotCount};

use super::options::Server;

/// One backend server and its queue.
pub struct Executor {
    pub gate: AdmissionController,
    pub service: ServiceName,
    pub place: usize,
    pub slowness: f64,
    pub sheds: f64,
    pub fails: f64,
    pub has_left: bool,
    /// The attempts that wait, by their ticket.
    pub waiting: HashMap<Ticket, usize>,
}

impl Executor {
    pub fn new(server: &Server) -> Self {
        Self {
            gate: AdmissionController::new(SlotCount(server.slots)),
            service: server.service.parse().expect("a service"),
            place: server.place,
            slowness: server.slowness,
            sheds: 0.0,
            fails: 0.0,
            has_left: false,
            waiting: HashMap::new(),
        }
    }

    /// Returns what it says of itself.
    pub fn report(&self) -> SiteReport {
        let count = |len: usize| SlotCount(u32::try_from(len).expect("few"));
        SiteReport {
            service: (!self.has_left).then(|| self.service.clone()),
            slots: self.gate.slots(),
            busy: count(self.gate.busy()),
            queued: count(self.gate.queued()),
            mean_run: self.gate.mean_run(),
        }
    }
}
