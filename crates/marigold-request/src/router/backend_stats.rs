//! Load and health of one backend server, as observed by one ingress.

use std::time::Duration;

use marigold_types::{InstanceId, ServiceName};
use tokio::time::Instant;

use crate::LoadReport;
use crate::router::ejection::Ejection;

/// How long a load report is used.
const LOAD_REPORT_TTL: Duration = Duration::from_secs(2);

/// A received load report, with the number of calls of this ingress that it includes.
#[derive(Debug, Clone, Copy)]
struct ReceivedReport {
    load: LoadReport,
    received_at: Instant,
    in_flight: u32,
}

/// The load and health of one backend server, as known to one ingress from its own calls.
#[derive(Debug, Clone)]
pub struct BackendStats {
    /// The instance that was observed; the statistics do not apply to another one.
    pub instance: InstanceId,
    /// The service that the backend server runs.
    pub service: ServiceName,
    /// Passive health checking by the results of calls.
    pub ejection: Ejection,
    in_flight: u32,
    last_report: Option<ReceivedReport>,
}

impl BackendStats {
    /// Creates the state of a backend server without observations.
    pub fn new(instance: InstanceId, service: ServiceName, now: Instant) -> Self {
        Self {
            instance,
            service,
            ejection: Ejection::new(now),
            in_flight: 0,
            last_report: None,
        }
    }

    /// Returns the number of calls of this ingress that have not ended.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Counts the start of a call.
    pub fn started(&mut self, now: Instant) {
        self.in_flight += 1;
        self.ejection.started(now);
    }

    /// Counts the end of a call and stores the load report of its reply.
    pub fn finished(&mut self, load: Option<LoadReport>, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(load) = load {
            self.last_report = Some(ReceivedReport {
                load,
                received_at: now,
                in_flight: self.in_flight,
            });
        }
    }

    /// Estimates the number of requests at the backend server: those it reported last, plus the calls
    /// of this ingress since then.
    pub fn requests(&self, now: Instant) -> u32 {
        let Some(report) = self.fresh_report(now) else {
            return self.in_flight;
        };
        let reported = report.load.busy.0.saturating_add(report.load.queued.0);
        let total = reported.saturating_add(self.in_flight);
        total.saturating_sub(report.in_flight).max(self.in_flight)
    }

    /// Returns the number of slots in a recent load report, if there is one.
    pub fn slots(&self, now: Instant) -> Option<u32> {
        let slots = self.fresh_report(now)?.load.slots.0;
        (slots > 0).then_some(slots)
    }

    fn fresh_report(&self, now: Instant) -> Option<&ReceivedReport> {
        let is_fresh = |report: &&ReceivedReport| {
            now.saturating_duration_since(report.received_at) < LOAD_REPORT_TTL
        };
        self.last_report.as_ref().filter(is_fresh)
    }
}
