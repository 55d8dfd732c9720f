//! The name that a daemon's certificate carries.

use marigold_types::Address;

/// Returns the DNS name that the certificate of the daemon at `address` carries.
///
/// A daemon that dials an address accepts only a certificate with this name, and a daemon that is
/// dialled checks the greeting's address against it.
#[must_use]
pub fn daemon_name(address: Address) -> String {
    let ip = address.0.ip().to_string().replace(['.', ':'], "-");
    format!("d-{ip}-{}.marigoldproxy.internal", address.0.port())
}
