//! Decides which versions may run the requests of one ingress.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use marigold_types::ServiceName;
use rand::Rng;
use tokio::time::Instant;

use super::service_gate::ServiceGate;
use super::{RolloutOrder, RolloutStatus, VersionRule};
use crate::Directory;

/// Decides which versions may run the requests of one ingress, for all services.
#[derive(Debug, Default)]
pub struct VersionGate {
    services: HashMap<ServiceName, ServiceGate>,
}

impl VersionGate {
    /// Applies the versions of the backend servers in `directory`.
    pub fn observe(&mut self, directory: &Directory, now: Instant) {
        let mut versions: HashMap<&ServiceName, BTreeSet<_>> = HashMap::new();
        for site in directory.all() {
            let of_service = versions.entry(&site.service).or_default();
            of_service.extend(site.version.clone());
        }
        for (service, gate) in &mut self.services {
            if !versions.contains_key(service) {
                gate.observe(std::iter::empty(), now);
            }
        }
        for (service, versions) in versions {
            let gate = self.services.entry(service.clone()).or_default();
            gate.observe(versions.into_iter(), now);
        }
    }

    /// Applies the latest order for a service and its status; `confirmed_at` is when that was last known to be the
    /// newest.
    pub fn update(
        &mut self,
        order: &RolloutOrder,
        ordered_at: Instant,
        status: Option<&RolloutStatus>,
        confirmed_at: Option<Instant>,
        now: Instant,
    ) {
        let gate = self.services.entry(order.service.clone()).or_default();
        gate.update(order, ordered_at, status, confirmed_at, now);
    }

    /// Returns the versions that may run a request. Only its first attempt, and only if it is idempotent at first, tests
    /// a version that is not trusted.
    pub fn rule<R: Rng>(
        &self,
        service: &ServiceName,
        is_first: bool,
        idempotent: bool,
        rng: &mut R,
        now: Instant,
    ) -> VersionRule {
        self.services.get(service).map_or(VersionRule::Any, |gate| {
            gate.rule(is_first, idempotent, rng, now)
        })
    }

    /// Returns the age of the roll-out of a service.
    #[must_use]
    pub fn age(&self, service: &ServiceName, now: Instant) -> Duration {
        self.services
            .get(service)
            .map_or(Duration::ZERO, |gate| gate.age(now))
    }
}
