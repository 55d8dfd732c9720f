//! Checks of the origin of requests: signatures of operators, and the local host.

use std::io::Read;
use std::net::{IpAddr, SocketAddr};
use std::time::{SystemTime, UNIX_EPOCH};

use marigold_api::{Problem, ProblemKind};
use marigold_auth::RequestProof;
use marigold_config::Authority;
use marigold_types::{OperatorName, RecordTime};
use rouille::Request;

use super::parts::AdminParts;
use super::reply::bad_request;

/// The maximum size of a request body: a plan must fit into one record of the log.
const MAX_BODY_BYTES: u64 = 1_000_000;

/// A request with a verified signature.
pub struct SignedRequest {
    /// The operator who signed it.
    pub operator: OperatorName,
    /// The request body.
    pub body: Vec<u8>,
}

/// Returns the time of the daemon's wall clock.
pub fn wall_clock() -> RecordTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.map_or(0, |since| since.as_millis());
    RecordTime(u64::try_from(millis).unwrap_or(u64::MAX))
}

/// Reads the body of a request, up to [`MAX_BODY_BYTES`].
pub fn read_body(request: &Request) -> Result<Vec<u8>, Problem> {
    let mut body = Vec::new();
    let Some(data) = request.data() else {
        return Ok(body);
    };
    let read = data.take(MAX_BODY_BYTES + 1).read_to_end(&mut body);
    read.map_err(|error| bad_request(format!("could not read the request body: {error}")))?;
    if body.len() as u64 > MAX_BODY_BYTES {
        let text = format!("request body exceeds {MAX_BODY_BYTES} bytes");
        return Err(bad_request(text));
    }
    Ok(body)
}

/// Reads a request and verifies that a declared operator signed it.
pub fn verify_operator(parts: &AdminParts, request: &Request) -> Result<SignedRequest, Problem> {
    let unauthorised = |text: String| Problem::new(ProblemKind::Unauthorised, text);
    let body = read_body(request)?;
    let proof = RequestProof::from_headers(|name| request.header(name))
        .map_err(|error| unauthorised(error.to_string()))?;
    let config = parts.shared.view.load().config.clone();
    let key = Authority::new(&parts.trust, &config)
        .key_of(&proof.operator)
        .map_err(|reason| unauthorised(reason.to_string()))?;
    let skew = parts.shared.settings.admin.clock_skew.duration();
    let target = request.raw_url();
    proof
        .verify(&key, request.method(), target, &body, wall_clock(), skew)
        .map_err(|error| unauthorised(error.to_string()))?;
    Ok(SignedRequest {
        operator: proof.operator,
        body,
    })
}

/// Verifies that a request comes from the daemon's own host.
pub fn check_local_host(parts: &AdminParts, peer: SocketAddr) -> Result<(), Problem> {
    let settings = &parts.shared.settings;
    let own = [settings.daemon.address.0.ip(), settings.admin.listen.ip()];
    if is_local_address(&own, peer.ip()) {
        return Ok(());
    }
    let text = format!(
        "{} is another host; a backend server must announce itself to the daemon on its own host",
        peer.ip()
    );
    Err(Problem::new(ProblemKind::Refused, text))
}

/// Returns whether `peer` is loopback or one of `own`, the addresses of this host in the settings.
fn is_local_address(own: &[IpAddr], peer: IpAddr) -> bool {
    let peer = peer.to_canonical();
    peer.is_loopback() || own.contains(&peer)
}

#[cfg(test)]
mod tests {
    use super::*;

    macro_rules! local_host {
        ($($name:ident: $peer:literal => $want:literal;)*) => {$(
            #[test]
            fn $name() {
                let own = ["10.0.0.1".parse().unwrap(), "0.0.0.0".parse().unwrap()];
                assert_eq!(is_local_address(&own, $peer.parse().unwrap()), $want);
            }
        )*};
    }

    local_host! {
        loopback: "127.0.0.1" => true;
        loopback_six: "::1" => true;
        mapped_loopback: "::ffff:127.0.0.1" => true;
        own_address: "10.0.0.1" => true;
        mapped_own_address: "::ffff:10.0.0.1" => true;
        neighbour: "10.0.0.2" => false;
        other_network: "192.0.2.7" => false;
    }
}
