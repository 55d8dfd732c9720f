//! Selects the executor for a request that is suspected of crashing backend servers.

use std::net::SocketAddr;

use marigold_request::quarantine::Fingerprint;
use marigold_types::{Digest, ServiceName};

use crate::Directory;

/// Returns the executor that runs a suspected request, or `None` if no executor of `service` is eligible.
///
/// All daemons choose the same one by rendezvous hashing. It runs the request exclusively, so that the request
/// crashes one backend server even if it is sent to all daemons at the same time.
pub fn select_trial_executor(
    directory: &Directory,
    service: &ServiceName,
    fingerprint: &Fingerprint,
    is_eligible: impl Fn(SocketAddr) -> bool,
) -> Option<SocketAddr> {
    let order_key =
        |address: &SocketAddr| Digest::of(format!("{fingerprint}>{address}").as_bytes());
    directory
        .of(service)
        .map(|site| site.address)
        .filter(|address| is_eligible(*address))
        .min_by_key(order_key)
}
