//! DNS names in the certificates of daemons.

use marigold_types::Address;

/// Returns the DNS name in the certificate of the daemon at `address`.
///
/// A daemon that connects to an address accepts only a certificate with this name. The accepting
/// daemon checks the address in the peer's greeting against it.
#[must_use]
pub fn daemon_name(address: Address) -> String {
    let ip = address.0.ip().to_string().replace(['.', ':'], "-");
    format!("d-{ip}-{}.marigoldproxy.internal", address.0.port())
}
