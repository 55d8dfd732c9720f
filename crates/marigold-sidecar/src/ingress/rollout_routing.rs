//! Which versions of a service's backend servers run the requests of this daemon.

use std::net::SocketAddr;
use std::rc::Rc;

use marigold_dispatch::{
    CanaryWindow, ExecutorChoice, RolloutOrder, RolloutStatus, Site, VersionCounts, VersionRule,
};
use marigold_types::ServiceName;
use tokio::time::Instant;

use super::Mesh;
use crate::link::RolloutUpdate;

/// Servers at the beginning of a canary window that are linked, so that daemons of all data centres fill the same ones.
const LINKED_SERVERS: usize = 2;
/// Slots of a server that tests leave free: other daemons choose at the same time.
const SPARE_SLOTS: u32 = 1;

/// Receives what other daemons say about roll-outs.
pub trait RolloutListener {
    /// Handles the roll-outs that another daemon knows.
    fn on_rollouts(&self, update: &RolloutUpdate);

    /// Handles the counts of the backend server beside the daemon at `from`.
    fn on_counts(&self, from: SocketAddr, counts: VersionCounts);
}

impl Mesh {
    /// Sets the receiver of what other daemons say about roll-outs.
    pub fn set_rollout_listener(&self, listener: Rc<dyn RolloutListener>) {
        *self.rollout_listener.borrow_mut() = Some(listener);
    }

    /// Applies the latest order for a service and its status; `confirmed_at` is when that was last known to be the
    /// newest.
    pub fn apply_rollout(
        &self,
        order: &RolloutOrder,
        ordered_at: Instant,
        status: Option<&RolloutStatus>,
        confirmed_at: Option<Instant>,
    ) {
        let now = Instant::now();
        let mut gate = self.version_gate.borrow_mut();
        gate.update(order, ordered_at, status, confirmed_at, now);
    }

    /// Requests the counts of the backend server beside the daemon at `address`.
    pub fn request_counts(&self, address: SocketAddr, service: &ServiceName) {
        self.link(address).request_counts(service.clone());
    }

    pub(super) fn version_rule(
        &self,
        service: &ServiceName,
        is_first: bool,
        idempotent: bool,
        now: Instant,
    ) -> VersionRule {
        let gate = self.version_gate.borrow();
        let rng = &mut *self.rng.borrow_mut();
        gate.rule(service, is_first, idempotent, rng, now)
    }

    /// Selects the server that tests a version, or `None` if the request is no test or none has room.
    pub(super) fn choose_canary(
        &self,
        service: &ServiceName,
        rule: &VersionRule,
        now: Instant,
    ) -> Option<ExecutorChoice> {
        let VersionRule::Canary { target, .. } = rule else {
            return None;
        };
        let age = self.version_gate.borrow().age(service, now);
        let directory = self.directory.borrow();
        let is_target = |site: &&Site| site.version.as_ref() == Some(target);
        let servers = directory.of(service).filter(is_target);
        let order = CanaryWindow::at(age).order(servers.map(|site| site.address));
        for address in order.iter().take(LINKED_SERVERS) {
            self.link(*address);
        }
        let placement = self.placement.borrow();
        let has_room =
            |address: &SocketAddr| placement.has_room(*address, service, SPARE_SLOTS, now);
        let address = order.into_iter().find(has_room)?;
        metrics::counter!("marigold_canary_requests_total", "service" => service.to_string())
            .increment(1);
        Some(ExecutorChoice::regardless_of_load(address))
    }

    pub(super) fn handle_rollouts(&self, update: &RolloutUpdate) {
        let listener = self.rollout_listener.borrow().clone();
        if let Some(listener) = listener {
            listener.on_rollouts(update);
        }
    }

    pub(super) fn handle_counts(&self, from: SocketAddr, counts: VersionCounts) {
        let listener = self.rollout_listener.borrow().clone();
        if let Some(listener) = listener {
            listener.on_counts(from, counts);
        }
    }
}
