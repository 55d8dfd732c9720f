//! What an ingress knows of one backend server from its own calls.

use std::time::Duration;

use marigold_types::{InstanceId, ServiceName};
use tokio::time::Instant;

use crate::LoadReport;
use crate::router::ejection::Ejection;

/// How long a load report is believed.
const LOAD_TTL: Duration = Duration::from_secs(2);

/// The last load report, with the calls of this ingress that it counts.
#[derive(Debug, Clone, Copy)]
struct Heard {
    load: LoadReport,
    at: Instant,
    in_flight: u32,
}

/// The load and health of one backend server as one ingress knows them.
#[derive(Debug, Clone)]
pub struct Track {
    /// The life that this is known of.
    pub instance: InstanceId,
    /// The service it runs.
    pub service: ServiceName,
    /// Its health by real calls.
    pub ejection: Ejection,
    in_flight: u32,
    heard: Option<Heard>,
}

impl Track {
    /// Builds the state of a backend server of which nothing is known yet.
    pub fn new(instance: InstanceId, service: ServiceName, now: Instant) -> Self {
        Self {
            instance,
            service,
            ejection: Ejection::new(now),
            in_flight: 0,
            heard: None,
        }
    }

    /// Returns the calls of this ingress that have not ended.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Counts a call that goes to it.
    pub fn started(&mut self, now: Instant) {
        self.in_flight += 1;
        self.ejection.started(now);
    }

    /// Counts the end of a call.
    pub fn finished(&mut self, load: Option<LoadReport>, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(load) = load {
            self.heard = Some(Heard {
                load,
                at: now,
                in_flight: self.in_flight,
            });
        }
    }

    /// Estimates the requests at the backend server: what it said last, and this ingress's own calls
    /// since.
    pub fn requests(&self, now: Instant) -> u32 {
        let Some(heard) = self.fresh(now) else {
            return self.in_flight;
        };
        let said = heard.load.busy.0.saturating_add(heard.load.queued.0);
        let known = said.saturating_add(self.in_flight);
        known.saturating_sub(heard.in_flight).max(self.in_flight)
    }

    /// Returns the slots that it said it has.
    pub fn slots(&self, now: Instant) -> Option<u32> {
        let slots = self.fresh(now)?.load.slots.0;
        (slots > 0).then_some(slots)
    }

    fn fresh(&self, now: Instant) -> Option<&Heard> {
        let is_fresh = |heard: &&Heard| now.saturating_duration_since(heard.at) < LOAD_TTL;
        self.heard.as_ref().filter(is_fresh)
    }
}
