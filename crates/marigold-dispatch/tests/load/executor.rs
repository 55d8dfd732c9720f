//! A simulated backend server with the real admission controller.

use std::collections::HashMap;

use marigold_dispatch::{AdmissionController, SiteReport, Ticket};
use marigold_types::{ServiceName, SlotCount};

use super::scenario::Server;

/// A simulated backend server and its queue.
pub struct Executor {
    pub admission: AdmissionController,
    pub service: ServiceName,
    pub data_centre: usize,
    pub slowness: f64,
    pub reject_ratio: f64,
    pub fail_ratio: f64,
    pub has_left: bool,
    /// The waiting attempts by ticket.
    pub waiting: HashMap<Ticket, usize>,
}

impl Executor {
    pub fn new(server: &Server) -> Self {
        Self {
            admission: AdmissionController::new(SlotCount(server.slots)),
            service: server.service.parse().expect("valid service name"),
            data_centre: server.data_centre,
            slowness: server.slowness,
            reject_ratio: 0.0,
            fail_ratio: 0.0,
            has_left: false,
            waiting: HashMap::new(),
        }
    }

    /// Returns the current load report.
    pub fn report(&self) -> SiteReport {
        let count = |len: usize| SlotCount(u32::try_from(len).expect("few"));
        SiteReport {
            service: (!self.has_left).then(|| self.service.clone()),
            slots: self.admission.slots(),
            busy: count(self.admission.busy()),
            queued: count(self.admission.queued()),
            mean_run: self.admission.mean_run(),
        }
    }
}
